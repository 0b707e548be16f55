//! The time of a shard, which goes on across leaders and restarts.

use crate::{Action, Command};

/// What the estimate of a time when no replica ran goes by. All in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSettings {
    /// The longest gap that is believed. Where the time of day was stepped, delays run early by no more.
    pub longest_gap_ms: u64,
    /// How far the times of day of two machines may be apart; an estimated gap is shortened by it, as late is better
    /// than early.
    pub wall_skew_ms: u64,
}

/// When a command was proposed, as far as a replica can tell without trusting other machines' times of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposed {
    /// It was on this replica's disk when the process started: nobody may have run since.
    BeforeStart,
    /// It came from a leader that this process heard. It may be older than the process where this replica has to catch
    /// up; then time runs late until newer ones come, as late is better than early.
    WhileRunning,
}

/// Turns the monotonic time of this process into shard time.
///
/// Shard time is carried in each command. Between commands it goes on with monotonic time. It never runs ahead of what
/// the fastest command of the newest term allows, except after a restart of all replicas: then the gap is estimated from
/// the time of day, within bounds. It never goes back below the last command applied.
///
/// Each leader's time is late by what its knowledge of the leader before it was late. So what is known of an earlier
/// leader's time is dropped with the first command of a later term: a replica that led before, and leads again, goes on
/// from the time by which messages were accepted meanwhile. Otherwise its time would jump ahead, and delays run early.
#[derive(Debug, Clone)]
pub struct ShardClock {
    settings: ClockSettings,
    start_local_ms: u64,
    start_wall_ms: u64,
    last_shard_ms: u64,
    /// The newest term of a command that was applied, or in which this replica led.
    term: u64,
    anchor: Anchor,
}

/// Shard time was `shard_ms` at `local_ms`.
#[derive(Debug, Clone, Copy)]
struct Anchor {
    shard_ms: u64,
    local_ms: u64,
    /// Whether it comes from a command proposed while this process ran.
    live: bool,
}

impl Anchor {
    fn at(&self, local_ms: u64) -> u64 {
        self.shard_ms.saturating_add(local_ms.saturating_sub(self.local_ms))
    }
}

impl ShardClock {
    /// A clock for a process that starts now: its monotonic time and its time of day, in milliseconds.
    pub fn new(local_ms: u64, wall_ms: u64, settings: ClockSettings) -> Self {
        Self {
            settings,
            start_local_ms: local_ms,
            start_wall_ms: wall_ms,
            last_shard_ms: 0,
            term: 0,
            anchor: Anchor { shard_ms: 0, local_ms, live: false },
        }
    }

    /// Must be told of each command as it is applied, with the term of its entry.
    pub fn applied(&mut self, local_ms: u64, term: u64, command: &Command, proposed: Proposed) {
        let Command { shard_ms, wall_ms, .. } = *command;
        self.last_shard_ms = self.last_shard_ms.max(shard_ms);
        if proposed == Proposed::BeforeStart {
            self.applied_before_start(local_ms, shard_ms, wall_ms);
        } else if term > self.term || !self.anchor.live || shard_ms > self.anchor.at(local_ms) {
            self.anchor = Anchor { shard_ms, local_ms, live: true };
        }
        self.term = self.term.max(term);
    }

    /// Must be told of a state that was restored from a snapshot, with [`crate::ShardState::shard_ms`] and
    /// [`crate::ShardState::wall_ms`]. Which leader's time that is, is not known: all that was known before is dropped.
    pub fn restored(&mut self, local_ms: u64, shard_ms: u64, wall_ms: u64, proposed: Proposed) {
        self.last_shard_ms = self.last_shard_ms.max(shard_ms);
        match proposed {
            Proposed::BeforeStart => self.applied_before_start(local_ms, shard_ms, wall_ms),
            Proposed::WhileRunning => self.anchor = Anchor { shard_ms, local_ms, live: true },
        }
    }

    /// This replica leads from now on, in this term: its time is the shard's. Call it before a [`crate::ShardLeader`] is
    /// built.
    pub fn lead(&mut self, term: u64) {
        self.term = self.term.max(term);
        self.anchor.live = true;
    }

    /// The shard time now.
    pub fn shard_ms(&self, local_ms: u64) -> u64 {
        self.anchor.at(local_ms).max(self.last_shard_ms)
    }

    /// The monotonic time at which it will be the given shard time; the anchor's for times before it.
    pub fn local_ms(&self, shard_ms: u64) -> u64 {
        self.anchor.local_ms.saturating_add(shard_ms.saturating_sub(self.anchor.shard_ms))
    }

    /// The time of day now, without the steps that it took since the start.
    pub fn wall_ms(&self, local_ms: u64) -> u64 {
        self.start_wall_ms.saturating_add(local_ms.saturating_sub(self.start_local_ms))
    }

    /// A command to propose now.
    pub fn stamp(&self, local_ms: u64, action: Action) -> Command {
        Command { shard_ms: self.shard_ms(local_ms), wall_ms: self.wall_ms(local_ms), action }
    }

    /// The time since is estimated, until a command proposed while this process ran tells better.
    fn applied_before_start(&mut self, local_ms: u64, shard_ms: u64, wall_ms: u64) {
        if !self.anchor.live {
            let gap = self.gap_ms(local_ms, wall_ms);
            self.anchor = Anchor { shard_ms: shard_ms.saturating_add(gap), local_ms, live: false };
        }
    }

    fn gap_ms(&self, local_ms: u64, wall_ms: u64) -> u64 {
        let gap = self.wall_ms(local_ms).saturating_sub(wall_ms);
        gap.saturating_sub(self.settings.wall_skew_ms).min(self.settings.longest_gap_ms)
    }
}
