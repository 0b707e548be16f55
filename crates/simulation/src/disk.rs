//! A machine's disk: the journal of the product on a folder in memory, with syncs that take their time.

use std::sync::Arc;

use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{CheckpointJob, DiskError, Journal, Opened, Options, ProcessState, Record, open};
use ruddervalve_protocol::{GroupId, ReplicaId};
use ruddervalve_replication::Checkpoint;

/// A checkpoint under way and what it covers.
struct RunningCheckpoint {
    job: CheckpointJob,
    covered: Vec<(GroupId, u64)>,
}

/// A disk.
pub struct Disk {
    folder: FaultyFolder,
    /// Counts the disks of all machines: one that was lost is replaced by another.
    pub instance: u64,
    journal: Option<Journal>,
    queue: Vec<(Vec<Record>, u64)>,
    syncing: Option<(Vec<Record>, u64)>,
    checkpoint: Option<RunningCheckpoint>,
    /// So many times slower than it should be.
    pub slowness: u64,
    /// No sync ends before this.
    pub stalls_until: u64,
    is_full: bool,
}

impl Disk {
    pub fn new(instance: u64) -> Self {
        let folder = FaultyFolder::new();
        Self {
            folder,
            instance,
            journal: None,
            queue: Vec::new(),
            syncing: None,
            checkpoint: None,
            slowness: 1,
            stalls_until: 0,
            is_full: false,
        }
    }

    /// It holds no more than it does.
    pub fn fill(&mut self) {
        self.is_full = true;
        self.folder.set_capacity(Some(self.folder.used_bytes()));
    }

    /// It does its work again.
    pub fn recover(&mut self) {
        self.is_full = false;
        self.slowness = 1;
        self.stalls_until = 0;
        self.folder.set_capacity(None);
    }

    /// Opens the disk. An empty one is founded under `identity`; true if it was empty.
    pub fn open(&mut self, identity: ReplicaId) -> Result<(ProcessState, bool), DiskError> {
        let mut opened: Opened = open(Arc::new(self.folder.clone()), Options::default())?;
        let (state, journal, is_new) = match opened.state.take() {
            Some(state) => (state, opened.resume()?, false),
            None => (ProcessState { identity, groups: Default::default() }, opened.found(identity)?, true),
        };
        self.journal = Some(journal);
        Ok((state, is_new))
    }

    /// Queues records. True if a sync has to be begun, which ends with [`Disk::synced`].
    pub fn submit(&mut self, records: Vec<Record>, ticket: u64) -> bool {
        self.queue.push((records, ticket));
        self.begin()
    }

    fn begin(&mut self) -> bool {
        let Some(last) = self.queue.last().map(|(_, ticket)| *ticket).filter(|_| self.syncing.is_none())
        else {
            return false;
        };
        let records = std::mem::take(&mut self.queue).into_iter().flat_map(|(records, _)| records).collect();
        self.syncing = Some((records, last));
        true
    }

    /// The sync under way is done: the ticket that is durable, and whether another is begun.
    pub fn synced(&mut self) -> Result<(Option<u64>, bool), DiskError> {
        let Some((records, ticket)) = self.syncing.take() else { return Ok((None, self.begin())) };
        if let Some(journal) = &mut self.journal {
            journal.append(&records);
            if let Err(error) = journal.sync() {
                // Where there is no room, the records stay in the journal and are tried again.
                self.syncing = Some((Vec::new(), ticket));
                return Err(error);
            }
        }
        Ok((Some(ticket), self.begin()))
    }

    /// Whether a checkpoint should be written.
    pub fn wants_checkpoint(&self, bytes: u64) -> bool {
        let grown = |journal: &Journal| journal.log_bytes() >= bytes.max(journal.checkpoint_bytes() * 2);
        !self.is_full && self.checkpoint.is_none() && self.journal.as_ref().is_some_and(grown)
    }

    /// Begins a checkpoint that covers all that was submitted; true if a sync has to be begun as for [`Disk::submit`]. The
    /// slot is written by [`Disk::write_checkpoint`].
    pub fn begin_checkpoint(&mut self, checkpoint: Checkpoint) -> Result<bool, DiskError> {
        let Some(journal) = &mut self.journal else { return Ok(false) };
        let was_syncing = self.syncing.is_some();
        let mut last = None;
        if let Some((records, ticket)) = self.syncing.take() {
            journal.append(&records);
            last = Some(ticket);
        }
        for (records, ticket) in self.queue.drain(..) {
            journal.append(&records);
            last = Some(ticket);
        }
        let job = journal.begin_checkpoint(&checkpoint.state)?;
        self.syncing = last.map(|ticket| (Vec::new(), ticket));
        self.checkpoint = Some(RunningCheckpoint { job, covered: checkpoint.covered });
        Ok(last.is_some() && !was_syncing)
    }

    /// Writes the slot of the checkpoint under way; what it covers.
    pub fn write_checkpoint(&mut self) -> Result<Option<Vec<(GroupId, u64)>>, DiskError> {
        let (Some(mut running), Some(journal)) = (self.checkpoint.take(), &mut self.journal) else {
            return Ok(None);
        };
        match running.job.run() {
            Ok(done) => {
                journal.finish_checkpoint(done);
                Ok(Some(running.covered))
            }
            Err(error) => {
                self.checkpoint = Some(running);
                Err(error)
            }
        }
    }

    /// The process ends; its files stay.
    pub fn kill(&mut self) {
        self.forget();
        self.folder.kill();
    }

    /// The power goes, perhaps during the write under way: at one of its operations, if `during` is given.
    pub fn lose_power(&mut self, during: Option<u64>, seed: u64) {
        if let (Some(step), Some((records, _)), Some(journal)) =
            (during, self.syncing.take(), &mut self.journal)
        {
            self.folder.lose_power_at(self.folder.operations() + 1 + step);
            journal.append(&records);
            let _ = journal.sync();
        }
        self.forget();
        self.folder.lose_power(seed);
    }

    fn forget(&mut self) {
        self.recover();
        self.journal = None;
        self.queue.clear();
        self.syncing = None;
        self.checkpoint = None;
    }
}
