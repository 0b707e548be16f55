//! Any bytes give frames, 'more needed' or an error, however they are cut. By slot, from `crates/gearman`:
//! `cargo fuzz run frames -- -max_total_time=60`.
#![no_main]

use bytes::BytesMut;
use libfuzzer_sys::fuzz_target;
use ruddervalve_gearman::codec::{Decoder, Frame};

fuzz_target!(|data: (u8, &[u8])| {
    let decoder = Decoder { longest_body: 1 << 12, longest_line: 64 };
    let (mut read_buffer, mut taken) = (BytesMut::new(), 0);
    for piece in data.1.chunks(usize::from(data.0).max(1)) {
        read_buffer.extend_from_slice(piece);
        loop {
            match decoder.decode(&mut read_buffer) {
                Ok(Some(Frame::Packet(packet))) => {
                    taken += packet.body.len();
                    let _ = (packet.split::<1>(), packet.split::<3>(), packet.split::<8>());
                }
                Ok(Some(Frame::Line(line))) => taken += line.len() + 1,
                Ok(None) => break,
                Err(_) => return,
            }
        }
        assert!(taken + read_buffer.len() <= data.1.len());
    }
});
