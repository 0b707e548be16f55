//! The decision module stays short enough to be read aloud.

const LOGIC: &str = include_str!("../src/logic.rs");

#[test]
fn the_module_keeps_its_limits() {
    let lines = LOGIC.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 550, "{lines} lines that are not blank, 550 allowed");
    for (number, line) in LOGIC.lines().enumerate() {
        let columns = line.chars().count();
        assert!(columns <= 110, "line {}: {columns} columns, 110 allowed", number + 1);
    }
}

#[test]
fn the_module_names_its_interface_first() {
    assert!(LOGIC.lines().next().is_some_and(|line| line.contains("src/interface.rs")));
}
