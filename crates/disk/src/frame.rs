//! Checked pieces of a file: length, checksum, where its batch began, payload.
//!
//! The checksum also covers the file's generation and identity and the frame's place in it, so that bytes of another file or
//! place never pass. All frames of a batch name the place where the batch began. Everything before that place was synced
//! before the first byte of the batch was written: a whole frame behind a broken one proves by it that the broken one
//! had been synced, and so that it is damage and no lost end.

use std::ops::Range;

use crc32fast::Hasher;
use ruddervalve_protocol::ReplicaId;

use crate::error::{Damage, DiskError};
use crate::header::{HEADER_LENGTH, Header};

/// Length of the payload, checksum, start of the batch.
pub(crate) const FRAME_HEADER_LENGTH: usize = 4 + 4 + 8;

/// What all frames of a file have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FrameSeed {
    generation: u64,
    identity: ReplicaId,
}

impl From<&Header> for FrameSeed {
    fn from(header: &Header) -> Self {
        Self { generation: header.generation, identity: header.identity }
    }
}

/// Where a frame is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FramePlace {
    /// Where it begins, in bytes from the file's start.
    pub(crate) offset: u64,
    /// Where its batch begins, in bytes from the file's start.
    pub(crate) batch_start: u64,
}

impl FrameSeed {
    fn checksum(&self, place: FramePlace, payload: &[u8]) -> u32 {
        let mut hasher = Hasher::new();
        hasher.update(&self.generation.to_le_bytes());
        hasher.update(&self.identity.0.to_le_bytes());
        hasher.update(&place.offset.to_le_bytes());
        hasher.update(&place.batch_start.to_le_bytes());
        hasher.update(&(payload.len() as u64).to_le_bytes());
        hasher.update(payload);
        hasher.finalize()
    }

    /// Appends a frame to `output`; `write_payload` appends its payload.
    ///
    /// # Errors
    /// [`DiskError::TooLarge`] if the payload's length does not fit; `output` is then as it was.
    pub(crate) fn write(
        &self,
        output: &mut Vec<u8>,
        place: FramePlace,
        write_payload: impl FnOnce(&mut Vec<u8>),
    ) -> Result<(), DiskError> {
        let start = output.len();
        output.extend_from_slice(&[0; FRAME_HEADER_LENGTH]);
        write_payload(output);
        let payload = output.get(start + FRAME_HEADER_LENGTH..).unwrap_or_default();
        let bytes = payload.len();
        let Ok(length) = u32::try_from(bytes) else {
            output.truncate(start);
            return Err(DiskError::TooLarge { bytes });
        };
        let checksum = self.checksum(place, payload);
        let fields = length.to_le_bytes().into_iter().chain(checksum.to_le_bytes());
        let header = fields.chain(place.batch_start.to_le_bytes());
        for (target, byte) in output.iter_mut().skip(start).zip(header) {
            *target = byte;
        }
        Ok(())
    }

    /// The frame of `file` at `offset`.
    pub(crate) fn read<'a>(&self, file: &'a [u8], offset: usize) -> Result<Frame<'a>, Damage> {
        let rest = file.get(offset..).ok_or(Damage::Truncated)?;
        let fields = FrameFields::read(rest).ok_or(Damage::Truncated)?;
        let payload_start = offset.saturating_add(FRAME_HEADER_LENGTH);
        let end = payload_start.saturating_add(fields.length as usize);
        let place = FramePlace { offset: offset as u64, batch_start: fields.batch_start };
        if place.batch_start < HEADER_LENGTH as u64 || place.batch_start > place.offset {
            return Err(Damage::Checksum);
        }
        let payload = file.get(payload_start..end).ok_or(Damage::Truncated)?;
        if self.checksum(place, payload) != fields.checksum {
            return Err(Damage::Checksum);
        }
        Ok(Frame { payload, range: offset..end })
    }

    /// Whether the frame at `broken`, which does not read, had been synced: whether a whole frame behind it says so.
    pub(crate) fn proves_synced(&self, file: &[u8], broken: usize) -> bool {
        let candidates = broken.saturating_add(1)..file.len();
        candidates.into_iter().any(|offset| {
            // The cheap look first: checksums are computed only where the start of the batch fits.
            let fields = file.get(offset..).and_then(FrameFields::read);
            let fits = fields.is_some_and(|fields| fields.batch_start > broken as u64);
            fits && self.read(file, offset).is_ok()
        })
    }
}

/// A whole frame.
#[derive(Debug)]
pub(crate) struct Frame<'a> {
    /// What it holds.
    pub(crate) payload: &'a [u8],
    /// Where it begins and ends.
    pub(crate) range: Range<usize>,
}

/// The numbers before a payload.
struct FrameFields {
    length: u32,
    checksum: u32,
    batch_start: u64,
}

impl FrameFields {
    fn read(bytes: &[u8]) -> Option<Self> {
        let (length, rest) = bytes.split_first_chunk()?;
        let (checksum, rest) = rest.split_first_chunk()?;
        let (batch_start, _) = rest.split_first_chunk()?;
        Some(Self {
            length: u32::from_le_bytes(*length),
            checksum: u32::from_le_bytes(*checksum),
            batch_start: u64::from_le_bytes(*batch_start),
        })
    }
}
