//! The next step from the present placement to a better one.
//!
//! A step exchanges at most one member of a shard, and few shards are on the move at once. First come members that are
//! away and can be replaced by a newcomer, then stores that retire or are gone, then the spread over zones, then the balance
//! of replicas, then that of leaders.

use std::collections::BTreeSet;

use ruddervalve_protocol::{GroupId, ShardPlacement};

use crate::placement::{PlacementRules, StoreView, leader_first};
use crate::placement_spread::{Crowding, Load, crowding, distance_from_home, pick_leader, pick_member};

/// By how many the fullest and the emptiest store may differ: less cannot be reached where numbers don't divide.
const TOLERATED_DIFFERENCE: u32 = 1;

/// The next placement, or none if nothing is to change now. `moving` names the shards whose members differ from what is
/// wanted at present: they count against [`PlacementRules::moves_at_once`] and are not touched, unless a member of them
/// retires or is gone. Founders never change.
pub fn improve(
    stores: &[StoreView],
    rules: &PlacementRules,
    present: &[ShardPlacement],
    moving: &BTreeSet<GroupId>,
) -> Option<Vec<ShardPlacement>> {
    let mut step = Step::new(stores, rules, present, moving);
    if !step.repair() {
        step.replace_leaving();
        step.improve_spread();
        step.balance_replicas();
        step.balance_leaders();
    }
    (step.shards != present).then_some(step.shards)
}

/// A placement while it is being improved.
struct Step<'a> {
    stores: &'a [StoreView],
    eligible: Vec<&'a StoreView>,
    rules: &'a PlacementRules,
    shards: Vec<ShardPlacement>,
    /// Shards that are on the move, those that this step moves included.
    moving: BTreeSet<GroupId>,
    load: Load,
}

/// An exchange of one member.
struct Exchange<'a> {
    shard: usize,
    leaving: String,
    joining: &'a StoreView,
}

impl<'a> Step<'a> {
    fn new(
        stores: &'a [StoreView],
        rules: &'a PlacementRules,
        present: &[ShardPlacement],
        moving: &BTreeSet<GroupId>,
    ) -> Self {
        let all: Vec<&StoreView> = stores.iter().collect();
        let mut load = Load::new(&all);
        for shard in present {
            for node in &shard.wanted {
                load.add_replica(node);
            }
            if let Some(leader) = shard.wanted.first() {
                load.add_leader(leader);
            }
        }
        let eligible = stores.iter().filter(|store| store.is_eligible()).collect();
        Self { stores, eligible, rules, shards: present.to_vec(), moving: moving.clone(), load }
    }

    /// Gives all places of a store that is away to a newcomer, without waiting to know whether it is gone for good: one such
    /// store at a time, first the one whose shards have the fewest living members. Whether there was one.
    fn repair(&mut self) -> bool {
        let is_away = |store: &&StoreView| {
            self.rules.is_away(store) && !store.is_retiring && self.load.of(&store.node).replicas > 0
        };
        let mut away: Vec<&'a StoreView> = self.stores.iter().filter(is_away).collect();
        away.sort_by_key(|store| self.fewest_living(&store.node));
        let successor = away.iter().find_map(|leaving| Some((*leaving, self.successor(leaving)?)));
        let Some((leaving, joining)) = successor else {
            return away.into_iter().any(|leaving| self.share_out(leaving));
        };
        for shard in self.shards_of(&leaving.node) {
            self.exchange(Exchange { shard, leaving: leaving.node.clone(), joining });
        }
        true
    }

