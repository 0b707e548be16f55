//! Bytes that are shared, not copied, and encoded in one piece.

use std::fmt;
use std::sync::Arc;

use nanoserde::{DeBin, DeBinErr, SerBin};

/// Immutable bytes; clones share them. Encoded as a 32-bit length and the bytes. Made of a vector without a copy, as a
/// state of many megabytes would else be in memory once more.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Blob(Arc<Vec<u8>>);

impl Blob {
    /// The bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// How many bytes there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Vec<u8>> for Blob {
    fn from(mut bytes: Vec<u8>) -> Self {
        bytes.shrink_to_fit();
        Self(Arc::new(bytes))
    }
}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self(Arc::new(bytes.to_vec()))
    }
}

impl AsRef<[u8]> for Blob {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Blob({} bytes)", self.0.len())
    }
}

impl SerBin for Blob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        (self.0.len() as u32).ser_bin(output);
        output.extend_from_slice(&self.0);
    }
}

impl DeBin for Blob {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = u32::de_bin(offset, bytes)? as usize;
        let end = offset.checked_add(length).filter(|end| *end <= bytes.len());
        let Some(end) = end else { return Err(DeBinErr::new(*offset, length, bytes.len())) };
        let blob = Self::from(&bytes[*offset..end]);
        *offset = end;
        Ok(blob)
    }
}
