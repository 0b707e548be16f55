//! A checkpoint's file: a header, frames of records that make up the whole state, a closing frame.

use std::collections::BTreeMap;

use nanoserde::SerBin;
use ruddervalve_protocol::GroupId;

use crate::error::{Damage, DiskError, FileAction};
use crate::folder::DataFile;
use crate::frame::{FramePlace, FrameSeed};
use crate::header::{HEADER_LENGTH, Header};
use crate::record::{
    StoredEntry, encode_entries, encode_founded, encode_hard_state, encode_left, encode_snapshot,
};
use crate::state::{GroupState, Groups, ProcessState, apply_payload};

/// The first byte of the closing frame's payload, which is no record's tag; the count of frames before it follows.
const CLOSING_TAG: u8 = 255;

/// Why a slot does not read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotFault {
    /// Where, in bytes from the file's start.
    pub(crate) offset: u64,
    /// What is wrong.
    pub(crate) damage: Damage,
}

/// Reads the groups of a slot whose header is `header`.
pub(crate) fn read_slot(header: &Header, file: &[u8]) -> Result<Groups, SlotFault> {
    let seed = FrameSeed::from(header);
    let mut groups = BTreeMap::new();
    let mut offset = HEADER_LENGTH;
    let mut frames: u64 = 0;
    loop {
        let fault = |damage| SlotFault { offset: offset as u64, damage };
        if offset >= file.len() {
            return Err(fault(Damage::NotClosed));
        }
        let frame = seed.read(file, offset).map_err(fault)?;
        if frame.payload.first() == Some(&CLOSING_TAG) {
            let closed = frame.payload == closing_payload(frames) && frame.range.end == file.len();
            return if closed { Ok(groups) } else { Err(fault(Damage::NotClosed)) };
        }
        apply_payload(&mut groups, frame.payload).map_err(fault)?;
        frames = frames.saturating_add(1);
        offset = frame.range.end;
    }
}

fn closing_payload(frames: u64) -> Vec<u8> {
    let mut payload = vec![CLOSING_TAG];
    frames.ser_bin(&mut payload);
    payload
}

/// Writes a slot piece by piece, so that no second copy of a large state is ever in memory.
pub(crate) struct SlotWriter<'a> {
    name: &'a str,
    file: &'a mut dyn DataFile,
    seed: FrameSeed,
    chunk_bytes: usize,
    payload: Vec<u8>,
    frame: Vec<u8>,
    frames: u64,
    length: u64,
}

impl<'a> SlotWriter<'a> {
    /// Writes a whole slot to an empty file and returns its length in bytes; it is not synced yet.
    pub(crate) fn write(
        name: &'a str,
        file: &'a mut dyn DataFile,
        header: Header,
        state: &ProcessState,
        chunk_bytes: usize,
    ) -> Result<u64, DiskError> {
        let (payload, frame) = (Vec::new(), Vec::new());
        let seed = FrameSeed::from(&header);
        let mut writer = Self { name, file, seed, chunk_bytes, payload, frame, frames: 0, length: 0 };
        writer.put(&header.to_bytes())?;
        for (group, group_state) in &state.groups {
            writer.group(*group, group_state)?;
        }
        writer.flush()?;
        writer.payload = closing_payload(writer.frames);
        writer.flush()?;
        Ok(writer.length)
    }

    fn group(&mut self, group: GroupId, state: &GroupState) -> Result<(), DiskError> {
        // First, as it stands for all that came before.
        if let Some(floor) = state.floor {
            encode_left(group, &state.hard_state, floor, &mut self.payload);
        }
        if let Some(membership) = &state.founded {
            encode_founded(group, membership, &mut self.payload);
        }
        encode_hard_state(group, &state.hard_state, &mut self.payload);
        if let Some(snapshot) = &state.snapshot {
            encode_snapshot(group, snapshot, &mut self.payload);
        }
        self.flush_if_large()?;
        let mut entries = state.entries.as_slice();
        while !entries.is_empty() {
            let count = leading_count(entries, self.chunk_bytes);
            let Some((chunk, rest)) = entries.split_at_checked(count) else { break };
            encode_entries(group, chunk, &mut self.payload);
            self.flush_if_large()?;
            entries = rest;
        }
        Ok(())
    }

    fn flush_if_large(&mut self) -> Result<(), DiskError> {
        if self.payload.len() >= self.chunk_bytes { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> Result<(), DiskError> {
        if self.payload.is_empty() {
            return Ok(());
        }
        let place = FramePlace { offset: self.length, batch_start: HEADER_LENGTH as u64 };
        let mut frame = std::mem::take(&mut self.frame);
        frame.clear();
        let payload = &mut self.payload;
        self.seed.write(&mut frame, place, |output| output.append(payload))?;
        self.put(&frame)?;
        self.frame = frame;
        self.frames = self.frames.saturating_add(1);
        Ok(())
    }

    fn put(&mut self, bytes: &[u8]) -> Result<(), DiskError> {
        let written = self.file.append(bytes);
        written.map_err(|cause| DiskError::from_io(FileAction::Write, self.name, cause))?;
        self.length = self.length.saturating_add(bytes.len() as u64);
        Ok(())
    }
}

/// How many of the first entries go into one record of about `chunk_bytes`; at least one.
fn leading_count(entries: &[StoredEntry], chunk_bytes: usize) -> usize {
    /// Index, term, kind and length of an entry, in bytes.
    const ENTRY_OVERHEAD: usize = 8 + 8 + 1 + 4;
    let mut bytes: usize = 0;
    let mut count = 0;
    for entry in entries {
        bytes = bytes.saturating_add(ENTRY_OVERHEAD).saturating_add(entry.payload.len());
        count += 1;
        if bytes >= chunk_bytes {
            break;
        }
    }
    count
}