    /// The newcomer that takes the places of a store that is away: one that holds so little that it has room for all of them
    /// within its share. Where there is none, copying to stores that are full would cost more than the return of the one
    /// that is away.
    fn successor(&self, leaving: &StoreView) -> Option<&'a StoreView> {
        let shards = self.shards_of(&leaving.node);
        let needed = self.load.of(&leaving.node).replicas;
        let share = self.share();
        let has_room = |store: &&&StoreView| {
            let is_free = !shards.iter().any(|shard| self.holds(*shard, &store.node));
            is_free && self.load.of(&store.node).replicas.saturating_add(needed) <= share
        };
        let cost = |store: &&&StoreView| {
            let crowding: Vec<Crowding> = shards
                .iter()
                .map(|shard| with(self.members_without(*shard, &leaving.node), store))
                .map(|members| crowding(&members, self.rules.spread()))
                .collect();
            (crowding.into_iter().max(), self.load.of(&store.node).replicas, store.node.clone())
        };
        self.eligible.iter().filter(has_room).min_by_key(cost).copied()
    }

    /// Shares the places of a store that is away out: to stores that hold less than their share, and where these hold the
    /// shard already, to any other, as a shard that stays a member short may lose its quorum with the next loss. Only where
    /// there are more stores than at the founding: the newcomer may have been given other shards already, as before a planned
    /// replacement. Whether one was found.
    fn share_out(&mut self, leaving: &StoreView) -> bool {
        let per_store = usize::try_from(self.rules.shards_per_store).unwrap_or(usize::MAX).max(1);
        if self.counted_stores() <= self.shards.len() / per_store {
            return false;
        }
        let share = self.share();
        let mut found = false;
        for shard in self.shards_of(&leaving.node) {
            if let Some(joining) = self.taker(shard, leaving, share) {
                self.exchange(Exchange { shard, leaving: leaving.node.clone(), joining });
                found = true;
            }
        }
        found
    }

    /// The store that takes one place of a store that is away: one with room within its share, else any.
    fn taker(&self, shard: usize, leaving: &StoreView, share: u32) -> Option<&'a StoreView> {
        let others = self.members_without(shard, &leaving.node);
        let is_free = |store: &&'a StoreView| !self.holds(shard, &store.node);
        let free: Vec<&'a StoreView> = self.eligible.iter().copied().filter(is_free).collect();
        let has_room = |store: &&'a StoreView| self.load.of(&store.node).replicas < share;
        let roomy: Vec<&'a StoreView> = free.iter().copied().filter(has_room).collect();
        let candidates = if roomy.is_empty() { &free } else { &roomy };
        pick_member(candidates, &others, self.rules.spread(), &self.load)
    }

    /// How many stores are there or hold something, but for those that are being emptied.
    fn counted_stores(&self) -> usize {
        let counts = |store: &&StoreView| {
            store.is_eligible() || (!store.is_retiring && self.load.of(&store.node).replicas > 0)
        };
        self.stores.iter().filter(counts).count()
    }

    /// What a store may hold: as much as the fullest, or an even part of all among as many stores as are to be there.
    fn share(&self) -> u32 {
        let holds = |store: &&StoreView| !store.is_retiring && self.load.of(&store.node).replicas > 0;
        let known = self.counted_stores();
        let dead = self.stores.iter().filter(holds).filter(|store| store.dead_for_ms > 0).count();
        let borne = usize::try_from(self.rules.replicas() / 2).unwrap_or(usize::MAX);
        let living = known.saturating_sub(dead.min(borne)).max(1);
        let total: usize = self.shards.iter().map(|shard| shard.wanted.len()).sum();
        let even = u32::try_from(total.div_ceil(living)).unwrap_or(u32::MAX);
        let fullest = self.stores.iter().map(|store| self.load.of(&store.node).replicas).max();
        even.max(fullest.unwrap_or(0))
    }

    fn shards_of(&self, node: &str) -> Vec<usize> {
        (0..self.shards.len()).filter(|index| self.holds(*index, node)).collect()
    }

    /// How many living members the shard of a store has that has fewest.
    fn fewest_living(&self, node: &str) -> usize {
        let living = |index| self.members(index).into_iter().filter(|store| store.dead_for_ms == 0).count();
        self.shards_of(node).into_iter().map(living).min().unwrap_or(0)
    }

    /// Replaces members that retire, are gone or are not known any more.
    fn replace_leaving(&mut self) {
        for index in 0..self.shards.len() {
            let Some(leaving) = self.leaving_member(index) else { continue };
            if !self.is_moving(index) && !self.has_room() {
                continue;
            }
            let others = self.members_without(index, &leaving);
            let joining = pick_member(&self.eligible, &others, self.rules.spread(), &self.load);
            if let Some(joining) = joining.filter(|joining| !self.holds(index, &joining.node)) {
                self.exchange(Exchange { shard: index, leaving, joining });
            }
        }
    }

    /// Exchanges members of shards that could be spread better.
    fn improve_spread(&mut self) {
        for index in 0..self.shards.len() {
            if self.is_moving(index) || !self.has_room() {
                continue;
            }
            if let Some(exchange) = self.spreading_exchange(index) {
                self.exchange(exchange);
            }
        }
    }

    /// Moves replicas from full stores to empty ones.
    fn balance_replicas(&mut self) {
        while self.has_room() {
            let Some(exchange) = self.balancing_exchange() else { return };
            self.exchange(exchange);
        }
    }

    /// Hands preferred leaderships from stores with many to stores with few.
    fn balance_leaders(&mut self) {
        while self.has_room() {
            let Some(handover) = self.leader_handover() else { return };
            self.set_leader(handover.shard, &handover.leader);
        }
    }

    /// A member that has to leave: one that is gone first, as it is missing already.
    fn leaving_member(&self, index: usize) -> Option<String> {
        let shard = self.shards.get(index)?;
        let is_gone = |node: &&String| self.store(node).is_none_or(|store| self.rules.is_gone(store));
        let is_retiring = |node: &&String| self.store(node).is_some_and(|store| store.is_retiring);
        let gone = shard.wanted.iter().find(is_gone);
        gone.or_else(|| shard.wanted.iter().find(is_retiring)).cloned()
    }

    fn spreading_exchange(&self, index: usize) -> Option<Exchange<'a>> {
        let shard = self.shards.get(index)?;
        let present = crowding(&self.members(index), self.rules.spread());
        let mut best: Option<(Exchange<'a>, Crowding)> = None;
        for leaving in &shard.wanted {
            let others = self.members_without(index, leaving);
            let candidates: Vec<&StoreView> =
                self.eligible.iter().copied().filter(|store| !self.holds(index, &store.node)).collect();
            let picked = pick_member(&candidates, &others, self.rules.spread(), &self.load);
            let Some(joining) = self.eligible.iter().copied().find(|store| Some(*store) == picked) else {
                continue;
            };
            let after = crowding(&with(others, joining), self.rules.spread());
            if after < best.as_ref().map_or(present, |(_, crowding)| *crowding) {
                best = Some((Exchange { shard: index, leaving: leaving.clone(), joining }, after));
            }
        }
        best.map(|(exchange, _)| exchange)
    }

    /// An exchange that takes from the fullest store that can give, for the emptiest that can take.
    fn balancing_exchange(&self) -> Option<Exchange<'a>> {
        let mut by_load = self.eligible.clone();
        by_load.sort_by_key(|store| (self.load.of(&store.node).replicas, store.node.clone()));
        for joining in &by_load {
            for leaving in by_load.iter().rev() {
                let given = self.load.of(&leaving.node).replicas;
                let held = self.load.of(&joining.node).replicas;
                if given <= held.saturating_add(TOLERATED_DIFFERENCE) {
                    break;
                }
                if let Some(shard) = self.movable_shard(leaving, joining) {
                    return Some(Exchange { shard, leaving: leaving.node.clone(), joining });
                }
            }
        }
        None
    }

    /// A settled shard that one store holds and the other does not, and that stands no worse after the exchange: neither
    /// more crowded nor farther from its home, as small steps away from it would not be taken back. Those that the full store
    /// does not lead come first.
    fn movable_shard(&self, leaving: &StoreView, joining: &StoreView) -> Option<usize> {
        let can_move = |index: &usize| {
            let is_settled = !self.is_moving(*index);
            is_settled && self.holds(*index, &leaving.node) && !self.holds(*index, &joining.node)
        };
        let spread = self.rules.spread();
        let is_spread_kept = |index: &usize| {
            let before = self.members(*index);
            let after = with(self.members_without(*index, &leaving.node), joining);
            let distance = |store: &StoreView| distance_from_home(store, &before, spread);
            crowding(&after, spread) <= crowding(&before, spread) && distance(joining) <= distance(leaving)
        };
        let candidates = (0..self.shards.len()).filter(can_move).filter(is_spread_kept);
        candidates.min_by_key(|index| self.leads(*index, &leaving.node))
    }

    fn leader_handover(&self) -> Option<Handover> {
        let candidates = (0..self.shards.len()).filter(|index| !self.is_moving(*index));
        let handovers = candidates.filter_map(|index| self.handover_of(index));
        let best = handovers.max_by_key(|handover| handover.difference)?;
        (best.difference > TOLERATED_DIFFERENCE).then_some(best)
    }

    /// The handover of a shard to the member that leads fewest.
    fn handover_of(&self, index: usize) -> Option<Handover> {
        let present = self.shards.get(index)?.wanted.first()?;
        let members = self.members(index);
        let eligible: Vec<&StoreView> = members.iter().copied().filter(|store| store.is_eligible()).collect();
        let spread = self.rules.spread();
        let next = pick_leader(&eligible, &members, spread, &self.load)?;
        let distance = |store: &StoreView| distance_from_home(store, &members, spread);
        let comes_home = self.store(present).is_some_and(|present| distance(next) < distance(present));
        let difference = match comes_home {
            true => u32::MAX,
            false => self.load.of(present).leaders.saturating_sub(self.load.of(&next.node).leaders),
        };
        Some(Handover { shard: index, leader: next.node.clone(), difference })
    }

    fn exchange(&mut self, exchange: Exchange<'a>) {
        let Some(shard) = self.shards.get_mut(exchange.shard) else { return };
        let Some(place) = shard.wanted.iter_mut().find(|node| **node == exchange.leaving) else { return };
        place.clone_from(&exchange.joining.node);
        let group = shard.group;
        let has_led = shard.wanted.first() == Some(&exchange.joining.node);
        self.load.remove_replica(&exchange.leaving);
        self.load.add_replica(&exchange.joining.node);
        self.moving.insert(group);
        if has_led {
            self.load.remove_leader(&exchange.leaving);
            self.load.add_leader(&exchange.joining.node);
            self.choose_settled_leader(exchange.shard, &exchange.joining.node);
        }
    }

    /// The preferred leader has left: one of the members that already hold the shard follows, as the new one is empty.
    fn choose_settled_leader(&mut self, index: usize, joining: &str) {
        let members = self.members(index);
        let settled: Vec<&StoreView> =
            members.iter().copied().filter(|store| store.is_eligible() && store.node != joining).collect();
        if let Some(leader) = pick_leader(&settled, &members, self.rules.spread(), &self.load) {
            let leader = leader.node.clone();
            self.set_leader(index, &leader);
        }
    }

    fn set_leader(&mut self, index: usize, leader: &str) {
        let Some(shard) = self.shards.get_mut(index) else { return };
        if let Some(present) = shard.wanted.first() {
            self.load.remove_leader(present);
        }
        let names = std::mem::take(&mut shard.wanted);
        shard.wanted = leader_first(names, Some(leader));
        self.load.add_leader(leader);
        self.moving.insert(shard.group);
    }

    /// Whether another shard may start to move.
    fn has_room(&self) -> bool {
        u32::try_from(self.moving.len()).unwrap_or(u32::MAX) < self.rules.moves_at_once
    }

    fn is_moving(&self, index: usize) -> bool {
        self.shards.get(index).is_none_or(|shard| self.moving.contains(&shard.group))
    }

    fn holds(&self, index: usize, node: &str) -> bool {
        self.shards.get(index).is_some_and(|shard| shard.wanted.iter().any(|wanted| wanted == node))
    }

    fn leads(&self, index: usize, node: &str) -> bool {
        self.shards.get(index).and_then(|shard| shard.wanted.first()).is_some_and(|leader| leader == node)
    }

    fn store(&self, node: &str) -> Option<&'a StoreView> {
        self.stores.iter().find(|store| store.node == node)
    }

    fn members(&self, index: usize) -> Vec<&'a StoreView> {
        let wanted = self.shards.get(index).map_or(&[][..], |shard| shard.wanted.as_slice());
        wanted.iter().filter_map(|node| self.store(node)).collect()
    }

    fn members_without(&self, index: usize, node: &str) -> Vec<&'a StoreView> {
        self.members(index).into_iter().filter(|store| store.node != node).collect()
    }
}

/// A change of the preferred leader.
struct Handover {
    shard: usize,
    leader: String,
    /// By how many the present leader leads more shards than the next one; the most there is for one that comes home.
    difference: u32,
}

fn with<'a>(mut members: Vec<&'a StoreView>, joining: &'a StoreView) -> Vec<&'a StoreView> {
    members.push(joining);
    members
}
