//! A scripted history, what it must leave behind, and a driver that plays it until something fails.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;

use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{
    CheckpointDone, CheckpointJob, DiskError, Folder, GroupState, Journal, Opened, Options, ProcessState,
    Record, StoredEntry, StoredHardState, StoredLogPosition, StoredSnapshot, open,
};
use ruddervalve_protocol::{Blob, GroupId, ReplicaId};

pub const IDENTITY: ReplicaId = ReplicaId(0x1234_5678_9abc_def0);

/// Small, so that a checkpoint takes several writes.
pub const OPTIONS_CHUNK_BYTES: usize = 700;

pub fn options() -> Options {
    Options { chunk_bytes: OPTIONS_CHUNK_BYTES, ..Options::default() }
}

pub fn open_folder(folder: &FaultyFolder) -> Result<Opened, DiskError> {
    open(Arc::new(folder.clone()), options())
}

pub fn empty_state() -> ProcessState {
    ProcessState { identity: IDENTITY, groups: Default::default() }
}

pub fn blob(length: usize, fill: u8) -> Blob {
    Blob::from((0..length).map(|place| fill.wrapping_add(place as u8)).collect::<Vec<u8>>())
}

pub fn entry(index: u64, term: u64, length: usize) -> StoredEntry {
    StoredEntry { index, term, kind: (index % 3) as u8, payload: blob(length, index as u8) }
}

pub fn entries(group: u32, indices: std::ops::Range<u64>, term: u64, length: usize) -> Record {
    Record::Entries {
        group: GroupId(group),
        entries: indices.map(|index| entry(index, term, length)).collect(),
    }
}

pub fn hard_state(group: u32, term: u64, vote: Option<u64>) -> Record {
    Record::HardState { group: GroupId(group), state: StoredHardState { term, vote: vote.map(ReplicaId) } }
}

pub fn founded(group: u32) -> Record {
    Record::Founded { group: GroupId(group), membership: blob(24, group as u8) }
}

pub fn snapshot(group: u32, index: u64, term: u64, length: usize) -> Record {
    let snapshot =
        StoredSnapshot { index, term, membership: blob(24, group as u8), data: blob(length, index as u8) };
    Record::Snapshot { group: GroupId(group), snapshot }
}

/// The replica leaves a group in a term, having voted for `vote`, with a log up to an index of the term before.
pub fn left(group: u32, term: u64, vote: Option<u64>, index: u64) -> Record {
    let state = StoredHardState { term, vote: vote.map(ReplicaId) };
    let floor = StoredLogPosition { term: term - 1, index };
    Record::Left { group: GroupId(group), state, floor }
}

/// What records make of a state, written down apart from the crate's own code.
pub fn apply(state: &mut ProcessState, records: &[Record]) {
    for record in records {
        match record.clone() {
            Record::HardState { group, state: hard_state } => {
                group_state(state, group).hard_state = hard_state
            }
            Record::Entries { group, entries } => {
                let group_state = group_state(state, group);
                for entry in entries {
                    group_state.entries.retain(|stored| stored.index < entry.index);
                    group_state.entries.push(entry);
                }
            }
            Record::Snapshot { group, snapshot } => {
                let group_state = group_state(state, group);
                group_state.snapshot = Some(snapshot);
                group_state.entries = Vec::new();
            }
            Record::Founded { group, membership } => group_state(state, group).founded = Some(membership),
            Record::Left { group, state: hard_state, floor } => {
                let left = group_state(state, group);
                left.founded = None;
                left.hard_state = hard_state;
                left.floor = Some(floor);
                left.snapshot = None;
                left.entries = Vec::new();
            }
        }
    }
}

fn group_state(state: &mut ProcessState, group: GroupId) -> &mut GroupState {
    state.groups.entry(group).or_default()
}

/// One step of a script.
#[derive(Debug, Clone)]
pub enum Step {
    Append(Vec<Record>),
    Sync,
    Begin,
    Run,
    Finish,
}

