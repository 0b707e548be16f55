//! What a process has received of what coordinators tell. Pure: no I/O, no clock.

use ruddervalve_protocol::{CoordinatorReply, ReceivedUpdates};

/// Takes note of what a coordinator says. Whether it is an update: then all coordinators are to be told what was received,
/// also if it was not newer, as its sender waits for that.
pub fn note_update(received: &mut ReceivedUpdates, reply: &CoordinatorReply) -> bool {
    match reply {
        CoordinatorReply::Configuration(update) => {
            received.configuration = received.configuration.max(update.version);
        }
        CoordinatorReply::Directory(directory) => {
            received.directory = received.directory.max(directory.version);
        }
        CoordinatorReply::Runners(list) => {
            received.runners = received.runners.max((list.term, list.sequence))
        }
        CoordinatorReply::NotLeader { .. }
        | CoordinatorReply::Alive { .. }
        | CoordinatorReply::Members(_) => {
            return false;
        }
    }
    true
}
