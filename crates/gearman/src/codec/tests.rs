//! Framing: any bytes, cut anywhere.

use proptest::prelude::*;

use super::*;

const DECODER: Decoder = Decoder { longest_body: 1 << 12, longest_line: 64 };

fn drain(read_buffer: &mut BytesMut) -> (Vec<Frame>, Option<FrameError>) {
    let mut frames = Vec::new();
    loop {
        match DECODER.decode(read_buffer) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return (frames, None),
            Err(broken) => return (frames, Some(broken)),
        }
    }
}

proptest! {
    /// Guards against panics, endless loops and growth on what strangers send.
    #[test]
    fn any_bytes_give_frames_more_needed_or_an_error(
        bytes in prop::collection::vec(prop_oneof![Just(0_u8), Just(b'R'), any::<u8>()], 0..300),
        magic in any::<bool>(),
    ) {
        let mut read_buffer = BytesMut::from(if magic { &b"\0REQ\0\0\0"[..] } else { b"" });
        read_buffer.extend_from_slice(&bytes);
        let before = read_buffer.len();
        let (frames, _) = drain(&mut read_buffer);
        let taken: usize = frames.iter().map(|frame| match frame {
            Frame::Packet(packet) => HEADER_BYTES + packet.body.len(),
            Frame::Line(line) => line.len() + 1,
        }).sum();
        prop_assert!(taken <= before && frames.len() <= before);
    }

    /// Guards against frames that depend on how the network cut them.
    #[test]
    fn what_was_put_is_read_again_however_it_is_cut(
        packets in prop::collection::vec((0..Kind::ALL.len(), prop::collection::vec("[a-z]{0,9}", 8), any::<Vec<u8>>()), 1..6),
        piece in 1..40_usize,
    ) {
        let (mut wire, mut sent) = (BytesMut::new(), Vec::new());
        for (kind, words, last) in packets {
            let kind = Kind::ALL[kind];
            let mut args: Vec<&[u8]> = words.iter().take(kind.args().saturating_sub(1)).map(String::as_bytes).collect();
            if kind.args() > 0 { args.push(&last) };
            encode_packet(&mut wire, Magic::Req, kind, &args);
            sent.push((kind, args.iter().map(|arg| arg.to_vec()).collect::<Vec<_>>()));
        }
        let (mut read_buffer, mut frames) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(piece) {
            read_buffer.extend_from_slice(piece);
            frames.extend(drain(&mut read_buffer).0);
        }
        prop_assert!(read_buffer.is_empty());
        prop_assert_eq!(frames.len(), sent.len());
        for (frame, (kind, args)) in frames.iter().zip(sent) {
            let Frame::Packet(packet) = frame else { panic!("a line") };
            prop_assert_eq!(packet.kind, kind);
            let read: Vec<Bytes> = match args.len() {
                0 => Vec::new(),
                1 => packet.split::<1>().unwrap().to_vec(),
                2 => packet.split::<2>().unwrap().to_vec(),
                3 => packet.split::<3>().unwrap().to_vec(),
                4 => packet.split::<4>().unwrap().to_vec(),
                5 => packet.split::<5>().unwrap().to_vec(),
                6 => packet.split::<6>().unwrap().to_vec(),
                _ => packet.split::<8>().unwrap().to_vec(),
            };
            prop_assert_eq!(read, args);
        }
    }
}

#[test]
fn what_is_no_frame_is_told_as_soon_as_it_shows() {
    // Guards against waiting for the rest of what can become nothing, and against packets of any length.
    for (bytes, broken) in [
        (&b"\0RAQ"[..], FrameError::Magic),
        (b"\0X", FrameError::Magic),
        (b"\0REQ\0\0\0\x07\0\0\x10\x01", FrameError::Packet),
        (b"\x16\x03\x01", FrameError::Line),
        (&[b'a'; 65][..], FrameError::Line),
    ] {
        assert_eq!(DECODER.decode(&mut BytesMut::from(bytes)), Err(broken), "{bytes:?}");
    }
    assert_eq!(
        DECODER.decode(&mut BytesMut::from(&b"status\r\n"[..])),
        Ok(Some(Frame::Line(Bytes::from("status"))))
    );
    let few = Packet { magic: Magic::Req, kind: Kind::SubmitJob, body: Bytes::from("tint\0id") };
    assert_eq!(few.split::<3>(), None);
}
