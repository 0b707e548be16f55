//! The replicated state of the control group.

use nanoserde::SerBin;
use proptest::prelude::*;
use ruddervalve_coordinator::state::{
    ControlState, REMEMBERED_CONFIGURATIONS, REMEMBERED_DISKS, REMEMBERED_RETIREMENTS, RetirementPhase,
};
use ruddervalve_coordinator::state_command::{
    ControlCommand, ControlResult, PlacementFault, ReplaceConfiguration,
};
use ruddervalve_coordinator::state_envelope::{Damaged, Kind, seal};
use ruddervalve_protocol::{Blob, CoordinatorMember, GroupId, ReplicaId, ShardPlacement, StoreMember};

fn replace(base_version: u64, version: u64, body: &str) -> ControlCommand {
    ControlCommand::ReplaceConfiguration(ReplaceConfiguration {
        base_version,
        version,
        digest: ruddervalve_configuration::digest(body.as_bytes()),
        body: Blob::from(body.as_bytes()),
    })
}

fn store(node: &str, replica: u64) -> ControlCommand {
    ControlCommand::RegisterStore(StoreMember {
        node: node.to_owned(),
        replica: ReplicaId(replica),
        address: "10.0.0.1:7780".to_owned(),
        zone: "north".to_owned(),
    })
}

fn coordinator(node: &str, replica: u64) -> ControlCommand {
    ControlCommand::RegisterCoordinator(CoordinatorMember {
        node: node.to_owned(),
        replica: ReplicaId(replica),
        address: "10.0.0.2:7780".to_owned(),
        control_address: "10.0.0.2:8064".to_owned(),
    })
}

fn shard(group: u32, founders: &[u64], wanted: &[&str]) -> ShardPlacement {
    ShardPlacement {
        group: GroupId(group),
        founders: founders.iter().map(|founder| ReplicaId(*founder)).collect(),
        wanted: wanted.iter().map(|node| (*node).to_owned()).collect(),
    }
}

fn placement(shards: &[ShardPlacement]) -> ControlCommand {
    ControlCommand::SetPlacement { shards: shards.to_vec() }
}

fn start_retire(node: &str, minimum_stores: u32) -> ControlCommand {
    ControlCommand::StartRetire { node: node.to_owned(), deadline_ms: 10_000, minimum_stores }
}

fn finish_retire(node: &str) -> ControlCommand {
    ControlCommand::FinishRetire { node: node.to_owned() }
}

fn forget_store(node: &str) -> ControlCommand {
    ControlCommand::ForgetStore { node: node.to_owned() }
}

/// A state with four stores, `s1` to `s4`, with the disks 1 to 4.
fn four_stores() -> ControlState {
    let mut state = ControlState::default();
    for number in 1..=4 {
        assert_eq!(state.apply(&store(&format!("s{number}"), number)), ControlResult::Registered);
    }
    state
}

#[test]
fn of_two_changes_on_top_of_the_same_version_one_wins() {
    let mut state = ControlState::default();
    assert_eq!(state.configuration(), None);
    assert_eq!(state.apply(&replace(0, 5, "a")), ControlResult::Taken { version: 5 });
    assert_eq!(state.apply(&replace(0, 6, "b")), ControlResult::Conflict { current: 5 });
    assert_eq!(state.apply(&replace(5, 7, "c")), ControlResult::Taken { version: 7 });
    assert_eq!(state.apply(&replace(5, 8, "d")), ControlResult::Conflict { current: 7 });
    let configuration = state.configuration().expect("one is in force");
    assert_eq!((configuration.version, configuration.body.as_slice()), (7, &b"c"[..]));
    assert_eq!(state.configuration_version(), 7);
}

#[test]
fn a_version_that_is_not_higher_is_refused() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(&replace(0, 0, "a")), ControlResult::Conflict { current: 0 });
    assert_eq!(state.apply(&replace(0, 5, "a")), ControlResult::Taken { version: 5 });
    assert_eq!(state.apply(&replace(5, 5, "b")), ControlResult::Conflict { current: 5 });
    assert_eq!(state.apply(&replace(5, 4, "b")), ControlResult::Conflict { current: 5 });
}

#[test]
fn a_repeat_is_acknowledged_again_and_changes_nothing() {
    let mut state = ControlState::default();
    state.apply(&replace(0, 5, "a"));
    state.apply(&replace(5, 6, "b"));
    let before = state.clone();
    assert_eq!(state.apply(&replace(0, 5, "a")), ControlResult::AlreadyTaken { version: 5 });
    assert_eq!(state.apply(&replace(5, 6, "b")), ControlResult::AlreadyTaken { version: 6 });
    assert_eq!(state.apply(&replace(0, 5, "other")), ControlResult::Conflict { current: 6 });
    assert_eq!(state, before);
}

