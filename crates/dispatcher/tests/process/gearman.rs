//! Gearman clients and workers before the real program: faults injected at seeded points, drains, the end of the program,
//! hostile peers, and both protocols at once.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use ruddervalve_gearman::codec::{Frame, Kind};
use ruddervalve_gearman_peers::{Assigned, Ended, Peer};

use crate::rig::*;

const OPERATORS: &str = include_str!("../../../../examples/operators.xml");

/// The program with the example's operator file on a free port.
struct Station {
    rig: Rig,
    address: SocketAddr,
    file: PathBuf,
}

impl Drop for Station {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

fn operators_path() -> PathBuf {
    config_path().with_extension("xml")
}

impl Station {
    fn new() -> Self {
        Self::with(str::to_owned)
    }

    /// With the operator file changed.
    fn with(change: impl Fn(&str) -> String) -> Self {
        let file = operators_path();
        std::fs::write(&file, change(&OPERATORS.replace("127.0.0.1:4730", "127.0.0.1:0"))).unwrap();
        let (rig, address) = Rig::with_operators(&file);
        Self { rig, address, file }
    }

    fn peer(&self) -> Peer {
        Peer::connect(self.address).unwrap()
    }

    /// A worker of these functions that does what is said with each job, until its connection or the test ends.
    fn worker(
        &self,
        name: &str,
        functions: &[&str],
        mut job: impl FnMut(&mut Peer, &Assigned) -> bool + Send + 'static,
    ) -> TcpStream {
        let mut peer = self.peer();
        peer.offer(name, functions).unwrap();
        let hold = peer.stream().unwrap();
        thread::spawn(move || {
            while let Ok(assigned) = peer.next_job() {
                if !job(&mut peer, &assigned) {
                    return;
                }
            }
        });
        hold
    }

    /// Waits until the program shows a count of at least this.
    fn counted(&self, name: &str, least: usize) {
        let prefix = format!("{name}=");
        until(name, || {
            let counters = self.rig.counters("gearman.");
            let count = counters.iter().find_map(|count| count.strip_prefix(&prefix)?.parse::<usize>().ok());
            (count.unwrap_or_default() >= least).then_some(())
        });
    }

    fn count(&self, name: &str) -> usize {
        let prefix = format!("{name}=");
        let group = name.split('.').next().unwrap();
        let counters = self.rig.counters(group);
        counters.iter().find_map(|count| count.strip_prefix(&prefix)?.parse().ok()).unwrap_or_default()
    }

