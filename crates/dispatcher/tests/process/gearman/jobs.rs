//! Jobs from clients: results, duplicates, priorities, and those that must wait or are refused.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use ruddervalve_gearman::codec::Kind;
use ruddervalve_gearman_peers::{Ended, Peer};

use super::program::{GearmanProgram, job_of, mixes, text};
use crate::rig::*;

#[test]
fn jobs_go_to_workers_and_results_back_over_both_protocols_at_once() {
    let program = GearmanProgram::new();
    program.worker("w", &["tint", "pour"], mixes);
    program.able("tint", 1);
    thread::scope(|scope| {
        for number in 0..4 {
            let program = &program;
            scope.spawn(move || {
                let mut client = program.peer();
                for job in 0..25 {
                    let payload = format!("{number}-{job}");
                    let ended = client.run("tint", "", payload.as_bytes()).unwrap();
                    assert_eq!(ended, Ended::Complete(format!("mixed {payload}").into()));
                    assert_eq!(program.rig.ask(&job_of("tint")).status(), "200");
                }
            });
        }
    });
    assert_eq!(program.count("gearman.assigned"), 100);
    assert_eq!(program.rig.seen(|seen| seen.requests.len()), 100, "each side has its own nodes");
}

#[test]
fn one_unique_id_from_five_clients_at_once_runs_once_and_answers_five() {
    let program = GearmanProgram::new();
    let (let_go, wait) = mpsc::channel::<()>();
    let runs = Arc::new(AtomicUsize::new(0));
    let ran = runs.clone();
    program.worker("w", &["pour"], move |peer, job| {
        ran.fetch_add(1, Relaxed);
        wait.recv().is_ok() && peer.complete(job, b"poured").is_ok()
    });
    program.able("pour", 1);
    let mut clients: Vec<Peer> = (0..5).map(|_| program.peer()).collect();
    let submit = |client: &mut Peer| client.submit(Kind::SubmitJob, "pour", "can-7", b"blue").unwrap();
    let handles: Vec<_> = clients.iter_mut().map(submit).collect();
    assert!(handles.windows(2).all(|two| two[0] == two[1]), "{handles:?}");
    let mut asks = program.peer();
    asks.send(Kind::GetStatusUnique, &[b"can-7"]).unwrap();
    until("it runs", || (runs.load(Relaxed) == 1).then_some(()));
    assert_eq!(text(&asks.packet().unwrap().body).rsplit('\0').next(), Some("5"));
    let_go.send(()).unwrap();
    for client in &mut clients {
        assert_eq!(client.outcome().unwrap(), Ended::Complete("poured".into()));
    }
    // One that comes after the end is given the kept result, and a job of another id runs.
    assert_eq!(program.peer().run("pour", "can-7", b"blue").unwrap(), Ended::Complete("poured".into()));
    assert_eq!(runs.load(Relaxed), 1);
    let_go.send(()).unwrap();
    assert_eq!(program.peer().run("pour", "can-8", b"blue").unwrap(), Ended::Complete("poured".into()));
    assert_eq!(runs.load(Relaxed), 2);
}

#[test]
fn a_client_that_vanishes_and_submits_again_joins_the_job_or_gets_what_is_kept() {
    let program = GearmanProgram::new();
    let (let_go, wait) = mpsc::channel::<()>();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let ran = runs.clone();
    program.worker("w", &["pour"], move |peer, job| {
        ran.lock().unwrap().push(text(&job.unique));
        peer.send(Kind::WorkData, &[&job.handle, b"half "]).unwrap();
        wait.recv().is_ok() && peer.complete(job, b"full").is_ok()
    });
    program.able("pour", 1);
    let mut client = program.peer();
    client.submit(Kind::SubmitJob, "pour", "a", b"").unwrap();
    until("it runs", || (runs.lock().unwrap().len() == 1).then_some(()));
    drop(client);
    program.counted("gearman.last_client_left", 1);
    // In the middle: joined, with what was sent before.
    let mut again = program.peer();
    again.submit(Kind::SubmitJob, "pour", "a", b"").unwrap();
    let part = again.packet().unwrap();
    assert_eq!((part.kind, part.body.ends_with(b"half ")), (Kind::WorkData, true));
    drop(again);
    program.counted("gearman.last_client_left", 2);
    let_go.send(()).unwrap();
    until("its result is kept", || {
        program.rig.call("vars\n").contains("gearman.kept_results=1").then_some(())
    });
    // After the end, also in the background and with the text protocol's word on it.
    let mut late = program.peer();
    late.submit(Kind::SubmitJob, "pour", "a", b"").unwrap();
    assert_eq!(late.packet().unwrap().kind, Kind::WorkData);
    assert_eq!(late.outcome().unwrap(), Ended::Complete("full".into()));
    late.submit(Kind::SubmitJobBg, "pour", "a", b"").unwrap();
    assert_eq!(program.peer().ask("show unique jobs").unwrap(), Vec::<String>::new());
    assert_eq!(*runs.lock().unwrap(), ["a"]);
}

