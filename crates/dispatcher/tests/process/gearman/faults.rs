//! Jobs under faults that are drawn from a seed: workers die and clients vanish at any point of an exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ruddervalve_gearman::codec::Kind;
use ruddervalve_gearman_peers::{Assigned, Ended, Peer};

use super::program::{GearmanProgram, text};

const FUNCTION: &str = "pour";
const RESULT: &[u8] = b"poured";

/// Draws faults: the same seed gives the same ones.
struct FaultDraw(u64);

impl FaultDraw {
    /// A number below this one.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Counts by the unique id of a job.
type CountsByJob = Mutex<BTreeMap<String, usize>>;

/// What the workers saw.
#[derive(Default)]
struct WorkerRecord {
    /// How often each job was assigned.
    runs: CountsByJob,
    /// How often each job was completed, whether or not the worker lived to say all of it.
    completed: CountsByJob,
    /// Jobs that were assigned.
    assigned: AtomicUsize,
    /// All jobs have ended: workers that find their connection ended are to end, too.
    is_over: AtomicBool,
}

impl WorkerRecord {
    fn count(counts: &CountsByJob, job: &Assigned) {
        *counts.lock().unwrap().entry(text(&job.unique)).or_default() += 1;
    }

    fn counted(counts: &CountsByJob, unique: &str) -> usize {
        counts.lock().unwrap().get(unique).copied().unwrap_or_default()
    }
}

/// A worker that dies at drawn points and comes back on a new connection, under a new name or the same.
struct FaultyWorker {
    number: usize,
    address: SocketAddr,
    draw: FaultDraw,
    record: Arc<WorkerRecord>,
}

impl FaultyWorker {
    fn run(mut self) {
        let mut lives = 0;
        while !self.record.is_over.load(Relaxed) {
            let Ok(peer) = Peer::connect(self.address) else { return };
            lives += 1;
            self.live(peer, lives);
        }
    }

    /// Works on one connection until it dies.
    fn live(&mut self, mut peer: Peer, lives: usize) {
        let number = self.number;
        let keeps_name = self.draw.below(2) == 0;
        let name = if keeps_name { format!("w{number}") } else { format!("w{number}-{lives}") };
        if peer.offer(&name, &[FUNCTION]).is_err() {
            return;
        }
        while self.take_job(&mut peer) {}
    }

    /// Takes a job; false if the worker, or its connection, died of it.
    fn take_job(&mut self, peer: &mut Peer) -> bool {
        let fault = self.draw.below(24);
        if fault == 0 {
            // Dies between the NOOP, or the grab, and the assignment.
            let _ = peer.send(Kind::GrabJobUniq, &[]);
            return false;
        }
        let Ok(job) = peer.next_job() else { return false };
        self.record.assigned.fetch_add(1, Relaxed);
        WorkerRecord::count(&self.record.runs, &job);
        match fault {
            // Dies as it has read the assignment, or while it runs.
            1 => false,
            2 => {
                let _ = peer.send(Kind::WorkStatus, &[&job.handle, b"1", b"2"]);
                thread::sleep(Duration::from_millis(2));
                false
            }
            // Dies between its last packet and the reading of it.
            3 => {
                self.complete(peer, &job);
                false
            }
            4 => peer.fail(&job).is_ok(),
            _ => self.complete(peer, &job),
        }
    }

    fn complete(&self, peer: &mut Peer, job: &Assigned) -> bool {
        WorkerRecord::count(&self.record.completed, job);
        peer.complete(job, RESULT).is_ok()
    }
}

/// A client that vanishes at drawn points and submits again on a new connection.
struct FaultyClient<'a> {
    program: &'a GearmanProgram,
    peer: Peer,
    draw: FaultDraw,
}