/// A history with all kinds of records, batches of several frames, and checkpoints during which the log goes on.
pub fn script() -> Vec<Step> {
    use Step::{Append, Begin, Finish, Run, Sync};
    vec![
        Append(vec![founded(0), hard_state(0, 1, Some(7))]),
        Sync,
        Append(vec![entries(0, 1..4, 1, 300)]),
        Append(vec![founded(1), entries(1, 1..2, 1, 1400)]),
        Append(vec![hard_state(1, 2, None), entries(1, 2..3, 2, 10)]),
        Sync,
        Begin,
        Append(vec![entries(0, 3..6, 2, 90)]),
        Sync,
        Run,
        Append(vec![hard_state(0, 2, Some(9))]),
        Finish,
        Sync,
        Append(vec![snapshot(2, 40, 3, 1700)]),
        Append(vec![entries(2, 41..44, 3, 200), hard_state(2, 3, None)]),
        Sync,
        Append(vec![left(1, 3, Some(5), 3)]),
        Begin,
        Run,
        Finish,
        Append(vec![entries(0, 6..8, 2, 40)]),
        Sync,
        Begin,
        // The replica joins the group that it had left again.
        Append(vec![hard_state(1, 4, None), snapshot(1, 9, 4, 500), entries(1, 10..12, 4, 100)]),
        Sync,
        Append(vec![snapshot(0, 7, 2, 900), entries(0, 8..9, 3, 30)]),
        Run,
        Append(vec![left(1, 6, Some(7), 11)]),
        Sync,
        Finish,
        Append(vec![entries(2, 43..46, 4, 600)]),
        Sync,
    ]
}

/// What a process did: all states that it went through, and how much of that it was told is durable.
#[derive(Debug, Clone)]
pub struct History {
    /// The states, the first before anything was appended.
    pub states: Vec<ProcessState>,
    /// The index of the last state that is durable for certain.
    pub durable: usize,
}

impl History {
    pub fn from_state(state: ProcessState) -> Self {
        Self { states: vec![state], durable: 0 }
    }

    pub fn newest(&self) -> &ProcessState {
        self.states.last().expect("there is always one state")
    }

    /// Whether a recovered state has all that is durable and is one of the states that there were.
    pub fn allows(&self, state: &ProcessState) -> bool {
        self.states.iter().skip(self.durable).any(|known| known == state)
    }
}

/// A journal and what it must hold.
pub struct Driver {
    pub journal: Journal,
    pub history: History,
    job: Option<CheckpointJob>,
    done: Option<CheckpointDone>,
}

impl Driver {
    pub fn new(journal: Journal, state: ProcessState) -> Self {
        Self { journal, history: History::from_state(state), job: None, done: None }
    }

    /// Opens, founds if need be, and resumes otherwise.
    pub fn start(folder: &FaultyFolder) -> Result<Self, DiskError> {
        let opened = open_folder(folder)?;
        match opened.state.clone() {
            None => Ok(Self::new(opened.found(IDENTITY)?, empty_state())),
            Some(state) => Ok(Self::new(opened.resume()?, state)),
        }
    }

    pub fn append(&mut self, records: &[Record]) {
        self.journal.append(records);
        let mut state = self.history.newest().clone();
        apply(&mut state, records);
        self.history.states.push(state);
    }

    pub fn sync(&mut self) -> Result<(), DiskError> {
        self.journal.sync()?;
        self.history.durable = self.history.states.len() - 1;
        Ok(())
    }

    pub fn begin(&mut self) -> Result<(), DiskError> {
        self.job = Some(self.journal.begin_checkpoint(self.history.newest())?);
        self.history.durable = self.history.states.len() - 1;
        Ok(())
    }

    pub fn run_job(&mut self) -> Result<(), DiskError> {
        if let Some(job) = &mut self.job {
            self.done = Some(job.run()?);
        }
        Ok(())
    }

    pub fn finish(&mut self) {
        if let Some(done) = self.done.take() {
            self.journal.finish_checkpoint(done);
        }
    }

    pub fn step(&mut self, step: &Step) -> Result<(), DiskError> {
        match step {
            Step::Append(records) => self.append(records),
            Step::Sync => self.sync()?,
            Step::Begin => self.begin()?,
            Step::Run => self.run_job()?,
            Step::Finish => self.finish(),
        }
        Ok(())
    }

    /// Plays steps until one fails.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), DiskError> {
        steps.iter().try_for_each(|step| self.step(step))
    }

    /// A whole checkpoint.
    pub fn checkpoint(&mut self) -> Result<(), DiskError> {
        self.begin()?;
        self.run_job()?;
        self.finish();
        Ok(())
    }
}

/// A folder in which the whole script was played.
pub fn played() -> (FaultyFolder, History) {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).expect("the folder is empty");
    driver.play(&script()).expect("nothing fails");
    let history = driver.history;
    (folder, history)
}

/// The bytes of each file, by name.
pub fn contents(folder: &FaultyFolder) -> Vec<(String, Vec<u8>)> {
    let mut names = folder.list().expect("the folder can be listed");
    names.sort();
    let read = |name: String| {
        let bytes = folder.read(&name).expect("the file can be read").expect("the file is there");
        (name, bytes)
    };
    names.into_iter().map(read).collect()
}
