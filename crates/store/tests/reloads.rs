//! What new settings change at once.

mod cluster;

use cluster::{Cluster, settings};
use ruddervalve_protocol::ReplicaId;
use ruddervalve_store::StoreOutput;

#[test]
fn new_seeds_are_connected_to_at_once() {
    let mut cluster = Cluster::of_three(["s1", "s2", "s3"]);
    let core = &mut cluster.member(ReplicaId(1)).core;
    core.outputs();
    let mut new = settings("s1", 256);
    new.seeds = vec!["10.0.0.77:8064".parse().unwrap()];
    core.set_settings(&new);
    assert!(core.outputs().iter().any(|output| matches!(output, StoreOutput::Connect)));
    assert_eq!(core.coordinators(), ["10.0.0.77:7780".parse().unwrap()]);
}
