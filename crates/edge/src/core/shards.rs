//! Which shard a message belongs to, and who leads it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher as _;

use fnv::FnvHasher;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use ruddervalve_configuration::{Distance, Locality};
use ruddervalve_protocol::{Directory, GroupId, ReplicaId};

/// Who leads a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Leadership {
    store: ReplicaId,
    term: u64,
}

/// All shards and stores, as the directory and the stores tell.
#[derive(Debug)]
pub struct Shards {
    locality: Locality,
    random: ChaCha8Rng,
    version: u64,
    /// In the order of the directory, which never changes: keys are spread over it.
    groups: Vec<GroupId>,
    /// How far each store is that the directory names.
    distances: BTreeMap<ReplicaId, Distance>,
    connected: BTreeSet<ReplicaId>,
    leaders: BTreeMap<GroupId, Leadership>,
    /// The newest term in which each shard was led: a leader of an older one is not believed any more.
    newest_terms: BTreeMap<GroupId, u64>,
}

impl Shards {
    pub fn new(locality: Locality, seed: u64) -> Self {
        Self {
            locality,
            random: ChaCha8Rng::seed_from_u64(seed),
            version: 0,
            groups: Vec::new(),
            distances: BTreeMap::new(),
            connected: BTreeSet::new(),
            leaders: BTreeMap::new(),
            newest_terms: BTreeMap::new(),
        }
    }

    /// Takes the directory; false if it is not newer.
    pub fn set_directory(&mut self, directory: &Directory) -> bool {
        if directory.version <= self.version {
            return false;
        }
        self.version = directory.version;
        self.groups = directory.shards.iter().map(|shard| shard.group).collect();
        self.groups.sort_unstable();
        let distances =
            directory.stores.iter().map(|store| (store.replica, self.locality.distance_to(&store.zone)));
        self.distances = distances.collect();
        true
    }

    pub fn store_up(&mut self, store: ReplicaId) {
        self.connected.insert(store);
        self.forget(store);
    }

    pub fn store_down(&mut self, store: ReplicaId) {
        self.connected.remove(&store);
        self.forget(store);
    }

    fn forget(&mut self, store: ReplicaId) {
        self.leaders.retain(|_, leadership| leadership.store != store);
    }

    pub fn connected(&self) -> Vec<ReplicaId> {
        self.connected.iter().copied().collect()
    }

    /// A store says which shards it leads. Returns those that it did not lead before, as far as known here.
    pub fn leading(&mut self, store: ReplicaId, groups: &[(GroupId, u64)]) -> Vec<GroupId> {
        let still = |group: &GroupId| groups.iter().any(|(led, _)| led == group);
        self.leaders.retain(|group, leadership| leadership.store != store || still(group));
        let mut new = Vec::new();
        for (group, term) in groups {
            let leadership = Leadership { store, term: *term };
            let newest = self.newest_terms.entry(*group).or_default();
            if *term < *newest || self.leaders.get(group) == Some(&leadership) {
                continue;
            }
            *newest = *term;
            self.leaders.insert(*group, leadership);
            new.push(*group);
        }
        new
    }

    /// Whether no newer term of the shard is known here than this one. A leader of a newer term has been told what this
    /// edge holds; what an older one still sends was not among it.
    pub fn is_newest_term(&self, group: GroupId, term: u64) -> bool {
        term >= self.newest_term(group)
    }

    /// The newest term in which a shard was led, as far as known here; 0 before the first.
    pub fn newest_term(&self, group: GroupId) -> u64 {
        self.newest_terms.get(&group).copied().unwrap_or_default()
    }

    /// The store that leads a shard.
    pub fn leader(&self, group: GroupId) -> Option<ReplicaId> {
        self.leaders.get(&group).map(|leadership| leadership.store)
    }

    /// How many stores there are, connected or not.
    pub fn store_count(&self) -> usize {
        self.distances.len()
    }

    pub fn has_leader(&self) -> bool {
        !self.leaders.is_empty()
    }

    pub fn groups(&self) -> &[GroupId] {
        &self.groups
    }

    /// The shard that keeps the order of a key. It follows from the key alone: routes and services change under way, and
    /// messages of one key must not meet in two shards.
    pub fn for_key(&self, key: &str) -> Option<GroupId> {
        self.for_name(key)
    }

    /// The shard that counts the deliveries of a service.
    pub fn for_service(&self, service: &str) -> Option<GroupId> {
        self.for_name(service)
    }

    fn for_name(&self, name: &str) -> Option<GroupId> {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        let count = u64::try_from(self.groups.len()).ok()?;
        let place = hasher.finish().checked_rem(count)?;
        self.groups.get(usize::try_from(place).ok()?).copied()
    }

    /// A shard for a message that may go to any: one that is not `not` and has a leader that is well, as near as possible.
    pub fn for_any(&mut self, not: Option<GroupId>, is_well: impl Fn(ReplicaId) -> bool) -> Option<GroupId> {
        let led: Vec<(GroupId, Distance)> = self
            .leaders
            .iter()
            .filter(|(group, leadership)| Some(**group) != not && is_well(leadership.store))
            .map(|(group, leadership)| (*group, self.distance(leadership.store)))
            .collect();
        let nearest = led.iter().map(|(_, distance)| *distance).min()?;
        let candidates: Vec<GroupId> =
            led.into_iter().filter(|(_, distance)| *distance == nearest).map(|(group, _)| group).collect();
        let place = self.random.random_range(0..candidates.len());
        candidates.get(place).copied()
    }

    /// How far a store is; one that the directory does not name is taken for far.
    fn distance(&self, store: ReplicaId) -> Distance {
        self.distances.get(&store).copied().unwrap_or(Distance::Beyond)
    }
}
