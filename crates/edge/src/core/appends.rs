//! Messages on their way into a shard, whose clients wait.

mod table;

use ruddervalve_mutation::{Mutation, is_active};
use ruddervalve_protocol::{AppendOutcome, EdgeToStore, GrantedLease, GroupId, ReplicaId};

use super::EdgeCore;
use super::ingress::{come_back, refusal};
use super::statuses::message_name;
use crate::front::{FrontHeader, FrontResponse, StatusCode};

pub use table::{Append, Appends};

/// A leader that says nothing for so many times the target is asked again.
const TARGETS_SILENT: u64 = 2;
/// Pauses between tries where nothing better is known, in parts of the target.
const PAUSES_PER_TARGET: u64 = 4;

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

    /// Sends a message, if it is not on its way, somebody leads a shard that it may go to, and there is room on the
    /// connection to them.
    fn send_append(&mut self, number: u64) {
        self.appends.waits_no_more(number);
        let leader = self.leader_for(number);
        let Some(append) = self.appends.appends.get_mut(&number).filter(|append| append.sent_to.is_none())
        else {
            return;
        };
        let now = self.now;
        let ends_at = append.ends_at().max(now + 1);
        let Some((group, store)) = leader else { return self.appends.check_at(number, ends_at) };
        if !self.windows.has_room(store) {
            self.appends.wait_for_room(number, store);
            return self.appends.check_at(number, ends_at);
        }
        append.sent_to = Some(store);
        let message = append.message_now(now);
        let silent_at = now.saturating_add(append.target_ms * TARGETS_SILENT);
        let send = EdgeToStore::Append { request: number, group, lease_here: append.lease_here, message };
        self.windows.charge(store, append.message.transfer_bytes());
        self.appends.check_at(number, ends_at.min(silent_at.max(now + 1)));
        self.health.sent(store, now);
        self.send(store, send);
    }

    /// The shard that a message is to go to, and who leads it; none as long as nobody does who is well.
    fn leader_for(&mut self, number: u64) -> Option<(GroupId, ReplicaId)> {
        let now = self.now;
        let append = self.appends.appends.get_mut(&number).filter(|append| append.sent_to.is_none())?;
        if !append.is_bound && append.is_unsent() {
            let is_well = |store| self.health.is_well(store, now);
            let with_room = |store| is_well(store) && self.windows.has_room(store);
            let group = self.shards.for_any(append.refused_by, with_room);
            append.group = group.or_else(|| self.shards.for_any(append.refused_by, is_well));
        }
        let group = append.group?;
        let store = self.shards.leader(group)?;
        (append.may_be_kept || self.health.is_well(store, now)).then_some((group, store))
    }

    /// There is room again on the connection to a store: what waits for it goes there.
    fn send_waiting_appends(&mut self, store: ReplicaId) {
        while self.windows.has_room(store) {
            let Some(number) = self.appends.first_without_room(store) else { return };
            self.send_append(number);
        }
    }

    /// The stores on whose connections something may wait: see [`EdgeCore::store_unsent`].
    pub fn unsent_stores(&self) -> Vec<ReplicaId> {
        self.windows.peers().collect()
    }

    /// How many bytes wait on the connection to a store, all outputs so far being carried out. Call it before
    /// [`EdgeCore::tick`] for all of [`EdgeCore::unsent_stores`].
    pub fn store_unsent(&mut self, now: u64, store: ReplicaId, bytes: usize) {
        self.now = now;
        if self.windows.refresh(store, bytes) {
            self.send_waiting_appends(store);
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
        let ended = self.appends.ended(number);
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
