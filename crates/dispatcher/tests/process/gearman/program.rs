//! The program with an operator file, and workers that connect to it.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread;

use ruddervalve_gearman_peers::{Assigned, Peer};

use crate::rig::*;

pub(super) const OPERATORS: &str = include_str!("../../../../../examples/operators.xml");

/// The program with the example's operator file on a free port.
pub(super) struct GearmanProgram {
    pub(super) rig: Rig,
    pub(super) address: SocketAddr,
    pub(super) file: PathBuf,
}

impl Drop for GearmanProgram {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

pub(super) fn operators_path() -> PathBuf {
    config_path().with_extension("xml")
}

impl GearmanProgram {
    pub(super) fn new() -> Self {
        Self::with(str::to_owned)
    }

    /// With the operator file changed.
    pub(super) fn with(change: impl Fn(&str) -> String) -> Self {
        let file = operators_path();
        std::fs::write(&file, change(&OPERATORS.replace("127.0.0.1:4730", "127.0.0.1:0"))).unwrap();
        let (rig, address) = Rig::with_operators(&file);
        Self { rig, address, file }
    }

    pub(super) fn peer(&self) -> Peer {
        Peer::connect(self.address).unwrap()
    }

    /// A worker of these functions that does what is said with each job, until its connection or the test ends.
    pub(super) fn worker(
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
    pub(super) fn counted(&self, name: &str, least: usize) {
        let prefix = format!("{name}=");
        until(name, || {
            let counters = self.rig.counters("gearman.");
            let count = counters.iter().find_map(|count| count.strip_prefix(&prefix)?.parse::<usize>().ok());
            (count.unwrap_or_default() >= least).then_some(())
        });
    }

    pub(super) fn count(&self, name: &str) -> usize {
        let prefix = format!("{name}=");
        let group = name.split('.').next().unwrap();
        let counters = self.rig.counters(group);
        counters.iter().find_map(|count| count.strip_prefix(&prefix)?.parse().ok()).unwrap_or_default()
    }

    /// Waits until so many connections offer a function.
    pub(super) fn able(&self, function: &str, connections: usize) {
        until("workers are there", || {
            let lines = self.peer().ask("status").unwrap();
            let line = lines.iter().find(|line| line.starts_with(&format!("{function}\t")))?;
            (line.rsplit('\t').next()? == connections.to_string()).then_some(())
        });
    }
}

pub(super) fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub(super) fn mixes(peer: &mut Peer, job: &Assigned) -> bool {
    peer.complete(job, &[b"mixed ", &job.payload[..]].concat()).is_ok()
}

pub(super) fn job_of(class: &str) -> String {
    job(class, "done", 5_000)
}
