//! Damaged, cut and missing files are told, made up for, or no more than a lost end; they are never served over.

mod common;

use std::io::ErrorKind;

use common::{Driver, History, contents, empty_state, open_folder, script};
use nanoserde::{DeBin, SerBin};
use proptest::prelude::{any, proptest};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{DiskError, Folder, Record, inspect, open};

/// A folder after some steps, all of it durable.
struct Moment {
    folder: FaultyFolder,
    history: History,
    /// The state that was durable before the last batch of the newest log.
    before_last_batch: usize,
    steps: usize,
}

/// The folder after each step of the script, and right after the founding.
fn moments() -> Vec<Moment> {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let mut moments = Vec::new();
    let mut before_last_batch = 0;
    let mut add = |driver: &Driver, before_last_batch, steps| {
        let folder = folder.copy();
        folder.lose_power(0);
        moments.push(Moment { folder, history: driver.history.clone(), before_last_batch, steps });
    };
    add(&driver, 0, 0);
    for (number, step) in script().iter().enumerate() {
        let durable = driver.history.durable;
        driver.step(step).unwrap();
        if driver.history.durable != durable {
            before_last_batch = durable;
        }
        // A new log begins with nothing that could be lost.
        if matches!(step, common::Step::Begin) {
            before_last_batch = driver.history.durable;
        }
        if !matches!(step, common::Step::Append(_)) {
            add(&driver, before_last_batch, number + 1);
        }
    }
    moments
}

fn newest_log(folder: &FaultyFolder) -> String {
    let logs = folder.list().unwrap().into_iter().filter(|name| name.starts_with("log-"));
    logs.max().unwrap()
}

impl Moment {
    fn durable(&self) -> &ruddervalve_disk::ProcessState {
        &self.history.states[self.history.durable]
    }

    /// What a damaged copy of the folder may give: an error, the whole state, or that before the last batch.
    fn check(&self, damaged: &FaultyFolder, in_newest_log: bool, place: &str) {
        let place = format!("after {} steps, {place}", self.steps);
        let opened = match open_folder(damaged) {
            Ok(opened) => opened,
            Err(
                DiskError::SlotDamaged { .. }
                | DiskError::LogDamaged { .. }
                | DiskError::Missing { .. }
                | DiskError::Version { .. },
            ) => return,
            Err(error) => panic!("{place}: {error}"),
        };
        let state = opened.state.as_ref();
        if state == Some(self.durable()) {
            return;
        }
        let last_batch =
            self.history.states.get(self.before_last_batch..self.history.durable).unwrap_or_default();
        let lost_end = in_newest_log
            && opened.report.torn_bytes > 0
            && last_batch.iter().any(|known| Some(known) == state);
        assert!(lost_end, "{place}: {:?}", opened.report);
    }
}

#[test]
fn a_flipped_byte_at_any_place_is_never_served_over() {
    for moment in moments() {
        let newest = newest_log(&moment.folder);
        for (name, bytes) in contents(&moment.folder) {
            for offset in 0..bytes.len() {
                let mask = 1_u8.rotate_left(offset as u32 % 8) | if offset % 3 == 0 { 0x40 } else { 0 };
                let damaged = moment.folder.copy();
                assert!(damaged.damage(&name, offset, mask));
                moment.check(&damaged, name == newest, &format!("{name} at {offset}"));
            }
        }
    }
}

#[test]
fn an_inspection_of_a_flipped_byte_at_any_place_tells_what_opening_tells() {
    let (folder, _) = common::played();
    for (name, bytes) in contents(&folder) {
        for offset in 0..bytes.len() {
            let damaged = folder.copy();
            assert!(damaged.damage(&name, offset, 1));
            let inspection = inspect(&damaged);
            let place = format!("{name} at {offset}");
            match open_folder(&damaged) {
                Ok(opened) => assert_eq!(inspection.report, Some(opened.report), "{place}"),
                Err(error) => assert_eq!(inspection.errors[0].to_string(), error.to_string(), "{place}"),
            }
            let slot = inspection.slots.iter().any(|slot| slot.file == name && slot.damage.is_some());
            let log = inspection.logs.iter().any(|log| log.file == name && log.damage.is_some());
            assert!(slot || log, "{place}");
        }
    }
}

#[test]
fn damage_before_the_last_batch_is_told_with_file_and_offset() {
    let (folder, _) = common::played();
    let newest = newest_log(&folder);
    // Within the first frame's payload.
    assert!(folder.damage(&newest, 40 + 16 + 5, 4));
    match open_folder(&folder).map(|opened| opened.state) {
        Err(DiskError::LogDamaged { file, offset, .. }) => assert_eq!((file, offset), (newest, 40)),
        other => panic!("{other:?}"),
    }
}

/// Copies a folder with one file cut short.
fn with_cut_file(folder: &FaultyFolder, name: &str, length: usize) -> FaultyFolder {
    let copy = folder.copy();
    let mut file = copy.open_append(name).unwrap();
    file.set_len(length as u64).unwrap();
    file.sync().unwrap();
    copy
}

#[test]
fn a_slot_or_older_log_that_is_cut_is_never_served_over() {
    for moment in moments() {
        let newest = newest_log(&moment.folder);
        for (name, bytes) in contents(&moment.folder).into_iter().filter(|(name, _)| *name != newest) {
            for length in 0..bytes.len() {
                let damaged = with_cut_file(&moment.folder, &name, length);
                moment.check(&damaged, false, &format!("{name} cut to {length}"));
            }
        }
    }
}

