//! Reading the settings file.

mod common;

use std::path::{Path, PathBuf};

use common::EDGE_SETTINGS;
use proptest::prelude::*;
use ruddervalve_configuration::{Serves, Settings, SettingsError};

fn changed(from: &str, to: &str) -> String {
    assert!(EDGE_SETTINGS.contains(from), "the document has no {from}");
    EDGE_SETTINGS.replacen(from, to, 1)
}

fn settings(body: &str) -> Settings {
    Settings::parse(body.as_bytes()).unwrap_or_else(|faults| panic!("it is valid: {faults}"))
}

fn faults(body: &str) -> String {
    Settings::parse(body.as_bytes()).expect_err("a fault was expected").to_string()
}

/// The settings of a role that serves something else.
fn of_role(serves: &str) -> String {
    changed(r#""Serves":["edge"]"#, &format!(r#""Serves":{serves}"#))
}

#[test]
fn the_settings_of_an_edge_are_read() {
    insta::assert_debug_snapshot!(settings(EDGE_SETTINGS));
}

#[test]
fn the_settings_of_a_coordinator_are_read() {
    let body = of_role(r#"["control_plane"]"#).replace(r#""DataDir":null"#, r#""DataDir":"/data""#).replace(
        r#"{"Front":"10.1.0.40:8069","Readiness":"10.1.0.40:8063"}"#,
        r#"{"Front":null,"ControlPlane":"10.1.0.40:8064"}"#,
    );
    let settings = settings(&body);
    assert_eq!(settings.serves, Serves::CONTROL_PLANE);
    assert_eq!(settings.listen.front, None);
    assert_eq!(settings.listen.control_plane.map(|address| address.port()), Some(8064));
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data")));
    assert_eq!(settings.cloud_provider.map(|provider| provider.max_lag_ms), Some(800));
}

#[test]
fn the_settings_of_a_store_need_no_addresses_for_callers() {
    let body = of_role(r#"["storage","something-new"]"#)
        .replace(r#""DataDir":null"#, r#""DataDir":"/data""#)
        .replace(r#""ListenAddrs":{"Front":"10.1.0.40:8069","Readiness":"10.1.0.40:8063"},"#, "")
        .replace(r#""CloudProvider""#, r#""Else""#);
    let settings = settings(&body);
    assert_eq!(settings.serves, Serves::STORAGE);
    assert_eq!(settings.listen.front, None);
    assert_eq!(settings.cloud_provider, None);
    assert_eq!(settings.region("south"), Some("isle"));
    assert_eq!(settings.region("west"), None);
    assert_eq!(settings.internal_ports.range().count(), 16);
}

#[test]
fn a_role_that_serves_nothing_needs_least_and_gets_the_defaults() {
    let body = r#"{"NodeName":"n","Serves":[],"Ip":"10.1.0.40","Zone":"z","InternalPortRange":[7780,7780],"SeedNodes":[],"Bounds":{"LivenessMs":4000}}"#;
    insta::assert_debug_snapshot!(settings(body));
}

#[test]
fn a_heartbeat_of_0_counts_as_not_given() {
    assert_eq!(settings(&changed("1200", "0")).heartbeat_ms, 1000);
    assert_eq!(settings(&changed("1200", "null")).heartbeat_ms, 1000);
}

#[test]
fn unknown_fields_are_ignored() {
    let body = changed(
        r#"{
"NodeName""#,
        r#"{"Colour":[{}],"NodeName""#,
    )
    .replace(r#""SyncS""#, r#""Spare":true,"Other":1.5,"SyncS""#);
    assert_eq!(settings(&body), settings(EDGE_SETTINGS));
}

#[test]
fn all_faults_are_told_at_once_with_their_places() {
    let body = EDGE_SETTINGS
        .replace(r#""NodeName":"edge-north-1""#, r#""NodeName":"""#)
        .replace(r#""Ip":"10.1.0.40""#, r#""Ip":"here""#)
        .replace(r#""Zone":"north","#, "")
        .replace(r#""south":"isle""#, r#""so/u~th":1"#)
        .replace(r#""Front":"10.1.0.40:8069","#, "")
        .replace(r#""Readiness":"10.1.0.40:8063""#, r#""Readiness":"10.1.0.40""#)
        .replace("[7780,7795]", "[7795,7780]")
        .replace("10.2.0.43:8064", "10.2.0.43:99999")
        .replace(r#""Bootstrap":true"#, r#""Bootstrap":"yes""#)
        .replace(r#""CpuWeight":0.25"#, r#""CpuWeight":0"#)
        .replace(r#""MemoryMb":260"#, r#""MemoryMb":-1"#)
        .replace(r#""LivenessMs":4000"#, r#""LivenessMs":0"#)
        .replace(r#""DrainTimeoutMs":3000,"#, "")
        .replace(r#""SyncS":4.5"#, r#""SyncS":"long""#)
        .replace(r#""RatePerS":49.0"#, r#""RatePerS":0"#);
    insta::assert_snapshot!(faults(&body));
}

#[test]
fn each_role_is_told_what_it_needs() {
    for (role, serves) in
        [("edge", r#"["edge"]"#), ("store", r#"["storage"]"#), ("coordinator", r#"["control_plane"]"#)]
    {
        let body =
            format!(r#"{{"NodeName":"n","Serves":{serves},"Bounds":{{}},"Limits":{{}},"ListenAddrs":{{}}}}"#);
        insta::assert_snapshot!(format!("needed_by_{role}"), faults(&body));
    }
}

#[test]
fn ports_are_a_pair_in_order() {
    for wrong in
        ["[7780]", "[1,2,3]", "[0,5]", "[1,65536]", "[2,1]", "[1.5,2]", r#"["1","2"]"#, "7780", "null"]
    {
        assert!(Settings::parse(changed("[7780,7795]", wrong).as_bytes()).is_err(), "taken: {wrong}");
    }
}

#[test]
fn a_file_that_cannot_be_had_is_told_with_its_path() {
    let error = Settings::read(Path::new("no/such/file.json")).expect_err("it is not there");
    assert!(matches!(&error, SettingsError::Unreadable { path, .. } if path == "no/such/file.json"));
    assert!(error.to_string().contains("no/such/file.json"), "{error}");
}

#[test]
fn a_file_is_read_and_its_faults_are_told() {
    let folder = std::env::temp_dir().join(format!("ruddervalve-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    let path = folder.join("settings.json");
    std::fs::write(&path, EDGE_SETTINGS).expect("the file is written");
    assert_eq!(Settings::read(&path).expect("it is valid").node, "edge-north-1");
    std::fs::write(&path, "{}").expect("the file is written");
    assert!(matches!(Settings::read(&path), Err(SettingsError::Faulty(_))));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn faults_are_told_one_a_line() {
    let faults = Settings::parse(b"{}").expect_err("all is missing");
    let count = faults.faults.len();
    let told = SettingsError::Faulty(faults).to_string();
    assert!(!told.contains('\\'), "{told}");
    assert_eq!(told.lines().count(), count + 1, "{told}");
}

proptest! {
    #[test]
    fn every_cut_is_a_fault(length in 0..EDGE_SETTINGS.len()) {
        let cut = EDGE_SETTINGS.as_bytes().get(..length).unwrap_or_default();
        prop_assert!(Settings::parse(cut).is_err());
    }

    #[test]
    fn no_change_of_a_byte_makes_it_panic(position in 0..EDGE_SETTINGS.len(), byte: u8) {
        let mut body = EDGE_SETTINGS.as_bytes().to_vec();
        if let Some(place) = body.get_mut(position) {
            *place = byte;
        }
        let _ = Settings::parse(&body);
    }
}
