//! The worker on real threads.

mod common;

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use common::{IDENTITY, apply, empty_state, entries, open_folder, options};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{Completion, DataFile, DiskWorker, Folder, ProcessState, open};

fn start(folder: Arc<dyn Folder>) -> (DiskWorker, Receiver<Completion>) {
    let journal = open(folder, options()).unwrap().found(IDENTITY).unwrap();
    let (sender, receiver) = channel();
    let sender = Mutex::new(sender);
    let worker = DiskWorker::start(journal, move |completion| {
        let _ = sender.lock().unwrap().send(completion);
    });
    (worker, receiver)
}

fn state_of(records: &[ruddervalve_disk::Record]) -> ProcessState {
    let mut state = empty_state();
    apply(&mut state, records);
    state
}

#[test]
fn all_that_waits_for_a_stalled_disk_is_synced_together() {
    const SUBMISSIONS: u64 = 200;
    let folder = FaultyFolder::new();
    let (worker, completions) = start(Arc::new(folder.clone()));
    let before = folder.syncs();
    folder.stall();
    for index in 1..=SUBMISSIONS {
        worker.submit(vec![entries(1, index..index + 1, 1, 100)], index);
    }
    folder.unstall();
    for expected in 1..=SUBMISSIONS {
        assert!(matches!(completions.recv().unwrap(), Completion::Written { ticket } if ticket == expected));
    }
    worker.shutdown();
    // One batch may have been taken before the rest was there.
    assert!(folder.syncs() - before <= 2);
    folder.lose_power(0);
    let records: Vec<_> = (1..=SUBMISSIONS).map(|index| entries(1, index..index + 1, 1, 100)).collect();
    assert_eq!(open_folder(&folder).unwrap().state, Some(state_of(&records)));
}

/// A folder that makes no slot before it is told to.
struct GatedFolder {
    folder: FaultyFolder,
    gate: Mutex<Option<Receiver<()>>>,
}

impl GatedFolder {
    fn new(folder: FaultyFolder) -> (Self, Sender<()>) {
        let (sender, receiver) = channel();
        (Self { folder, gate: Mutex::new(Some(receiver)) }, sender)
    }
}

impl Folder for GatedFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        // The founding writes the other slot.
        if name == "slot-1"
            && let Some(gate) = self.gate.lock().unwrap().take()
        {
            gate.recv().unwrap();
        }
        self.folder.create(name)
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        self.folder.open_append(name)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.folder.remove(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)
    }

    fn sync(&self) -> io::Result<()> {
        self.folder.sync()
    }
}

#[test]
fn records_are_synced_while_a_checkpoint_is_written() {
    let folder = FaultyFolder::new();
    let (gated, gate) = GatedFolder::new(folder.clone());
    let (worker, completions) = start(Arc::new(gated));
    let first = entries(1, 1..4, 1, 900);
    worker.submit(vec![first.clone()], 1);
    worker.checkpoint(state_of(std::slice::from_ref(&first)), 2);
    let second = entries(1, 4..6, 1, 50);
    worker.submit(vec![second.clone()], 3);
    assert!(matches!(completions.recv().unwrap(), Completion::Written { ticket: 1 }));
    assert!(matches!(completions.recv().unwrap(), Completion::Written { ticket: 3 }));
    assert!(worker.checkpoint_running());
    assert!(worker.bytes_since_checkpoint() > 2700);
    gate.send(()).unwrap();
    assert!(
        matches!(completions.recv().unwrap(), Completion::CheckpointDone { ticket: 2, bytes } if bytes > 2700)
    );
    assert!(!worker.checkpoint_running());
    assert!(worker.bytes_since_checkpoint() < 300);
    worker.shutdown();
    folder.lose_power(0);
    let opened = open_folder(&folder).unwrap();
    assert_eq!(opened.state, Some(state_of(&[first, second])));
    assert_eq!(opened.report.slot.as_deref(), Some("slot-1"));
}

#[test]
fn a_full_disk_is_tried_again_until_there_is_room() {
    let folder = FaultyFolder::new();
    let (worker, completions) = start(Arc::new(folder.clone()));
    folder.set_capacity(Some(folder.used_bytes() + 50));
    let first = entries(1, 1..2, 1, 100);
    worker.submit(vec![first.clone()], 1);
    assert!(matches!(completions.recv().unwrap(), Completion::Full { ticket: 1 }));
    // Told at the next try, without another call.
    let second = entries(1, 2..3, 1, 100);
    worker.submit(vec![second.clone()], 2);
    assert!(matches!(completions.recv().unwrap(), Completion::Full { ticket: 2 }));
    folder.set_capacity(None);
    assert!(matches!(completions.recv().unwrap(), Completion::Written { ticket: 1 }));
    assert!(matches!(completions.recv().unwrap(), Completion::Written { ticket: 2 }));
    worker.shutdown();
    folder.lose_power(0);
    assert_eq!(open_folder(&folder).unwrap().state, Some(state_of(&[first, second])));
}

#[test]
fn a_worker_that_is_dropped_still_writes_what_is_queued() {
    let folder = FaultyFolder::new();
    let (worker, completions) = start(Arc::new(folder.clone()));
    worker.submit(vec![entries(1, 1..2, 1, 10)], 1);
    drop(worker);
    assert!(matches!(completions.recv().unwrap(), Completion::Written { ticket: 1 }));
    // The channel closes once both threads have ended.
    assert!(completions.recv().is_err());
}