#[test]
fn the_newest_configurations_are_known_again() {
    let mut state = ControlState::default();
    let last = REMEMBERED_CONFIGURATIONS as u64 + 1;
    for version in 1..=last {
        assert_eq!(state.apply(&replace(version - 1, version, "a")), ControlResult::Taken { version });
    }
    assert_eq!(state.apply(&replace(1, 2, "a")), ControlResult::AlreadyTaken { version: 2 });
    assert_eq!(state.apply(&replace(1, 2, "b")), ControlResult::Conflict { current: last });
    // Whether it was taken is not remembered: it is not refused, as a repeat never is, and changes nothing.
    let before = state.clone();
    assert_eq!(state.apply(&replace(0, 1, "a")), ControlResult::TooOldToTell { version: 1 });
    assert_eq!(state, before);
    // What can't have been taken then is refused.
    assert_eq!(state.apply(&replace(1, 1, "a")), ControlResult::Conflict { current: last });
    assert_eq!(state.apply(&replace(last, 1, "a")), ControlResult::Conflict { current: last });
}

#[test]
fn a_new_disk_takes_the_place_of_the_old_one_for_good() {
    let mut state = four_stores();
    assert_eq!(state.apply(&store("s1", 9)), ControlResult::Registered);
    assert!(state.is_fenced(ReplicaId(1)) && !state.is_fenced(ReplicaId(9)));
    assert_eq!(state.apply(&store("s1", 1)), ControlResult::Fenced);
    assert_eq!(state.apply(&store("s9", 1)), ControlResult::Fenced);
    assert_eq!(state.stores().first().map(|store| store.replica), Some(ReplicaId(9)));
    assert_eq!(state.apply(&coordinator("c1", 20)), ControlResult::Registered);
    assert_eq!(state.apply(&coordinator("c1", 21)), ControlResult::Registered);
    assert_eq!(state.apply(&coordinator("c1", 20)), ControlResult::Fenced);
    assert_eq!(state.coordinators().len(), 1);
}

#[test]
fn the_newest_fenced_disks_are_remembered() {
    let mut state = ControlState::default();
    let last = REMEMBERED_DISKS as u64 + 2;
    for replica in 1..=last {
        state.apply(&store("s1", replica));
    }
    assert!(!state.is_fenced(ReplicaId(1)));
    assert!(state.is_fenced(ReplicaId(2)) && state.is_fenced(ReplicaId(last - 1)));
    assert!(!state.is_fenced(ReplicaId(last)));
}

#[test]
fn the_directory_version_grows_with_each_change_that_it_shows() {
    let mut state = ControlState::default();
    let mut last = state.directory_version();
    let mut apply = |command: &ControlCommand, is_shown: bool| {
        state.apply(command);
        let version = state.directory_version();
        assert_eq!(version > last, is_shown, "{command:?}");
        assert_eq!(state.directory().version, version);
        last = version;
    };
    apply(&store("s1", 1), true);
    apply(&store("s1", 1), false);
    apply(&store("s2", 2), true);
    apply(&coordinator("c1", 3), true);
    apply(&coordinator("c1", 3), false);
    apply(&replace(0, 1, "a"), false);
    apply(&placement(&[shard(1, &[1], &["s1"])]), true);
    apply(&placement(&[shard(1, &[1], &["s1"])]), false);
    apply(&start_retire("s1", 1), false);
    apply(&placement(&[shard(1, &[1], &["s2"])]), true);
    apply(&finish_retire("s1"), true);
    apply(&ControlCommand::ForgetCoordinator { node: "c1".to_owned() }, true);
}

#[test]
fn the_directory_lists_members_by_name() {
    let mut state = ControlState::default();
    for (node, replica) in [("b", 1), ("c", 2), ("a", 3)] {
        state.apply(&store(node, replica));
        state.apply(&coordinator(node, replica + 10));
    }
    let directory = state.directory();
    let stores: Vec<&str> = directory.stores.iter().map(|store| store.node.as_str()).collect();
    let coordinators: Vec<&str> = directory.coordinators.iter().map(|known| known.node.as_str()).collect();
    assert_eq!((stores, coordinators), (vec!["a", "b", "c"], vec!["a", "b", "c"]));
}

