//! Where the jobs of one service are.

use std::collections::HashMap;

/// The jobs that were taken and have not ended.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    places: HashMap<u64, JobPlace>,
    held: usize,
}

/// Where a job is.
#[derive(Debug)]
enum JobPlace {
    /// Here, since then, until a slot is found.
    Held { since_ms: u64 },
    /// At a runner.
    Out { uid: String },
}

impl JobTable {
    /// Whether the job is known.
    pub(crate) fn has(&self, job: u64) -> bool {
        self.places.contains_key(&job)
    }

    /// Whether there are no jobs at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many jobs wait here.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// A new job waits here from now on.
    pub(crate) fn hold(&mut self, job: u64, now: u64) {
        self.held += 1;
        self.places.insert(job, JobPlace::Held { since_ms: now });
    }

    /// Takes a waiting job off; false if it does not wait here.
    pub(crate) fn forget_held(&mut self, job: u64) -> bool {
        let held = matches!(self.places.get(&job), Some(JobPlace::Held { .. }));
        if held {
            self.places.remove(&job);
            self.held -= 1;
        }
        held
    }

    /// A waiting job goes to a runner.
    pub(crate) fn send_out(&mut self, job: u64, uid: String) {
        self.forget_held(job);
        self.places.insert(job, JobPlace::Out { uid });
    }

    /// The `Uid` of the runner that a job is at; none if the job is not out.
    pub(crate) fn runner_of(&self, job: u64) -> Option<&str> {
        match self.places.get(&job)? {
            JobPlace::Out { uid } => Some(uid),
            JobPlace::Held { .. } => None,
        }
    }

    /// Takes a job off that is at a runner, and tells the runner's `Uid`; none if the job is not out.
    pub(crate) fn take_out(&mut self, job: u64) -> Option<String> {
        match self.places.remove(&job)? {
            JobPlace::Out { uid } => Some(uid),
            place @ JobPlace::Held { .. } => {
                self.places.insert(job, place);
                None
            }
        }
    }

    /// Jobs that have waited for so long or longer, in the order of their numbers.
    pub(crate) fn held_for(&self, now: u64, span_ms: u64) -> Vec<u64> {
        if self.held == 0 {
            return Vec::new();
        }
        let over = |since_ms: u64| since_ms.saturating_add(span_ms) <= now;
        let long = |place: &JobPlace| matches!(place, JobPlace::Held { since_ms } if over(*since_ms));
        let jobs = self.places.iter().filter(|(_, place)| long(place));
        let mut jobs: Vec<u64> = jobs.map(|(job, _)| *job).collect();
        jobs.sort_unstable();
        jobs
    }
}
