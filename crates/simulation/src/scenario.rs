//! What a history is about: machines, traffic and faults.

use std::path::Path;

use displaydoc::Display;
use serde::Deserialize;

mod kinds;
mod replacements;

pub use kinds::{Cuts, Disks, Fleet, Orders, Phases};
pub use replacements::Replacements;

/// A scenario. All fields have defaults; unknown ones are refused.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// Zones; machines are spread over them in turn.
    pub zones: u32,
    /// Whether each zone is a region of its own; else all lie in one.
    pub zones_are_regions: bool,
    /// Zones that may be lost at once.
    pub lost_zones: u32,
    /// Regions that may be lost at once.
    pub lost_regions: u32,
    /// Machines that accept and deliver.
    pub edges: u32,
    /// Machines with coordinators.
    pub coordinators: u32,
    /// Machines with stores.
    pub stores: u32,
    /// Whether the first coordinator is on the first store's machine, and so on: they are lost together.
    pub coordinators_on_stores: bool,
    /// Machines with a disk that may be lost at once.
    pub tolerance: u32,
    /// How long clients send, in milliseconds. Faults happen in the same time.
    pub traffic_ms: u64,
    /// One way between zones, in milliseconds.
    pub delay_ms: u64,
    /// What is added to a way at most, drawn anew each time, in milliseconds.
    pub jitter_ms: u64,
    /// A sync of a disk, in milliseconds.
    pub sync_ms: u64,
    /// A log of so many bytes is replaced by a checkpoint.
    pub checkpoint_bytes: u64,
    /// What clients and runners do.
    pub traffic: Traffic,
    /// What goes wrong.
    pub faults: Faults,
    /// Machines that are replaced.
    pub replacements: Replacements,
    /// Machines that are added and retired.
    pub fleet: Fleet,
    /// Long cuts, and faults that come together.
    pub cuts: Cuts,
    /// How changes are ordered.
    pub orders: Orders,
    /// Disks in trouble, and steps of the time of day.
    pub disks: Disks,
    /// Faults that follow phases.
    pub phases: Phases,
}

/// What clients, runners, operator and platform do.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Traffic {
    /// Messages a second on the route without order.
    pub plain_per_s: f64,
    /// Messages a second on the ordered route.
    pub ordered_per_s: f64,
    /// Messages a second to the endpoint with a rate.
    pub endpoint_per_s: f64,
    /// Different ordering keys.
    pub keys: u32,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// The part of plain messages that are delayed.
    pub delayed_part: f64,
    /// The part of plain messages that want a call-back.
    pub callback_part: f64,
    /// The part of messages that fail at every try.
    pub poison_part: f64,
    /// The part of runs that end with 500.
    pub failed_part: f64,
    /// The part of answers of runners that are lost.
    pub answer_lost_part: f64,
    /// The part of answers of runners that are spoilt: cut short, garbled or of a status that says nothing.
    pub spoilt_part: f64,
    /// How long a run takes, in milliseconds; half to one and a half times that is drawn.
    pub work_ms: u64,
    /// Runners of each service on the list.
    pub runners: u32,
    /// Slots of each.
    pub slots: u32,
    /// Tries of a client after the first.
    pub retries: u32,
    /// Between changes of the configuration, in milliseconds; 0: none.
    pub change_every_ms: u64,
}

/// What goes wrong. Each `_every_ms` is the mean time between two such faults in milliseconds; 0: never.
#[derive(Debug, Clone, PartialEq, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The process of a machine with a disk is killed.
    pub kill_every_ms: u64,
    /// A machine with a disk loses power.
    pub power_every_ms: u64,
    /// A machine with a disk loses it and starts empty.
    pub lose_disk_every_ms: u64,
    /// A machine with a disk stands still.
    pub freeze_every_ms: u64,
    /// A machine with a disk is cut off from some others, one way or both.
    pub cut_every_ms: u64,
    /// The process of an edge is killed.
    pub edge_kill_every_ms: u64,
    /// An edge stands still.
    pub edge_freeze_every_ms: u64,
    /// An edge is cut off from some others, one way or both.
    pub edge_cut_every_ms: u64,
    /// Connections of a machine are reset.
    pub reset_every_ms: u64,
    /// A machine is stopped by SIGTERM and started again: planned work.
    pub term_every_ms: u64,
    /// All coordinators are killed at once.
    pub herd_kill_every_ms: u64,
    /// All machines with disks lose power at once.
    pub all_power_every_ms: u64,
    /// All machines with disks lose power right after an acknowledgement, of a message or of a configuration.
    pub after_ack_power_every_ms: u64,
    /// A runner crashes; another takes its address later.
    pub runner_crash_every_ms: u64,
    /// A runner drains and goes; another takes its address later.
    pub runner_drain_every_ms: u64,
    /// The platform's list cannot be had for a while.
    pub platform_every_ms: u64,
    /// Connections that other replicas have opened to a machine are gone at its end, and the openers are told nothing.
    pub half_open_every_ms: u64,
    /// All machines of a zone lose power at once, while nothing else is lost.
    pub zone_power_every_ms: u64,
    /// The last fault, after the traffic.
    pub last: LastFault,
}