#[test]
fn a_placement_that_would_harm_is_refused() {
    let mut state = four_stores();
    let founded = [shard(1, &[1, 2, 3], &["s1", "s2", "s3"]), shard(2, &[2, 3, 4], &["s2", "s3", "s4"])];
    assert_eq!(state.apply(&placement(&founded)), ControlResult::Placed);
    let [one, two] = founded.clone();
    let before = state.clone();
    let refused = [
        (vec![one.clone()], PlacementFault::ShardMissing),
        (vec![], PlacementFault::ShardMissing),
        (vec![one.clone(), shard(2, &[1, 2, 3], &["s2"])], PlacementFault::FoundersChanged),
        (vec![one.clone(), two.clone(), two.clone()], PlacementFault::BadGroup),
        (vec![one.clone(), two.clone(), shard(0, &[1], &["s1"])], PlacementFault::BadGroup),
        (vec![one.clone(), shard(2, &[2, 3, 4], &[])], PlacementFault::Empty),
        (vec![one.clone(), two.clone(), shard(3, &[], &["s1"])], PlacementFault::Empty),
        (vec![one.clone(), shard(2, &[2, 3, 4], &["s1", "s1"])], PlacementFault::BadStore),
        (vec![one, shard(2, &[2, 3, 4], &["s1", "s9"])], PlacementFault::BadStore),
    ];
    for (shards, fault) in refused {
        assert_eq!(state.apply(&placement(&shards)), ControlResult::PlacementRefused(fault));
    }
    assert_eq!(state, before);
}

#[test]
fn a_store_retires_once_no_shard_wants_it() {
    let mut state = four_stores();
    state.apply(&placement(&[shard(1, &[1, 2, 3], &["s1", "s2", "s3"])]));
    assert_eq!(state.apply(&start_retire("s1", 3)), ControlResult::RetireStarted);
    assert_eq!(state.apply(&start_retire("s1", 3)), ControlResult::RetireUnderWay);
    assert_eq!(state.retirement("s1").map(|known| known.phase), Some(RetirementPhase::Running));
    assert_eq!(state.retiring().count(), 1);
    assert_eq!(state.apply(&finish_retire("s1")), ControlResult::StillPlaced);
    state.apply(&placement(&[shard(1, &[1, 2, 3], &["s2", "s3", "s4"])]));
    assert_eq!(state.apply(&finish_retire("s1")), ControlResult::RetireFinished);
    assert_eq!(state.apply(&finish_retire("s1")), ControlResult::AlreadyRetired);
    assert_eq!(state.apply(&start_retire("s1", 3)), ControlResult::AlreadyRetired);
    assert_eq!(state.retirement("s1").map(|known| known.phase), Some(RetirementPhase::Succeeded));
    assert_eq!(state.stores().len(), 3);
    assert_eq!(state.apply(&store("s1", 1)), ControlResult::Fenced);
    assert_eq!(state.apply(&store("s1", 11)), ControlResult::Registered);
    assert_eq!(state.apply(&start_retire("s1", 3)), ControlResult::RetireStarted);
}

#[test]
fn a_retirement_that_leaves_too_few_is_refused() {
    let mut state = four_stores();
    assert_eq!(state.apply(&start_retire("s9", 3)), ControlResult::UnknownNode);
    assert_eq!(state.apply(&finish_retire("s1")), ControlResult::UnknownNode);
    assert_eq!(state.apply(&start_retire("s1", 3)), ControlResult::RetireStarted);
    assert_eq!(state.apply(&start_retire("s2", 3)), ControlResult::TooFewLeft { left: 2, needed: 3 });
    assert_eq!(state.retiring().count(), 1);
}

#[test]
fn a_store_is_forgotten_only_if_no_shard_wants_it() {
    let mut state = four_stores();
    state.apply(&placement(&[shard(1, &[1, 2, 3], &["s1", "s2", "s3"])]));
    assert_eq!(state.apply(&forget_store("s1")), ControlResult::StillPlaced);
    assert_eq!(state.apply(&forget_store("s4")), ControlResult::Forgotten);
    assert_eq!(state.apply(&forget_store("s4")), ControlResult::UnknownNode);
    assert!(!state.is_fenced(ReplicaId(4)), "it may return with the disk that it has");
    assert_eq!(state.apply(&store("s4", 4)), ControlResult::Registered);
    assert_eq!(state.stores().len(), 4);
    assert_eq!(
        state.apply(&ControlCommand::ForgetCoordinator { node: "c9".to_owned() }),
        ControlResult::UnknownNode
    );
}

#[test]
fn a_store_that_is_forgotten_while_it_retires_has_retired() {
    let mut state = four_stores();
    state.apply(&start_retire("s4", 3));
    assert_eq!(state.apply(&forget_store("s4")), ControlResult::Forgotten);
    assert!(state.is_fenced(ReplicaId(4)), "its machine is removed with its disk");
    assert_eq!(state.retirement("s4").map(|known| known.phase), Some(RetirementPhase::Succeeded));
}

#[test]
fn the_newest_finished_retirements_are_remembered_and_running_ones_always() {
    let mut state = ControlState::default();
    state.apply(&store("running", 1));
    state.apply(&start_retire("running", 0));
    for number in 0..=REMEMBERED_RETIREMENTS {
        let node = format!("s{number}");
        state.apply(&store(&node, 100 + number as u64));
        assert_eq!(state.apply(&start_retire(&node, 0)), ControlResult::RetireStarted);
        assert_eq!(state.apply(&finish_retire(&node)), ControlResult::RetireFinished);
    }
    assert_eq!(state.retirement("s0"), None);
    assert!(state.retirement("s1").is_some() && state.retirement("running").is_some());
}

