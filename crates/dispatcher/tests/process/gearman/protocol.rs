//! The text protocol, and peers that do not keep to the binary one.

use std::net::TcpStream;
use std::sync::mpsc;

use insta::assert_snapshot;
use ruddervalve_gearman::codec::{Frame, Kind};
use ruddervalve_gearman_peers::Ended;

use super::program::{GearmanProgram, mixes, text};
use crate::rig::*;

#[test]
fn the_text_protocol_tells_what_is_there_and_changes_what_it_may() {
    let program = GearmanProgram::new();
    let (let_go, wait) = mpsc::channel::<()>();
    program.worker("w", &["pour", "tint"], move |peer, job| wait.recv().is_ok() && mixes(peer, job));
    program.able("pour", 1);
    let mut client = program.peer();
    client.submit(Kind::SubmitJob, "pour", "first", b"").unwrap();
    until("it runs", || (program.peer().ask("status").unwrap()[0] == "pour\t1\t1\t1").then_some(()));
    let second = client.submit(Kind::SubmitJob, "pour", "second", b"").unwrap();
    let mut admin = program.peer();
    let mut said = String::new();
    for line in [
        "status",
        "show jobs",
        "show unique jobs",
        "maxqueue pour 2",
        "maxqueue paint 2",
        "maxqueue pour x",
        "cancel job H:n0:1",
        "cancel job H:n0:2",
        "cancel job H:n0:2",
        "show unique jobs",
        "shutdown",
        "paint",
        "status\r",
    ] {
        said += &format!("> {}\n{}\n", line.trim(), admin.ask(line).unwrap().join("\n"));
    }
    assert_snapshot!(said.replace('\t', " | "));
    let workers = admin.ask("workers").unwrap();
    assert!(workers.iter().any(|line| line.ends_with(" 127.0.0.1 w : pour tint")), "{workers:?}");
    assert_eq!(admin.ask("version").unwrap(), [format!("OK {}", env!("CARGO_PKG_VERSION"))]);
    assert_eq!(admin.ask("getpid").unwrap(), [format!("OK {}", program.rig.child.id())]);
    // The cancelled one had its end, and of two allowed one more is taken.
    let packet = client.packet().unwrap();
    assert_eq!((packet.kind, packet.body), (Kind::WorkFail, second));
    client.submit(Kind::SubmitJob, "pour", "third", b"").unwrap();
    let full = client.submit(Kind::SubmitJob, "pour", "fourth", b"").unwrap_err();
    assert_eq!(full.to_string(), "QUEUE_FULL\0come back in 250 ms");
    let_go.send(()).unwrap();
    let_go.send(()).unwrap();
}

#[test]
fn what_is_not_carried_or_not_right_gets_an_error_and_the_connection_lives_on() {
    let program = GearmanProgram::new();
    let mut peer = program.peer();
    let mut said = String::new();
    for (kind, args) in [
        (Kind::SubmitJobEpoch, &[&b"tint"[..], b"u", b"9", b""][..]),
        (Kind::SubmitJobSched, &[b"tint", b"u", b"1", b"1", b"1", b"1", b"1", b""]),
        (Kind::SubmitReduceJob, &[b"tint", b"u", b"r", b""]),
        (Kind::Other(99), &[b"x"]),
        (Kind::SubmitJob, &[b"paint", b"u", b""]),
        (Kind::SubmitJob, &[b"tint", b"u"]),
        (Kind::SubmitJob, &[b"tint", &[b'u'; 300], b""]),
        (Kind::CanDo, &[b"paint"]),
        (Kind::CanDoTimeout, &[b"tint", b"soon"]),
        (Kind::SetClientId, &[b"two words"]),
        (Kind::OptionReq, &[b"wings"]),
        (Kind::WorkComplete, &[b"H:n0:1", b""]),
        (Kind::WorkStatus, &[b"H:n0:1", b"1", b"2"]),
        (Kind::JobCreated, &[b"H:n0:1"]),
        (Kind::GrabJob, &[]),
    ] {
        peer.send(kind, args).unwrap();
        let packet = peer.packet().unwrap();
        said += &format!("{kind:?}: {:?} {}\n", packet.kind, text(&packet.body).replace('\0', " | "));
    }
    peer.send(Kind::EchoReq, &[b"still\0here"]).unwrap();
    assert_eq!(&peer.packet().unwrap().body[..], b"still\0here");
    assert_snapshot!(said);
}

#[test]
fn broken_framing_ends_its_connection_and_no_other() {
    let program = GearmanProgram::new();
    program.worker("w", &["tint"], mixes);
    program.able("tint", 1);
    for (bytes, told) in [
        (&b"\0RAQ\0\0\0\x07\0\0\0\0"[..], true),
        (b"\0REQ\0\0\0\x07\xff\xff\xff\xff", true),
        (b"GET / HTTP/1.1\0\r\n", true),
        (&[b'a'; 5_000], true),
        (b"\0REQ\0\0\0\x07\0\0\0\x10half", false),
    ] {
        let mut peer = program.peer();
        peer.raw(bytes).unwrap();
        peer.end().unwrap();
        let first = peer.frame().unwrap();
        assert_eq!(
            matches!(&first, Some(Frame::Packet(packet)) if packet.kind == Kind::Error),
            told,
            "{first:?}"
        );
        assert!(first.is_none() || peer.frame().unwrap().is_none());
    }
    // A job in single bytes is a job.
    let mut slow = program.peer();
    for byte in b"\0REQ\0\0\0\x07\0\0\0\x09tint\0\0can" {
        slow.raw(&[*byte]).unwrap();
    }
    assert_eq!(slow.packet().unwrap().kind, Kind::JobCreated);
    assert_eq!(slow.outcome().unwrap(), Ended::Complete("mixed can".into()));
}

#[test]
fn a_peer_that_does_not_read_is_closed_and_the_others_are_served_on() {
    let program = GearmanProgram::with(|file| {
        file.replace("connections=\"256\"", "packet-kib=\"64\" unread-kib=\"256\"")
    });
    program.worker("w", &["tint"], mixes);
    program.able("tint", 1);
    let mut stops = program.peer();
    let block = vec![b'x'; 60 << 10];
    // Echoes without end, none of them read; what waits for it is bounded.
    until("it is closed", || stops.send(Kind::EchoReq, &[&block]).is_err().then_some(()));
    let closed = program.count("gearman.slow_reader_closed") + program.count("gearman.stopped_reading");
    assert_eq!(closed, 1);
    assert!(matches!(program.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
}

#[test]
fn silent_connections_make_room_and_those_that_work_keep_theirs() {
    let program = GearmanProgram::new();
    program.worker("w", &["tint"], mixes);
    program.able("tint", 1);
    let mut client = program.peer();
    assert!(matches!(client.run("tint", "", b"").unwrap(), Ended::Complete(_)));
    let mut silent: Vec<TcpStream> = Vec::new();
    for _ in 0..5 {
        silent.extend((0..400).map(|_| TcpStream::connect(program.address).unwrap()));
        assert!(matches!(client.run("tint", "", b"").unwrap(), Ended::Complete(_)));
    }
    program.counted("gearman.silent_given_up", 1);
    assert!(program.count("gearman.connections_at_once") <= 256);
    assert!(matches!(program.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
}

#[test]
fn one_that_says_nothing_for_too_long_is_closed() {
    let program = GearmanProgram::with(|file| file.replace("connections=\"256\"", "first-packet-ms=\"30\""));
    assert!(program.peer().frame().unwrap().is_none());
    assert_eq!(program.count("gearman.silent"), 1);
}
