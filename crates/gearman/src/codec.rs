//! Owns the framing of the Gearman protocol, free of I/O, for servers, clients and workers alike: any bytes give a
//! frame, 'more needed' or an error. It must never panic on what it reads, hold more than it is allowed, or know what a
//! packet means. Source: the public protocol description of Gearman, which is binary, big-endian, with a text protocol
//! for administration on the same port.

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use thiserror::Error;

/// A packet's magic, kind and length.
pub const HEADER_BYTES: usize = 12;

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
pub enum FrameError {
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
    /// The next frame, taken off `read_buffer`; none while more is needed. After an error the connection is of no use.
    ///
    /// # Errors
    ///
    /// Bytes that are no frame, or more of them than a frame may have.
    pub fn decode(&self, read_buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        match read_buffer.first() {
            None => Ok(None),
            Some(0) => Ok(self.packet(read_buffer)?.map(Frame::Packet)),
            Some(_) => Ok(self.line(read_buffer)?.map(Frame::Line)),
        }
    }

    fn packet(&self, read_buffer: &mut BytesMut) -> Result<Option<Packet>, FrameError> {
        let seen = &read_buffer[..read_buffer.len().min(4)];
        let of = |magic: Magic| magic.bytes().starts_with(seen).then_some(magic);
        let magic = of(Magic::Req).or(of(Magic::Res)).ok_or(FrameError::Magic)?;
        if read_buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let number = |at: usize| {
            u32::from_be_bytes([
                read_buffer[at],
                read_buffer[at + 1],
                read_buffer[at + 2],
                read_buffer[at + 3],
            ])
        };
        let (kind, length) = (Kind::from(number(4)), number(8) as usize);
        if length > self.longest_body {
            return Err(FrameError::Packet);
        }
        if read_buffer.len() < HEADER_BYTES + length {
            // Room for what was announced, which is bounded.
            read_buffer.reserve(HEADER_BYTES + length - read_buffer.len());
            return Ok(None);
        }
        read_buffer.advance(HEADER_BYTES);
        Ok(Some(Packet { magic, kind, body: read_buffer.split_to(length).freeze() }))
    }

    fn line(&self, read_buffer: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
        let end = read_buffer.iter().take(self.longest_line + 1).position(|byte| *byte == b'\n');
        let seen = &read_buffer[..end.unwrap_or(read_buffer.len())];
        let text = |byte: &u8| matches!(byte, b'\t' | b'\r' | b' '..=b'~');
        if seen.len() > self.longest_line || !seen.iter().all(text) {
            return Err(FrameError::Line);
        }
        let Some(end) = end else { return Ok(None) };
        let mut line = read_buffer.split_to(end).freeze();
        read_buffer.advance(1);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line))
    }
}

/// Appends a packet of these arguments. What is longer than a length can tell is not written; nothing that was read is.
pub fn encode_packet(out: &mut BytesMut, magic: Magic, kind: Kind, args: &[&[u8]]) {
    let length = args.iter().map(|arg| arg.len()).sum::<usize>() + args.len().saturating_sub(1);
    let Ok(encoded_length) = u32::try_from(length) else { return };
    out.reserve(HEADER_BYTES + length);
    out.put_slice(magic.bytes());
    out.put_u32(kind.number());
    out.put_u32(encoded_length);
    for (number, arg) in args.iter().enumerate() {
        if number > 0 {
            out.put_u8(0);
        }
        out.put_slice(arg);
    }
}

#[cfg(test)]
mod tests;
