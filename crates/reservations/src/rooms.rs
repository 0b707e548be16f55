//! Owns what runs on each node as far as this dispatcher knows, and the rooms held there: slots kept free on one node for
//! one job that needs many, until they are all free, the job is gone, or the hold has come to nothing. It must never hold
//! more than the share allowed, hold for longer than the latest end, or keep a room whose job or node is gone.

use std::collections::{BTreeMap, BTreeSet};

use crate::runs::Runs;

/// A node, by whatever number the asker knows it.
pub type NodeId = u64;
/// A run: its job's number and which of the job's attempts it is.
pub type RunId = (u64, usize);

/// What a room is wanted for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// The job.
    pub job: u64,
    /// Slots it takes.
    pub slots: f64,
    /// When it must have started to be of use.
    pub latest_start_ms: f64,
    /// What it is worth.
    pub worth: f64,
}

/// Bounds on holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The part of all slots of the nodes that are held at once, at most.
    pub share: f64,
    /// The chance that a room is not free by when it is counted on, and that what fills a gap outstays it.
    pub risk: f64,
    /// How long a hold lasts at most.
    pub longest_ms: f64,
    /// How often the hold of one job moves.
    pub moves: u32,
}

/// A room held for a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hold {
    /// Where.
    pub node: NodeId,
    /// Slots.
    pub slots: f64,
    /// Since when; a move does not change it.
    pub since_ms: f64,
    /// When the room is free, but for the risk allowed.
    pub free_at_ms: f64,
    /// How often it has moved.
    pub moves: u32,
}

/// Why a room is not held, or not any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// No node has so many slots.
    TooWide,
    /// On no node would the room be free in time.
    TooLate,
    /// The share of slots that may be held is used up.
    Share,
    /// What would have to stay away is worth more.
    Worth,
    /// The room was not free when it was counted on, and the moves are used up.
    Unfilled,
    /// It was held for as long as a hold may last.
    Longest,
    /// The node takes nothing new, has gone or has started anew.
    Node,
}

/// What came of a look at all holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Review {
    /// The jobs whose holds moved, with where from.
    pub moved: Vec<(u64, NodeId)>,
    /// The jobs whose holds ended, with why.
    pub ended: Vec<(u64, Why)>,
}

/// How a run ended, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It ran to its end: how long that took is learnt.
    Whole,
    /// It was cut off, or never ran.
    Cut,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    class: usize,
    slots: f64,
    sent_ms: f64,
    started_ms: Option<f64>,
}

#[derive(Debug, Default)]
struct Node {
    slots: f64,
    /// It may be given new work.
    open: bool,
    /// Slots that others seem to use, and since when that is believed.
    others: f64,
    others_since_ms: f64,
    runs: BTreeMap<RunId, Run>,
    /// The jobs that hold room here.
    held_for: BTreeSet<u64>,
}

impl Node {
    fn used(&self) -> f64 {
        self.others + self.runs.values().map(|run| run.slots).sum::<f64>()
    }

    fn free(&self) -> f64 {
        (self.slots - self.used()).max(0.0)
    }
}

/// What runs where, and what is held.
#[derive(Debug)]
pub struct Rooms {
    limits: Limits,
    nodes: BTreeMap<NodeId, Node>,
    holds: BTreeMap<u64, (Hold, Need)>,
    /// By class and width, and by class alone for widths not seen.
    runs: BTreeMap<(usize, u64), Runs>,
    expected_ms: f64,
}

fn width(slots: f64) -> u64 {
    slots.round().clamp(1.0, 1e6) as u64
}

/// Slots that make no sense count as one.
fn sound(slots: f64) -> f64 {
    if slots.is_finite() { slots.max(1.0) } else { 1.0 }
}

impl Rooms {
    /// Nothing is known but that runs take about so long.
    pub fn new(limits: Limits, expected_ms: f64) -> Self {
        Self { limits, nodes: BTreeMap::new(), holds: BTreeMap::new(), runs: BTreeMap::new(), expected_ms }
    }

