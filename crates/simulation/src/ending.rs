//! The end of the day: clients ask what became of their messages, and the operator reads the configuration back.

use rand::Rng as _;

use crate::event::Event;
use crate::places::{COMPLETION_MS, RECOVERY_MS};
use crate::world::World;

/// Messages that had not ended are asked for, and some that had.
const UNENDED_ASKED: usize = 300;
const ENDED_ASKED: usize = 40;
/// The askers take so long at most, in milliseconds.
const QUESTIONS_MS: u64 = 15_000;
/// A recovery is judged by so many messages at least.
const FEWEST_AFTER_RECOVERY: usize = 10;

impl World {
    pub fn end_of_day(&self) -> u64 {
        self.traffic_ends() + COMPLETION_MS + QUESTIONS_MS
    }

    pub fn last_questions(&mut self) {
        self.order_read_back();
        let is_asked = |path: &str| !path.starts_with("/extra-");
        let accepted = self
            .checks
            .messages
            .iter()
            .filter(|(_, message)| message.accepted_at.is_some() && is_asked(&message.path));
        let (ended, unended): (Vec<_>, Vec<_>) =
            accepted.partition(|(_, message)| message.ended_at.is_some());
        let unended: Vec<String> =
            unended.into_iter().map(|(id, _)| id.clone()).take(UNENDED_ASKED).collect();
        let ended: Vec<String> = ended.into_iter().map(|(id, _)| id.clone()).collect();
        let drawn: Vec<String> = (0..ENDED_ASKED.min(ended.len()))
            .filter_map(|_| ended.get(self.traffic_random.random_range(0..ended.len())).cloned())
            .collect();
        for id in unended.into_iter().chain(drawn) {
            let wait = self.traffic_random.random_range(0..500);
            self.after(wait, Event::AskMessage(id, 0));
        }
    }

    /// What can be said only when all is over.
    pub fn close_day(&mut self) {
        let now = self.now;
        let lost: Vec<String> = self
            .checks
            .messages
            .iter()
            .filter(|(id, message)| {
                let is_probe = message.path.starts_with("/extra-");
                message.accepted_at.is_some()
                    && message.ended_at.is_none()
                    && !is_probe
                    && !self.clients.told.contains(*id)
            })
            .map(|(id, message)| {
                format!(
                    "{id} accepted at {:?} has not ended and cannot be had: {:?}",
                    message.accepted_at, message.runs
                )
            })
            .collect();
        if let Some(first) = lost.first() {
            let text = format!("{} messages, first {first}", lost.len());
            self.checks.fail(now, "LOST", text);
        }
        if self.operator.read_back.is_none() {
            self.checks.fail(now, "CONFIG", "the configuration cannot be read back".to_owned());
        }
        self.check_recovery();
        self.check_stuck();
    }

    /// After so long without faults all that was accepted has ended, and all call-backs were taken.
    fn check_stuck(&mut self) {
        let now = self.now;
        let before = self.traffic_ends();
        let real = self
            .checks
            .messages
            .iter()
            .filter(|(_, message)| message.accepted_at.is_some() && !message.path.starts_with("/extra-"));
        let stuck: Vec<String> = real
            .clone()
            .filter(|(_, message)| message.ended_at.is_none())
            .map(|(id, message)| {
                format!("{id} accepted at {:?} has not ended: {:?}", message.accepted_at, message.runs)
            })
            .collect();
        let uncalled: Vec<String> = real
            .filter(|(_, message)| message.wants_callback && !message.callback_taken)
            .filter(|(_, message)| message.ended_at.is_some_and(|at| at < before))
            .map(|(id, message)| format!("{id} ended at {:?} has no call-back", message.ended_at))
            .collect();
        if let Some(first) = stuck.first() {
            self.checks.fail(now, "STUCK", format!("{} messages, first {first}", stuck.len()));
        }
        if let Some(first) = uncalled.first() {
            self.checks.fail(now, "CALLBACK", format!("{} messages, first {first}", uncalled.len()));
        }
    }

    fn check_recovery(&mut self) {
        let from = self.traffic_ends() - 6_000 + 500;
        let sent = self.checks.messages.values().filter(|message| message.sent_at >= from);
        let (mut asked, mut served) = (0, 0);
        for message in sent {
            asked += 1;
            if message.accepted_at.is_some() && !message.runs.is_empty() {
                served += 1;
            }
        }
        if asked >= FEWEST_AFTER_RECOVERY && served * 4 < asked {
            let text = format!("{served} of {asked} tries are served {RECOVERY_MS} ms after the last fault");
            self.checks.fail(self.now, "RECOVER", text);
        }
    }
}