/// The last fault of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum LastFault {
    /// None.
    #[default]
    None,
    /// All machines lose power.
    AllPower,
    /// All processes are killed.
    AllKill,
    /// A machine with a disk loses it.
    LoseDisk,
    /// As many machines with disks as may be lost lose them, and all machines lose power at the same moment.
    LoseDisksAndPower,
    /// One of them, drawn.
    Any,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "standard".to_owned(),
            zones: 3,
            zones_are_regions: false,
            lost_zones: 0,
            lost_regions: 0,
            edges: 3,
            coordinators: 3,
            stores: 3,
            coordinators_on_stores: false,
            tolerance: 1,
            traffic_ms: 40_000,
            delay_ms: 1,
            jitter_ms: 2,
            sync_ms: 4,
            checkpoint_bytes: 60_000,
            traffic: Traffic::default(),
            faults: Faults::default(),
            replacements: Replacements::default(),
            fleet: Fleet::default(),
            cuts: Cuts::default(),
            orders: Orders::default(),
            disks: Disks::default(),
            phases: Phases::default(),
        }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            plain_per_s: 8.0,
            ordered_per_s: 12.0,
            endpoint_per_s: 6.0,
            keys: 4,
            body_bytes: 100,
            delayed_part: 0.2,
            callback_part: 0.3,
            poison_part: 0.02,
            failed_part: 0.03,
            answer_lost_part: 0.03,
            spoilt_part: 0.0,
            work_ms: 60,
            runners: 4,
            slots: 3,
            retries: 2,
            change_every_ms: 4_000,
        }
    }
}

impl Scenario {
    /// All kinds of faults together, as often as the tolerance of one machine allows.
    pub fn standard() -> Self {
        let faults = Faults {
            kill_every_ms: 15_000,
            power_every_ms: 20_000,
            lose_disk_every_ms: 40_000,
            freeze_every_ms: 20_000,
            cut_every_ms: 15_000,
            edge_kill_every_ms: 15_000,
            edge_freeze_every_ms: 25_000,
            edge_cut_every_ms: 20_000,
            reset_every_ms: 15_000,
            term_every_ms: 12_000,
            herd_kill_every_ms: 60_000,
            all_power_every_ms: 60_000,
            after_ack_power_every_ms: 60_000,
            runner_crash_every_ms: 10_000,
            runner_drain_every_ms: 8_000,
            platform_every_ms: 25_000,
            half_open_every_ms: 0,
            zone_power_every_ms: 0,
            last: LastFault::Any,
        };
        Self { faults, ..Self::default() }
    }
}

/// Why a scenario cannot be had.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// the scenario {0} cannot be read ({1}): check the path and its rights
    Unreadable(String, std::io::Error),
    /// the scenario {0} is faulty, mend it: {1}
    Faulty(String, toml::de::Error),
    /// the scenario {0} is faulty: give it 3 zones or fewer, and 1 to 9 machines of each kind
    Machines(String),
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// It cannot be read or is faulty.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| ScenarioError::Unreadable(name.clone(), error))?;
        Self::parse(&name, &text)
    }

    /// Reads the text of a scenario.
    ///
    /// # Errors
    /// It is faulty.
    pub fn parse(name: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self =
            toml::from_str(text).map_err(|error| ScenarioError::Faulty(name.to_owned(), error))?;
        let counts = [scenario.edges, scenario.coordinators, scenario.stores];
        let in_range =
            (1..=3).contains(&scenario.zones) && counts.iter().all(|count| (1..=9).contains(count));
        if in_range { Ok(scenario) } else { Err(ScenarioError::Machines(name.to_owned())) }
    }
}