    /// Takes new limits. Holds beyond a smaller share end when they would; none is begun meanwhile.
    pub fn limit_to(&mut self, limits: Limits) {
        self.limits = limits;
    }

    // What is told.

    /// A node has so many slots, and may be given work or not. Where it may not, or has started `anew`, what was held there
    /// is held no more; the jobs are returned, so that they can look elsewhere.
    pub fn node(&mut self, node: NodeId, slots: f64, open: bool, anew: bool) -> Vec<u64> {
        let known = self.nodes.entry(node).or_default();
        known.slots = if slots.is_finite() { slots.max(0.0) } else { 0.0 };
        known.open = open;
        if anew {
            known.others = 0.0;
        }
        if open && !anew { Vec::new() } else { self.lose(node) }
    }

    /// A node has gone, with all that ran there.
    pub fn gone(&mut self, node: NodeId) -> Vec<u64> {
        let lost = self.lose(node);
        self.nodes.remove(&node);
        lost
    }

    fn lose(&mut self, node: NodeId) -> Vec<u64> {
        let lost: Vec<u64> = match self.nodes.get(&node) {
            Some(node) => node.held_for.iter().copied().collect(),
            None => Vec::new(),
        };
        for job in &lost {
            self.release(*job);
        }
        lost
    }

    /// Others seem to use so many slots of a node.
    pub fn others(&mut self, node: NodeId, slots: f64, now_ms: f64) {
        if let Some(node) = self.nodes.get_mut(&node) {
            // What has grown is new; what has shrunk is what is left of the old.
            if slots > node.others {
                node.others_since_ms = now_ms;
            }
            node.others = if slots.is_finite() { slots.clamp(0.0, node.slots) } else { 0.0 };
        }
    }

    /// A run was sent to a node.
    pub fn sent(&mut self, run: RunId, node: NodeId, class: usize, slots: f64, now_ms: f64) {
        let run_there = Run { class, slots: sound(slots), sent_ms: now_ms, started_ms: None };
        if let Some(node) = self.nodes.get_mut(&node) {
            node.runs.insert(run, run_there);
        }
        // Its room is used, wherever it went.
        self.release(run.0);
    }

    /// It has started.
    pub fn started(&mut self, run: RunId, node: NodeId, now_ms: f64) {
        if let Some(run) = self.nodes.get_mut(&node).and_then(|node| node.runs.get_mut(&run)) {
            run.started_ms.get_or_insert(now_ms);
        }
    }

    /// It has ended.
    pub fn ended(&mut self, run: RunId, node: NodeId, how: Ended, now_ms: f64) {
        let Some(run) = self.nodes.get_mut(&node).and_then(|node| node.runs.remove(&run)) else { return };
        let since_ms = run.started_ms.unwrap_or(run.sent_ms);
        if how == Ended::Whole {
            let expected_ms = self.expected_ms;
            let learnt = self.runs.entry((run.class, width(run.slots)));
            learnt.or_insert_with(|| Runs::expected(expected_ms)).saw(now_ms - since_ms);
        }
    }

    // What is asked.

    fn runs_of(&self, class: usize, slots: f64) -> Option<&Runs> {
        let same_class = || self.runs.range((class, 0)..(class + 1, 0)).map(|(_, runs)| runs).next();
        self.runs.get(&(class, width(slots))).or_else(same_class)
    }

    /// How much longer a run goes on, but for a risk.
    fn left_ms(&self, class: usize, slots: f64, since_ms: f64, risk: f64) -> f64 {
        match self.runs_of(class, slots) {
            Some(runs) => runs.left(since_ms, risk),
            None => Runs::expected(self.expected_ms).left(since_ms, risk),
        }
    }

