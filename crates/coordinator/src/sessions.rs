//! The processes that are connected to this coordinator, and how updates are shared out among them.
//!
//! Updates go to a part of the sessions at a time, in turn: what waits for the link of this machine would hold up the
//! heartbeats of the control group, and the leader would lose its lease to its own updates. A session gets the next update when
//! it has confirmed the last, and gets the newest then: what was replaced meanwhile is sent to nobody.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use ruddervalve_protocol::{CoordinatorReply, ReceivedUpdates, Registration};
use ruddervalve_runtime::UpdateWindow;

use crate::session::{InForce, Session};

/// All sessions, by a number of their connection.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<u64, Session>,
    opened: u64,
    /// The session that was sent an update last: those behind it are next.
    last_updated: u64,
    /// When sessions that had to wait may be sent their updates, though nobody has confirmed any.
    retry_at: Option<u64>,
    outputs: Vec<(u64, CoordinatorReply)>,
}

impl Sessions {
    /// A connection came up; the number names it from now on.
    pub fn open(&mut self, now: u64) -> u64 {
        self.opened += 1;
        self.sessions.insert(self.opened, Session::new(now));
        self.opened
    }

    /// A connection ended.
    pub fn close(&mut self, number: u64) -> Option<Registration> {
        self.sessions.remove(&number)?.registration
    }

    /// Something came on a connection.
    pub fn heard(&mut self, number: u64, now: u64) {
        if let Some(session) = self.sessions.get_mut(&number) {
            session.heard_at = now;
        }
    }

    /// A process says who it is and what it has.
    pub fn register(&mut self, number: u64, registration: Registration, received: ReceivedUpdates) {
        if let Some(session) = self.sessions.get_mut(&number) {
            session.register(registration, received);
        }
    }

    /// A process says what it has received.
    pub fn received(&mut self, number: u64, received: ReceivedUpdates) {
        if let Some(session) = self.sessions.get_mut(&number) {
            session.confirm(received);
        }
    }

    /// Sends a reply on one connection.
    pub fn send(&mut self, number: u64, reply: CoordinatorReply) {
        self.outputs.push((number, reply));
    }

    /// What is to be sent since the last call, by connection and in order.
    pub fn outputs(&mut self) -> Vec<(u64, CoordinatorReply)> {
        std::mem::take(&mut self.outputs)
    }

    /// When to call [`Sessions::tell`] at the latest.
    pub fn next_wake(&self) -> u64 {
        self.retry_at.unwrap_or(u64::MAX)
    }

    /// All that are registered, with when they were last heard of.
    pub fn registered(&self) -> impl Iterator<Item = (&Registration, u64)> {
        self.sessions.values().filter_map(|session| Some((session.registration.as_ref()?, session.heard_at)))
    }

    /// How many edges are registered; an edge with an old connection beside its newest counts once.
    pub fn edges(&self) -> u32 {
        let edges: BTreeSet<u64> = self
            .registered()
            .filter_map(|(registration, _)| match registration {
                Registration::Edge { incarnation } => Some(incarnation.0),
                _ => None,
            })
            .collect();
        u32::try_from(edges.len()).unwrap_or(u32::MAX)
    }

    /// Tells sessions what they do not know yet, as far as the window has room.
    pub fn tell(&mut self, now: u64, mut in_force: InForce<'_>, window: &UpdateWindow) {
        let registered = self.sessions.iter_mut().filter(|(_, session)| session.registration.is_some());
        for (number, session) in registered {
            let members = session.tell_members(&in_force);
            self.outputs.extend(members.map(|members| (*number, members)));
        }
        let is_behind = |(_, session): &(&u64, &Session)| session.is_behind(&in_force);
        let after = (Bound::Excluded(self.last_updated), Bound::Unbounded);
        let in_turn = self.sessions.range(after).chain(self.sessions.range(..=self.last_updated));
        let behind: Vec<u64> = in_turn.filter(is_behind).map(|(number, _)| *number).collect();
        self.retry_at = None;
        if behind.is_empty() {
            return;
        }
        let mut room = self.room(now, window);
        for number in behind {
            if room.is_none() {
                return self.retry_at = Some(self.next_room(now, window));
            }
            let Some(session) = self.sessions.get_mut(&number) else { continue };
            let Some(update) = session.next_update(&mut in_force, now) else { continue };
            let bytes = session.sent().map_or(0, |sent| sent.bytes);
            room = room.and_then(|room| room.checked_sub(bytes)).filter(|room| *room > 0);
            self.last_updated = number;
            self.outputs.push((number, update));
        }
    }

    /// How many bytes may be sent now; none if no update may be.
    fn room(&self, now: u64, window: &UpdateWindow) -> Option<u64> {
        let sent = || self.sessions.values().filter_map(Session::sent);
        let is_recent = |at: u64| now < at.saturating_add(window.recent_ms);
        let recent: u64 = sent().filter(|sent| is_recent(sent.at)).map(|sent| sent.bytes).sum();
        let unconfirmed: u64 = sent().map(|sent| sent.bytes).sum();
        let recent_room = window.recent_bytes.checked_sub(recent);
        let unconfirmed_room = window.unconfirmed_bytes.checked_sub(unconfirmed);
        recent_room.zip(unconfirmed_room).map(|(one, other)| one.min(other)).filter(|room| *room > 0)
    }

    /// When there may be room again without any confirmation.
    fn next_room(&self, now: u64, window: &UpdateWindow) -> u64 {
        let sent = self.sessions.values().filter_map(Session::sent);
        let passes = sent.map(|sent| sent.at.saturating_add(window.recent_ms)).filter(|at| *at > now);
        passes.min().unwrap_or(now.saturating_add(window.recent_ms))
    }
}
