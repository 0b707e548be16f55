//! Owns the framing of the Gearman protocol, free of I/O, for servers, clients and workers alike: any bytes give a frame,
//! 'more needed' or an error. It must never panic on what it reads, hold more than it is allowed, or know what a packet
//! means. Source: the public protocol description of Gearman, which is binary, big-endian, with a text protocol for
//! administration on the same port.

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use thiserror::Error;

/// A packet's magic, kind and length.
pub const HEAD: usize = 12;

/// Which way a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Magic {
    /// To the server.
    Req,
    /// From the server.
    Res,
}

impl Magic {
    fn bytes(self) -> &'static [u8; 4] {
        match self {
            Self::Req => b"\0REQ",
            Self::Res => b"\0RES",
        }
    }
}

macro_rules! kinds {
    ($($name:ident = $number:literal: $args:literal,)*) => {
        /// What a packet is; the names are the protocol's.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[allow(missing_docs)]
        pub enum Kind { $($name,)*
            /// A number that this program does not know.
            Other(u32),
        }

        impl Kind {
            /// All kinds known.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Its number on the wire.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number,)* Self::Other(number) => number }
            }

            /// How many arguments it has, the last of which takes all that follows.
            pub fn args(self) -> usize {
                match self { $(Self::$name => $args,)* Self::Other(_) => 1 }
            }
        }

        impl From<u32> for Kind {
            fn from(number: u32) -> Self {
                match number { $($number => Self::$name,)* _ => Self::Other(number) }
            }
        }
    };
}

kinds! {
    CanDo = 1: 1,
    CantDo = 2: 1,
    ResetAbilities = 3: 0,
    PreSleep = 4: 0,
    Noop = 6: 0,
    SubmitJob = 7: 3,
    JobCreated = 8: 1,
    GrabJob = 9: 0,
    NoJob = 10: 0,
    JobAssign = 11: 3,
    WorkStatus = 12: 3,
    WorkComplete = 13: 2,
    WorkFail = 14: 1,
    GetStatus = 15: 1,
    EchoReq = 16: 1,
    EchoRes = 17: 1,
    SubmitJobBg = 18: 3,
    Error = 19: 2,
    StatusRes = 20: 5,
    SubmitJobHigh = 21: 3,
    SetClientId = 22: 1,
    CanDoTimeout = 23: 2,
    AllYours = 24: 0,
    WorkException = 25: 2,
    OptionReq = 26: 1,
    OptionRes = 27: 1,
    WorkData = 28: 2,
    WorkWarning = 29: 2,
    GrabJobUniq = 30: 0,
    JobAssignUniq = 31: 4,
    SubmitJobHighBg = 32: 3,
    SubmitJobLow = 33: 3,
    SubmitJobLowBg = 34: 3,
    SubmitJobSched = 35: 8,
    SubmitJobEpoch = 36: 4,
    SubmitReduceJob = 37: 4,
    SubmitReduceJobBackground = 38: 4,
    GrabJobAll = 39: 0,
    JobAssignAll = 40: 5,
    GetStatusUnique = 41: 1,
    StatusResUnique = 42: 6,
}

/// A packet as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Which way it goes.
    pub magic: Magic,
    /// What it is.
    pub kind: Kind,
    /// Its arguments, parted by NUL.
    pub body: Bytes,
}

/// What comes on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A binary packet.
    Packet(Packet),
    /// A line of the administration protocol, without its end.
    Line(Bytes),
}

/// Bytes that are no frame; what follows them means nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Broken {
    /// Neither a packet nor a line of text.
    #[error("neither a packet nor a line")]
    Magic,
    /// A packet beyond the length allowed.
    #[error("a packet is too long")]
    Packet,
    /// A line beyond the length allowed, or with bytes that are no text.
    #[error("a line is too long or no text")]
    Line,
}

impl Packet {
    /// Its arguments, as many as its kind has; none where there are fewer. The last one may hold NUL.
    pub fn split<const N: usize>(&self) -> Option<[Bytes; N]> {
        let mut rest = self.body.clone();
        let mut args = std::array::from_fn(|_| Bytes::new());
        let last = N.checked_sub(1)?;
        for arg in &mut args[..last] {
            let end = rest.iter().position(|byte| *byte == 0)?;
            *arg = rest.split_to(end);
            rest.advance(1);
        }
        args[last] = rest;
        Some(args)
    }
}

