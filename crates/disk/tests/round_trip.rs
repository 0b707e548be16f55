//! What is written is read back, on the faulty folder without faults and on a real one.

mod common;

use std::sync::Arc;

use common::{
    Driver, IDENTITY, empty_state, entries, founded, hard_state, left, open_folder, options, played, script,
    snapshot,
};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{
    DiskError, Folder, GroupState, Options, ProcessState, RealFolder, StoredHardState, StoredLogPosition,
    inspect, open,
};
use ruddervalve_protocol::{GroupId, ReplicaId};

#[test]
fn an_empty_folder_has_no_state() {
    let opened = open_folder(&FaultyFolder::new()).unwrap();
    assert_eq!(opened.state, None);
    assert_eq!(opened.report, Default::default());
}

#[test]
fn an_empty_folder_cannot_be_resumed() {
    let opened = open_folder(&FaultyFolder::new()).unwrap();
    assert!(matches!(opened.resume().map(|_| ()), Err(DiskError::NotFounded)));
}

#[test]
fn a_founding_is_durable_when_it_returns() {
    let folder = FaultyFolder::new();
    drop(open_folder(&folder).unwrap().found(IDENTITY).unwrap());
    folder.lose_power(0);
    assert_eq!(open_folder(&folder).unwrap().state, Some(empty_state()));
}

#[test]
fn a_founded_folder_cannot_be_founded_again() {
    let folder = FaultyFolder::new();
    drop(open_folder(&folder).unwrap().found(IDENTITY).unwrap());
    let refused = open_folder(&folder).unwrap().found(ReplicaId(2)).map(|_| ());
    assert!(matches!(refused, Err(DiskError::AlreadyFounded { identity: IDENTITY })));
}

#[test]
fn a_history_is_read_back_after_each_step() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    for step in script() {
        driver.step(&step).unwrap();
        let copy = folder.copy();
        copy.lose_power(0);
        let state = open_folder(&copy).unwrap().state.unwrap();
        assert_eq!(&state, &driver.history.states[driver.history.durable], "after {step:?}");
    }
}

#[test]
fn a_resumed_journal_goes_on() {
    let (folder, history) = played();
    let mut driver = Driver::start(&folder).unwrap();
    assert_eq!(driver.history.newest(), history.newest());
    driver.append(&[entries(1, 1..3, 9, 100)]);
    driver.sync().unwrap();
    driver.checkpoint().unwrap();
    driver.append(&[entries(1, 3..5, 9, 100)]);
    driver.sync().unwrap();
    folder.lose_power(0);
    assert_eq!(open_folder(&folder).unwrap().state.as_ref(), Some(driver.history.newest()));
}

#[test]
fn checkpoints_take_turns_and_old_logs_go() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let mut slots = Vec::new();
    for round in 0..4 {
        driver.append(&[entries(1, round + 1..round + 2, 1, 50)]);
        driver.checkpoint().unwrap();
        let report = open_folder(&folder).unwrap().report;
        assert_eq!((report.logs, report.frames, report.leftovers), (1, 0, vec![]));
        slots.push(report.slot.unwrap());
        let logs = folder.list().unwrap().into_iter().filter(|name| name.starts_with("log-")).count();
        assert_eq!(logs, 1);
    }
    assert_eq!(slots, ["slot-1", "slot-0", "slot-1", "slot-0"]);
}

#[test]
fn a_batch_costs_one_sync() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let before = (folder.operations(), folder.syncs());
    for index in 1..50 {
        driver.append(&[entries(1, index..index + 1, 1, 100)]);
    }
    driver.sync().unwrap();
    driver.sync().unwrap();
    assert_eq!((folder.operations(), folder.syncs()), (before.0 + 2, before.1 + 1));
}

#[test]
fn sizes_tell_what_recovery_would_read() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let empty = driver.journal.log_bytes();
    driver.append(&[entries(1, 1..9, 1, 1000)]);
    assert!(driver.journal.log_bytes() > empty + 8000);
    driver.begin().unwrap();
    assert!(driver.journal.log_bytes() > empty + 8000);
    driver.run_job().unwrap();
    driver.finish();
    assert!(driver.journal.log_bytes() <= empty);
    assert!(driver.journal.checkpoint_bytes() > 8000);
    assert!(folder.used_bytes() > 8000);
}

