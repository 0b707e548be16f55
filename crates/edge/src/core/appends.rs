//! Messages on their way into a shard, whose clients wait.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{
    AppendOutcome, EdgeToStore, GrantedLease, GroupId, MessageId, NewMessage, ReplicaId,
};

use super::EdgeCore;
use super::ingress::{come_back, refusal};
use super::output::ClientNumber;
use super::statuses::message_name;
use crate::front::{FrontHeader, FrontResponse, StatusCode};

/// A message that was never sent to a store is held for so many times its route's `TargetLatencyMs`: a shard's new leader
/// may come within it, and the client can still use what is left of its time.
const TARGETS_UNSENT: u64 = 4;
/// One whose fate is not known is asked for longer: its client may not try again, as nothing can be promised.
const TARGETS_UNKNOWN: u64 = 8;
/// A leader that says nothing for so many times the target is asked again.
const TARGETS_SILENT: u64 = 2;
/// Pauses between tries where nothing better is known, in parts of the target.
const PAUSES_PER_TARGET: u64 = 4;
/// Appends of unknown fate that are remembered after their end: more than are under way at once.
const REMEMBERED_APPENDS: usize = 4_096;

/// A message on its way.
#[derive(Debug)]
pub struct Append {
    client: ClientNumber,
    message: Arc<NewMessage>,
    /// The shard; `is_bound`: it can be no other.
    group: Option<GroupId>,
    is_bound: bool,
    lease_here: bool,
    /// The store that it is on its way to.
    sent_to: Option<ReplicaId>,
    /// An answer failed to come: its shard may have kept it, and only that shard knows. Never taken back.
    may_be_kept: bool,
    /// The shard that refused it last, and how many did in a row.
    refused_by: Option<GroupId>,
    refusals: u32,
    since: u64,
    target_ms: u64,
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
    fn ends_at(&self) -> u64 {
        let targets = if self.is_unsent() { TARGETS_UNSENT } else { TARGETS_UNKNOWN };
        self.since.saturating_add(self.target_ms.saturating_mul(targets).min(self.limit_ms))
    }

    /// Whether it is certain that no store has it: it may go to any shard, or its client elsewhere.
    fn is_unsent(&self) -> bool {
        self.sent_to.is_none() && !self.may_be_kept
    }

    /// Whether a store may still answer it.
    fn is_answer_owed(&self) -> bool {
        self.sent_to.is_some() || self.may_be_kept
    }

    /// Its answer is not waited for any more; the store that owes it.
    fn lose(&mut self) -> Option<ReplicaId> {
        let store = self.sent_to.take()?;
        self.may_be_kept = true;
        Some(store)
    }

