//! What CI makes of `KNOWN-RED.txt`, with a stand-in for cargo that has four tests, of which `red` fails.

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::process::Command;

const CARGO: &str = r#"#!/usr/bin/env bash
case "$*" in
  *--list) printf '%s: test\n' green red twice twice; exit ;;
  *"--exact red") echo "ran red"; exit 101 ;;
  *"--exact green") echo "ran green"; exit ;;
esac
case "$*" in *"--skip red"*) echo "ran all but red" ;; *) echo "ran all"; exit 101 ;; esac
"#;

/// Whether CI passes with this list, and what it says.
fn ci(list: &str) -> (bool, String) {
    let name = format!("ruddervalve-known-red-{}-{:?}", std::process::id(), std::thread::current().id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("KNOWN-RED.txt"), list).unwrap();
    fs::write(folder.join("cargo"), CARGO).unwrap();
    fs::set_permissions(folder.join("cargo"), fs::Permissions::from_mode(0o755)).unwrap();
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test");
    let run = Command::new("bash").arg(script).arg(&folder).env("PATH", path).output().unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let said = String::from_utf8([run.stdout, run.stderr].concat()).unwrap();
    (run.status.success(), said)
}

#[test]
fn tests_known_to_be_red_run_apart_and_alone_fail_nothing() {
    assert_eq!(ci(""), (false, "ran all\n".to_owned()), "with none listed all count");
    let (passed, said) = ci("red | it leaks | 31\n");
    assert_eq!(said, "ran red\nknown red, and fails: red (it leaks; issue 31)\nran all but red\n");
    assert!(passed);
    // One that passes is told, and the verdict is the others'.
    let (passed, said) = ci("green | was slow | 31\n\nred|it leaks|31");
    assert!(
        passed && said.contains("known red, and passes: green (was slow; issue 31): take it off"),
        "{said}"
    );
    let (passed, said) = ci("green | was slow | 31\n");
    assert!(!passed && said.ends_with("ran all\n"), "{said}");
}

#[test]
fn a_list_at_fault_fails() {
    for (list, fault) in [
        ("gone | was there | 31", "'gone' names 0 tests"),
        ("twice | two of them | 31", "'twice' names 2 tests"),
        ("red | no issue", "'red' needs a test, its cause and its issue"),
        ("red||31", "'red' needs a test, its cause and its issue"),
        ("a|b|1\na|b|1\na|b|1\na|b|1\n", "4 tests are listed, three are the most"),
    ] {
        let (passed, said) = ci(list);
        assert!(!passed && said == format!("KNOWN-RED.txt: {fault}\n"), "{list}: {said}");
    }
}