/// Takes frames off what was read of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Decoder {
    /// The longest packet body, in bytes.
    pub longest_body: usize,
    /// The longest line, in bytes.
    pub longest_line: usize,
}

impl Decoder {
    /// The next frame, taken off `inbox`; none while more is needed. After an error the connection is of no use.
    pub fn decode(&self, inbox: &mut BytesMut) -> Result<Option<Frame>, Broken> {
        match inbox.first() {
            None => Ok(None),
            Some(0) => Ok(self.packet(inbox)?.map(Frame::Packet)),
            Some(_) => Ok(self.line(inbox)?.map(Frame::Line)),
        }
    }

    fn packet(&self, inbox: &mut BytesMut) -> Result<Option<Packet>, Broken> {
        let seen = &inbox[..inbox.len().min(4)];
        let of = |magic: Magic| magic.bytes().starts_with(seen).then_some(magic);
        let magic = of(Magic::Req).or(of(Magic::Res)).ok_or(Broken::Magic)?;
        if inbox.len() < HEAD {
            return Ok(None);
        }
        let number = |at: usize| u32::from_be_bytes([inbox[at], inbox[at + 1], inbox[at + 2], inbox[at + 3]]);
        let (kind, length) = (Kind::from(number(4)), number(8) as usize);
        if length > self.longest_body {
            return Err(Broken::Packet);
        }
        if inbox.len() < HEAD + length {
            // Room for what was announced, which is bounded.
            inbox.reserve(HEAD + length - inbox.len());
            return Ok(None);
        }
        inbox.advance(HEAD);
        Ok(Some(Packet { magic, kind, body: inbox.split_to(length).freeze() }))
    }

    fn line(&self, inbox: &mut BytesMut) -> Result<Option<Bytes>, Broken> {
        let end = inbox.iter().take(self.longest_line + 1).position(|byte| *byte == b'\n');
        let seen = &inbox[..end.unwrap_or(inbox.len())];
        let text = |byte: &u8| matches!(byte, b'\t' | b'\r' | b' '..=b'~');
        if seen.len() > self.longest_line || !seen.iter().all(text) {
            return Err(Broken::Line);
        }
        let Some(end) = end else { return Ok(None) };
        let mut line = inbox.split_to(end).freeze();
        inbox.advance(1);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line))
    }
}

/// Appends a packet of these arguments. What is longer than a length can tell is not written; nothing that was read is.
pub fn put(out: &mut BytesMut, magic: Magic, kind: Kind, args: &[&[u8]]) {
    let length = args.iter().map(|arg| arg.len()).sum::<usize>() + args.len().saturating_sub(1);
    let Ok(told) = u32::try_from(length) else { return };
    out.reserve(HEAD + length);
    out.put_slice(magic.bytes());
    out.put_u32(kind.number());
    out.put_u32(told);
    for (number, arg) in args.iter().enumerate() {
        if number > 0 {
            out.put_u8(0);
        }
        out.put_slice(arg);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const DECODER: Decoder = Decoder { longest_body: 1 << 12, longest_line: 64 };

    fn drain(inbox: &mut BytesMut) -> (Vec<Frame>, Option<Broken>) {
        let mut frames = Vec::new();
        loop {
            match DECODER.decode(inbox) {
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
            let mut inbox = BytesMut::from(if magic { &b"\0REQ\0\0\0"[..] } else { b"" });
            inbox.extend_from_slice(&bytes);
            let before = inbox.len();
            let (frames, _) = drain(&mut inbox);
            let taken: usize = frames.iter().map(|frame| match frame {
                Frame::Packet(packet) => HEAD + packet.body.len(),
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
                put(&mut wire, Magic::Req, kind, &args);
                sent.push((kind, args.iter().map(|arg| arg.to_vec()).collect::<Vec<_>>()));
            }
            let (mut inbox, mut frames) = (BytesMut::new(), Vec::new());
            for piece in wire.chunks(piece) {
                inbox.extend_from_slice(piece);
                frames.extend(drain(&mut inbox).0);
            }
            prop_assert!(inbox.is_empty());
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
            (&b"\0RAQ"[..], Broken::Magic),
            (b"\0X", Broken::Magic),
            (b"\0REQ\0\0\0\x07\0\0\x10\x01", Broken::Packet),
            (b"\x16\x03\x01", Broken::Line),
            (&[b'a'; 65][..], Broken::Line),
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
}