#[test]
fn a_checkpoint_of_another_process_is_refused() {
    let folder = FaultyFolder::new();
    let mut journal = open_folder(&folder).unwrap().found(IDENTITY).unwrap();
    let foreign = ProcessState { identity: ReplicaId(5), groups: Default::default() };
    let refused = journal.begin_checkpoint(&foreign).map(|_| ());
    assert!(matches!(refused, Err(DiskError::ForeignState { expected: IDENTITY, found: ReplicaId(5) })));
}

#[test]
fn overlapping_jobs_never_write_over_the_newest_slot() {
    let folder = FaultyFolder::new();
    let mut journal = open_folder(&folder).unwrap().found(IDENTITY).unwrap();
    let mut state = empty_state();
    let mut jobs = Vec::new();
    for index in 1..4 {
        let records = [entries(1, index..index + 1, 1, 400)];
        journal.append(&records);
        common::apply(&mut state, &records);
        jobs.push(journal.begin_checkpoint(&state).unwrap());
    }
    // Run in another order than begun: the first two find a newer slot or write the other one.
    for job in [1, 2, 0] {
        let done = jobs[job].run().unwrap();
        journal.finish_checkpoint(done);
        let copy = folder.copy();
        copy.lose_power(0);
        assert_eq!(open_folder(&copy).unwrap().state.as_ref(), Some(&state));
    }
    assert_eq!(open_folder(&folder).unwrap().report.slot_generation, 4);
}

#[test]
fn a_late_job_does_not_put_the_newest_slot_at_risk() {
    let mut operation = 1;
    loop {
        let folder = FaultyFolder::new();
        let mut driver = Driver::start(&folder).unwrap();
        let mut jobs = Vec::new();
        for index in 1..3 {
            driver.append(&[entries(1, index..index + 1, 1, 400)]);
            jobs.push(driver.journal.begin_checkpoint(driver.history.newest()).unwrap());
        }
        for mut job in jobs.into_iter().rev() {
            let done = job.run().unwrap();
            driver.journal.finish_checkpoint(done);
        }
        driver.begin().unwrap();
        folder.lose_power_at(folder.operations() + operation);
        let run = driver.run_job();
        if !folder.power_is_gone() {
            run.unwrap();
            break;
        }
        for seed in 0..12 {
            let copy = folder.copy();
            copy.lose_power(seed);
            let state = open_folder(&copy).unwrap().state;
            assert_eq!(state.as_ref(), Some(driver.history.newest()), "operation {operation}, seed {seed}");
        }
        operation += 1;
    }
    assert!(operation > 3);
}

#[test]
fn files_of_other_names_stay_and_are_told() {
    let (folder, _) = played();
    for name in ["notes", "log-01", "log-x", "slot-2"] {
        folder.create(name).unwrap();
    }
    let opened = open_folder(&folder).unwrap();
    assert_eq!(opened.report.unknown, ["log-01", "log-x", "notes", "slot-2"]);
    opened.resume().unwrap();
    assert!(folder.list().unwrap().contains(&"notes".to_owned()));
}

#[test]
fn an_inspection_tells_files_and_groups_and_changes_nothing() {
    let (folder, history) = played();
    let before = common::contents(&folder);
    let operations = folder.operations();
    let inspection = inspect(&folder);
    assert_eq!(operations, folder.operations());
    assert_eq!(before, common::contents(&folder));
    assert!(inspection.errors.is_empty());
    assert_eq!(inspection.identity, Some(IDENTITY));
    assert_eq!(inspection.slots.len(), 2);
    assert!(inspection.slots.iter().all(|slot| slot.damage.is_none()));
    assert!(inspection.logs.iter().all(|log| log.damage.is_none() && log.whole_bytes == log.bytes));
    let group = inspection.groups.iter().find(|group| group.group == GroupId(2)).unwrap();
    assert_eq!(
        (group.term, group.snapshot_index, group.first_index, group.last_index),
        (3, Some(40), Some(41), Some(45))
    );
    assert_eq!(inspection.groups.len(), history.newest().groups.len());
}

