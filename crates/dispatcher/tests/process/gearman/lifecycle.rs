//! The start, the drain and the end of the program.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use ruddervalve_gearman::codec::Kind;
use ruddervalve_gearman_peers::{Ended, Peer};

use super::program::{GearmanProgram, OPERATORS, mixes, operators_path, text};
use crate::rig::*;

#[test]
fn sigterm_in_the_middle_loses_nothing_that_was_promised() {
    let mut program = GearmanProgram::new();
    let runs = Arc::new(AtomicUsize::new(0));
    let (ran, go) = (runs.clone(), Arc::new(AtomicBool::new(false)));
    let gone = go.clone();
    for worker in 0..2 {
        let (ran, gone) = (ran.clone(), gone.clone());
        program.worker(&format!("w{worker}"), &["pour"], move |peer, job| {
            ran.fetch_add(1, Relaxed);
            until("the end has begun", || gone.load(Relaxed).then_some(()));
            peer.complete(job, b"poured").is_ok()
        });
    }
    program.able("pour", 2);
    let mut clients: Vec<Peer> = (0..8).map(|_| program.peer()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.submit(Kind::SubmitJob, "pour", &number.to_string(), b"").unwrap();
    }
    until("two run", || (runs.load(Relaxed) == 2).then_some(()));
    let mut background = program.peer();
    background.submit(Kind::SubmitJobBg, "pour", "background", b"").unwrap();
    program.rig.signal("-TERM");
    // Only then do the two go on: they are waited for, and each client has its one end.
    thread::sleep(Duration::from_millis(50));
    go.store(true, Relaxed);
    let ends: Vec<Ended> = clients.iter_mut().map(|client| client.outcome().unwrap()).collect();
    let served = ends.iter().filter(|ended| matches!(ended, Ended::Complete(_))).count();
    assert!(served >= 2, "{ends:?}");
    for (client, ended) in clients.iter_mut().zip(&ends) {
        assert!(client.frame().unwrap().is_none(), "nothing after the last word of {ended:?}");
    }
    assert!(program.rig.ended().success());
}

#[test]
fn a_newer_process_takes_the_address_over_when_the_older_one_lets_go() {
    let (seen, listener) = (Shared::default(), TcpListener::bind("127.0.0.1:0").unwrap());
    let (node, http) = (node(&seen), listener.local_addr().unwrap());
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let shared = Socket::new(listener);
    let file = OPERATORS.replace("127.0.0.1:4730", &address.to_string());
    std::fs::write(shared.folder.join("operators.xml"), file).unwrap();
    let config = with_control(CONFIG).replace("127.0.0.1:8000", &http.to_string());
    let config = config.replace("127.0.0.1:8500", &discovery(&seen, node).to_string());
    let serves = |rig: &Rig| {
        let pid = Peer::connect(address).ok()?.ask("getpid").ok()?;
        (pid == [format!("OK {}", rig.child.id())]).then_some(())
    };
    let mut old = Rig::beside(&seen, node, &config, &shared);
    until("the older one serves", || serves(&old));
    let mut worker = Peer::connect(address).unwrap();
    worker.offer("w", &["pour"]).unwrap();
    let mut client = Peer::connect(address).unwrap();
    client.submit(Kind::SubmitJob, "pour", "p", b"").unwrap();
    let job = worker.next_job().unwrap();
    let new = Rig::beside(&seen, node, &config, &shared);
    until("the newer one can serve", || (new.call("check\n") == "OK\n").then_some(()));
    old.signal("-TERM");
    until("the newer one serves", || serves(&new));
    // What the older one has it finishes.
    worker.complete(&job, b"poured").unwrap();
    assert_eq!(client.outcome().unwrap(), Ended::Complete("poured".into()));
    assert!(old.ended().success());
}

#[test]
fn a_drained_dispatcher_takes_no_more_gearman_jobs_than_others() {
    let program = GearmanProgram::new();
    program.worker("w", &["tint"], mixes);
    program.able("tint", 1);
    let mut client = program.peer();
    assert!(matches!(client.run("tint", "", b"").unwrap(), Ended::Complete(_)));
    assert!(program.rig.call("drain-on\n").starts_with("OK"));
    // An idle client is sent away, a worker stays.
    assert!(client.frame().unwrap().is_none());
    let refused = until("it refuses", || match program.peer().run("tint", "", b"").unwrap() {
        Ended::Fail(Some(said)) => Some(text(&said)),
        _ => None,
    });
    assert_eq!(refused, "refused: come back in 250 ms");
    assert!(program.rig.call("drain-off\n").starts_with("OK"));
    assert!(matches!(program.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
}

#[test]
fn shutdown_ends_the_program_where_the_file_allows_it() {
    let mut program = GearmanProgram::with(|file| file.replace("listen=", "shutdown=\"true\" listen="));
    assert_eq!(program.peer().ask("shutdown").unwrap(), ["OK"]);
    assert!(program.rig.ended().success());
}

#[test]
fn a_faulty_operator_file_ends_the_start_and_changes_nothing_later() {
    let program = GearmanProgram::new();
    program.worker("w", &["tint"], mixes);
    program.able("tint", 1);
    let reload = |file: String, counted: &str| {
        std::fs::write(&program.file, file).unwrap();
        program.rig.signal("-HUP");
        until(counted, || program.rig.counters("operators").contains(&counted.to_owned()).then_some(()));
    };
    let good = std::fs::read_to_string(&program.file).unwrap();
    reload(
        good.replace("name=\"tint\" class=\"tint\"", "name=\"paint\" class=\"paint\""),
        "operators.faulty=1",
    );
    assert!(matches!(program.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
    // A function more is taken at once, one that is gone is nobody's ability any more.
    reload(
        good.replace("name=\"tint\" class=\"tint\"", "name=\"paint\" class=\"tint\""),
        "operators.taken=1",
    );
    assert!(program.peer().run("tint", "", b"").is_err());
    program.worker("p", &["paint"], mixes);
    assert!(matches!(program.peer().run("paint", "", b"").unwrap(), Ended::Complete(_)));
    reload(good, "operators.taken=2");
    program.able("tint", 0);

    let faulty = operators_path().with_extension("faulty.xml");
    std::fs::write(&faulty, "<operators>\n <gearman listen=\"here\"/>\n</operators>").unwrap();
    let said = start_with_arguments(&["--operators", faulty.to_str().unwrap()]);
    std::fs::remove_file(&faulty).unwrap();
    assert_eq!(said.0, Some(2));
    let lines: Vec<&str> = said.1.lines().collect();
    assert!(lines.len() >= 2 && lines.iter().all(|line| line.contains(": line 2: ")), "{lines:?}");
}