    /// Waits until so many connections offer a function.
    fn able(&self, function: &str, connections: usize) {
        until("workers are there", || {
            let lines = self.peer().ask("status").unwrap();
            let line = lines.iter().find(|line| line.starts_with(&format!("{function}\t")))?;
            (line.rsplit('\t').next()? == connections.to_string()).then_some(())
        });
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn mixes(peer: &mut Peer, job: &Assigned) -> bool {
    peer.complete(job, &[b"mixed ", &job.payload[..]].concat()).is_ok()
}

#[test]
fn jobs_go_to_workers_and_results_back_over_both_protocols_at_once() {
    let station = Station::new();
    station.worker("w", &["tint", "pour"], mixes);
    station.able("tint", 1);
    thread::scope(|scope| {
        for number in 0..4 {
            let station = &station;
            scope.spawn(move || {
                let mut client = station.peer();
                for job in 0..25 {
                    let payload = format!("{number}-{job}");
                    let ended = client.run("tint", "", payload.as_bytes()).unwrap();
                    assert_eq!(ended, Ended::Complete(format!("mixed {payload}").into()));
                    assert_eq!(station.rig.ask(&job_of("tint")).status(), "200");
                }
            });
        }
    });
    assert_eq!(station.count("gearman.assigned"), 100);
    assert_eq!(station.rig.seen(|seen| seen.requests.len()), 100, "each side has its own nodes");
}

fn job_of(class: &str) -> String {
    job(class, "done", 5_000)
}

#[test]
fn one_unique_id_from_five_clients_at_once_runs_once_and_answers_five() {
    let station = Station::new();
    let (let_go, wait) = mpsc::channel::<()>();
    let runs = Arc::new(AtomicUsize::new(0));
    let ran = runs.clone();
    station.worker("w", &["pour"], move |peer, job| {
        ran.fetch_add(1, Relaxed);
        wait.recv().is_ok() && peer.complete(job, b"poured").is_ok()
    });
    station.able("pour", 1);
    let mut clients: Vec<Peer> = (0..5).map(|_| station.peer()).collect();
    let submit = |client: &mut Peer| client.submit(Kind::SubmitJob, "pour", "can-7", b"blue").unwrap();
    let handles: Vec<_> = clients.iter_mut().map(submit).collect();
    assert!(handles.windows(2).all(|two| two[0] == two[1]), "{handles:?}");
    let mut asks = station.peer();
    asks.send(Kind::GetStatusUnique, &[b"can-7"]).unwrap();
    until("it runs", || (runs.load(Relaxed) == 1).then_some(()));
    assert_eq!(text(&asks.packet().unwrap().body).rsplit('\0').next(), Some("5"));
    let_go.send(()).unwrap();
    for client in &mut clients {
        assert_eq!(client.outcome().unwrap(), Ended::Complete("poured".into()));
    }
    // One that comes after the end is given the kept result, and a job of another id runs.
    assert_eq!(station.peer().run("pour", "can-7", b"blue").unwrap(), Ended::Complete("poured".into()));
    assert_eq!(runs.load(Relaxed), 1);
    let_go.send(()).unwrap();
    assert_eq!(station.peer().run("pour", "can-8", b"blue").unwrap(), Ended::Complete("poured".into()));
    assert_eq!(runs.load(Relaxed), 2);
}

#[test]
fn a_client_that_vanishes_and_submits_again_joins_the_job_or_gets_what_is_kept() {
    let station = Station::new();
    let (let_go, wait) = mpsc::channel::<()>();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let ran = runs.clone();
    station.worker("w", &["pour"], move |peer, job| {
        ran.lock().unwrap().push(text(&job.unique));
        peer.send(Kind::WorkData, &[&job.handle, b"half "]).unwrap();
        wait.recv().is_ok() && peer.complete(job, b"full").is_ok()
    });
    station.able("pour", 1);
    let mut client = station.peer();
    client.submit(Kind::SubmitJob, "pour", "a", b"").unwrap();
    until("it runs", || (runs.lock().unwrap().len() == 1).then_some(()));
    drop(client);
    station.counted("gearman.last_client_left", 1);
    // In the middle: joined, with what was sent before.
    let mut again = station.peer();
    again.submit(Kind::SubmitJob, "pour", "a", b"").unwrap();
    let part = again.packet().unwrap();
    assert_eq!((part.kind, part.body.ends_with(b"half ")), (Kind::WorkData, true));
    drop(again);
    station.counted("gearman.last_client_left", 2);
    let_go.send(()).unwrap();
    until("its result is kept", || {
        station.rig.call("vars\n").contains("gearman.kept_results=1").then_some(())
    });
    // After the end, also in the background and with the text protocol's word on it.
    let mut late = station.peer();
    late.submit(Kind::SubmitJob, "pour", "a", b"").unwrap();
    assert_eq!(late.packet().unwrap().kind, Kind::WorkData);
    assert_eq!(late.outcome().unwrap(), Ended::Complete("full".into()));
    late.submit(Kind::SubmitJobBg, "pour", "a", b"").unwrap();
    assert_eq!(station.peer().ask("show unique jobs").unwrap(), Vec::<String>::new());
    assert_eq!(*runs.lock().unwrap(), ["a"]);
}

/// A small generator: the same seed gives the same faults.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
    }
}

/// Dispenses under injected faults: `jobs` of them from `clients` clients to `workers` workers that die at seeded points.
fn dispenses(jobs: usize, clients: usize, workers: usize, seed: u64) {
    let station = Station::new();
    let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let completed: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let (over, got) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut threads = Vec::new();
    for number in 0..workers {
        let (address, runs, completed, over, got) =
            (station.address, runs.clone(), completed.clone(), over.clone(), got.clone());
        threads.push(thread::spawn(move || {
            let mut dice = Dice(seed ^ (number as u64) << 32);
            let mut lives = 0;
            while !over.load(Relaxed) {
                let Ok(mut peer) = Peer::connect(address) else { return };
                lives += 1;
                // A new name for each life, or the same: both are met.
                let name =
                    if dice.roll(2) == 0 { format!("w{number}") } else { format!("w{number}-{lives}") };
                if peer.offer(&name, &["pour"]).is_err() {
                    continue;
                }
                loop {
                    let fault = dice.roll(24);
                    let job = match fault {
                        // Dies between the NOOP, or the grab, and the assignment.
                        0 => {
                            let _ = peer.send(Kind::GrabJobUniq, &[]);
                            break;
                        }
                        _ => match peer.next_job() {
                            Ok(job) => job,
                            Err(_) => break,
                        },
                    };
                    got.fetch_add(1, Relaxed);
                    let unique = text(&job.unique);
                    *runs.lock().unwrap().entry(unique.clone()).or_default() += 1;
                    match fault {
                        // Dies as it has read the assignment, or while it runs.
                        1 => break,
                        2 => {
                            let _ = peer.send(Kind::WorkStatus, &[&job.handle, b"1", b"2"]);
                            thread::sleep(Duration::from_millis(2));
                            break;
                        }
                        // Dies between the last word and its reading.
                        3 => {
                            *completed.lock().unwrap().entry(unique).or_default() += 1;
                            let _ = peer.complete(&job, b"poured");
                            break;
                        }
                        4 => {
                            if peer.fail(&job).is_err() {
                                break;
                            }
                        }
                        _ => {
                            *completed.lock().unwrap().entry(unique).or_default() += 1;
                            if peer.complete(&job, b"poured").is_err() {
                                break;
                            }
                        }
                    }
                }
            }
        }));
    }
    let ends: Arc<Mutex<BTreeMap<String, Ended>>> = Arc::default();
    thread::scope(|scope| {
        for client in 0..clients {
            let (station, ends) = (&station, ends.clone());
            scope.spawn(move || {
                let mut dice = Dice(!seed ^ (client as u64) << 32);
                let mut peer = station.peer();
                for job in (client..jobs).step_by(clients) {
                    let unique = format!("can-{job}");
                    loop {
                        let submitted = peer.send(Kind::SubmitJob, &[b"pour", unique.as_bytes(), b"blue"]);
                        submitted.unwrap();
                        // Vanishes at once, after its handle, or later, and submits again on a new connection.
                        let fault = dice.roll(12);
                        if fault > 2 {
                            assert_eq!(peer.packet().unwrap().kind, Kind::JobCreated);
                        }
                        if fault == 3 {
                            thread::sleep(Duration::from_millis(1));
                        }
                        if fault <= 4 {
                            peer = station.peer();
                            continue;
                        }
                        match peer.outcome().unwrap() {
                            // Refused: it never ran, and may come back.
                            Ended::Fail(Some(said)) if said.starts_with(b"refused") => {
                                thread::sleep(Duration::from_millis(20));
                            }
                            ended => {
                                assert!(ends.lock().unwrap().insert(unique, ended).is_none());
                                break;
                            }
                        }
                    }
                }
            });
        }
    });
    over.store(true, Relaxed);
    let (runs, ends) = (runs.lock().unwrap().clone(), ends.lock().unwrap().clone());
    assert_eq!(ends.len(), jobs, "each job has its end");
    for (unique, times) in &runs {
        assert_eq!(*times, 1, "{unique} ran more than once");
    }
    for (unique, ended) in &ends {
        let ran = runs.get(unique).copied().unwrap_or_default();
        let finished = completed.lock().unwrap().get(unique).copied().unwrap_or_default();
        match ended {
            Ended::Complete(result) => {
                assert_eq!((&result[..], ran, finished), (&b"poured"[..], 1, 1), "{unique}");
            }
            // It failed only where a worker was given it.
            Ended::Fail(_) => assert!(ran <= 1, "{unique}"),
            Ended::Error(error) => panic!("{unique}: {error:?}"),
        }
    }
    // The counts of all three sides agree: what was assigned and not seen by a worker was cut on its way.
    let assigned = station.count("gearman.assigned");
    assert!(
        assigned >= got.load(Relaxed) && assigned <= jobs,
        "{assigned} assigned, {} got",
        got.load(Relaxed)
    );
    let vars = station.rig.call("vars\n");
    let figure = |name: &str| -> usize {
        let line = vars.lines().find_map(|line| line.strip_prefix(&format!("edge_router.{name}="))).unwrap();
        line.parse().unwrap()
    };
    let served = ends.values().filter(|ended| matches!(ended, Ended::Complete(_))).count();
    assert_eq!(figure("fulfilled.gearman.pour"), served);
    assert_eq!(figure("faulted.gearman.pour"), jobs - served);
    assert_eq!((figure("gearman.open_jobs"), figure("gearman.kept_results")), (0, jobs));
}

#[test]
fn dispenses_run_at_most_once_and_end_once_whoever_dies_when() {
    dispenses(400, 8, 6, 0x5eed);
}

/// By hand: `cargo test --release -p ruddervalve-dispatcher --test process -- --ignored ten_thousand`
#[test]
#[ignore = "by hand"]
fn ten_thousand_dispenses_run_at_most_once_and_end_once() {
    dispenses(10_000, 32, 24, 0xca11);
}

#[test]
fn what_may_be_repeated_goes_to_another_worker_and_what_may_not_fails() {
    let station = Station::new();
    let lost = Arc::new(Mutex::new(Vec::new()));
    let seen = lost.clone();
    station.worker("dies", &["tint", "pour"], move |_, job| {
        seen.lock().unwrap().push(text(&job.function));
        false
    });
    station.able("pour", 1);
    assert_eq!(station.peer().run("pour", "p", b"").unwrap(), Ended::Fail(None));
    station.worker("dies-again", &["tint"], |_, _| false);
    station.able("tint", 1);
    let mut client = station.peer();
    client.submit(Kind::SubmitJob, "tint", "t", b"").unwrap();
    station.counted("gearman.worker_gone_with_job", 2);
    station.worker("lives", &["tint"], mixes);
    assert_eq!(client.outcome().unwrap(), Ended::Complete("mixed ".into()));
    assert_eq!(station.peer().run("pour", "p", b"").unwrap(), Ended::Fail(None), "kept");
    assert_eq!(*lost.lock().unwrap(), ["pour"]);
}

#[test]
fn a_job_that_takes_longer_than_its_worker_may_is_given_up_there() {
    let station = Station::new();
    let mut slow = station.peer();
    slow.send(Kind::CanDoTimeout, &[b"pour", b"1"]).unwrap();
    let waits = thread::spawn({
        let mut client = station.peer();
        move || client.run("pour", "p", b"").unwrap()
    });
    let job = slow.next_job().unwrap();
    assert_eq!(waits.join().unwrap(), Ended::Fail(None));
    // What it says now comes too late for anyone; the worker is served on.
    slow.complete(&job, b"late").unwrap();
    station.counted("gearman.late_results", 1);
    assert_eq!(station.peer().run("pour", "p", b"").unwrap(), Ended::Fail(None), "kept as it ended");
}

#[test]
fn a_worker_that_leaves_gets_nothing_new_while_clients_go_on() {
    for way in ["drain", "cant do", "reset"] {
        let station = Station::new();
        let told = Arc::new(Mutex::new(None::<Instant>));
        let late = Arc::new(Mutex::new(Vec::new()));
        let (until_told, after) = (told.clone(), late.clone());
        station.worker("leaves", &["tint"], move |peer, job| {
            let now = Instant::now();
            if let Some(at) = *until_told.lock().unwrap() {
                after.lock().unwrap().push(now - at);
            }
            thread::sleep(Duration::from_millis(3));
            peer.complete(job, b"").is_ok()
        });
        let mut leaves = station.peer();
        leaves.offer("leaves", &["tint"]).unwrap();
        station.worker("stays", &["tint"], mixes);
        station.able("tint", 3);
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    let mut client = station.peer();
                    while !stop.load(Relaxed) {
                        let ended = client.run("tint", "", b"").unwrap();
                        assert!(matches!(ended, Ended::Complete(_)), "{ended:?}");
                    }
                });
            }
            // Drained as a whole, or one of its connections.
            let job = (way != "drain").then(|| leaves.next_job().unwrap());
            match way {
                "drain" => assert_eq!(station.peer().ask("worker drain leaves").unwrap(), ["OK"]),
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
            let before = station.count("gearman.assigned");
            station.counted("gearman.assigned", before + 200);
            stop.store(true, Relaxed);
        });
        let late = late.lock().unwrap();
        assert!(late.iter().all(|after| *after < Duration::from_millis(500)), "{way}: {late:?}");
        if way == "drain" {
            assert_eq!(station.peer().ask("worker resume leaves").unwrap(), ["OK"]);
            assert_eq!(
                station.peer().ask("worker resume nobody").unwrap(),
                ["ERR UNKNOWN_WORKER no+such+worker"]
            );
        }
    }
}