    /// When a node will have so many slots free, but for the risk allowed, if nothing more is sent there. None if it has
    /// not so many or takes nothing.
    pub fn free_at(&self, node: NodeId, slots: f64, now_ms: f64) -> Option<f64> {
        let known = self.nodes.get(&node).filter(|node| node.open && node.slots >= slots)?;
        let mut ends: Vec<(f64, f64)> = known
            .runs
            .values()
            .map(|run| {
                let since_ms = now_ms - run.started_ms.unwrap_or(now_ms);
                (self.left_ms(run.class, run.slots, since_ms, self.limits.risk), run.slots)
            })
            .collect();
        if known.others > 0.0 {
            // Of others' runs neither class nor start is known: they are as old as they have been seen.
            let since_ms = now_ms - known.others_since_ms;
            ends.push((Runs::expected(self.expected_ms).left(since_ms, self.limits.risk), known.others));
        }
        ends.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut free = known.free();
        let mut at_ms = now_ms;
        for (left, frees) in ends {
            if free >= slots {
                break;
            }
            (free, at_ms) = (free + frees, now_ms + left);
        }
        (free >= slots).then_some(at_ms)
    }

    /// The nodes' slots held for jobs other than this one.
    pub fn held_against(&self, node: NodeId, job: u64) -> f64 {
        let Some(node) = self.nodes.get(&node) else { return 0.0 };
        let others = node.held_for.iter().filter(|holder| **holder != job);
        others.filter_map(|holder| self.holds.get(holder)).map(|(hold, _)| hold.slots).sum()
    }

    /// Whether a job that holds nothing here may run on a node without harm to what is held there: it leaves the room
    /// free, or is likely to have ended by when the room is.
    pub fn fits(&self, node: NodeId, job: u64, class: usize, slots: f64, now_ms: f64) -> bool {
        let Some(known) = self.nodes.get(&node) else { return true };
        let held = self.held_against(node, job);
        if held <= 0.0 || known.free() - held >= slots {
            return true;
        }
        let first = known
            .held_for
            .iter()
            .filter(|holder| **holder != job)
            .filter_map(|holder| self.holds.get(holder));
        let needed_at = first.map(|(hold, _)| hold.free_at_ms).fold(f64::MAX, f64::min);
        known.free() >= slots && now_ms + self.left_ms(class, slots, 0.0, self.limits.risk) <= needed_at
    }

    /// The hold of a job.
    pub fn hold_of(&self, job: u64) -> Option<Hold> {
        self.holds.get(&job).map(|(hold, _)| *hold)
    }

    /// Whether a job's room is free now.
    pub fn filled(&self, job: u64) -> Option<NodeId> {
        let (hold, _) = self.holds.get(&job)?;
        self.nodes.get(&hold.node).filter(|node| node.open && node.free() >= hold.slots).map(|_| hold.node)
    }

    /// Slots held in all, and slots of all nodes that are open.
    pub fn held(&self) -> (f64, f64) {
        let held = self.holds.values().map(|(hold, _)| hold.slots).sum();
        (held, self.nodes.values().filter(|node| node.open).map(|node| node.slots).sum())
    }

    // Holding.

    /// Holds a room for a job on the node of `among` that gives it soonest. `density` is what other work earns in a slot,
    /// in worth for each millisecond: what stands empty for the room must not have been worth more than the job.
    pub fn hold(&mut self, need: Need, among: &[NodeId], density: f64, now_ms: f64) -> Result<Hold, Why> {
        if let Some((hold, _)) = self.holds.get(&need.job) {
            return Ok(*hold);
        }
        self.place(need, among, density, now_ms, None)
    }

