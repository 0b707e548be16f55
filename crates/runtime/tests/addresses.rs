//! Where coordinators are found.

mod common;

use std::net::SocketAddr;

use common::settings;
use ruddervalve_configuration::Settings;
use ruddervalve_protocol::{CoordinatorMember, ReplicaId};
use ruddervalve_runtime::coordinator_addresses;

fn told(addresses: &[&str]) -> Vec<CoordinatorMember> {
    let member = |address: &&str| CoordinatorMember {
        node: (*address).to_owned(),
        replica: ReplicaId(1),
        address: (*address).to_owned(),
        control_address: String::new(),
    };
    addresses.iter().map(member).collect()
}

#[test]
fn seeds_and_told_coordinators_are_found_once_each() {
    let mut settings = settings();
    let told = told(&["10.0.0.9:7780", "10.0.0.8:7780", "nowhere"]);
    let found = |settings: &Settings| {
        let addresses = coordinator_addresses(settings, &told);
        addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>()
    };
    assert_eq!(found(&settings), ["10.0.0.8:7780", "10.0.0.9:7780"]);
    settings.seeds = vec!["10.0.0.7:8064".parse().unwrap()];
    assert_eq!(found(&settings), ["10.0.0.7:7780", "10.0.0.8:7780", "10.0.0.9:7780"]);
}