#[test]
fn sigterm_in_the_middle_loses_nothing_that_was_promised() {
    let mut station = Station::new();
    let runs = Arc::new(AtomicUsize::new(0));
    let (ran, go) = (runs.clone(), Arc::new(AtomicBool::new(false)));
    let gone = go.clone();
    for worker in 0..2 {
        let (ran, gone) = (ran.clone(), gone.clone());
        station.worker(&format!("w{worker}"), &["pour"], move |peer, job| {
            ran.fetch_add(1, Relaxed);
            until("the end has begun", || gone.load(Relaxed).then_some(()));
            peer.complete(job, b"poured").is_ok()
        });
    }
    station.able("pour", 2);
    let mut clients: Vec<Peer> = (0..8).map(|_| station.peer()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.submit(Kind::SubmitJob, "pour", &number.to_string(), b"").unwrap();
    }
    until("two run", || (runs.load(Relaxed) == 2).then_some(()));
    let mut background = station.peer();
    background.submit(Kind::SubmitJobBg, "pour", "background", b"").unwrap();
    station.rig.signal("-TERM");
    // Only then do the two go on: they are waited for, and each client has its one end.
    thread::sleep(Duration::from_millis(50));
    go.store(true, Relaxed);
    let ends: Vec<Ended> = clients.iter_mut().map(|client| client.outcome().unwrap()).collect();
    let served = ends.iter().filter(|ended| matches!(ended, Ended::Complete(_))).count();
    assert!(served >= 2, "{ends:?}");
    for (client, ended) in clients.iter_mut().zip(&ends) {
        assert!(client.frame().unwrap().is_none(), "nothing after the last word of {ended:?}");
    }
    assert!(station.rig.ended().success());
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
    let station = Station::new();
    station.worker("w", &["tint"], mixes);
    station.able("tint", 1);
    let mut client = station.peer();
    assert!(matches!(client.run("tint", "", b"").unwrap(), Ended::Complete(_)));
    assert!(station.rig.call("drain-on\n").starts_with("OK"));
    // An idle client is sent away, a worker stays.
    assert!(client.frame().unwrap().is_none());
    let refused = until("it refuses", || match station.peer().run("tint", "", b"").unwrap() {
        Ended::Fail(Some(said)) => Some(text(&said)),
        _ => None,
    });
    assert_eq!(refused, "refused: come back in 250 ms");
    assert!(station.rig.call("drain-off\n").starts_with("OK"));
    assert!(matches!(station.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
}

#[test]
fn a_background_job_waits_for_a_worker_and_comes_back_when_it_is_refused() {
    let station = Station::new();
    let mut client = station.peer();
    let handle = client.submit(Kind::SubmitJobBg, "tint", "", b"").unwrap();
    drop(client);
    let mut client = station.peer();
    client.send(Kind::GetStatus, &[&handle]).unwrap();
    assert_eq!(text(&client.packet().unwrap().body), format!("{}\x001\x000\x000\x000", text(&handle)));
    // Its claims are used up by workers that die with it; then one is there that does not.
    for number in 1..=5 {
        station.worker(&format!("dies {number}").replace(' ', "-"), &["tint"], |_, _| false);
        station.counted("gearman.worker_gone_with_job", number);
    }
    station.counted("gearman.background_came_back", 1);
    let (told, ran) = mpsc::channel();
    station.worker("w", &["tint"], move |peer, job| {
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
    let station = Station::with(|file| file.replace("wait-ms=\"10000\"", "wait-ms=\"300\""));
    let mut client = station.peer();
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
    let station = Station::new();
    station.worker("w", &["pour"], |peer, job| {
        peer.send(Kind::WorkException, &[&job.handle, b"lid stuck"]).is_ok() && peer.fail(job).is_ok()
    });
    station.able("pour", 1);
    let (mut plain, mut wants) = (station.peer(), station.peer());
    wants.send(Kind::OptionReq, &[b"exceptions"]).unwrap();
    wants.packet().unwrap();
    assert_eq!(plain.run("pour", "p", b"").unwrap(), Ended::Fail(None));
    assert_eq!(wants.run("pour", "p", b"").unwrap(), Ended::Fail(Some("lid stuck".into())));
}

#[test]
fn the_text_protocol_tells_what_is_there_and_changes_what_it_may() {
    let station = Station::new();
    let (let_go, wait) = mpsc::channel::<()>();
    station.worker("w", &["pour", "tint"], move |peer, job| wait.recv().is_ok() && mixes(peer, job));
    station.able("pour", 1);
    let mut client = station.peer();
    client.submit(Kind::SubmitJob, "pour", "first", b"").unwrap();
    until("it runs", || (station.peer().ask("status").unwrap()[0] == "pour\t1\t1\t1").then_some(()));
    let second = client.submit(Kind::SubmitJob, "pour", "second", b"").unwrap();
    let mut admin = station.peer();
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
    assert_eq!(admin.ask("getpid").unwrap(), [format!("OK {}", station.rig.child.id())]);
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
fn shutdown_ends_the_program_where_the_file_allows_it() {
    let mut station = Station::with(|file| file.replace("listen=", "shutdown=\"true\" listen="));
    assert_eq!(station.peer().ask("shutdown").unwrap(), ["OK"]);
    assert!(station.rig.ended().success());
}

#[test]
fn what_is_not_carried_or_not_right_gets_an_error_and_the_connection_lives_on() {
    let station = Station::new();
    let mut peer = station.peer();
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
    let station = Station::new();
    station.worker("w", &["tint"], mixes);
    station.able("tint", 1);
    for (bytes, told) in [
        (&b"\0RAQ\0\0\0\x07\0\0\0\0"[..], true),
        (b"\0REQ\0\0\0\x07\xff\xff\xff\xff", true),
        (b"GET / HTTP/1.1\0\r\n", true),
        (&[b'a'; 5_000], true),
        (b"\0REQ\0\0\0\x07\0\0\0\x10half", false),
    ] {
        let mut peer = station.peer();
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
    let mut slow = station.peer();
    for byte in b"\0REQ\0\0\0\x07\0\0\0\x09tint\0\0can" {
        slow.raw(&[*byte]).unwrap();
    }
    assert_eq!(slow.packet().unwrap().kind, Kind::JobCreated);
    assert_eq!(slow.outcome().unwrap(), Ended::Complete("mixed can".into()));
}

#[test]
fn a_peer_that_does_not_read_is_closed_and_the_others_are_served_on() {
    let station =
        Station::with(|file| file.replace("connections=\"256\"", "packet-kib=\"64\" unread-kib=\"256\""));
    station.worker("w", &["tint"], mixes);
    station.able("tint", 1);
    let mut stops = station.peer();
    let block = vec![b'x'; 60 << 10];
    // Echoes without end, none of them read; what waits for it is bounded.
    until("it is closed", || stops.send(Kind::EchoReq, &[&block]).is_err().then_some(()));
    let closed = station.count("gearman.slow_reader_closed") + station.count("gearman.stopped_reading");
    assert_eq!(closed, 1);
    assert!(matches!(station.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
}

#[test]
fn silent_connections_make_room_and_those_that_work_keep_theirs() {
    let station = Station::new();
    station.worker("w", &["tint"], mixes);
    station.able("tint", 1);
    let mut client = station.peer();
    assert!(matches!(client.run("tint", "", b"").unwrap(), Ended::Complete(_)));
    let mut silent: Vec<TcpStream> = Vec::new();
    for _ in 0..5 {
        silent.extend((0..400).map(|_| TcpStream::connect(station.address).unwrap()));
        assert!(matches!(client.run("tint", "", b"").unwrap(), Ended::Complete(_)));
    }
    station.counted("gearman.silent_given_up", 1);
    assert!(station.count("gearman.connections_at_once") <= 256);
    assert!(matches!(station.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
}

#[test]
fn one_that_says_nothing_for_too_long_is_closed() {
    let station = Station::with(|file| file.replace("connections=\"256\"", "first-packet-ms=\"30\""));
    assert!(station.peer().frame().unwrap().is_none());
    assert_eq!(station.count("gearman.silent"), 1);
}

#[test]
fn a_result_is_kept_for_its_time_and_a_job_without_a_place_for_it_is_refused() {
    let station = Station::with(|file| {
        let file = file.replace("connections=\"256\"", "kept-results=\"2\" kept-kib=\"1\"");
        file.replace("keep-ms=\"600000\"", "keep-ms=\"2000\"")
    });
    let runs = Arc::new(AtomicUsize::new(0));
    let ran = runs.clone();
    station.worker("w", &["pour"], move |peer, job| {
        ran.fetch_add(1, Relaxed);
        peer.complete(job, &[b'x'; 700]).is_ok()
    });
    station.able("pour", 1);
    let mut client = station.peer();
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
    let station = Station::new();
    let (let_go, wait) = mpsc::channel::<()>();
    let order = Arc::new(Mutex::new(Vec::new()));
    let ran = order.clone();
    station.worker("w", &["pour"], move |peer, job| {
        ran.lock().unwrap().push(text(&job.payload));
        wait.recv().is_ok() && peer.complete(job, b"").is_ok()
    });
    station.able("pour", 1);
    let mut client = station.peer();
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

#[test]
fn a_worker_that_was_given_up_and_speaks_again_gets_work_though_others_are_trusted() {
    // Guards pools in which no job may be tried twice: there the decisions have no trial to send.
    let station = Station::with(|file| file.replace("connections=\"256\"", "grab-ms=\"50\""));
    let mut late = station.peer();
    late.offer("late", &["pour"]).unwrap();
    late.send(Kind::PreSleep, &[]).unwrap();
    station.able("pour", 1);
    let waits = thread::spawn({
        let mut client = station.peer();
        move || client.run("pour", "", b"").unwrap()
    });
    assert_eq!(late.packet().unwrap().kind, Kind::Noop);
    station.counted("gearman.not_grabbed", 1);
    station.worker("sound", &["pour"], mixes);
    assert!(matches!(waits.join().unwrap(), Ended::Complete(_)));
    // It grabs again, and of the jobs to come some are its.
    thread::scope(|scope| {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, station) = (stop.clone(), &station);
        scope.spawn(move || {
            let mut client = station.peer();
            while !stopped.load(Relaxed) {
                assert!(matches!(client.run("pour", "", b"").unwrap(), Ended::Complete(_)));
            }
        });
        let job = late.next_job().unwrap();
        stop.store(true, Relaxed);
        late.complete(&job, b"").unwrap();
    });
}

#[test]
fn a_faulty_operator_file_ends_the_start_and_changes_nothing_later() {
    let station = Station::new();
    station.worker("w", &["tint"], mixes);
    station.able("tint", 1);
    let reload = |file: String, counted: &str| {
        std::fs::write(&station.file, file).unwrap();
        station.rig.signal("-HUP");
        until(counted, || station.rig.counters("operators").contains(&counted.to_owned()).then_some(()));
    };
    let good = std::fs::read_to_string(&station.file).unwrap();
    reload(
        good.replace("name=\"tint\" class=\"tint\"", "name=\"paint\" class=\"paint\""),
        "operators.faulty=1",
    );
    assert!(matches!(station.peer().run("tint", "", b"").unwrap(), Ended::Complete(_)));
    // A function more is taken at once, one that is gone is nobody's ability any more.
    reload(
        good.replace("name=\"tint\" class=\"tint\"", "name=\"paint\" class=\"tint\""),
        "operators.taken=1",
    );
    assert!(station.peer().run("tint", "", b"").is_err());
    station.worker("p", &["paint"], mixes);
    assert!(matches!(station.peer().run("paint", "", b"").unwrap(), Ended::Complete(_)));
    reload(good, "operators.taken=2");
    station.able("tint", 0);

    let faulty = operators_path().with_extension("faulty.xml");
    std::fs::write(&faulty, "<operators>\n <gearman listen=\"here\"/>\n</operators>").unwrap();
    let said = start_with_arguments(&["--operators", faulty.to_str().unwrap()]);
    std::fs::remove_file(&faulty).unwrap();
    assert_eq!(said.0, Some(2));
    let lines: Vec<&str> = said.1.lines().collect();
    assert!(lines.len() >= 2 && lines.iter().all(|line| line.contains(": line 2: ")), "{lines:?}");
}
