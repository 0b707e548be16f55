//! What clients ask about jobs.

use bytes::Bytes;

use super::{Effect, Server, label};
use crate::codec::{Kind, Packet};
use crate::jobs::Job;
use crate::workers::ConnectionId;

impl Server {
    fn job_of(&self, handle: &[u8]) -> Option<&Job> {
        let number = str::from_utf8(handle).ok()?.strip_prefix(&self.prefix)?.parse().ok()?;
        self.jobs.get(number).filter(|job| job.handle == handle)
    }

    pub(super) fn status(&mut self, connection: ConnectionId, packet: &Packet) -> Option<()> {
        let [handle] = packet.split::<1>()?;
        let job = self.job_of(&handle).map(|job| (job.running, job.status.clone()));
        let (known, running, (done, whole)) = status_fields(job);
        self.send(connection, Kind::StatusRes, &[&handle, known, running, &done, &whole]);
        Some(())
    }

    pub(super) fn status_unique(&mut self, connection: ConnectionId, packet: &Packet) -> Option<()> {
        let [unique] = packet.split::<1>()?;
        let job = self.jobs.any_with_unique(&unique);
        let clients = job.map_or(0, |job| job.waiting.len()).to_string();
        let (known, running, (done, whole)) = status_fields(job.map(|job| (job.running, job.status.clone())));
        self.send(
            connection,
            Kind::StatusResUnique,
            &[&unique, known, running, &done, &whole, clients.as_bytes()],
        );
        Some(())
    }

    pub(super) fn option(&mut self, connection: ConnectionId, packet: &Packet) -> Option<()> {
        let [option] = packet.split::<1>()?;
        match &option[..] {
            b"exceptions" => {
                if let Some(connection) = self.connections.get_mut(&connection) {
                    connection.exceptions = true;
                }
                self.send(connection, Kind::OptionRes, &[&option]);
            }
            _ => self.error(connection, "unknown_option", "UNKNOWN_OPTION", "no such option"),
        }
        Some(())
    }

    /// Operators cancel a job that has not started.
    pub(crate) fn cancel(&mut self, handle: &[u8]) -> Result<(), &'static str> {
        let job = self.job_of(handle).ok_or("UNKNOWN_JOB")?;
        if job.started {
            return Err("JOB_STARTED");
        }
        let (id, broker) = (job.id, job.request);
        self.counters.count("gearman", "cancelled");
        let Some(job) = self.jobs.close(id) else { return Err("UNKNOWN_JOB") };
        self.effects.extend(broker.map(Effect::Leave));
        self.counters.count_answer(&label(&job.function), |answered| answered.failed += 1);
        for connection in job.waiting {
            self.stop_waiting(connection, id);
            self.send(connection, Kind::WorkFail, &[&job.handle]);
        }
        Ok(())
    }
}

type Status = (Bytes, Bytes);

fn status_fields(job: Option<(bool, Status)>) -> (&'static [u8], &'static [u8], Status) {
    let flag = |set: bool| if set { &b"1"[..] } else { &b"0"[..] };
    let none = || (Bytes::from_static(b"0"), Bytes::from_static(b"0"));
    match job {
        Some((running, status)) => (flag(true), flag(running), status),
        None => (flag(false), flag(false), none()),
    }
}
