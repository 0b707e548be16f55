//! Kinds of trouble with settings of their own. Each `_every_ms` is the mean time between two in milliseconds, 0: never;
//! each `_part` is a probability.

use serde::Deserialize;

/// Machines that are added, and stores that the operator retires.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// An empty machine with the roles of a store's machine is added.
    pub add_every_ms: u64,
    /// The operator retires a store's machine, which is removed with its disk as soon as that has succeeded.
    pub retire_every_ms: u64,
    /// Retirements right after which as many others as the tolerance allows lose their disks.
    pub wipe_part: f64,
}

/// Long cuts, and faults that come together. Clients and operator reach whatever is cut off.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cuts {
    /// A machine with a disk is cut off from all or from the seeds, both ways or one.
    pub long_every_ms: u64,
    /// How long at most such a cut lasts, in milliseconds; half of that at least.
    pub lasts_ms: u64,
    /// A machine with a disk is cut off, frozen or killed, and something else befalls it meanwhile or right after.
    pub combined_every_ms: u64,
}

impl Default for Cuts {
    fn default() -> Self {
        Self { long_every_ms: 0, lasts_ms: 20_000, combined_every_ms: 0 }
    }
}

/// How the operators order changes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// Many changes in quick succession, while a machine with a disk is down that comes back right after.
    pub storm_every_ms: u64,
    /// Changes of a storm.
    pub storm_changes: u32,
    /// Between two changes of a storm, in milliseconds.
    pub storm_step_ms: u64,
    /// Changes that race with another on the same version.
    pub race_part: f64,
    /// Changes that are invalid.
    pub invalid_part: f64,
    /// Answers that are lost: the same order is sent again, to any coordinator.
    pub answer_lost_part: f64,
    /// Acknowledged orders that are sent once more.
    pub repeat_part: f64,
    /// Whether changes lead the routes without order and with order to other services.
    pub moves_routes: bool,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            storm_every_ms: 0,
            storm_changes: 200,
            storm_step_ms: 40,
            race_part: 0.3,
            invalid_part: 0.1,
            answer_lost_part: 0.15,
            repeat_part: 0.15,
            moves_routes: false,
        }
    }
}

/// Disks that do not do their work, and the time of day.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Disks {
    /// A disk stalls.
    pub stall_every_ms: u64,
    /// A disk turns slow.
    pub slow_every_ms: u64,
    /// So many times slower.
    pub slow_factor: u64,
    /// A disk is full.
    pub full_every_ms: u64,
    /// How long such a trouble lasts at most, in milliseconds.
    pub lasts_ms: u64,
    /// The time of day of a machine jumps, ahead or back.
    pub clock_step_every_ms: u64,
    /// How far at most, in milliseconds.
    pub clock_step_ms: u64,
}

impl Default for Disks {
    fn default() -> Self {
        Self {
            stall_every_ms: 0,
            slow_every_ms: 0,
            slow_factor: 30,
            full_every_ms: 0,
            lasts_ms: 6_000,
            clock_step_every_ms: 0,
            clock_step_ms: 10_000,
        }
    }
}

/// Faults that follow a phase of what processes do, within the tolerance.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Phases {
    /// Steps of a membership change, seen when a leader appends them.
    pub membership_part: f64,
    /// Parts of a snapshot that are sent.
    pub snapshot_part: f64,
    /// Orders that have just reached a coordinator: between proposal and commit.
    pub proposal_part: f64,
    /// Orders that are just being answered: between commit and answer.
    pub answer_part: f64,
}
