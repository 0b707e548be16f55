//! Decoding of lists whose length the sender states.

use nanoserde::{DeBin, DeBinErr};

/// Decodes a list as `Vec` encodes it. Unlike `Vec` it reserves nothing on the word of the sender, so that a wrong length
/// is an error and never an exhausted memory. Each element must take at least a byte.
pub(crate) fn decode_list<T: DeBin>(offset: &mut usize, bytes: &[u8]) -> Result<Vec<T>, DeBinErr> {
    let count = usize::de_bin(offset, bytes)?;
    let remaining = bytes.len().saturating_sub(*offset);
    if count > remaining {
        return Err(DeBinErr::new(*offset, count, bytes.len()));
    }
    let mut list = Vec::new();
    for _ in 0..count {
        list.push(T::de_bin(offset, bytes)?);
    }
    Ok(list)
}
