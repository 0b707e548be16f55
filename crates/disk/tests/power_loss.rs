//! The power or the process goes at each operation of a history, and again at each operation of the recovery.

mod common;

use common::{Driver, History, IDENTITY, empty_state, entries, open_folder, script};
use ruddervalve_disk::testing::FaultyFolder;
use ruddervalve_disk::{DiskError, ProcessState};
use ruddervalve_protocol::ReplicaId;

/// Seeds 0 and 1 lose and keep all, the others choose for each change.
const SEEDS: std::ops::Range<u64> = 0..24;

/// Plays the script in an empty folder until the power goes; the history is `None` if it went during the founding.
fn play_until_power_goes(operation: u64) -> (FaultyFolder, Option<History>) {
    let folder = FaultyFolder::new();
    folder.lose_power_at(operation);
    let Ok(mut driver) = Driver::start(&folder) else { return (folder, None) };
    let _ = driver.play(&script());
    (folder, Some(driver.history))
}

fn operations_of_script() -> u64 {
    let (folder, _) = common::played();
    folder.operations()
}

/// Whether a recovered state may follow from a history.
fn check(state: Option<&ProcessState>, history: Option<&History>, place: &str) {
    match (state, history) {
        (None, None) => {}
        (Some(state), None) => assert_eq!(state, &empty_state(), "{place}"),
        (None, Some(_)) => panic!("{place}: the founding is gone"),
        (Some(state), Some(history)) => assert!(history.allows(state), "{place}: {state:?} of {history:?}"),
    }
}

fn opened_state(folder: &FaultyFolder, place: &str) -> Option<ProcessState> {
    match open_folder(folder) {
        Ok(opened) => opened.state,
        Err(error) => panic!("{place}: {error}"),
    }
}

/// Goes on after a recovery and checks that what is written then is durable.
fn check_goes_on(folder: &FaultyFolder, place: &str) {
    let mut driver = match Driver::start(folder) {
        Ok(driver) => driver,
        Err(error) => panic!("{place}: {error}"),
    };
    for index in 1..4 {
        driver.append(&[entries(77, index..index + 1, 9, 600)]);
        driver.sync().unwrap();
        folder.lose_power(index * 4 + 2);
        assert_eq!(opened_state(folder, place).as_ref(), Some(driver.history.newest()), "{place}");
        driver = Driver::start(folder).unwrap();
        driver.checkpoint().unwrap();
    }
    let known = ["slot-0", "slot-1", "log-"];
    let names = ruddervalve_disk::Folder::list(folder).unwrap();
    assert!(names.iter().all(|name| known.iter().any(|known| name.starts_with(known))), "{place}");
    assert!(names.len() <= 3, "{place}: {names:?} were left over");
}

#[test]
fn power_loss_at_each_operation_loses_nothing_durable() {
    for operation in 1..=operations_of_script() {
        let (folder, history) = play_until_power_goes(operation);
        for seed in SEEDS {
            let place = format!("operation {operation}, seed {seed}");
            let copy = folder.copy();
            copy.lose_power(seed);
            check(opened_state(&copy, &place).as_ref(), history.as_ref(), &place);
            check_goes_on(&copy, &place);
        }
    }
}

#[test]
fn power_loss_at_each_operation_of_the_recovery_loses_nothing_durable() {
    for operation in 1..=operations_of_script() {
        let (folder, history) = play_until_power_goes(operation);
        for seed in [0, 1, 2, 3, 6] {
            let crashed = folder.copy();
            crashed.lose_power(seed);
            let mut recovery_operation = crashed.operations() + 1;
            loop {
                let copy = crashed.copy();
                copy.lose_power_at(recovery_operation);
                let started = Driver::start(&copy);
                if !copy.power_is_gone() {
                    assert!(started.is_ok());
                    break;
                }
                for second_seed in [0, 1, 2, 3, 7, 10] {
                    let place =
                        format!("operations {operation} {recovery_operation}, seeds {seed} {second_seed}");
                    let copy = copy.copy();
                    copy.lose_power(second_seed);
                    check(opened_state(&copy, &place).as_ref(), history.as_ref(), &place);
                    check_goes_on(&copy, &place);
                }
                recovery_operation += 1;
            }
        }
    }
}

#[test]
fn what_a_killed_process_left_is_durable_once_it_is_resumed() {
    for operation in 1..=operations_of_script() {
        let (folder, history) = play_until_power_goes(operation);
        folder.kill();
        let place = format!("operation {operation}");
        let killed = opened_state(&folder, &place);
        check(killed.as_ref(), history.as_ref(), &place);
        let driver = Driver::start(&folder).unwrap();
        for seed in SEEDS {
            let place = format!("operation {operation}, seed {seed}");
            let copy = folder.copy();
            copy.lose_power(seed);
            assert_eq!(opened_state(&copy, &place).as_ref(), Some(driver.history.newest()), "{place}");
            check_goes_on(&copy, &place);
        }
    }
}