#[test]
fn the_newest_log_may_be_cut_anywhere_and_gives_a_state_that_was() {
    let (folder, history) = common::played();
    let newest = newest_log(&folder);
    let length = folder.read(&newest).unwrap().unwrap().len();
    for length in 40..length {
        let state = open_folder(&with_cut_file(&folder, &newest, length)).unwrap().state.unwrap();
        assert!(history.states.contains(&state), "cut to {length}");
    }
}

#[test]
fn a_missing_file_is_never_served_over() {
    for moment in moments() {
        let newest = newest_log(&moment.folder);
        let older = contents(&moment.folder).into_iter().map(|(name, _)| name).filter(|name| *name != newest);
        for name in older {
            let damaged = moment.folder.copy();
            damaged.remove(&name).unwrap();
            damaged.sync().unwrap();
            moment.check(&damaged, false, &format!("{name} removed"));
        }
    }
}

#[test]
fn a_log_that_the_newest_slot_needs_must_be_there() {
    let (folder, _) = common::played();
    let newest = newest_log(&folder);
    folder.remove(&newest).unwrap();
    folder.sync().unwrap();
    match open_folder(&folder).map(|opened| opened.state) {
        Err(DiskError::Missing { file }) => assert_eq!(file, newest),
        other => panic!("{other:?}"),
    }
}

/// Copies a file of one folder into another.
fn transplant(from: &FaultyFolder, to: &FaultyFolder, name: &str, new_name: &str) {
    let bytes = from.read(name).unwrap().unwrap();
    let mut file = to.create(new_name).unwrap();
    file.append(&bytes).unwrap();
    file.sync().unwrap();
    to.sync().unwrap();
}

#[test]
fn a_log_of_another_folder_or_generation_is_refused() {
    let folder = FaultyFolder::new();
    drop(open_folder(&folder).unwrap().found(common::IDENTITY).unwrap());
    let other = FaultyFolder::new();
    drop(open_folder(&other).unwrap().found(ruddervalve_protocol::ReplicaId(3)).unwrap());
    let mixed = folder.copy();
    transplant(&other, &mixed, "log-1", "log-1");
    assert!(matches!(open_folder(&mixed).map(|_| ()), Err(DiskError::LogDamaged { .. })));
    let mixed = folder.copy();
    transplant(&folder, &mixed, "log-1", "log-2");
    assert!(matches!(open_folder(&mixed).map(|_| ()), Err(DiskError::LogDamaged { .. })));
}

#[test]
fn an_old_log_that_came_back_is_not_replayed() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[common::entries(1, 1..4, 1, 10)]);
    driver.sync().unwrap();
    let before = folder.copy();
    driver.append(&[common::left(1, 2, None, 3)]);
    driver.checkpoint().unwrap();
    transplant(&before, &folder, "log-1", "log-1");
    let opened = open_folder(&folder).unwrap();
    assert_eq!(opened.state.as_ref(), Some(driver.history.newest()));
    assert_eq!(opened.report.leftovers, ["log-1"]);
    drop(opened.resume().unwrap());
    assert!(!folder.list().unwrap().contains(&"log-1".to_owned()));
}

#[test]
fn a_gap_between_entries_is_told() {
    let folder = FaultyFolder::new();
    let mut journal = open_folder(&folder).unwrap().found(common::IDENTITY).unwrap();
    journal.append(&[common::entries(1, 1..3, 1, 10)]);
    journal.append(&[common::entries(1, 4..5, 1, 10)]);
    journal.sync().unwrap();
    match open_folder(&folder).map(|opened| opened.state) {
        Err(error @ DiskError::LogDamaged { .. }) => assert!(error.to_string().contains("index 4 where 3")),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_read_that_fails_is_told() {
    let (folder, _) = common::played();
    folder.lose_power_at(folder.operations() + 1);
    assert!(folder.sync().is_err());
    assert!(matches!(open_folder(&folder).map(|_| ()), Err(DiskError::Io { .. })));
    assert!(!inspect(&folder).errors.is_empty());
    let missing = folder.open_append("slot-0").map(|_| ()).unwrap_err();
    assert_ne!(missing.kind(), ErrorKind::NotFound);
}

proptest! {
    #[test]
    fn files_of_any_bytes_never_panic(slot in any::<Vec<u8>>(), log in any::<Vec<u8>>(), first in any::<bool>()) {
        let folder = FaultyFolder::new();
        let names = if first { ["slot-0", "log-1"] } else { ["slot-1", "log-9"] };
        for (name, bytes) in names.into_iter().zip([slot, log]) {
            folder.create(name).unwrap().append(&bytes).unwrap();
        }
        inspect(&folder);
        let opened = open(std::sync::Arc::new(folder), common::options());
        assert!(opened.is_err() || opened.is_ok_and(|opened| opened.state.is_none()));
    }

    #[test]
    fn an_end_of_any_bytes_is_cut_off(end in any::<Vec<u8>>()) {
        let folder = FaultyFolder::new();
        drop(open_folder(&folder).unwrap().found(common::IDENTITY).unwrap());
        folder.open_append("log-1").unwrap().append(&end).unwrap();
        let opened = open_folder(&folder).unwrap();
        assert_eq!(opened.state, Some(empty_state()));
        assert_eq!(opened.report.torn_bytes, end.len() as u64);
    }

    #[test]
    fn records_of_any_bytes_never_panic(bytes in any::<Vec<u8>>(), tag in 0..7_u8) {
        let _ = Record::deserialize_bin(&bytes);
        let tagged = [vec![tag], bytes].concat();
        if let Ok(record) = Record::deserialize_bin(&tagged) {
            assert!(Record::deserialize_bin(&record.serialize_bin()).is_ok_and(|again| again == record));
        }
    }
}
