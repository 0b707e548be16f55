//! What `Instance-Load`, or the want of it, tells of a runner's free slots.

use ruddervalve::LoadReport;

use super::step::RunnerLoad;

/// Answers to a single message of ours that all showed a busy runner before it is believed that runners of the service
/// count the message that they answer. An answer that shows an empty one ends that belief for good.
const ANSWERS_BEFORE_BELIEF: u32 = 32;

/// Reads the loads that runners of one service report with their answers.
///
/// Runners may or may not count the message that is answered as one that runs; idle tokens return only if that is known.
#[derive(Debug, Default)]
pub(crate) struct LoadReader {
    empty_seen: bool,
    busy_answers: u32,
}

impl LoadReader {
    /// What a load with the answer to a message tells; `own_left`: messages of this edge that are still there. No more
    /// slots are believed free than the list gives the runner, whatever it says.
    pub(crate) fn read(&mut self, load: RunnerLoad, own_left: u32, capacity: u32) -> LoadReport {
        if load.running == 0 && load.waiting == 0 {
            self.empty_seen = true;
        } else if own_left == 0 {
            self.busy_answers = self.busy_answers.saturating_add(1);
        }
        let counts_answered = !self.empty_seen && self.busy_answers >= ANSWERS_BEFORE_BELIEF;
        let running = load.running.saturating_sub(u32::from(counts_answered));
        report(load.slots.saturating_sub(running).min(capacity), load.waiting)
    }

    /// What a load by itself, with no message, tells.
    pub(crate) fn read_probe(load: RunnerLoad, capacity: u32) -> LoadReport {
        report(load.slots.saturating_sub(load.running).min(capacity), load.waiting)
    }

    /// What is believed of a runner that tells no load: the slots that the list gives it, less what this edge has there.
    pub(crate) fn own_traffic(capacity: u32, own: u32) -> LoadReport {
        report(capacity.saturating_sub(own), 0)
    }
}

fn report(free_slots: u32, waiting: u32) -> LoadReport {
    LoadReport { free_slots: Some(f64::from(free_slots)), queued: Some(f64::from(waiting)) }
}
