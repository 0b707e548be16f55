//! A check around what is written to logs and snapshots: damaged bytes are told before they are decoded, as the decoder
//! of lists trusts the lengths that it reads.

use displaydoc::Display;
use ruddervalve_configuration::digest;
use ruddervalve_protocol::Blob;

/// The version of both formats; raised with each change of them.
const FORMAT: u32 = 1;
/// Bytes of the kind with the format.
const HEAD_BYTES: usize = 8;
/// Bytes of the digest, which covers the head and the content.
const DIGEST_BYTES: usize = 16;

/// What the bytes hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An entry of the log.
    Command,
    /// A snapshot.
    Snapshot,
}

/// Why bytes are not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Damaged {
    /// the bytes are too few or do not match their digest: take another copy, from another coordinator
    Bytes,
    /// the bytes are of another kind or format: start the program version that wrote them, or take another copy
    Format,
    /// the bytes match their digest and cannot be decoded: start the program version that wrote them
    Content,
}

impl std::error::Error for Damaged {}

/// Puts `content` behind its head and digest.
pub fn seal(kind: Kind, content: &[u8]) -> Blob {
    let head = head(kind);
    let mut bytes = Vec::with_capacity(DIGEST_BYTES + HEAD_BYTES + content.len());
    bytes.extend_from_slice(&[0; DIGEST_BYTES]);
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(content);
    let sum = bytes.get(DIGEST_BYTES..).map_or(0, digest);
    if let Some(place) = bytes.first_chunk_mut::<DIGEST_BYTES>() {
        *place = sum.to_le_bytes();
    }
    Blob::from(bytes)
}

/// The content behind the head.
///
/// # Errors
/// [`Damaged`] where the bytes are not what [`seal`] made of this kind.
pub fn open(kind: Kind, bytes: &[u8]) -> Result<&[u8], Damaged> {
    let (sum, covered) = bytes.split_first_chunk::<DIGEST_BYTES>().ok_or(Damaged::Bytes)?;
    if digest(covered) != u128::from_le_bytes(*sum) {
        return Err(Damaged::Bytes);
    }
    let (found, content) = covered.split_first_chunk::<HEAD_BYTES>().ok_or(Damaged::Bytes)?;
    if *found != head(kind) {
        return Err(Damaged::Format);
    }
    Ok(content)
}

fn head(kind: Kind) -> [u8; HEAD_BYTES] {
    let tag: u32 = match kind {
        Kind::Command => 1,
        Kind::Snapshot => 2,
    };
    (u64::from(tag) << u32::BITS | u64::from(FORMAT)).to_le_bytes()
}