#[test]
fn snapshots_of_another_kind_and_damaged_ones_are_refused() {
    let state = four_stores();
    let snapshot = state.snapshot();
    assert_eq!(ControlState::restore(snapshot.as_slice()), Ok(state));
    assert_eq!(ControlState::restore(&[]), Err(Damaged::Bytes));
    assert_eq!(ControlState::restore(store("s1", 1).to_blob().as_slice()), Err(Damaged::Format));
    assert_eq!(ControlState::restore(seal(Kind::Snapshot, &[1]).as_slice()), Err(Damaged::Content));
    for position in 0..snapshot.len() {
        let mut bytes = snapshot.as_slice().to_vec();
        if let Some(byte) = bytes.get_mut(position) {
            *byte ^= 0x40;
        }
        assert_eq!(ControlState::restore(&bytes), Err(Damaged::Bytes));
        assert_eq!(ControlState::restore(bytes.get(..position).unwrap_or_default()), Err(Damaged::Bytes));
    }
}

/// Any command over few names, so that commands meet.
fn any_command() -> impl Strategy<Value = ControlCommand> {
    let node = || prop::sample::select(vec!["s1", "s2", "s3", "s4"]).prop_map(str::to_owned);
    let wanted = prop::collection::vec(node(), 0..4);
    let any_shard =
        (0_u32..3, prop::collection::vec(1_u64..4, 0..3), wanted).prop_map(|(group, founders, wanted)| {
            shard(group, &founders, &wanted.iter().map(String::as_str).collect::<Vec<_>>())
        });
    prop_oneof![
        (0_u64..6, 0_u64..6, "[ab]").prop_map(|(base, version, body)| replace(base, version, &body)),
        (node(), 1_u64..8).prop_map(|(node, replica)| store(&node, replica)),
        (node(), 1_u64..8).prop_map(|(node, replica)| coordinator(&node, replica)),
        prop::collection::vec(any_shard, 0..3).prop_map(|shards| placement(&shards)),
        (node(), 0_u32..4).prop_map(|(node, minimum)| start_retire(&node, minimum)),
        node().prop_map(|node| finish_retire(&node)),
        node().prop_map(|node| forget_store(&node)),
        node().prop_map(|node| ControlCommand::ForgetCoordinator { node }),
    ]
}

proptest! {
    #[test]
    fn a_restored_replica_goes_on_as_the_others(
        commands in prop::collection::vec(any_command(), 0..60),
        restored_after in 0_usize..60,
    ) {
        let mut whole = ControlState::default();
        let mut restored = ControlState::default();
        for (index, command) in commands.iter().enumerate() {
            if index == restored_after {
                restored = ControlState::restore(restored.snapshot().as_slice()).expect("it is whole");
            }
            let sent = ControlCommand::from_bytes(command.to_blob().as_slice()).expect("it is whole");
            prop_assert_eq!(&sent, command);
            prop_assert_eq!(whole.apply(command), restored.apply(&sent));
        }
        prop_assert_eq!(whole.serialize_bin(), restored.serialize_bin());
    }

    #[test]
    fn versions_never_go_back_and_refusals_change_nothing(commands in prop::collection::vec(any_command(), 0..60)) {
        let mut state = ControlState::default();
        for command in commands {
            let before = state.clone();
            let result = state.apply(&command);
            prop_assert!(state.configuration_version() >= before.configuration_version());
            prop_assert!(state.directory_version() >= before.directory_version());
            let is_shown = state.directory() != before.directory();
            prop_assert_eq!(is_shown, state.directory_version() > before.directory_version());
            let has_changed = matches!(
                result,
                ControlResult::Taken { .. } | ControlResult::Registered | ControlResult::Placed
                    | ControlResult::RetireStarted | ControlResult::RetireFinished | ControlResult::Forgotten
            );
            prop_assert_eq!(has_changed, state != before, "{:?} gave {:?}", command, result);
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(ControlState::restore(&bytes).is_err());
        prop_assert!(ControlCommand::from_bytes(&bytes).is_err());
    }
}

#[test]
fn an_old_configuration_on_top_of_a_newer_one_is_no_repeat() {
    let mut state = ControlState::default();
    state.apply(&replace(0, 5, "a"));
    state.apply(&replace(5, 6, "b"));
    assert_eq!(state.apply(&replace(6, 5, "a")), ControlResult::Conflict { current: 6 });
    assert_eq!(state.apply(&replace(6, 6, "b")), ControlResult::Conflict { current: 6 });
}