#[test]
fn an_inspection_of_a_damaged_folder_names_the_file() {
    let (folder, _) = played();
    let newest = open_folder(&folder).unwrap().report.slot.unwrap();
    assert!(folder.damage(&newest, 60, 1));
    let inspection = inspect(&folder);
    let slot = inspection.slots.iter().find(|slot| slot.file == newest).unwrap();
    assert!(slot.damage.is_some());
    assert!(inspection.errors.iter().any(|error| error.to_string().contains(&newest)));
}

#[test]
fn a_real_folder_holds_the_same() {
    let path = std::env::temp_dir().join(format!("disk-round-trip-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    let folder: Arc<dyn Folder> = Arc::new(RealFolder::new(&path));
    let journal = open(Arc::clone(&folder), options()).unwrap().found(IDENTITY).unwrap();
    let mut driver = Driver::new(journal, empty_state());
    driver.play(&script()).unwrap();
    let opened = open(Arc::clone(&folder), Options::default()).unwrap();
    assert_eq!(opened.state.as_ref(), Some(driver.history.newest()));
    assert_eq!(opened.report.torn_bytes, 0);
    let newest = std::fs::read_dir(&path).unwrap().map(|entry| entry.unwrap().path());
    let log = newest.filter(|path| path.to_string_lossy().contains("log-")).max().unwrap();
    let whole = std::fs::read(&log).unwrap();
    std::fs::write(&log, [whole.as_slice(), &[1, 2, 3]].concat()).unwrap();
    let opened = open(Arc::clone(&folder), Options::default()).unwrap();
    assert_eq!(opened.report.torn_bytes, 3);
    let mut resumed = Driver::new(opened.resume().unwrap(), driver.history.newest().clone());
    assert_eq!(std::fs::read(&log).unwrap(), whole);
    resumed.append(&[founded(9), snapshot(9, 3, 3, 3)]);
    resumed.sync().unwrap();
    let opened = open(folder, Options::default()).unwrap();
    assert_eq!(opened.state.as_ref(), Some(resumed.history.newest()));
    std::fs::remove_dir_all(&path).unwrap();
}

/// Group 1 as it is recovered from the log, and then from a checkpoint.
fn from_log_and_slot(folder: &FaultyFolder, driver: &mut Driver) -> [GroupState; 2] {
    let recovered = || open_folder(folder).unwrap().state.unwrap().groups.remove(&GroupId(1)).unwrap();
    let from_log = recovered();
    driver.checkpoint().unwrap();
    [from_log, recovered()]
}

#[test]
fn a_group_that_was_left_keeps_its_vote_and_the_end_of_its_log() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[founded(1), hard_state(1, 4, Some(7)), entries(1, 1..9, 4, 100)]);
    driver.append(&[left(1, 5, Some(8), 8)]);
    driver.sync().unwrap();
    for group in from_log_and_slot(&folder, &mut driver) {
        assert_eq!(group.hard_state, StoredHardState { term: 5, vote: Some(ReplicaId(8)) });
        assert_eq!(group.floor, Some(StoredLogPosition { term: 4, index: 8 }));
        assert!(group.is_left());
        assert!(inspect(&folder).groups.iter().all(|group| group.left && group.entries == 0));
    }
}

#[test]
fn a_group_that_was_left_and_joined_again_keeps_the_end_of_its_earlier_log() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[left(1, 5, Some(8), 8), hard_state(1, 6, None), snapshot(1, 20, 6, 50)]);
    driver.sync().unwrap();
    for group in from_log_and_slot(&folder, &mut driver) {
        assert_eq!(group.hard_state, StoredHardState { term: 6, vote: None });
        assert_eq!(group.floor, Some(StoredLogPosition { term: 4, index: 8 }));
        assert_eq!(group.snapshot.as_ref().map(|snapshot| snapshot.index), Some(20));
        assert!(!group.is_left());
    }
}
