//! The files of a faulty folder: what a process sees, and what is durable of it.

use std::collections::BTreeMap;

use super::random::Random;

/// What a disk writes whole or not at all, in bytes.
const SECTOR_BYTES: usize = 512;

/// A file, whatever its name is.
pub(super) type FileId = u64;

/// A change of a file that no sync has covered.
#[derive(Debug, Clone)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

/// A file's bytes.
#[derive(Debug, Clone, Default)]
struct FileData {
    current: Vec<u8>,
    durable: Vec<u8>,
    changes: Vec<Change>,
}

/// A change of names that no sync of the folder has covered.
#[derive(Debug, Clone)]
enum NameChange {
    Made { name: String, file: FileId },
    Removed { name: String },
    Renamed { from: String, to: String, file: FileId },
}

/// What a loss of power does to changes that no sync has covered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    AllLost,
    AllKept,
    /// Each is there, missing or torn by itself.
    Each,
}

/// All files and names.
#[derive(Debug, Clone, Default)]
pub(super) struct Volume {
    files: BTreeMap<FileId, FileData>,
    names: BTreeMap<String, FileId>,
    durable_names: BTreeMap<String, FileId>,
    name_changes: Vec<NameChange>,
    next_file: FileId,
}

impl Volume {
    pub(super) fn list(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    pub(super) fn find(&self, name: &str) -> Option<FileId> {
        self.names.get(name).copied()
    }

    pub(super) fn read(&self, name: &str) -> Option<&[u8]> {
        let file = self.files.get(&self.find(name)?)?;
        Some(&file.current)
    }

    /// How many bytes all files hold.
    pub(super) fn bytes(&self) -> u64 {
        let files = self.names.values().filter_map(|file| self.files.get(file));
        files.map(|file| file.current.len() as u64).sum()
    }

    /// Makes a file or empties the one there is.
    pub(super) fn create(&mut self, name: &str) -> FileId {
        if let Some(file) = self.find(name) {
            self.set_len(file, 0);
            return file;
        }
        let file = self.next_file;
        self.next_file += 1;
        self.files.insert(file, FileData::default());
        self.names.insert(name.to_owned(), file);
        self.name_changes.push(NameChange::Made { name: name.to_owned(), file });
        file
    }

    pub(super) fn append(&mut self, file: FileId, bytes: &[u8]) {
        let Some(data) = self.files.get_mut(&file) else { return };
        let change = Change::Write { offset: data.current.len(), bytes: bytes.to_vec() };
        data.current.extend_from_slice(bytes);
        data.changes.push(change);
    }

    pub(super) fn set_len(&mut self, file: FileId, length: usize) {
        let Some(data) = self.files.get_mut(&file) else { return };
        data.current.resize(length, 0);
        data.changes.push(Change::SetLength(length));
    }

    pub(super) fn sync_file(&mut self, file: FileId) {
        let Some(data) = self.files.get_mut(&file) else { return };
        data.durable = data.current.clone();
        data.changes.clear();
    }

    /// Whether there was such a file.
    pub(super) fn remove(&mut self, name: &str) -> bool {
        let removed = self.names.remove(name).is_some();
        if removed {
            self.name_changes.push(NameChange::Removed { name: name.to_owned() });
        }
        removed
    }

    /// Whether there was such a file.
    pub(super) fn rename(&mut self, from: &str, to: &str) -> bool {
        let Some(file) = self.names.remove(from) else { return false };
        self.names.insert(to.to_owned(), file);
        self.name_changes.push(NameChange::Renamed { from: from.to_owned(), to: to.to_owned(), file });
        true
    }

    pub(super) fn sync_names(&mut self) {
        self.durable_names = self.names.clone();
        self.name_changes.clear();
    }

    /// Changes one durable byte; `false` if the file has none there.
    pub(super) fn damage(&mut self, name: &str, offset: usize, mask: u8) -> bool {
        let Some(data) = self.find(name).and_then(|file| self.files.get_mut(&file)) else { return false };
        let Some(byte) = data.current.get_mut(offset) else { return false };
        *byte ^= mask;
        data.durable = data.current.clone();
        data.changes.clear();
        true
    }

    /// Leaves what is durable, and of the rest what the seed says.
    pub(super) fn lose_power(&mut self, seed: u64) {
        let mut random = Random::new(seed);
        let fate = match seed % 4 {
            0 => Fate::AllLost,
            1 => Fate::AllKept,
            _ => Fate::Each,
        };
        let mut names = std::mem::take(&mut self.durable_names);
        for change in std::mem::take(&mut self.name_changes) {
            if fate == Fate::AllKept || (fate == Fate::Each && random.coin()) {
                change.apply(&mut names);
            }
        }
        self.files.retain(|file, _| names.values().any(|named| named == file));
        for data in self.files.values_mut() {
            data.lose_power(fate, &mut random);
        }
        self.names = names.clone();
        self.durable_names = names;
    }
}

impl NameChange {
    fn apply(self, names: &mut BTreeMap<String, FileId>) {
        match self {
            Self::Made { name, file } => {
                names.insert(name, file);
            }
            Self::Removed { name } => {
                names.remove(&name);
            }
            Self::Renamed { from, to, file } => {
                names.remove(&from);
                names.insert(to, file);
            }
        }
    }
}

impl FileData {
    fn lose_power(&mut self, fate: Fate, random: &mut Random) {
        let mut bytes = std::mem::take(&mut self.durable);
        for change in std::mem::take(&mut self.changes) {
            match fate {
                Fate::AllLost => {}
                Fate::AllKept => change.apply(&mut bytes),
                Fate::Each => change.apply_partly(&mut bytes, random),
            }
        }
        self.current = bytes.clone();
        self.durable = bytes;
    }
}

impl Change {
    fn apply(&self, target: &mut Vec<u8>) {
        match self {
            Self::Write { offset, bytes } => write_at(target, *offset, bytes),
            Self::SetLength(length) => target.resize(*length, 0),
        }
    }

    /// Applies the change wholly, not at all, up to a byte, or in some of its sectors.
    fn apply_partly(&self, target: &mut Vec<u8>, random: &mut Random) {
        match (random.below(4), self) {
            (0, _) => {}
            (1, Self::Write { offset, bytes }) => {
                let kept = random.below(bytes.len() as u64) as usize;
                write_at(target, *offset, bytes.get(..kept).unwrap_or_default());
            }
            (2, Self::Write { offset, bytes }) => write_sectors(target, *offset, bytes, random),
            _ => self.apply(target),
        }
    }
}

/// Writes bytes; a hole before them reads as zeros.
fn write_at(target: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset.saturating_add(bytes.len());
    if target.len() < end {
        target.resize(end, 0);
    }
    for (place, byte) in target.iter_mut().skip(offset).zip(bytes) {
        *place = *byte;
    }
}

/// Writes some of the sectors; the file has its new length.
fn write_sectors(target: &mut Vec<u8>, offset: usize, bytes: &[u8], random: &mut Random) {
    let end = offset.saturating_add(bytes.len());
    if target.len() < end {
        target.resize(end, 0);
    }
    for (number, sector) in bytes.chunks(SECTOR_BYTES).enumerate() {
        if random.coin() {
            write_at(target, offset.saturating_add(number.saturating_mul(SECTOR_BYTES)), sector);
        }
    }
}
