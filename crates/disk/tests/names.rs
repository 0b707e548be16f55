//! What a loss of power makes of files that were made, renamed or removed without a sync of their folder: it keeps or
//! loses each by itself. First that the folder of these tests does so, then that a journal's files outlast it.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::{Driver, IDENTITY, entries, hard_state, open_folder, snapshot};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{Folder, GroupState, Options, open};
use ruddervalve_protocol::GroupId;

const SEEDS: std::ops::Range<u64> = 0..400;

fn write(folder: &FaultyFolder, name: &str, bytes: &[u8]) {
    let mut file = folder.create(name).unwrap();
    file.append(bytes).unwrap();
    file.sync().unwrap();
}

#[test]
fn each_change_of_a_name_is_kept_or_lost_by_itself() {
    let mut outcomes = BTreeSet::new();
    for seed in SEEDS {
        let folder = FaultyFolder::new();
        write(&folder, "removed", b"1");
        write(&folder, "renamed", b"2");
        folder.sync().unwrap();
        write(&folder, "made", b"3");
        folder.rename("renamed", "renamed-to").unwrap();
        folder.remove("removed").unwrap();
        folder.lose_power(seed);
        let names: BTreeSet<String> = folder.list().unwrap().into_iter().collect();
        assert!(names.contains("renamed") != names.contains("renamed-to"), "a rename is whole");
        outcomes.insert(["made", "renamed-to", "removed"].map(|name| names.contains(name)));
    }
    assert_eq!(outcomes.len(), 8, "every combination comes about");
}

#[test]
fn a_synced_name_and_a_synced_file_are_kept() {
    for seed in SEEDS {
        let folder = FaultyFolder::new();
        write(&folder, "made", b"bytes");
        folder.sync().unwrap();
        folder.lose_power(seed);
        assert_eq!(folder.read("made").unwrap().as_deref(), Some(b"bytes".as_slice()));
    }
}

/// The steps of a snapshot's way to the disk: a log with a vote, the snapshot on top of it, entries after it, and a
/// checkpoint that moves all that into the other slot.
fn steps(driver: &mut Driver) -> Result<(), ruddervalve_disk::DiskError> {
    driver.append(&[hard_state(3, 5, Some(9)), entries(3, 1..30, 4, 120)]);
    driver.sync()?;
    driver.append(&[snapshot(3, 60, 5, 5000), hard_state(3, 6, Some(8))]);
    driver.append(&[entries(3, 61..64, 6, 300)]);
    driver.sync()?;
    driver.checkpoint()?;
    driver.append(&[entries(3, 64..66, 6, 300)]);
    driver.sync()?;
    driver.checkpoint()
}

/// At each operation, with each fate of what was not synced: the state before or after a batch is there whole, and with it
/// term and vote; a snapshot never comes without them.
#[test]
fn a_snapshot_is_there_whole_or_not_at_all_and_never_costs_term_or_vote() {
    let whole = FaultyFolder::new();
    let mut driver = Driver::start(&whole).unwrap();
    let first = whole.operations() + 1;
    steps(&mut driver).unwrap();
    let mut with_snapshot = 0;
    for operation in first..=whole.operations() {
        let folder = FaultyFolder::new();
        let mut driver = Driver::start(&folder).unwrap();
        folder.lose_power_at(operation);
        // A removal that fails is passed over, as recovery doesn't read what was to go.
        let _ = steps(&mut driver);
        assert!(folder.power_is_gone());
        for seed in 0..48 {
            let place = format!("operation {operation}, seed {seed}");
            let copy = folder.copy();
            copy.lose_power(seed);
            let state = open_folder(&copy).unwrap().state.unwrap();
            assert!(driver.history.allows(&state), "{place}");
            let Some(group) = state.groups.get(&GroupId(3)) else { continue };
            with_snapshot += usize::from(group.snapshot.is_some());
            check_group(group, &place);
        }
    }
    assert!(with_snapshot > 100);
}

fn check_group(group: &GroupState, place: &str) {
    let term = if group.snapshot.is_some() { 6 } else { 5 };
    assert_eq!(group.hard_state.term, term, "{place}");
    assert!(group.hard_state.vote.is_some(), "{place}");
    let first = group.entries.first().map(|entry| entry.index);
    let follows = group.snapshot.as_ref().map_or(1, |snapshot| snapshot.index + 1);
    assert!(first.is_none_or(|first| first == follows), "{place}: entries follow the snapshot");
}

/// Two hundred changes with a checkpoint after each few: what a recovery reads stays bounded, and all is there.
#[test]
fn checkpoints_keep_up_with_a_storm_of_changes() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    let mut longest = 0;
    for index in 1..=200_u64 {
        driver.append(&[snapshot(1, index, 1, 900)]);
        driver.sync().unwrap();
        if driver.journal.log_bytes() > 2 * driver.journal.checkpoint_bytes().max(2000) {
            driver.checkpoint().unwrap();
        }
        longest = longest.max(driver.journal.log_bytes());
    }
    assert!(longest < 10_000, "{longest} bytes of log");
    folder.lose_power(2);
    let opened = open(Arc::new(folder), Options::default()).unwrap();
    let state = opened.state.unwrap();
    assert_eq!(state.identity, IDENTITY);
    assert_eq!(state.groups[&GroupId(1)].snapshot.as_ref().map(|snapshot| snapshot.index), Some(200));
}
