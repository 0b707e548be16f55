//! A full disk loses nothing, and the journal goes on once there is room.

mod common;

use std::io::ErrorKind;

use common::{Driver, Step, entries, open_folder, script};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{DiskError, Folder};

/// Checks all that a crash at this moment may leave.
fn check_crashes(folder: &FaultyFolder, driver: &Driver, place: &str) {
    for seed in 0..12 {
        let copy = folder.copy();
        copy.set_capacity(None);
        copy.lose_power(seed);
        let state =
            open_folder(&copy).unwrap_or_else(|error| panic!("{place}, seed {seed}: {error}")).state.unwrap();
        assert!(driver.history.allows(&state), "{place}, seed {seed}");
        Driver::start(&copy).unwrap();
    }
    let killed = folder.copy();
    killed.set_capacity(None);
    let state = open_folder(&killed).unwrap().state.unwrap();
    assert!(driver.history.allows(&state), "{place}, killed");
}

/// Plays a step; where there is no room, checks what a crash would leave, gives more room, twice as much each time, and tries again.
fn play_with_room(folder: &FaultyFolder, driver: &mut Driver, step: &Step, room: u64, place: &str) -> u64 {
    let mut times_full = 0;
    loop {
        match driver.step(step) {
            Ok(()) => return times_full,
            Err(DiskError::Full { .. }) => {
                times_full += 1;
                check_crashes(folder, driver, place);
                folder.set_capacity(Some(folder.used_bytes() + (room << times_full)));
            }
            Err(error) => panic!("{place}: {error}"),
        }
    }
}

#[test]
fn a_disk_that_is_full_at_any_byte_loses_nothing() {
    for room in (1..1500).step_by(41) {
        let folder = FaultyFolder::new();
        let mut driver = Driver::start(&folder).unwrap();
        let mut times_full = 0;
        for (number, step) in script().iter().enumerate() {
            folder.set_capacity(Some(folder.used_bytes() + room));
            let place = format!("room {room}, step {number}");
            times_full += play_with_room(&folder, &mut driver, step, room, &place);
        }
        assert!(times_full > 0 || room > 1000);
        folder.lose_power(0);
        let state = open_folder(&folder).unwrap().state.unwrap();
        assert_eq!(&state, driver.history.newest(), "room {room}");
    }
}

#[test]
fn a_full_disk_keeps_no_part_of_what_failed() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let before = common::contents(&folder);
    folder.set_capacity(Some(folder.used_bytes() + 30));
    driver.append(&[entries(1, 1..2, 1, 100)]);
    assert!(matches!(driver.sync(), Err(DiskError::Full { .. })));
    assert_eq!(common::contents(&folder), before);
    assert!(matches!(driver.begin(), Err(DiskError::Full { .. })));
    assert_eq!(common::contents(&folder), before);
}

#[test]
fn a_log_that_cannot_begin_leaves_no_file() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let before = common::contents(&folder);
    folder.set_capacity(Some(folder.used_bytes() + 7));
    assert!(matches!(driver.begin(), Err(DiskError::Full { .. })));
    assert_eq!(common::contents(&folder), before);
    folder.set_capacity(None);
    driver.append(&[entries(1, 1..2, 1, 100)]);
    driver.sync().unwrap();
    folder.lose_power(2);
    assert_eq!(open_folder(&folder).unwrap().state.as_ref(), Some(driver.history.newest()));
}

/// Were the log that could not begin to come back, the end of the one that goes on would look like damage.
#[test]
fn a_log_that_could_not_begin_does_not_come_back() {
    for (room, seed) in (0..45).flat_map(|room| (0..64).map(move |seed| (room, seed))) {
        let folder = FaultyFolder::new();
        let mut driver = Driver::start(&folder).unwrap();
        folder.set_capacity(Some(folder.used_bytes() + room));
        match driver.begin() {
            Ok(()) => assert!(room >= 40),
            Err(DiskError::Full { .. }) => assert!(room < 40),
            Err(error) => panic!("{error}"),
        }
        folder.set_capacity(None);
        driver.append(&[entries(1, 1..4, 1, 900)]);
        folder.lose_power_at(folder.operations() + 2);
        assert!(driver.sync().is_err());
        folder.lose_power(seed);
        let place = format!("room {room}, seed {seed}");
        let state = open_folder(&folder).unwrap_or_else(|error| panic!("{place}: {error}")).state.unwrap();
        assert!(driver.history.allows(&state), "{place}");
    }
}

#[test]
fn a_checkpoint_without_room_gives_back_what_it_took_and_may_run_again() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[entries(1, 1..30, 1, 100)]);
    driver.begin().unwrap();
    let used = folder.used_bytes();
    folder.set_capacity(Some(used + 2000));
    assert!(matches!(driver.run_job(), Err(DiskError::Full { .. })));
    assert_eq!(folder.used_bytes(), used);
    folder.set_capacity(None);
    driver.run_job().unwrap();
    driver.finish();
    folder.lose_power(0);
    let opened = open_folder(&folder).unwrap();
    assert_eq!(opened.state.as_ref(), Some(driver.history.newest()));
    assert_eq!(opened.report.slot.as_deref(), Some("slot-1"));
}

#[test]
fn a_founding_without_room_may_be_tried_again() {
    for capacity in 0..200 {
        let folder = FaultyFolder::new();
        folder.set_capacity(Some(capacity));
        let first = Driver::start(&folder);
        folder.set_capacity(None);
        let driver = match first {
            Ok(driver) => driver,
            Err(DiskError::Full { .. }) => Driver::start(&folder).unwrap(),
            Err(error) => panic!("capacity {capacity}: {error}"),
        };
        folder.lose_power(0);
        assert_eq!(open_folder(&folder).unwrap().state.as_ref(), Some(driver.history.newest()));
    }
}

#[test]
fn a_quota_counts_as_a_full_disk() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[entries(1, 1..2, 1, 100)]);
    folder.fail_at(folder.operations() + 1, ErrorKind::QuotaExceeded);
    assert!(matches!(driver.sync(), Err(DiskError::Full { .. })));
    driver.sync().unwrap();
}

#[test]
fn any_other_failure_of_a_write_ends_the_journal() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[entries(1, 1..2, 1, 100)]);
    folder.fail_at(folder.operations() + 1, ErrorKind::PermissionDenied);
    assert!(matches!(driver.sync(), Err(DiskError::Io { .. })));
    assert!(matches!(driver.sync(), Err(DiskError::Ended)));
    assert!(folder.list().unwrap().contains(&"log-1".to_owned()));
}
