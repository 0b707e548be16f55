//! The configuration read again: what is missing or makes no sense is told with its key.

use super::*;

const GOOD: &str = include_str!("../../../../examples/config.json");

#[test]
fn a_file_read_again_may_leave_nothing_out_and_its_figures_must_be_positive() {
    // Guards what is in force against files written in part: a default would come into force untold.
    let variable = |name: &str| match name {
        "ROUTER_CONFIG" => Some("FILE".to_owned()),
        "ROUTER_DISCOVERY" => Some("127.0.0.1:1".to_owned()),
        _ => None,
    };
    let config = Config::read(variable, |_| Ok(GOOD.to_owned())).unwrap();
    let mut table = String::new();
    for (old, new) in [
        ("\"discovery\": \"127.0.0.1:8500\",", ""),
        ("\"limits\": { \"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024 },", ""),
        (", \"sockets\": 1024", ""),
        ("\"max_attempts\": 5,", ""),
        ("\"max_attempts\": 5", "\"max_attempts\": 0"),
        ("\"max_attempts\": 5", "\"max_attempts\": -1"),
        ("\"max_attempts\": 5", "\"max_attempts\": \"many\""),
        ("\"aim\": 300000, \"deadline\": 5000000", "\"aim\": 300000"),
        ("\"deadline\": 5000000", "\"deadline\": 0"),
        ("\"deadline\": 5000000", "\"deadline\": -5"),
        ("\"deadline\": 5000000", "\"deadline\": 1e999"),
        ("\"deadline\": 5000000", "\"deadline\": null"),
        ("\"semantics\": \"fragile\", ", ""),
        ("\"tip_multiple\": 3.0", "\"tip\": 3.0"),
        ("[-1, 0]", "[-1]"),
        ("\"name\": \"tint\"", "\"name\": \"pour\""),
        (GOOD, ""),
        (&GOOD[200..], ""),
        ("\"profiles\": [", "\"profiles\": [], \"others\": ["),
    ] {
        assert!(GOOD.contains(old), "{old}");
        let text = GOOD.replacen(old, new, 1);
        let fault = config.read_again(variable, |_| Ok(text.clone())).expect_err(old).to_string();
        table += &format!("{}\n", fault.split(" at line").next().unwrap_or_default());
    }
    insta::assert_snapshot!(table, @r#"
    discovery: is missing
    limits: is missing
    limits.sockets: is missing
    settings.limits.max_attempts: is missing
    settings: limits.max_attempts: must be at least 1
    settings: limits.max_attempts: invalid value: integer `-1`, expected usize
    settings: limits.max_attempts: invalid type: string "many", expected usize
    settings.profiles[0].deadline: is missing
    settings: profiles[0].deadline: must be above 0
    settings: profiles[0].deadline: invalid value: integer `-5`, expected u64
    settings: profiles[0].deadline: number out of range
    settings: profiles[0].deadline: invalid type: null, expected u64
    settings.profiles[1].semantics: is missing
    settings.obligations.tip_multiple: is missing
    settings: family_info.class_kind: must have an entry for each class
    settings: profiles[1].name: is there twice
    ROUTER_CONFIG: FILE: EOF while parsing a value
    ROUTER_CONFIG: FILE: settings: EOF while parsing an object
    settings: family_info.class_kind: must have an entry for each class
    "#);
    // Anything may come, and what an earlier list knew of machines need not.
    let more = GOOD.replacen(
        "\"settings\"",
        "\"known\": {\"version\":1,\"full\":true,\"servers\":[]}, \"settings\"",
        1,
    );
    let grown = config.read_again(variable, |_| Ok(more.clone())).unwrap();
    assert!(grown.read_again(variable, |_| Ok(GOOD.to_owned())).is_ok());
}
