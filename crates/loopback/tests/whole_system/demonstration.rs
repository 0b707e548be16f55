//! The demonstration that the docs name.

use std::process::Command;

#[test]
fn the_demonstration_shows_what_became_of_each_message() {
    let output = Command::new(env!("CARGO_BIN_EXE_demonstration")).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let ended = text.lines().filter(|line| line.contains(" succeeded ") || line.contains(" dead_letter "));
    assert_eq!(ended.count(), 54, "{text}");
    assert!(text.contains("in order by key: yes"), "{text}");
}
