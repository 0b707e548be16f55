//! Configurations as changes of earlier ones. Volatile: what is not known any more is sent whole.

use std::collections::{BTreeMap, VecDeque};

use ruddervalve_configuration::digest;
use ruddervalve_protocol::{BodyPart, ConfigurationChange, ConfigurationUpdate};
use ruddervalve_runtime::difference;

/// A change that takes more than this part of the body is not worth it.
const WORTHWHILE_PART: usize = 2;

/// The newest configurations, and how the newest follows from the others.
#[derive(Debug)]
pub struct ConfigurationChanges {
    /// By rising version.
    newest: VecDeque<ConfigurationUpdate>,
    /// Bytes that the bodies may take together; the newest is kept whatever it takes.
    most_bytes: usize,
    /// The changes to the newest that were asked for, by their base; none where the whole body is better.
    changes: BTreeMap<u64, Option<ConfigurationChange>>,
}

impl ConfigurationChanges {
    /// Without any configuration yet.
    pub fn new(most_bytes: usize) -> Self {
        Self { newest: VecDeque::new(), most_bytes, changes: BTreeMap::new() }
    }

    /// This configuration is in force from now on.
    pub fn note(&mut self, update: &ConfigurationUpdate) {
        let is_newer = self.newest.back().is_none_or(|known| known.version < update.version);
        if !is_newer {
            return;
        }
        self.changes.clear();
        self.newest.push_back(update.clone());
        while self.newest.len() > 1 && self.bytes() > self.most_bytes {
            self.newest.pop_front();
        }
    }

    /// How the newest configuration follows from this one, if that is known and takes less than all of it.
    pub fn change_from(&mut self, base: u64) -> Option<ConfigurationChange> {
        if let Some(known) = self.changes.get(&base) {
            return known.clone();
        }
        let change = self.work_out(base);
        self.changes.insert(base, change.clone());
        change
    }

    fn work_out(&self, base: u64) -> Option<ConfigurationChange> {
        let base = self.newest.iter().find(|known| known.version == base)?;
        let newest = self.newest.back().filter(|newest| newest.version > base.version)?;
        let parts = difference(base.body.as_slice(), newest.body.as_slice());
        let change = ConfigurationChange {
            base: base.version,
            version: newest.version,
            digest: digest(newest.body.as_slice()),
            parts,
        };
        (change_bytes(&change) <= newest.body.len() / WORTHWHILE_PART).then_some(change)
    }

    fn bytes(&self) -> usize {
        self.newest.iter().map(|known| known.body.len()).sum()
    }
}

/// What a change takes on its way, roughly.
pub fn change_bytes(change: &ConfigurationChange) -> usize {
    let part_bytes = |part: &BodyPart| match part {
        BodyPart::Kept { .. } => size_of::<BodyPart>(),
        BodyPart::New(bytes) => size_of::<BodyPart>() + bytes.len(),
    };
    change.parts.iter().map(part_bytes).sum()
}
