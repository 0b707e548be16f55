//! The decisions on final answers that the dispatcher gives itself: when a request is given up, whether it is refused or
//! failed, and when a refused client should come back. The types, events and actions are in `src/interface.rs`.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::logic::NEWEST;
use crate::state::{Dispatcher, Request, Worker};

/// Where another process takes what this one cannot finish, a job is kept that so many expected runs fit for.
const ENDS: f64 = 1.5;

impl Dispatcher {
    /// Final answer by the dispatcher: refused where trying again is harmless, else failed.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.close(id, false) else { return };
        if request.attempts.is_empty()
            && self.gave_up.replace(self.now).is_none_or(|at| at + SECOND < self.now)
        {
            self.note(Note::GivingUp { held: self.held.len() });
        }
        let harmless = match request.class.effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => !request.may_have_run(),
        };
        let wait = self.come_back();
        // What no worker can use does no better later.
        let harmless = harmless && !request.unusable();
        out.push(if harmless { Action::Refuse { request: id, wait } } else { Action::Fail { request: id } });
    }

    /// When a refused request may come back: as soon as the held ones should have found slots.
    pub(crate) fn come_back(&self) -> Micros {
        let slots: f64 = self.kept().map(|worker| self.slots(worker)).sum();
        let wait = self.typical_run() * (1.0 + self.held.len() as f64) / slots.max(1.0);
        (wait as Micros).min(self.settings.limits.max_retry_after)
    }

    pub(crate) fn client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.close(id, false) else { return };
        if request.pending() && self.settings.limits.cancel {
            out.push(Action::Cancel { request: id, attempt: request.attempts.len() - 1 });
        }
    }

    /// Ends what is out of time: a held request while there still is time to say so, any other at its end.
    pub(crate) fn settle_due(&mut self, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.checks.first().filter(|check| check.0 <= self.now) {
            self.checks.remove(&(at, id));
            let Some(request) = self.requests.get(&id) else { continue };
            let (end, next) = match request.pending() {
                true => (
                    self.ends.map_or(request.expires, |ends| ends.min(request.expires)),
                    self.half_way(request),
                ),
                false => (self.give_up_at(request), self.cross_at(request)),
            };
            if end <= self.now {
                self.finish(id, out);
                continue;
            }
            if self.to_recall(request) {
                out.push(Action::Cancel { request: id, attempt: request.attempts.len() - 1 });
            }
            self.check_next(id, next, end);
        }
    }

    /// When a held request can no longer earn anything: its aim is out of reach and lateness earns nothing, or its run
    /// would outlast the client. It is answered then, not held to its end: the client may come back.
    pub(crate) fn give_up_at(&self, request: &Request) -> Micros {
        let class = &request.class;
        let last =
            request.expires.saturating_sub(((request.work * NEWEST) as Micros).max(2 * self.settings.tick));
        let last =
            self.ends.map_or(last, |ends| last.min(ends.saturating_sub((request.work * ENDS) as Micros)));
        if class.late_worth > 0.0 { last } else { request.latest_start.min(last) }
    }

    /// Gives up what can no longer truly be sent: late jobs whose turn, behind all held ones that are served sooner,
    /// comes too late for their run, or for which no worker is listed. The client may come back, here or elsewhere,
    /// while it still waits.
    pub(crate) fn give_up_hopeless(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<_> = self.held.iter().map(|id| (self.rank(&self.requests[id]), *id)).collect();
        order.sort_by(|left, right| right.0.total_cmp(&left.0));
        let mut ahead: BTreeMap<Option<KindId>, f64> = BTreeMap::new();
        let mut hopeless = Vec::new();
        for (_, id) in order {
            let request = &self.requests[&id];
            let kind = request.class.kind;
            let fits = |worker: &&Worker| worker.member.is(kind);
            let slots: f64 = self.kept().filter(fits).map(|worker| self.slots(worker)).sum();
            let own = (slots / self.settings.dispatchers as f64).max(1.0);
            let before = ahead.entry(kind).or_default();
            let ends = self.now.saturating_add((*before / own + request.work * NEWEST) as Micros);
            if request.latest_start < self.now && (slots <= 0.0 || ends > request.expires) {
                hopeless.push(id);
            } else {
                *before += request.work * request.need();
            }
        }
        hopeless.into_iter().for_each(|id| self.finish(id, out));
    }
}
