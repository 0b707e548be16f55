//! What the leading coordinator does beside answering calls: it makes members known, places shards, moves the group's own
//! membership towards the coordinators that are there, and reads the platform's list. Pure: time is passed in.

mod leaving;
mod voters;

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_configuration::Settings;
use ruddervalve_protocol::{
    CoordinatorMember, GroupId, Registration, ReplicaId, RunnerList, ShardMembers, ShardPlacement,
    StoreMember,
};

use crate::absence::Absences;
use crate::listing::{ListAnswer, ListCall, ListProgress, ListReader};
use crate::listing_pace::ListPace;
use crate::placement::{PlacementRules, StoreView, found};
use crate::placement_improve::improve;
use crate::placement_return::Replaced;
use crate::sessions::Sessions;
use crate::state::ControlState;
use crate::state_command::ControlCommand;

/// Shards for each store at the founding.
const SHARDS_PER_STORE: u32 = 1;
/// Shards that may be on the move at once: each move copies a shard over the stores' links.
const MOVES_AT_ONCE: u32 = 1;
/// The first placement waits for this part of `LivenessMs` after the newest store became known, for those that start
/// together with it.
const SETTLING_PER_LIVENESS: u64 = 8;
/// A command that was proposed is proposed again after this part of `LivenessMs`, should it have been lost.
const AGAIN_PER_LIVENESS: u64 = 8;
/// A store or coordinator that is away gives its place to a newcomer after this part of `SyncS`: from `SyncS` after the
/// newcomer's start on another machine may be lost. The rest of it is for seeing the loss and for copying.
const AWAY_PER_SYNC: u64 = 4;
/// A store or coordinator is taken for gone for good, and struck off, after so many times what it may take to start, fill
/// and count again.
const GONE_PER_SYNC: u64 = 4;

/// The leader's duties.
#[derive(Debug)]
pub struct Duties {
    settings: Settings,
    rules: PlacementRules,
    seed: u64,
    /// The office: its term, and the reader of the list that goes with it.
    term: Option<u64>,
    reader: Option<ListReader>,
    /// Stores without a session, by node, and since when.
    lost: BTreeMap<String, u64>,
    /// Coordinators that neither have a session nor answer as voters.
    away: Absences,
    /// The members of the control group, as they were last looked at.
    group_members: BTreeSet<ReplicaId>,
    /// Who holds each shard, as its leader told.
    members: BTreeMap<GroupId, ShardMembers>,
    /// Stores that were replaced while they were away.
    replaced: Replaced,
    /// When the set of stores last changed.
    stores_changed_at: u64,
    stores_seen: usize,
    /// When the commands that were proposed may be proposed again.
    again_at: u64,
    proposed_version: Option<u64>,
    /// Registrations among these commands: others need not wait for them.
    registering: Vec<ControlCommand>,
}