    /// What its delay and retention have left, as of now.
    fn message_now(&self, now: u64) -> NewMessage {
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
    appends: BTreeMap<u64, Append>,
    checks: BTreeSet<(u64, u64)>,
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

    fn insert(&mut self, append: Append) -> u64 {
        self.last += 1;
        self.waiting_bytes += append.message.body.len();
        if append.lease_here {
            *self.reserved.entry(append.message.service.clone()).or_default() += 1;
        }
        self.appends.insert(self.last, append);
        self.last
    }

    /// Ends an append here; what a store that was asked says later is known to be of it.
    fn remove(&mut self, number: u64) -> Option<Append> {
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

    fn check_at(&mut self, number: u64, at: u64) {
        let Some(append) = self.appends.get_mut(&number) else { return };
        self.checks.remove(&(append.check_at, number));
        append.check_at = at;
        self.checks.insert((at, number));
    }
}

impl EdgeCore {
    /// Sends a message to its shard, or answers at once.
    pub(super) fn begin_append(&mut self, append: Append) -> Option<FrontResponse> {
        if self.shards.groups().is_empty() {
            return Some(come_back("no store is known yet: come back later", append.target_ms));
        }
        if !self.quorum_answers() {
            return Some(come_back("the stores do not answer: come back later", append.target_ms));
        }
        let number = self.appends.insert(append);
        self.send_append(number);
        None
    }

    /// Whether enough stores answer for a shard to have, or soon to get, a leader.
    fn quorum_answers(&self) -> bool {
        self.health.count_well(self.now) * 2 > self.shards.store_count()
    }

    /// Sends a message, if it is not on its way and somebody leads a shard that it may go to.
    fn send_append(&mut self, number: u64) {
        let now = self.now;
        let Some(append) = self.appends.appends.get_mut(&number) else { return };
        if append.sent_to.is_some() {
            return;
        }
        if !append.is_bound && append.is_unsent() {
            let health = &self.health;
            append.group = self.shards.for_any(append.refused_by, |store| health.is_well(store, now));
        }
        let leader = append.group.and_then(|group| Some((group, self.shards.leader(group)?)));
        let may_be_kept = append.may_be_kept;
        let leader = leader.filter(|(_, store)| may_be_kept || self.health.is_well(*store, now));
        let (at, send) = match leader {
            Some((group, store)) => {
                append.sent_to = Some(store);
                let message = append.message_now(now);
                let silent = now.saturating_add(append.target_ms * TARGETS_SILENT);
                let send =
                    EdgeToStore::Append { request: number, group, lease_here: append.lease_here, message };
                (silent.min(append.ends_at()), Some((store, send)))
            }
            None => (append.ends_at(), None),
        };
        self.appends.check_at(number, at.max(now + 1));
        if let Some((store, message)) = send {
            self.health.sent(store, now);
            self.send(store, message);
        }
    }

    /// Shards have new leaders: what the old ones have not answered is asked of these.
    pub(super) fn lose_appends(&mut self, groups: &[GroupId]) {
        let led = |append: &&mut Append| append.group.is_some_and(|group| groups.contains(&group));
        for append in self.appends.appends.values_mut().filter(led) {
            if let Some(store) = append.lose() {
                self.health.answered(store);
            }
        }
    }

    /// Somebody leads now that did not before, or does not any more.
    pub(super) fn retry_appends(&mut self) {
        let waiting = self.appends.appends.iter().filter(|(_, append)| append.sent_to.is_none());
        let numbers: Vec<u64> = waiting.map(|(number, _)| *number).collect();
        for number in numbers {
            if let Some(append) = self.appends.appends.get_mut(&number) {
                append.refused_by = None;
            }
            self.send_append(number);
        }
    }

    /// A store answered. An append may have been sent to several leaders of its shard in turn: that one of them has kept
    /// it counts whoever says so, and all else only from the one that is waited for.
    pub(super) fn appended(&mut self, store: ReplicaId, number: u64, outcome: AppendOutcome) {
        let oldest = || self.appends.appends.keys().next().copied().unwrap_or(number);
        let number = if is_active(Mutation::AppendsAnsweredInOrder) { oldest() } else { number };
        let awaited = self.appends.appends.get(&number).and_then(|append| append.sent_to);
        let is_awaited = awaited == Some(store);
        match outcome {
            AppendOutcome::Accepted { lease } => {
                self.settle_answer(number);
                self.kept(number, lease);
            }
            AppendOutcome::Unknown | AppendOutcome::Refused { .. } if !is_awaited => {}
            AppendOutcome::Unknown => {
                self.health.answered(store);
                if let Some(append) = self.appends.appends.get_mut(&number) {
                    append.lose();
                }
                self.send_after(number);
            }
            AppendOutcome::Refused { retry_after_ms } => {
                self.health.answered(store);
                self.refused(number, retry_after_ms);
            }
        }
    }

    /// The store that an append was sent to last owes it nothing any more. If it was another one that has kept it, its own
    /// answer is still known to be late.
    fn settle_answer(&mut self, number: u64) {
        let Some(append) = self.appends.appends.get_mut(&number) else { return };
        if let Some(store) = append.sent_to.take() {
            self.health.answered(store);
        }
    }

    fn kept(&mut self, number: u64, lease: Option<GrantedLease>) {
        let Some(append) = self.appends.remove(number) else { return self.return_lease(number, lease) };
        let Some(group) = append.group else { return };
        let name = message_name(group, &append.message.id);
        let response = FrontResponse::new(StatusCode::ACCEPTED).with_header(FrontHeader::MessageId(name));
        self.respond(append.client, response);
        if let Some(lease) = lease {
            self.deliver(group, lease, append.message);
        }
    }

    /// A lease came with an append that has ended here: the message has to be granted anew.
    fn return_lease(&mut self, number: u64, lease: Option<GrantedLease>) {
        let ended = self.appends.ended.known.get(&number).cloned();
        if let (Some((group, id)), Some(lease)) = (ended, lease) {
            self.return_unused(group, id, lease.id);
        }
    }

    fn refused(&mut self, number: u64, retry_after_ms: u64) {
        let Some(append) = self.appends.appends.get_mut(&number) else { return };
        append.refused_by = append.group;
        append.refusals += 1;
        append.sent_to = None;
        let is_full = retry_after_ms > 0 && (append.is_bound || append.refusals > 1);
        if is_full && append.is_unsent() {
            let Some(append) = self.appends.remove(number) else { return };
            self.respond(append.client, come_back("the queue has no room: come back later", retry_after_ms));
            return;
        }
        self.send_after(number);
    }

    /// Tries a message again: at another shard at once, at the same one, or after further refusals, a little later.
    fn send_after(&mut self, number: u64) {
        let Some(append) = self.appends.appends.get(&number) else { return };
        if !append.is_bound && append.is_unsent() && append.refusals <= 1 {
            return self.send_append(number);
        }
        let at = self.now.saturating_add((append.target_ms / PAUSES_PER_TARGET).max(1)).min(append.ends_at());
        self.appends.check_at(number, at.max(self.now + 1));
    }

    /// Tries again or gives up what is due.
    pub(super) fn expire_appends(&mut self) {
        while let Some((at, number)) = self.appends.checks.first().copied().filter(|(at, _)| *at <= self.now)
        {
            self.appends.checks.remove(&(at, number));
            let Some(append) = self.appends.appends.get_mut(&number) else { continue };
            if append.ends_at() <= self.now {
                self.give_up(number);
                continue;
            }
            if let Some(store) = append.lose() {
                self.health.answered(store);
            }
            self.send_append(number);
        }
    }

    /// Gives up all that wait.
    pub(super) fn give_up_appends(&mut self) {
        let numbers: Vec<u64> = self.appends.appends.keys().copied().collect();
        numbers.into_iter().for_each(|number| self.give_up(number));
    }

    fn give_up(&mut self, number: u64) {
        let Some(append) = self.appends.remove(number) else { return };
        if let Some(store) = append.sent_to {
            self.health.answered(store);
        }
        let response = if append.is_unsent() {
            come_back("the message's shard has no leader: come back later", append.target_ms)
        } else {
            refusal(StatusCode::GATEWAY_TIMEOUT, "it is not known whether the message was kept").closing()
        };
        self.respond(append.client, response);
    }
}
