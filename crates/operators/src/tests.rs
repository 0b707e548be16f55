//! The operator file: the example, its defaults, and how faults are told.

use super::*;

const EXAMPLE: &str = include_str!("../../../examples/operators.xml");

/// The faults of the example with one text put for another.
fn faults(old: &str, new: &str) -> String {
    assert!(EXAMPLE.contains(old), "{old}");
    let text = EXAMPLE.replacen(old, new, 1);
    let names = |names: [&str; 2]| names.map(str::to_owned);
    let read = Operators::read(&text)
        .and_then(|read| read.check(&names(["tint", "pour"]), &names(["acme", "zenith"]), 300));
    match read {
        Ok(()) => format!("{new:?}: none\n"),
        Err(faults) => faults.iter().map(|fault| format!("{fault}\n")).collect(),
    }
}

#[test]
fn the_example_is_read_with_the_defaults_of_the_schema() {
    // Guards against a second truth beside the schema, and against an example that does not work.
    let read = Operators::read(EXAMPLE).unwrap();
    let gearman = read.gearman.as_ref().unwrap();
    assert_eq!((gearman.limits.connections, gearman.limits.packet_bytes), (256, 1 << 20));
    assert_eq!(gearman.limits.unread_bytes, 4 << 20);
    assert_eq!(
        gearman.functions.iter().map(|function| function.pool.as_str()).collect::<Vec<_>>(),
        ["gearman"; 2]
    );
    assert_eq!(faults("<!--", "<!--"), "\"<!--\": none\n");
    assert_eq!(Operators::read("<operators/>").unwrap(), Operators::default());
}

#[test]
fn a_fault_is_told_with_its_line_and_what_was_expected_and_all_at_once() {
    let mut table = String::new();
    for (old, new) in [
        ("<operators", "<operator"),
        ("</gearman>", "</german>"),
        ("listen=\"127.0.0.1:4730\"", ""),
        ("listen=\"127.0.0.1:4730\"", "listen=\"localhost\""),
        ("listen=\"127.0.0.1:4730\"", "listen=\"127.0.0.1:99999\""),
        ("connections=\"256\"", "connections=\"0\" packet-kib=\"x\" color=\"red\""),
        ("connections=\"256\"", "connections=\"1000\""),
        ("connections=\"256\"", "unread-kib=\"1\""),
        ("name=\"pour\" class", "name=\"tint\" class"),
        ("class=\"pour\"", "class=\"poor\""),
        ("tenant=\"acme\"", "tenant=\"nobody\""),
        ("<function ", "<job/><function "),
        ("wait-ms=\"10000\"", "wait-ms=\"-1\""),
        (EXAMPLE, ""),
        (EXAMPLE, "<operators>"),
    ] {
        table += &faults(old, new);
    }
    insta::assert_snapshot!(table);
}
