//! What `Instance-Load`, or the want of it, tells of a runner's free slots.

use ruddervalve::LoadReport;

use super::step::RunnerLoad;

/// Answers to a single message of ours that all showed a busy runner before it is believed that runners of the service
/// count the message that they answer. An answer that shows an empty one ends that belief for good.
const ANSWERS_BEFORE_BELIEF: u32 = 32;

/// What bounds the messages that this edge can have at a runner, whatever the runner says of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunnerLimits {
    /// The slots that the list gives the runner.
    pub(crate) capacity: u32,
    /// Connections that this edge may have open to it; each carries one message at a time.
    pub(crate) connections: u32,
    /// Messages of this edge that are there.
    pub(crate) out: u32,
}

impl RunnerLimits {
    /// Of the slots that seem free, those that this edge can use.
    fn usable(self, free_slots: u32) -> u32 {
        let free_connections = self.connections.saturating_sub(self.out);
        free_slots.min(self.capacity).min(free_connections)
    }
}

/// Reads the loads that runners of one service report with their answers.
///
/// Runners may or may not count the message that is answered as one that runs; idle tokens return only if that is known.
#[derive(Debug, Default)]
pub(crate) struct LoadReader {
    empty_seen: bool,
    busy_answers: u32,
}

impl LoadReader {
    /// What a load with the answer to a message tells, once that message is off the runner.
    pub(crate) fn read(&mut self, load: RunnerLoad, limits: RunnerLimits) -> LoadReport {
        if load.running == 0 && load.waiting == 0 {
            self.empty_seen = true;
        } else if limits.out == 0 {
            self.busy_answers = self.busy_answers.saturating_add(1);
        }
        let counts_answered = !self.empty_seen && self.busy_answers >= ANSWERS_BEFORE_BELIEF;
        let running = load.running.saturating_sub(u32::from(counts_answered));
        report(limits.usable(load.slots.saturating_sub(running)), load.waiting)
    }

    /// What a load by itself, with no message, tells.
    pub(crate) fn read_probe(load: RunnerLoad, limits: RunnerLimits) -> LoadReport {
        report(limits.usable(load.slots.saturating_sub(load.running)), load.waiting)
    }

    /// What is believed of a runner that tells no load: the slots that the list gives it, less what this edge has there.
    pub(crate) fn own_traffic(limits: RunnerLimits) -> LoadReport {
        report(limits.usable(limits.capacity.saturating_sub(limits.out)), 0)
    }
}

fn report(free_slots: u32, waiting: u32) -> LoadReport {
    LoadReport { free_slots: Some(f64::from(free_slots)), queued: Some(f64::from(waiting)) }
}
