//! What a process makes of whole configurations and of changes to them.

use proptest::prelude::*;
use ruddervalve_configuration::digest;
use ruddervalve_protocol::{
    Blob, BodyPart, ConfigurationChange, ConfigurationUpdate, CoordinatorReply, ReceivedUpdates,
};
use ruddervalve_runtime::{TakenReply, Updates, difference, restored};

fn whole(version: u64, body: &str) -> CoordinatorReply {
    CoordinatorReply::Configuration(ConfigurationUpdate { version, body: Blob::from(body.as_bytes()) })
}

fn change(base: (u64, &str), next: (u64, &str)) -> ConfigurationChange {
    let parts = difference(base.1.as_bytes(), next.1.as_bytes());
    ConfigurationChange { base: base.0, version: next.0, digest: digest(next.1.as_bytes()), parts }
}

/// A process that has received version 3.
fn updates(body: &str) -> Updates {
    let mut updates = Updates::default();
    updates.take(whole(3, body));
    updates
}

const BASE: &str = r#"{"V":3,"Routes":[{"N":"a","T":5},{"N":"b","T":5},{"N":"c","T":5}]}"#;
const NEXT: &str = r#"{"V":4,"Routes":[{"N":"a","T":5},{"N":"b","T":7},{"N":"c","T":5}]}"#;

#[test]
fn a_change_becomes_the_whole_configuration() {
    let mut updates = updates(BASE);
    let taken = updates.take(CoordinatorReply::ConfigurationChange(change((3, BASE), (4, NEXT))));
    assert_eq!(taken, TakenReply { reply: Some(whole(4, NEXT)), is_update: true });
    assert_eq!(updates.received(), ReceivedUpdates { configuration: 4, ..ReceivedUpdates::default() });
}

#[test]
fn a_change_of_another_base_changes_nothing_and_is_confirmed_with_what_is_there() {
    let mut updates = updates(BASE);
    let taken = updates.take(CoordinatorReply::ConfigurationChange(change((2, BASE), (4, NEXT))));
    assert_eq!(taken, TakenReply { reply: None, is_update: true });
    assert_eq!(updates.received().configuration, 3);
}

#[test]
fn a_change_that_does_not_lead_to_its_digest_is_asked_for_anew_as_a_whole() {
    let mut updates = updates(BASE);
    let damaged = ConfigurationChange { digest: 0, ..change((3, BASE), (4, NEXT)) };
    let taken = updates.take(CoordinatorReply::ConfigurationChange(damaged));
    assert_eq!(taken, TakenReply { reply: None, is_update: true });
    assert_eq!(updates.received().configuration, 0);
    assert_eq!(updates.take(whole(4, NEXT)).reply, Some(whole(4, NEXT)));
}

#[test]
fn an_older_configuration_is_confirmed_with_the_newer_one() {
    let mut updates = updates(BASE);
    assert!(updates.take(whole(2, NEXT)).is_update);
    assert_eq!(updates.received().configuration, 3);
    let taken = updates.take(CoordinatorReply::ConfigurationChange(change((3, BASE), (4, NEXT))));
    assert_eq!(taken.reply, Some(whole(4, NEXT)));
}

#[test]
fn a_change_of_one_object_among_many_takes_little_more_than_that_object() {
    let object = |number: u32, time: u32| format!(r#"{{"Name":"route-{number}","TimeoutMs":{time}}}"#);
    let body = |changed: u32| {
        let objects: Vec<String> =
            (0..1_000).map(|number| object(number, if number == changed { 7 } else { 5 })).collect();
        format!(r#"{{"ResourceVersion":{changed},"Routes":[{}]}}"#, objects.join(","))
    };
    let parts = difference(body(1_000).as_bytes(), body(600).as_bytes());
    let new: usize = parts
        .iter()
        .map(|part| match part {
            BodyPart::New(bytes) => bytes.len(),
            BodyPart::Kept { .. } => 0,
        })
        .sum();
    assert!(parts.len() <= 6 && new < 150, "{} parts with {new} bytes", parts.len());
}

proptest! {
    #[test]
    fn a_difference_restores_the_body(base in "[{},a-c]{0,60}", body in "[{},a-c]{0,60}") {
        let parts = difference(base.as_bytes(), body.as_bytes());
        prop_assert_eq!(restored(base.as_bytes(), &parts), Some(body.into_bytes()));
    }

    #[test]
    fn parts_beyond_the_base_are_refused(base in "[{a]{0,20}", start: u64, length: u64) {
        let fits = start.checked_add(length).is_some_and(|end| end <= base.len() as u64);
        let parts = [BodyPart::Kept { start, length }];
        prop_assert_eq!(restored(base.as_bytes(), &parts).is_some(), fits);
    }
}