    /// Begins a hold, or goes on with one whose room was not free when it was counted on.
    fn place(
        &mut self,
        need: Need,
        among: &[NodeId],
        density: f64,
        now_ms: f64,
        before: Option<Hold>,
    ) -> Result<Hold, Why> {
        let since_ms = before.map_or(now_ms, |before| before.since_ms);
        let moves = before.map_or(0, |before| before.moves + 1);
        let slots = sound(need.slots);
        let wide_enough = |node: &&NodeId| self.nodes.get(node).is_some_and(|known| known.slots >= slots);
        if !among.iter().any(|node| wide_enough(&node)) {
            return Err(Why::TooWide);
        }
        let (held, all) = self.held();
        if held + slots > all * self.limits.share {
            return Err(Why::Share);
        }
        // One room for a node: two that wait for the same slots would wait for one another.
        let empty = |node: &&NodeId| {
            before.is_none_or(|before| before.node != **node)
                && self.nodes.get(node).is_some_and(|known| known.held_for.is_empty())
        };
        let soonest =
            among.iter().filter(empty).filter_map(|node| Some((self.free_at(*node, slots, now_ms)?, *node)));
        let soonest = soonest.min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let latest_ms = need.latest_start_ms.min(since_ms + self.limits.longest_ms);
        let Some((free_at_ms, node)) = soonest.filter(|(at, _)| *at <= latest_ms) else {
            return Err(Why::TooLate);
        };
        if self.idle_slot_ms(node, slots, now_ms) * density > need.worth {
            return Err(Why::Worth);
        }
        let hold = Hold { node, slots, since_ms, free_at_ms, moves };
        self.holds.insert(need.job, (hold, need));
        if let Some(known) = self.nodes.get_mut(&node) {
            known.held_for.insert(need.job);
        }
        Ok(hold)
    }

    /// How much of a node's time stands empty for a room, in slots times milliseconds: what is free now waits for the rest.
    fn idle_slot_ms(&self, node: NodeId, slots: f64, now_ms: f64) -> f64 {
        let wait_ms = self.free_at(node, slots, now_ms).unwrap_or(now_ms) - now_ms;
        self.nodes.get(&node).map_or(0.0, |known| known.free().min(slots) * wait_ms)
    }

    /// A job needs its room no more: it has gone, was answered, or its room is used.
    pub fn release(&mut self, job: u64) -> Option<Hold> {
        let (hold, _) = self.holds.remove(&job)?;
        if let Some(node) = self.nodes.get_mut(&hold.node) {
            node.held_for.remove(&job);
        }
        Some(hold)
    }

