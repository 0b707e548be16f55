//! Checked pieces of the binary encoding.
//!
//! `nanoserde` reads a `String` or `Vec` by trusting its length, and a damaged length ends the process. Texts and lists
//! are therefore read here; numbers and [`Blob`]s are read by `nanoserde` itself.

use nanoserde::{DeBin, DeBinErr, SerBin};
use ruddervalve_protocol::{EndPhase, Incarnation, LeaseId, MessageId};

/// Why bytes could not be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum DecodeError {
    /// the bytes end or make no sense at offset {offset}: check that writer and reader run the same version, and restore the replica from another one
    Malformed {
        /// Where.
        offset: usize,
    },
    /// {count} bytes follow the end of the value: check that writer and reader run the same version
    Trailing {
        /// How many.
        count: usize,
    },
}

impl std::error::Error for DecodeError {}

impl From<DeBinErr> for DecodeError {
    fn from(error: DeBinErr) -> Self {
        Self::Malformed { offset: error.o }
    }
}

/// Reads a whole value; bytes that are left over are an error.
pub(crate) fn read_whole<T>(
    bytes: &[u8],
    read: impl FnOnce(&mut usize, &[u8]) -> Result<T, DeBinErr>,
) -> Result<T, DecodeError> {
    let mut offset = 0;
    let value = read(&mut offset, bytes)?;
    match bytes.len().saturating_sub(offset) {
        0 => Ok(value),
        count => Err(DecodeError::Trailing { count }),
    }
}

/// Appends a length and the bytes of a text.
pub(crate) fn put_text(text: &str, output: &mut Vec<u8>) {
    (text.len() as u32).ser_bin(output);
    output.extend_from_slice(text.as_bytes());
}

/// Reads what [`put_text`] wrote.
pub(crate) fn get_text(offset: &mut usize, bytes: &[u8]) -> Result<String, DeBinErr> {
    let length = u32::de_bin(offset, bytes)? as usize;
    let malformed = || DeBinErr::new(*offset, length, bytes.len());
    let end = offset.checked_add(length).ok_or_else(malformed)?;
    let piece = bytes.get(*offset..end).ok_or_else(malformed)?;
    let text = std::str::from_utf8(piece).map_err(|_| malformed())?.to_owned();
    *offset = end;
    Ok(text)
}

/// Appends a text that may be absent.
pub(crate) fn put_optional_text(text: Option<&str>, output: &mut Vec<u8>) {
    text.is_some().ser_bin(output);
    if let Some(text) = text {
        put_text(text, output);
    }
}

/// Reads what [`put_optional_text`] wrote.
pub(crate) fn get_optional_text(offset: &mut usize, bytes: &[u8]) -> Result<Option<String>, DeBinErr> {
    match bool::de_bin(offset, bytes)? {
        true => get_text(offset, bytes).map(Some),
        false => Ok(None),
    }
}

/// Appends a count and the items.
pub(crate) fn put_list<T>(
    count: usize,
    items: impl Iterator<Item = T>,
    output: &mut Vec<u8>,
    mut put: impl FnMut(T, &mut Vec<u8>),
) {
    (count as u64).ser_bin(output);
    for item in items {
        put(item, output);
    }
}

/// Reads what [`put_list`] wrote, without trusting the count.
pub(crate) fn get_list<T>(
    offset: &mut usize,
    bytes: &[u8],
    mut get: impl FnMut(&mut usize, &[u8]) -> Result<T, DeBinErr>,
) -> Result<Vec<T>, DeBinErr> {
    let count = u64::de_bin(offset, bytes)?;
    let mut items = Vec::new();
    for _ in 0..count {
        items.push(get(offset, bytes)?);
    }
    Ok(items)
}

/// Appends a message's id.
pub(crate) fn put_id(id: &MessageId, output: &mut Vec<u8>) {
    put_text(&id.0, output);
}

/// Reads a message's id.
pub(crate) fn get_id(offset: &mut usize, bytes: &[u8]) -> Result<MessageId, DeBinErr> {
    get_text(offset, bytes).map(MessageId)
}

/// Reads an incarnation.
pub(crate) fn get_incarnation(offset: &mut usize, bytes: &[u8]) -> Result<Incarnation, DeBinErr> {
    Incarnation::de_bin(offset, bytes)
}

/// Reads a lease.
pub(crate) fn get_lease(offset: &mut usize, bytes: &[u8]) -> Result<LeaseId, DeBinErr> {
    LeaseId::de_bin(offset, bytes)
}

/// Reads how a message ended.
pub(crate) fn get_phase(offset: &mut usize, bytes: &[u8]) -> Result<EndPhase, DeBinErr> {
    EndPhase::de_bin(offset, bytes)
}