impl FaultyClient<'_> {
    /// Submits a job until it has an end.
    fn run_to_its_end(&mut self, unique: &str) -> Ended {
        loop {
            match self.submit(unique) {
                None => self.peer = self.program.peer(),
                // Refused: it never ran, and may come back.
                Some(Ended::Fail(Some(said))) if said.starts_with(b"refused") => {
                    thread::sleep(Duration::from_millis(20));
                }
                Some(ended) => return ended,
            }
        }
    }

    /// Submits a job; none if the client vanishes: at once, after its handle, or a little later.
    fn submit(&mut self, unique: &str) -> Option<Ended> {
        self.peer.send(Kind::SubmitJob, &[FUNCTION.as_bytes(), unique.as_bytes(), b"blue"]).unwrap();
        let fault = self.draw.below(12);
        if fault > 2 {
            assert_eq!(self.peer.packet().unwrap().kind, Kind::JobCreated);
        }
        if fault == 3 {
            thread::sleep(Duration::from_millis(1));
        }
        (fault > 4).then(|| self.peer.outcome().unwrap())
    }
}

/// Runs so many jobs from clients to workers, all of which are faulty, and checks what each side saw.
fn run_under_faults(jobs: usize, clients: usize, workers: usize, seed: u64) {
    let program = GearmanProgram::new();
    let record = Arc::new(WorkerRecord::default());
    for number in 0..workers {
        let draw = FaultDraw(seed ^ (number as u64) << 32);
        let worker = FaultyWorker { number, address: program.address, draw, record: record.clone() };
        thread::spawn(move || worker.run());
    }
    let ends: Mutex<BTreeMap<String, Ended>> = Mutex::default();
    thread::scope(|scope| {
        for number in 0..clients {
            let (program, ends) = (&program, &ends);
            scope.spawn(move || {
                let draw = FaultDraw(!seed ^ (number as u64) << 32);
                let mut client = FaultyClient { program, peer: program.peer(), draw };
                for job in (number..jobs).step_by(clients) {
                    let unique = format!("can-{job}");
                    let ended = client.run_to_its_end(&unique);
                    assert!(ends.lock().unwrap().insert(unique, ended).is_none());
                }
            });
        }
    });
    record.is_over.store(true, Relaxed);
    let ends = ends.into_inner().unwrap();
    assert_eq!(ends.len(), jobs, "each job has its end");
    check_ends(&ends, &record);
    check_counters(&program, &ends, &record);
}

/// No job ran twice, and what its client was told is what a worker did.
fn check_ends(ends: &BTreeMap<String, Ended>, record: &WorkerRecord) {
    for (unique, times) in &*record.runs.lock().unwrap() {
        assert_eq!(*times, 1, "{unique} ran more than once");
    }
    for (unique, ended) in ends {
        let ran = WorkerRecord::counted(&record.runs, unique);
        let completed = WorkerRecord::counted(&record.completed, unique);
        match ended {
            Ended::Complete(result) => {
                assert_eq!((&result[..], ran, completed), (RESULT, 1, 1), "{unique}");
            }
            // It failed only where a worker was given it.
            Ended::Fail(_) => assert!(ran <= 1, "{unique}"),
            Ended::Error(error) => panic!("{unique}: {error:?}"),
        }
    }
}

/// The counts of all three sides agree: what was assigned and not seen by a worker was cut on its way.
fn check_counters(program: &GearmanProgram, ends: &BTreeMap<String, Ended>, record: &WorkerRecord) {
    let jobs = ends.len();
    let assigned = program.count("gearman.assigned");
    let seen = record.assigned.load(Relaxed);
    assert!(assigned >= seen && assigned <= jobs, "{assigned} assigned, {seen} seen by workers");
    let variables = program.rig.call("vars\n");
    let figure = |name: &str| -> usize {
        let prefix = format!("edge_router.{name}=");
        let line = variables.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap();
        line.parse().unwrap()
    };
    let served = ends.values().filter(|ended| matches!(ended, Ended::Complete(_))).count();
    assert_eq!(figure(&format!("fulfilled.gearman.{FUNCTION}")), served);
    assert_eq!(figure(&format!("faulted.gearman.{FUNCTION}")), jobs - served);
    assert_eq!((figure("gearman.open_jobs"), figure("gearman.kept_results")), (0, jobs));
}

#[test]
fn jobs_run_at_most_once_and_end_once_whoever_dies_when() {
    run_under_faults(400, 8, 6, 0x5eed);
}

/// By hand: `cargo test --release -p ruddervalve-dispatcher --test process -- --ignored ten_thousand`
#[test]
#[ignore = "by hand"]
fn ten_thousand_jobs_run_at_most_once_and_end_once() {
    run_under_faults(10_000, 32, 24, 0xca11);
}
