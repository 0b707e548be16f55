//! What an edge's decisions are told at its start.

use ruddervalve::{
    ClassSettings, Discovery, Effect, Limits, Names, Reporting, Rules, SECOND, Settings, ZoneId,
};
use ruddervalve_configuration::Locality;

/// The one class of jobs in a service's decisions: the queue has ranked the messages already.
pub(crate) const CLASS: &str = "message";
/// The zone of this edge in a service's decisions; all others are one, as a crossing costs the same to each.
pub(crate) const HOME: &str = "home";
/// Every zone but this edge's.
pub(crate) const ELSEWHERE: &str = "elsewhere";
/// Longer than any lease: the queue decides how long a message may wait, the decisions never give one up for its age.
pub(crate) const LONGEST_MS: f64 = 24.0 * 3_600.0 * 1e3;
/// The decisions' clock has no finer steps than the caller's, which are milliseconds.
const TICK: u64 = SECOND / 1_000;

/// What the decisions of one edge are told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Where this edge stands.
    pub locality: Locality,
    /// Seeds the draws. Edges must have different ones, or they all draw the same runners.
    pub seed: u64,
    /// How many other edges deliver to the same runners, until [`super::Dispatch::set_other_edges`]: connections are
    /// shared with them. Too low a guess can make runners reset connections.
    pub other_edges: u32,
}

impl DispatchSettings {
    /// How many edges there are with this one.
    pub(crate) fn edges(&self) -> u32 {
        self.other_edges.saturating_add(1)
    }

    /// The settings of the decisions for the runners of one service.
    ///
    /// One attempt for each job, as the queue repeats; no worth by age, as the queue ranks; no price of crossings, as a
    /// token elsewhere is better than a wait at home, and home goes first among equals anyhow.
    pub(crate) fn decisions(&self) -> Settings {
        let longest = (LONGEST_MS * 1e3) as u64;
        let class = ClassSettings {
            aim: longest,
            aim_stretch: 0.0,
            deadline: longest,
            worth: 1.0,
            late_worth: 1.0,
            effect: Effect::Safe,
            kind: None,
        };
        Settings {
            index: 0,
            dispatchers: self.edges() as usize,
            zone: Some(ZoneId(0)),
            tick: TICK,
            classes: vec![class],
            tenants: Vec::new(),
            worth_by_work: true,
            over_share_worth: 1.0,
            worst_class_weight: 0.0,
            cross_zone_price: 0.0,
            conn_kept: 0,
            discovery: Discovery::Pushed,
            reporting: Reporting::Answers,
            live_weights: false,
            tells_start: false,
            limits: Limits { max_attempts: 1, cancel: false, probes: false, max_retry_after: longest },
            rules: Rules { cold_share: 1.0, cold: 0, fall_multiple: 1.0, fall_after: 0, ask_within: 0 },
        }
    }
}

/// The names that go with [`DispatchSettings::decisions`].
pub(crate) fn names() -> Names {
    Names {
        classes: vec![CLASS.to_owned()],
        tenants: Vec::new(),
        zones: vec![HOME.to_owned(), ELSEWHERE.to_owned()],
        kinds: Vec::new(),
    }
}