#[test]
fn power_loss_between_a_kill_and_the_resumption_loses_nothing_durable() {
    for operation in 1..=operations_of_script() {
        let (folder, history) = play_until_power_goes(operation);
        folder.kill();
        for seed in SEEDS {
            let place = format!("operation {operation}, seed {seed}");
            let copy = folder.copy();
            // Reading makes nothing durable.
            opened_state(&copy, &place);
            copy.lose_power(seed);
            check(opened_state(&copy, &place).as_ref(), history.as_ref(), &place);
        }
    }
}

/// What a recovery removes does not come back to make the end of a log that goes on look like damage.
#[test]
fn power_loss_during_the_first_batch_after_a_recovery_loses_nothing_durable() {
    for operation in 1..=operations_of_script() {
        let (folder, _) = play_until_power_goes(operation);
        for seed in SEEDS {
            let crashed = folder.copy();
            crashed.lose_power(seed);
            let mut driver = Driver::start(&crashed).unwrap();
            driver.append(&[entries(77, 1..4, 9, 900)]);
            crashed.lose_power_at(crashed.operations() + 2);
            assert!(driver.sync().is_err());
            for second_seed in SEEDS {
                let place = format!("operation {operation}, seeds {seed} {second_seed}");
                let copy = crashed.copy();
                copy.lose_power(second_seed);
                check(opened_state(&copy, &place).as_ref(), Some(&driver.history), &place);
            }
        }
    }
}

/// Many lives in one folder, with an end of some kind at some operation of each.
#[test]
fn many_lives_in_one_folder_keep_all_that_is_durable() {
    for run in 0..60_u64 {
        let folder = FaultyFolder::new();
        let mut history: Option<History> = None;
        for life in 0..12_u64 {
            let place = format!("run {run}, life {life}");
            let draw = (run * 31 + life * 17).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
            check(opened_state(&folder, &place).as_ref(), history.as_ref(), &place);
            folder.lose_power_at(folder.operations() + 1 + draw % 40);
            let started = Driver::start(&folder);
            if let Ok(mut driver) = started {
                let _ = driver.play(&later_script(&driver.history, life));
                history = Some(driver.history);
            }
            match draw % 3 {
                0 => folder.kill(),
                _ => folder.lose_power(draw),
            }
        }
    }
}

/// Steps that suit any state: the indices follow the highest there is.
fn later_script(history: &History, life: u64) -> Vec<common::Step> {
    use common::Step;
    let state = history.newest();
    let last = state.groups.values().flat_map(|group| group.entries.last()).map(|entry| entry.index).max();
    let next = last.unwrap_or(0) + 1;
    let group = 5;
    let append = |from: u64| Step::Append(vec![entries(group, from..from + 2, life, 350)]);
    vec![
        append(next),
        Step::Sync,
        append(next + 2),
        append(next + 3),
        Step::Sync,
        Step::Begin,
        append(next + 4),
        Step::Sync,
        Step::Run,
        append(next + 5),
        Step::Sync,
        Step::Finish,
        append(next + 7),
        Step::Begin,
        Step::Run,
        Step::Finish,
        append(next + 8),
        Step::Sync,
    ]
}

#[test]
fn an_incomplete_founding_may_be_followed_by_another_identity() {
    let founded = FaultyFolder::new();
    drop(open_folder(&founded).unwrap().found(IDENTITY).unwrap());
    let other = ReplicaId(IDENTITY.0 + 1);
    let mut incomplete = 0;
    for (operation, seed) in
        (1..=founded.operations()).flat_map(|operation| SEEDS.map(move |seed| (operation, seed)))
    {
        let folder = FaultyFolder::new();
        folder.lose_power_at(operation);
        assert!(Driver::start(&folder).is_err());
        folder.lose_power(seed);
        let opened = open_folder(&folder).unwrap();
        if opened.state.is_none() {
            incomplete += 1;
            drop(opened.found(other).unwrap());
            folder.lose_power(0);
            assert_eq!(open_folder(&folder).unwrap().state.unwrap().identity, other);
        }
    }
    assert!(incomplete > 0);
}

#[test]
fn a_failed_sync_ends_the_journal() {
    let folder = FaultyFolder::new();
    let mut driver = Driver::start(&folder).unwrap();
    driver.append(&[entries(1, 1..2, 1, 10)]);
    folder.fail_at(folder.operations() + 2, std::io::ErrorKind::StorageFull);
    assert!(matches!(driver.sync(), Err(DiskError::Io { .. })));
    assert!(matches!(driver.sync(), Err(DiskError::Ended)));
    assert!(matches!(driver.begin(), Err(DiskError::Ended)));
}
