//! The disks in the rig's memory do what the disk of a process is expected to do.

use std::io::ErrorKind;

use ruddervalve_disk::Folder;
use ruddervalve_loopback::{MemoryDisks, MemoryFolder};

fn folder(disks: &MemoryDisks, machine: &str) -> MemoryFolder {
    MemoryFolder::connect(disks.address(), machine).expect("it is served")
}

#[test]
fn what_was_written_outlives_the_process() {
    let disks = MemoryDisks::start().expect("an address is free");
    let life = folder(&disks, "store-1");
    let mut file = life.create("log").expect("it can be made");
    file.append(b"one").expect("it is open");
    file.append(b"two").expect("it is open");
    drop((file, life));
    let next_life = folder(&disks, "store-1");
    assert_eq!(next_life.list().expect("it answers"), ["log"]);
    assert_eq!(next_life.read("log").expect("it answers"), Some(b"onetwo".to_vec()));
    assert_eq!(next_life.read_start("log", 2).expect("it answers"), Some(b"on".to_vec()));
    next_life.open_append("log").expect("it is there").append(b"three").expect("it is open");
    assert_eq!(next_life.read("log").expect("it answers"), Some(b"onetwothree".to_vec()));
}

#[test]
fn names_change_as_on_a_file_system() {
    let disks = MemoryDisks::start().expect("an address is free");
    let folder = folder(&disks, "store-1");
    let mut file = folder.create("new").expect("it can be made");
    folder.create("old").expect("it can be made").append(b"old").expect("it is open");
    folder.rename("new", "old").expect("it is there");
    file.append(b"still open").expect("it is open");
    file.set_len(5).expect("it is open");
    assert_eq!(folder.read("old").expect("it answers"), Some(b"still".to_vec()));
    folder.remove("old").expect("it is there");
    assert_eq!(folder.read("old").expect("it answers"), None);
    for missing in [folder.remove("old"), folder.rename("old", "new"), folder.open_append("old").map(drop)] {
        assert_eq!(missing.expect_err("it is gone").kind(), ErrorKind::NotFound);
    }
}

#[test]
fn machines_share_nothing_and_a_lost_disk_is_empty() {
    let disks = MemoryDisks::start().expect("an address is free");
    let (one, other) = (folder(&disks, "store-1"), folder(&disks, "store-2"));
    one.create("log").expect("it can be made");
    other.create("log").expect("it can be made").append(b"kept").expect("it is open");
    disks.erase("store-1");
    assert!(one.list().expect("it answers").is_empty());
    assert_eq!(other.read("log").expect("it answers"), Some(b"kept".to_vec()));
}
