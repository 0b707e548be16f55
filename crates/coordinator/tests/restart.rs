//! What a coordinator knows of the others right after its start, before anything is agreed upon again.

mod group;

use std::collections::BTreeMap;

use group::settings;
use ruddervalve_coordinator::CoordinatorCore;
use ruddervalve_coordinator::state_command::ControlCommand;
use ruddervalve_disk::{GroupState, ProcessState, StoredEntry};
use ruddervalve_protocol::{
    CoordinatorMember, CoordinatorRequest, GroupId, ReceivedUpdates, Registration, ReplicaId,
};

/// The kind of an entry with a command, as the replicas store it.
const COMMAND: u8 = 1;

fn member(node: &str, replica: u64, address: &str) -> CoordinatorMember {
    CoordinatorMember {
        node: node.to_owned(),
        replica: ReplicaId(replica),
        address: address.to_owned(),
        control_address: "10.0.0.7:8064".to_owned(),
    }
}

fn started(entries: Vec<StoredEntry>) -> CoordinatorCore {
    let control = GroupState { entries, ..GroupState::default() };
    let groups = BTreeMap::from([(GroupId::CONTROL, control)]);
    let recovered = ProcessState { identity: ReplicaId(77), groups };
    let settings = settings(1);
    let control_address = settings.listen.control_plane.unwrap();
    let internal = "10.0.0.1:7780".parse().unwrap();
    CoordinatorCore::start(&settings, &recovered, false, internal, control_address, 1, 1).unwrap()
}

fn knows(core: &CoordinatorCore, replica: u64, address: &str) -> bool {
    core.coordinators().contains(&(ReplicaId(replica), address.parse().unwrap()))
}

#[test]
fn members_that_the_log_on_disk_names_are_known_before_anything_is_applied() {
    let successor = member("c2", 99, "10.0.0.7:7780");
    let command = ControlCommand::RegisterCoordinator(successor);
    let entry = StoredEntry { index: 1, term: 1, kind: COMMAND, payload: command.to_blob() };
    let core = started(vec![entry]);
    assert_eq!(core.applied(), 0, "nothing is known to be committed");
    assert!(knows(&core, 99, "10.0.0.7:7780"));
    assert!(!knows(&started(Vec::new()), 99, "10.0.0.7:7780"));
}

#[test]
fn a_member_that_connects_is_known_whoever_leads() {
    let mut core = started(Vec::new());
    let session = core.session_opened(2);
    let successor = Registration::Coordinator(member("c2", 99, "10.0.0.7:7780"));
    core.session_says(2, session, CoordinatorRequest::Register(successor, ReceivedUpdates::default()));
    assert!(knows(&core, 99, "10.0.0.7:7780"));
}