impl Duties {
    /// Duties of a coordinator with these settings. The seed should differ from process to process.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let tolerance = settings.fault_tolerance;
        let rules = PlacementRules {
            lost_nodes: tolerance.nodes,
            lost_zones: tolerance.zones,
            lost_regions: tolerance.regions,
            shards_per_store: SHARDS_PER_STORE,
            away_after_ms: (settings.bounds.sync_ms / AWAY_PER_SYNC).max(1),
            gone_after_ms: settings.bounds.sync_ms.saturating_mul(GONE_PER_SYNC),
            moves_at_once: MOVES_AT_ONCE,
        };
        Self {
            settings: settings.clone(),
            rules,
            seed,
            term: None,
            reader: None,
            lost: BTreeMap::new(),
            away: Absences::default(),
            group_members: BTreeSet::new(),
            members: BTreeMap::new(),
            replaced: Replaced::default(),
            stores_changed_at: 0,
            stores_seen: 0,
            again_at: 0,
            proposed_version: None,
            registering: Vec::new(),
        }
    }

    /// How many replicas each shard has.
    pub fn replicas(&self) -> u32 {
        self.rules.replicas()
    }

    /// This coordinator leads in a term, or not at all.
    pub fn role_changed(&mut self, term: Option<u64>, now: u64) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.lost.clear();
        self.away.clear();
        self.members.clear();
        self.replaced.clear();
        self.stores_changed_at = now;
        self.again_at = 0;
        self.proposed_version = None;
        let provider = self.settings.cloud_provider.as_ref();
        let reader = |(term, provider)| {
            let pace = ListPace::new(provider, &self.settings.bounds);
            ListReader::new(pace, term, self.seed ^ term, now)
        };
        self.reader = term.zip(provider).map(reader);
    }

    /// When [`Duties`] want to be asked again.
    pub fn next_wake(&self) -> u64 {
        let reader = self.reader.as_ref().map_or(u64::MAX, ListReader::next_wake_ms);
        reader.min(self.again_at.max(1))
    }

    // The platform's list.

    /// The call that is due.
    pub fn list_call(&mut self, now: u64) -> Option<ListCall> {
        self.reader.as_mut()?.poll(now)
    }

    /// A call has its answer.
    pub fn list_answered(&mut self, number: u64, answer: ListAnswer, now: u64) -> ListProgress {
        let reader = self.reader.as_mut();
        reader.map_or(ListProgress::Unfinished, |reader| reader.answer(number, answer, now))
    }

    /// The last whole list.
    pub fn runners(&self) -> Option<&RunnerList> {
        self.reader.as_ref()?.list()
    }

    // Members.

    /// The session of a store ended.
    pub fn store_lost(&mut self, node: &str, now: u64) {
        self.lost.entry(node.to_owned()).or_insert(now);
    }

    /// A shard's leader tells who holds it.
    pub fn shard_members(&mut self, members: ShardMembers) {
        let known = self.members.get(&members.group).map_or(0, |known| known.term);
        if members.term >= known {
            self.members.insert(members.group, members);
        }
    }

    /// What to propose now.
    pub fn commands(
        &mut self,
        state: &ControlState,
        own: &CoordinatorMember,
        sessions: &Sessions,
        now: u64,
    ) -> Vec<ControlCommand> {
        self.watch_stores(state, sessions, now);
        let waits = now < self.again_at && self.proposed_version == Some(state.directory_version());
        if !waits {
            self.registering.clear();
        }
        let mut commands = registrations(state, own, sessions);
        commands.retain(|command| !self.registering.contains(command));
        self.registering.extend(commands.iter().cloned());
        if waits && commands.is_empty() {
            return Vec::new();
        }
        if commands.is_empty() {
            commands.extend(self.placement(state, now));
            commands.extend(self.finished_retirement(state));
            commands.extend(self.forgotten(state, own, now));
        }
        let again = (self.settings.bounds.liveness_ms / AGAIN_PER_LIVENESS).max(1);
        self.again_at = now + again;
        self.proposed_version = (!commands.is_empty()).then(|| state.directory_version());
        commands
    }

    fn watch_stores(&mut self, state: &ControlState, sessions: &Sessions, now: u64) {
        let connected: BTreeSet<&str> = connected_stores(sessions).map(|store| store.node.as_str()).collect();
        self.lost.retain(|node, _| !connected.contains(node.as_str()));
        for store in state.stores().iter().filter(|store| !connected.contains(store.node.as_str())) {
            self.lost.entry(store.node.clone()).or_insert(now);
        }
        if state.stores().len() != self.stores_seen {
            self.stores_seen = state.stores().len();
            self.stores_changed_at = now;
        }
    }

    fn views(&self, state: &ControlState, now: u64) -> Vec<StoreView> {
        let view = |store: &StoreMember| StoreView {
            node: store.node.clone(),
            replica: store.replica,
            zone: store.zone.clone(),
            region: self.settings.region(&store.zone).unwrap_or_default().to_owned(),
            is_retiring: is_retiring(state, &store.node),
            dead_for_ms: self.lost.get(&store.node).map_or(0, |since| now.saturating_sub(*since).max(1)),
        };
        state.stores().iter().map(view).collect()
    }

    fn placement(&mut self, state: &ControlState, now: u64) -> Option<ControlCommand> {
        let views = self.views(state, now);
        let shards = if state.shards().is_empty() {
            let settled =
                now >= self.stores_changed_at + self.settings.bounds.liveness_ms / SETTLING_PER_LIVENESS;
            if !settled {
                return None;
            }
            found(&views, &self.rules).ok()?
        } else {
            let back = self.replaced.give_back(&views, state.shards(), &self.members);
            let shards = match back {
                Some(shards) => shards,
                None => improve(&views, &self.rules, state.shards(), &self.moving(state))?,
            };
            self.replaced.note(&views, state.shards(), &shards);
            shards
        };
        (shards != state.shards()).then_some(ControlCommand::SetPlacement { shards })
    }

    /// The shards whose members are not, or not known to be, those that are wanted.
    fn moving(&self, state: &ControlState) -> BTreeSet<GroupId> {
        let is_moving = |shard: &&ShardPlacement| {
            let Some(members) = self.members.get(&shard.group) else { return true };
            let node = |member: &ReplicaId| {
                state.stores().iter().find(|store| store.replica == *member).map(|store| &store.node)
            };
            let present: BTreeSet<Option<&String>> = members.voters.iter().map(node).collect();
            let wanted: BTreeSet<Option<&String>> = shard.wanted.iter().map(Some).collect();
            present != wanted || !members.learners.is_empty()
        };
        state.shards().iter().filter(is_moving).map(|shard| shard.group).collect()
    }
}

fn is_retiring(state: &ControlState, node: &str) -> bool {
    state.retiring().any(|retirement| retirement.node == node)
}

/// Members that are connected and not known as they say they are.
fn registrations(state: &ControlState, own: &CoordinatorMember, sessions: &Sessions) -> Vec<ControlCommand> {
    let coordinators = connected_coordinators(sessions).chain([own]);
    let unknown = coordinators
        .filter(|member| !state.is_fenced(member.replica) && !state.coordinators().contains(member));
    let mut commands: Vec<_> = unknown.cloned().map(ControlCommand::RegisterCoordinator).collect();
    let unknown = connected_stores(sessions)
        .filter(|member| !state.is_fenced(member.replica) && !state.stores().contains(member));
    commands.extend(unknown.cloned().map(ControlCommand::RegisterStore));
    commands
}

fn connected_stores(sessions: &Sessions) -> impl Iterator<Item = &StoreMember> {
    sessions.registered().filter_map(|(registration, _)| match registration {
        Registration::Store(store) => Some(store),
        _ => None,
    })
}

fn connected_coordinators(sessions: &Sessions) -> impl Iterator<Item = &CoordinatorMember> {
    sessions.registered().filter_map(|(registration, _)| match registration {
        Registration::Coordinator(member) => Some(member),
        _ => None,
    })
}
