//! The table of messages on their way into a shard.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use ruddervalve_protocol::{GroupId, MessageId, NewMessage, ReplicaId};

use crate::core::output::ClientNumber;

/// A message that was never sent to a store is held for so many times its route's `TargetLatencyMs`: a shard's new leader
/// may come within it, and the client can still use what is left of its time.
const TARGETS_UNSENT: u64 = 4;
/// One whose fate is not known is asked for longer: its client may not try again, as nothing can be promised.
const TARGETS_UNKNOWN: u64 = 8;
/// Appends of unknown fate that are remembered after their end: more than are under way at once.
const REMEMBERED_APPENDS: usize = 4_096;

/// A message on its way.
#[derive(Debug)]
pub struct Append {
    pub(super) client: ClientNumber,
    pub(super) message: Arc<NewMessage>,
    /// The shard; `is_bound`: it can be no other.
    pub(super) group: Option<GroupId>,
    pub(super) is_bound: bool,
    pub(super) lease_here: bool,
    /// The store that it is on its way to.
    pub(super) sent_to: Option<ReplicaId>,
    /// The store to whose connection it waits for room.
    waits_at: Option<ReplicaId>,
    /// An answer failed to come: its shard may have kept it, and only that shard knows. Never taken back.
    pub(super) may_be_kept: bool,
    /// The shard that refused it last, and how many did in a row.
    pub(super) refused_by: Option<GroupId>,
    pub(super) refusals: u32,
    since: u64,
    pub(super) target_ms: u64,
    limit_ms: u64,
    /// When to look at it again.
    check_at: u64,
}

impl Append {
    pub fn new(
        client: ClientNumber,
        message: NewMessage,
        group: Option<GroupId>,
        lease_here: bool,
        target_ms: u64,
        limit_ms: u64,
        now: u64,
    ) -> Self {
        Self {
            client,
            message: Arc::new(message),
            group,
            is_bound: group.is_some(),
            lease_here,
            sent_to: None,
            waits_at: None,
            may_be_kept: false,
            refused_by: None,
            refusals: 0,
            since: now,
            target_ms: target_ms.max(1),
            limit_ms,
            check_at: 0,
        }
    }

    /// When it is given up if nothing else happens.
    pub(super) fn ends_at(&self) -> u64 {
        let targets = if self.is_unsent() { TARGETS_UNSENT } else { TARGETS_UNKNOWN };
        self.since.saturating_add(self.target_ms.saturating_mul(targets).min(self.limit_ms))
    }

    /// Whether it is certain that no store has it: it may go to any shard, or its client elsewhere.
    pub(super) fn is_unsent(&self) -> bool {
        self.sent_to.is_none() && !self.may_be_kept
    }

    /// Whether a store may still answer it.
    fn is_answer_owed(&self) -> bool {
        self.sent_to.is_some() || self.may_be_kept
    }

    /// Its answer is not waited for any more; the store that owes it.
    pub(super) fn lose(&mut self) -> Option<ReplicaId> {
        let store = self.sent_to.take()?;
        self.may_be_kept = true;
        Some(store)
    }

    /// What its delay and retention have left, as of now.
    pub(super) fn message_now(&self, now: u64) -> NewMessage {
        let waited = now.saturating_sub(self.since);
        let mut message = NewMessage::clone(&self.message);
        message.delay_ms = message.delay_ms.saturating_sub(waited);
        message.retention_ms = message.retention_ms.saturating_sub(waited);
        message
    }
}

/// All messages on their way, by request number.
#[derive(Debug, Default)]
pub struct Appends {
    pub(super) appends: BTreeMap<u64, Append>,
    pub(super) checks: BTreeSet<(u64, u64)>,
    /// Those that wait for room on the connection to a store, in the order in which they came.
    without_room: BTreeSet<(ReplicaId, u64)>,
    last: u64,
    waiting_bytes: usize,
    reserved: HashMap<String, u32>,
    ended: EndedAppends,
}

/// The newest appends that ended here while a store owed them an answer, which may still bring a lease.
#[derive(Debug, Default)]
struct EndedAppends {
    known: HashMap<u64, (GroupId, MessageId)>,
    order: VecDeque<u64>,
}

impl EndedAppends {
    fn push(&mut self, number: u64, group: GroupId, id: MessageId) {
        self.known.insert(number, (group, id));
        self.order.push_back(number);
        if self.order.len() > REMEMBERED_APPENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

impl Appends {
    pub fn is_empty(&self) -> bool {
        self.appends.is_empty()
    }

    /// Bytes of bodies that wait.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Deliveries of a service that may come back with an acknowledgement.
    pub fn reserved(&self, service: &str) -> u32 {
        self.reserved.get(service).copied().unwrap_or(0)
    }

    pub fn next_wake(&self) -> Option<u64> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// What was sent to a store may or may not be kept.
    pub fn store_down(&mut self, store: ReplicaId) {
        for append in self.appends.values_mut().filter(|append| append.sent_to == Some(store)) {
            append.lose();
        }
    }

    /// The shard and the message of an append that has ended here while a store owed it an answer.
    pub(super) fn ended(&self, number: u64) -> Option<(GroupId, MessageId)> {
        self.ended.known.get(&number).cloned()
    }

    pub(super) fn insert(&mut self, append: Append) -> u64 {
        self.last += 1;
        self.waiting_bytes += append.message.body.len();
        if append.lease_here {
            *self.reserved.entry(append.message.service.clone()).or_default() += 1;
        }
        self.appends.insert(self.last, append);
        self.last
    }

    /// Ends an append here; what a store that was asked says later is known to be of it.
    pub(super) fn remove(&mut self, number: u64) -> Option<Append> {
        self.waits_no_more(number);
        let append = self.appends.remove(&number)?;
        self.checks.remove(&(append.check_at, number));
        self.waiting_bytes = self.waiting_bytes.saturating_sub(append.message.body.len());
        if append.lease_here
            && let Some(reserved) = self.reserved.get_mut(&append.message.service)
        {
            *reserved = reserved.saturating_sub(1);
        }
        if append.lease_here
            && append.is_answer_owed()
            && let Some(group) = append.group
        {
            self.ended.push(number, group, append.message.id.clone());
        }
        Some(append)
    }

    /// An append waits until there is room on the connection to a store.
    pub(super) fn wait_for_room(&mut self, number: u64, store: ReplicaId) {
        self.waits_no_more(number);
        if let Some(append) = self.appends.get_mut(&number) {
            append.waits_at = Some(store);
            self.without_room.insert((store, number));
        }
    }

    /// An append does not wait for room, or not any more.
    pub(super) fn waits_no_more(&mut self, number: u64) {
        let waited_at = self.appends.get_mut(&number).and_then(|append| append.waits_at.take());
        if let Some(store) = waited_at {
            self.without_room.remove(&(store, number));
        }
    }

    /// The first that waits for room on the connection to a store.
    pub(super) fn first_without_room(&self, store: ReplicaId) -> Option<u64> {
        let waiting = self.without_room.range((store, 0)..).next()?;
        (waiting.0 == store).then_some(waiting.1)
    }

    pub(super) fn check_at(&mut self, number: u64, at: u64) {
        let Some(append) = self.appends.get_mut(&number) else { return };
        self.checks.remove(&(append.check_at, number));
        append.check_at = at;
        self.checks.insert((at, number));
    }
}