#[test]
fn a_background_job_waits_for_a_worker_and_comes_back_when_it_is_refused() {
    let program = GearmanProgram::new();
    let mut client = program.peer();
    let handle = client.submit(Kind::SubmitJobBg, "tint", "", b"").unwrap();
    drop(client);
    let mut client = program.peer();
    client.send(Kind::GetStatus, &[&handle]).unwrap();
    assert_eq!(text(&client.packet().unwrap().body), format!("{}\x001\x000\x000\x000", text(&handle)));
    // Its claims are used up by workers that die with it; then one is there that does not.
    for number in 1..=5 {
        program.worker(&format!("dies {number}").replace(' ', "-"), &["tint"], |_, _| false);
        program.counted("gearman.worker_gone_with_job", number);
    }
    program.counted("gearman.background_came_back", 1);
    let (told, ran) = mpsc::channel();
    program.worker("w", &["tint"], move |peer, job| {
        told.send(()).unwrap();
        peer.complete(job, b"").is_ok()
    });
    ran.recv_timeout(Duration::from_secs(60)).expect("it ran");
    until("it is known no more", || {
        client.send(Kind::GetStatus, &[&handle]).unwrap();
        client.packet().unwrap().body.ends_with(b"\x000\x000\x000\x000").then_some(())
    });
}

#[test]
fn a_foreground_job_without_a_worker_is_refused_with_a_time_to_come_back() {
    let program = GearmanProgram::with(|file| file.replace("wait-ms=\"10000\"", "wait-ms=\"300\""));
    let mut client = program.peer();
    let Ended::Fail(Some(said)) = client.run("tint", "", b"").unwrap() else { panic!("not refused") };
    assert!(text(&said).starts_with("refused: come back in "), "{said:?}");
    // With exceptions on it comes as one.
    client.send(Kind::OptionReq, &[b"exceptions"]).unwrap();
    assert_eq!(client.packet().unwrap().kind, Kind::OptionRes);
    client.submit(Kind::SubmitJob, "tint", "", b"").unwrap();
    assert_eq!(client.packet().unwrap().kind, Kind::WorkException);
    assert_eq!(client.packet().unwrap().kind, Kind::WorkFail);
}

#[test]
fn a_workers_exception_reaches_those_who_want_it_with_the_one_end() {
    let program = GearmanProgram::new();
    program.worker("w", &["pour"], |peer, job| {
        peer.send(Kind::WorkException, &[&job.handle, b"lid stuck"]).is_ok() && peer.fail(job).is_ok()
    });
    program.able("pour", 1);
    let (mut plain, mut wants) = (program.peer(), program.peer());
    wants.send(Kind::OptionReq, &[b"exceptions"]).unwrap();
    wants.packet().unwrap();
    assert_eq!(plain.run("pour", "p", b"").unwrap(), Ended::Fail(None));
    assert_eq!(wants.run("pour", "p", b"").unwrap(), Ended::Fail(Some("lid stuck".into())));
}

#[test]
fn a_result_is_kept_for_its_time_and_a_job_without_a_place_for_it_is_refused() {
    let program = GearmanProgram::with(|file| {
        let file = file.replace("connections=\"256\"", "kept-results=\"2\" kept-kib=\"1\"");
        file.replace("keep-ms=\"600000\"", "keep-ms=\"2000\"")
    });
    let runs = Arc::new(AtomicUsize::new(0));
    let ran = runs.clone();
    program.worker("w", &["pour"], move |peer, job| {
        ran.fetch_add(1, Relaxed);
        peer.complete(job, &[b'x'; 700]).is_ok()
    });
    program.able("pour", 1);
    let mut client = program.peer();
    let full = Ended::Complete(vec![b'x'; 700].into());
    assert_eq!(client.run("pour", "a", b"").unwrap(), full);
    assert_eq!(client.run("pour", "b", b"").unwrap(), full);
    // The bytes of the first had to go, what it came to has not: it does not run again. A third has no place.
    assert_eq!(client.run("pour", "b", b"").unwrap(), full);
    assert_eq!(client.run("pour", "a", b"").unwrap(), Ended::Fail(None));
    let refused = client.submit(Kind::SubmitJob, "pour", "c", b"").unwrap_err().to_string();
    assert_eq!(refused, "RESULTS_FULL\0come back in 250 ms");
    assert_eq!(runs.load(Relaxed), 2);
    // Its time over, it is a job like any other.
    let again = |client: &mut Peer| client.run("pour", "a", b"").unwrap() == full && runs.load(Relaxed) == 3;
    until("it runs again", || again(&mut client).then_some(()));
}

#[test]
fn of_what_waits_the_higher_priority_runs_first() {
    let program = GearmanProgram::new();
    let (let_go, wait) = mpsc::channel::<()>();
    let order = Arc::new(Mutex::new(Vec::new()));
    let ran = order.clone();
    program.worker("w", &["pour"], move |peer, job| {
        ran.lock().unwrap().push(text(&job.payload));
        wait.recv().is_ok() && peer.complete(job, b"").is_ok()
    });
    program.able("pour", 1);
    let mut client = program.peer();
    // One runs, one stays at the worker; of the others the order is the priority's.
    for (kind, payload) in [
        (Kind::SubmitJob, "runs"),
        (Kind::SubmitJob, "stays"),
        (Kind::SubmitJobLow, "low"),
        (Kind::SubmitJob, "normal"),
        (Kind::SubmitJobHigh, "high"),
    ] {
        client.submit(kind, "pour", "", payload.as_bytes()).unwrap();
        until("it runs", || (!order.lock().unwrap().is_empty()).then_some(()));
    }
    for _ in 0..5 {
        let_go.send(()).unwrap();
        client.outcome().unwrap();
    }
    assert_eq!(*order.lock().unwrap(), ["runs", "stays", "high", "normal", "low"]);
}
