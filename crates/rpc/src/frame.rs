//! Frames in a byte buffer.

use bytes::{Buf as _, BytesMut};
use nanoserde::{DeBin, SerBin};

use crate::RpcError;

/// The first bytes on each connection.
pub const MAGIC: [u8; 4] = *b"RVSY";
/// Bytes before each frame: its length and its checksum.
pub const HEADER_BYTES: usize = 8;

/// Appends a frame.
pub fn encode<T: SerBin>(message: &T, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; HEADER_BYTES]);
    message.ser_bin(output);
    let payload = &output[start + HEADER_BYTES..];
    let (length, checksum) = (payload.len() as u32, crc32fast::hash(payload));
    output[start..start + 4].copy_from_slice(&length.to_le_bytes());
    output[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Length and checksum of a frame.
#[derive(Debug, Clone, Copy)]
pub struct Header {
    /// Bytes of the message.
    pub length: usize,
    checksum: u32,
}

impl Header {
    /// Reads the header; the length must not be over the limit.
    pub fn read(bytes: [u8; HEADER_BYTES], limit: usize) -> Result<Self, RpcError> {
        let [a, b, c, d, e, f, g, h] = bytes;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        let checksum = u32::from_le_bytes([e, f, g, h]);
        if length > limit { Err(RpcError::TooLarge { length, limit }) } else { Ok(Self { length, checksum }) }
    }

    /// Reads the message. What was not written by [`encode`] is not decoded: the decoder trusts lengths.
    pub fn message<T: DeBin>(&self, bytes: &[u8]) -> Result<T, RpcError> {
        if crc32fast::hash(bytes) != self.checksum {
            return Err(RpcError::Unreadable("its checksum does not hold".to_owned()));
        }
        T::deserialize_bin(bytes).map_err(|error| RpcError::Unreadable(error.to_string()))
    }
}

/// Takes the next whole frame from the front of the buffer, if there is one.
pub fn decode<T: DeBin>(buffer: &mut BytesMut, limit: usize) -> Result<Option<T>, RpcError> {
    let Some(bytes) = buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let header = Header::read(*bytes, limit)?;
    let whole = HEADER_BYTES + header.length;
    if buffer.len() < whole {
        buffer.reserve(whole - buffer.len());
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    let frame = buffer.split_to(header.length);
    header.message(&frame).map(Some)
}