    /// Looks at all holds: one that was not filled when that was counted on moves to where its room is free soonest, or
    /// ends.
    pub fn review(&mut self, among: &[NodeId], density: f64, now_ms: f64) -> Review {
        let mut review = Review::default();
        let late = |(hold, need): &(Hold, Need)| {
            now_ms >= need.latest_start_ms
                || now_ms >= hold.since_ms + self.limits.longest_ms
                || now_ms > hold.free_at_ms
        };
        let due: Vec<(u64, Hold, Need)> = self
            .holds
            .iter()
            .filter(|(_, hold)| late(hold))
            .map(|(job, (hold, need))| (*job, *hold, *need))
            .collect();
        for (job, hold, need) in due {
            if self.filled(job).is_some() {
                continue;
            }
            self.release(job);
            if now_ms >= need.latest_start_ms {
                review.ended.push((job, Why::TooLate));
            } else if now_ms >= hold.since_ms + self.limits.longest_ms {
                review.ended.push((job, Why::Longest));
            } else if hold.moves >= self.limits.moves {
                review.ended.push((job, Why::Unfilled));
            } else {
                // What was counted on was wrong: the same node is waited for no longer.
                let again = self.place(need, among, density, now_ms, Some(hold));
                match again {
                    Ok(_) => review.moved.push((job, hold.node)),
                    Err(why) => review.ended.push((job, why)),
                }
            }
        }
        review
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const LIMITS: Limits = Limits { share: 0.5, risk: 0.1, longest_ms: 5_000.0, moves: 2 };

    fn need(job: u64, slots: f64) -> Need {
        Need { job, slots, latest_start_ms: 10_000.0, worth: 10.0 }
    }

    /// Three nodes of four slots: on the first two short jobs run, on the others one long one each.
    fn rooms() -> Rooms {
        let mut rooms = Rooms::new(LIMITS, 200.0);
        for node in 0..3 {
            assert!(rooms.node(node, 4.0, true, false).is_empty());
        }
        for run in 0..100 {
            for (class, took) in [(0, 100.0), (1, 2_000.0)] {
                rooms.sent((1_000 + run, class), 0, class, 1.0, 0.0);
                rooms.ended((1_000 + run, class), 0, Ended::Whole, took);
            }
        }
        rooms.sent((1, 0), 0, 0, 1.0, 0.0);
        rooms.sent((2, 0), 0, 0, 1.0, 0.0);
        rooms.sent((3, 0), 1, 1, 1.0, 0.0);
        rooms.sent((4, 0), 2, 1, 1.0, 0.0);
        (1..5).for_each(|run| rooms.started((run, 0), if run < 3 { 0 } else { run - 2 }, 0.0));
        rooms
    }

    #[test]
    fn a_room_is_held_where_it_is_free_soonest_and_small_work_fills_the_gap_it_ends_in() {
        let mut rooms = rooms();
        let hold = rooms.hold(need(7, 4.0), &[0, 1, 2], 0.0, 0.0).unwrap();
        assert_eq!(hold.node, 0, "short runs end sooner");
        assert!(hold.free_at_ms < 200.0, "{hold:?}");
        assert!(!rooms.fits(0, 8, 1, 1.0, 0.0), "two seconds would outstay");
        assert!(!rooms.fits(0, 8, 0, 1.0, 60.0), "begun late, a short one would, too");
        assert!(rooms.fits(0, 7, 1, 4.0, 0.0) && rooms.fits(1, 8, 1, 1.0, 0.0), "no harm to others");
        assert_eq!((rooms.held_against(0, 8), rooms.held_against(0, 7)), (4.0, 0.0));
        assert_eq!(rooms.filled(7), None);
        rooms.ended((1, 0), 0, Ended::Whole, 100.0);
        rooms.ended((2, 0), 0, Ended::Whole, 110.0);
        assert_eq!(rooms.filled(7), Some(0));
        rooms.sent((7, 0), 0, 1, 4.0, 110.0);
        assert_eq!((rooms.hold_of(7), rooms.held().0), (None, 0.0));
    }

    #[test]
    fn a_gap_long_enough_is_filled() {
        let mut rooms = rooms();
        // Only the nodes with long runs: their rooms are free in two seconds, which a short job does not outstay.
        let hold = rooms.hold(need(7, 4.0), &[1, 2], 0.0, 0.0).unwrap();
        assert!(hold.free_at_ms > 1_500.0, "{hold:?}");
        assert!(rooms.fits(hold.node, 8, 0, 1.0, 0.0));
        assert!(!rooms.fits(hold.node, 8, 0, 1.0, hold.free_at_ms - 50.0), "not so close before it");
    }

    #[test]
    fn one_that_outstays_moves_the_hold_and_moves_are_counted() {
        let mut rooms = rooms();
        let hold = rooms.hold(need(7, 4.0), &[0, 1, 2], 0.0, 0.0).unwrap();
        assert_eq!(rooms.review(&[0, 1, 2], 0.0, hold.free_at_ms), Review::default(), "not yet");
        let Review { moved, ended } = rooms.review(&[0, 1, 2], 0.0, hold.free_at_ms + 1.0);
        assert_eq!((moved, ended), (vec![(7, 0)], vec![]));
        let second = rooms.hold_of(7).unwrap();
        assert!(second.node != 0 && second.moves == 1 && second.since_ms == 0.0, "{second:?}");
        assert_eq!(rooms.held_against(0, 8), 0.0, "the first node is free for others at once");
        // The others outstay, too: what is left ends, with why.
        rooms.review(&[0, 1, 2], 0.0, second.free_at_ms + 1.0);
        let last = rooms.review(&[0, 1, 2], 0.0, 5_001.0).ended;
        assert_eq!((last, rooms.hold_of(7)), (vec![(7, Why::Longest)], None));
    }

    #[test]
    fn a_node_that_leaves_starts_anew_or_turns_busy_gives_its_room_up() {
        for how in 0..4 {
            let mut rooms = rooms();
            rooms.hold(need(7, 4.0), &[0], 0.0, 0.0).unwrap();
            let lost = match how {
                0 => rooms.node(0, 4.0, false, false),
                1 => rooms.node(0, 4.0, true, true),
                2 => rooms.gone(0),
                // Another program takes most of it: the room is not free when it was counted on.
                _ => {
                    rooms.others(0, 3.0, 50.0);
                    rooms.review(&[0], 0.0, 300.0).ended.into_iter().map(|(job, _)| job).collect()
                }
            };
            assert_eq!((lost, rooms.held().0), (vec![7], 0.0), "{how}");
        }
    }

    #[test]
    fn what_cannot_or_should_not_be_held_is_told_at_once() {
        let mut rooms = rooms();
        assert_eq!(rooms.hold(need(7, 8.0), &[0, 1, 2], 0.0, 0.0), Err(Why::TooWide));
        let urgent = Need { latest_start_ms: 10.0, ..need(7, 4.0) };
        assert_eq!(rooms.hold(urgent, &[0, 1, 2], 0.0, 0.0), Err(Why::TooLate));
        // Two slots stand empty for some hundred milliseconds: other work there would earn more than the job is worth.
        assert_eq!(rooms.hold(need(7, 4.0), &[0, 1, 2], 1.0, 0.0), Err(Why::Worth));
        assert!(rooms.hold(need(7, 4.0), &[0, 1, 2], 0.001, 0.0).is_ok());
        assert_eq!(rooms.hold(need(8, 4.0), &[0, 1, 2], 0.0, 0.0), Err(Why::Share), "half of twelve at most");
        rooms.release(7);
        assert!(rooms.hold(need(8, 4.0), &[0, 1, 2], 0.0, 0.0).is_ok(), "the next one gets it at once");
    }

    proptest! {
        /// Guards the bounds: never more held than the share, one room on a node, and nothing held for what is gone.
        #[test]
        fn whatever_happens_holds_stay_within_their_bounds(
            events in prop::collection::vec((0..8_u8, 0..4_u64, 0..12_u64, 1..5_u8, 0..500_u16), 1..200)
        ) {
            let (mut rooms, mut now) = (Rooms::new(LIMITS, 200.0), 0.0);
            let all = [0, 1, 2, 3];
            for (what, node, job, slots, passes) in events {
                now += f64::from(passes);
                match what {
                    0 => drop(rooms.node(node, 4.0, slots > 1, slots > 3)),
                    1 => drop(rooms.gone(node)),
                    2 => rooms.sent((job, 0), node, usize::from(slots % 2), f64::from(slots), now),
                    3 => rooms.started((job, 0), node, now),
                    4 => rooms.ended((job, 0), node, if slots > 1 { Ended::Whole } else { Ended::Cut }, now),
                    5 => {
                        let (slots, latest_start_ms) = (f64::from(slots), now + 3_000.0);
                        let held_before = rooms.hold_of(job).is_some();
                        if let Ok(hold) = rooms.hold(Need { job, slots, latest_start_ms, worth: 1.0 }, &all, 0.0, now) {
                            if held_before {
                                continue;
                            }
                            let (held, all) = rooms.held();
                            prop_assert!(held <= all * LIMITS.share, "{held} of {all}");
                            prop_assert!(hold.free_at_ms <= latest_start_ms);
                        }
                    }
                    6 => drop(rooms.release(job)),
                    _ => drop(rooms.review(&all, 0.0, now)),
                }
                for job in 0..12 {
                    let Some(hold) = rooms.hold_of(job) else { continue };
                    prop_assert!(rooms.nodes.get(&hold.node).is_some_and(|node| node.open && node.held_for.contains(&job)));
                    prop_assert!(hold.moves <= LIMITS.moves);
                }
                for node in rooms.nodes.values() {
                    prop_assert!(node.held_for.len() <= 1);
                    prop_assert!(node.held_for.iter().all(|job| rooms.holds.contains_key(job)));
                }
            }
            rooms.review(&all, 0.0, now + LIMITS.longest_ms + 3_001.0);
            let unfilled = rooms.holds.keys().filter(|job| rooms.filled(**job).is_none()).count();
            prop_assert_eq!(unfilled, 0, "a hold outlived its longest time");
        }
    }
}
