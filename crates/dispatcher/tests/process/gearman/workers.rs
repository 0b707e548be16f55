//! Workers that fail, are slow, leave, or come back.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ruddervalve_gearman::codec::Kind;
use ruddervalve_gearman_peers::Ended;

use super::program::{GearmanProgram, mixes, text};

#[test]
fn what_may_be_repeated_goes_to_another_worker_and_what_may_not_fails() {
    let program = GearmanProgram::new();
    let lost = Arc::new(Mutex::new(Vec::new()));
    let seen = lost.clone();
    program.worker("dies", &["tint", "pour"], move |_, job| {
        seen.lock().unwrap().push(text(&job.function));
        false
    });
    program.able("pour", 1);
    assert_eq!(program.peer().run("pour", "p", b"").unwrap(), Ended::Fail(None));
    program.worker("dies-again", &["tint"], |_, _| false);
    program.able("tint", 1);
    let mut client = program.peer();
    client.submit(Kind::SubmitJob, "tint", "t", b"").unwrap();
    program.counted("gearman.worker_gone_with_job", 2);
    program.worker("lives", &["tint"], mixes);
    assert_eq!(client.outcome().unwrap(), Ended::Complete("mixed ".into()));
    assert_eq!(program.peer().run("pour", "p", b"").unwrap(), Ended::Fail(None), "kept");
    assert_eq!(*lost.lock().unwrap(), ["pour"]);
}

#[test]
fn a_job_that_takes_longer_than_its_worker_may_is_given_up_there() {
    let program = GearmanProgram::new();
    let mut slow = program.peer();
    slow.send(Kind::CanDoTimeout, &[b"pour", b"1"]).unwrap();
    let waits = thread::spawn({
        let mut client = program.peer();
        move || client.run("pour", "p", b"").unwrap()
    });
    let job = slow.next_job().unwrap();
    assert_eq!(waits.join().unwrap(), Ended::Fail(None));
    // What it says now comes too late for anyone; the worker is served on.
    slow.complete(&job, b"late").unwrap();
    program.counted("gearman.late_results", 1);
    assert_eq!(program.peer().run("pour", "p", b"").unwrap(), Ended::Fail(None), "kept as it ended");
}

#[test]
fn a_worker_that_leaves_gets_nothing_new_while_clients_go_on() {
    for way in ["drain", "cant do", "reset"] {
        let program = GearmanProgram::new();
        let told = Arc::new(Mutex::new(None::<Instant>));
        let late = Arc::new(Mutex::new(Vec::new()));
        let (until_told, after) = (told.clone(), late.clone());
        program.worker("leaves", &["tint"], move |peer, job| {
            let now = Instant::now();
            if let Some(at) = *until_told.lock().unwrap() {
                after.lock().unwrap().push(now - at);
            }
            thread::sleep(Duration::from_millis(3));
            peer.complete(job, b"").is_ok()
        });
        let mut leaves = program.peer();
        leaves.offer("leaves", &["tint"]).unwrap();
        program.worker("stays", &["tint"], mixes);
        program.able("tint", 3);
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    let mut client = program.peer();
                    while !stop.load(Relaxed) {
                        let ended = client.run("tint", "", b"").unwrap();
                        assert!(matches!(ended, Ended::Complete(_)), "{ended:?}");
                    }
                });
            }
            // Drained as a whole, or one of its connections.
            let job = (way != "drain").then(|| leaves.next_job().unwrap());
            match way {
                "drain" => assert_eq!(program.peer().ask("worker drain leaves").unwrap(), ["OK"]),
                "cant do" => leaves.send(Kind::CantDo, &[b"tint"]).unwrap(),
                _ => leaves.send(Kind::ResetAbilities, &[]).unwrap(),
            }
            if let Some(job) = job {
                // What it holds it may finish; what it asks for it does not get.
                leaves.complete(&job, b"").unwrap();
                leaves.send(Kind::GrabJob, &[]).unwrap();
                assert_eq!(leaves.packet().unwrap().kind, Kind::NoJob, "{way}");
            } else {
                *told.lock().unwrap() = Some(Instant::now());
            }
            let before = program.count("gearman.assigned");
            program.counted("gearman.assigned", before + 200);
            stop.store(true, Relaxed);
        });
        let late = late.lock().unwrap();
        assert!(late.iter().all(|after| *after < Duration::from_millis(500)), "{way}: {late:?}");
        if way == "drain" {
            assert_eq!(program.peer().ask("worker resume leaves").unwrap(), ["OK"]);
            assert_eq!(
                program.peer().ask("worker resume nobody").unwrap(),
                ["ERR UNKNOWN_WORKER no+such+worker"]
            );
        }
    }
}

#[test]
fn a_worker_that_was_given_up_and_speaks_again_gets_work_though_others_are_trusted() {
    // Guards pools in which no job may be tried twice: there the decisions have no trial to send.
    let program = GearmanProgram::with(|file| file.replace("connections=\"256\"", "grab-ms=\"50\""));
    let mut late = program.peer();
    late.offer("late", &["pour"]).unwrap();
    late.send(Kind::PreSleep, &[]).unwrap();
    program.able("pour", 1);
    let waits = thread::spawn({
        let mut client = program.peer();
        move || client.run("pour", "", b"").unwrap()
    });
    assert_eq!(late.packet().unwrap().kind, Kind::Noop);
    program.counted("gearman.not_grabbed", 1);
    program.worker("sound", &["pour"], mixes);
    assert!(matches!(waits.join().unwrap(), Ended::Complete(_)));
    // It grabs again, and of the jobs to come some are its.
    thread::scope(|scope| {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, program) = (stop.clone(), &program);
        scope.spawn(move || {
            let mut client = program.peer();
            while !stopped.load(Relaxed) {
                assert!(matches!(client.run("pour", "", b"").unwrap(), Ended::Complete(_)));
            }
        });
        let job = late.next_job().unwrap();
        stop.store(true, Relaxed);
        late.complete(&job, b"").unwrap();
    });
}
