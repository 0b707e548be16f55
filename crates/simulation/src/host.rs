//! A machine and its process.

use std::collections::{BTreeMap, VecDeque};

use ruddervalve_configuration::Settings;
use ruddervalve_consensus::Membership;
use ruddervalve_protocol::GroupId;

use crate::disk::Disk;
use crate::network::Machine;
use crate::places::Place;
use crate::process::{Input, Link, Process};

/// A machine and its process, if it runs. A machine that runs a coordinator beside a store is two hosts that share an
/// address and a site.
pub struct Host {
    pub place: Place,
    pub settings: Settings,
    pub disk: Disk,
    pub process: Option<Box<dyn Process>>,
    pub life: u64,
    pub started: u64,
    /// How far its time of day is from the true one, in milliseconds.
    pub wall_offset: i64,
    pub has_power: bool,
    pub is_frozen: bool,
    /// What came while it stood still.
    pub backlog: VecDeque<Input>,
    /// What it wants to keep open, and how often in a row each could not be opened.
    pub links: BTreeMap<Link, u32>,
    /// The next wake that is in the queue.
    pub wake_at: u64,
    /// The configuration that an edge had in force last.
    pub version: u64,
    pub has_founded: bool,
    /// Whether the process was told to end.
    pub is_ending: bool,
    /// The members of each group as last seen.
    pub members: BTreeMap<GroupId, Membership>,
    /// What is lost together: a machine, and whatever replaced it since. Named by the first host of the first machine.
    pub site: Machine,
    /// Since when the operator's list names it.
    pub listed_since: u64,
    /// Since when it is no more, with its disk.
    pub removed_at: Option<u64>,
}

impl Host {
    /// A machine with power that has not started yet.
    pub fn new(place: Place, settings: Settings, disk: Disk, site: Machine) -> Self {
        Self {
            place,
            settings,
            disk,
            process: None,
            life: 0,
            started: 0,
            wall_offset: 0,
            has_power: true,
            is_frozen: false,
            backlog: VecDeque::new(),
            links: BTreeMap::new(),
            wake_at: u64::MAX,
            version: 0,
            has_founded: false,
            is_ending: false,
            members: BTreeMap::new(),
            site,
            listed_since: 0,
            removed_at: None,
        }
    }

    /// Whether the operator's list names it, as the list stood at a moment.
    pub fn is_listed(&self, at: u64) -> bool {
        self.listed_since <= at && self.removed_at.is_none_or(|removed| removed > at)
    }

    /// Whether it still exists.
    pub fn exists(&self) -> bool {
        self.removed_at.is_none()
    }
}
