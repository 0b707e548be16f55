//! The rules as invariants, named as in RULES.md, and some of our own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::places::{
    DRAIN_TIMEOUT_MS, EARLY_SLACK_MS, ENDPOINT_RATE_PER_S, Kind, LIVENESS_MS, MAX_LAG_MS, MAX_RETRIES,
    ORIGIN_OVERSHOOT, ORIGIN_WINDOW_MS,
};
use crate::protocol_checks::ProtocolChecks;

/// A rule that was broken, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The rule's name in capitals.
    pub rule: &'static str,
    /// What happened.
    pub text: String,
    /// When, in milliseconds of the history.
    pub at: u64,
}

/// A run that began.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub began: u64,
    pub outcome: Option<RunOutcome>,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    Succeeded { signature: String, read_at: Option<u64> },
    Rejected,
    Failed,
    Broken,
}

/// All that is known of one message, which is one try of a client.
#[derive(Debug, Clone)]
pub struct MessageRecord {
    pub kind: Kind,
    pub path: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub sent_at: u64,
    pub due_at: u64,
    /// Whether a call-back is owed, and whether it was taken.
    pub wants_callback: bool,
    pub callback_taken: bool,
    pub accepted_at: Option<u64>,
    pub name: Option<String>,
    pub refused: Option<u16>,
    pub runs: BTreeMap<u64, RunRecord>,
    pub ended_at: Option<u64>,
}

impl MessageRecord {
    fn succeeded(&self, wanted: Option<&str>) -> bool {
        self.runs.values().any(|run| {
            matches!(&run.outcome, Some(RunOutcome::Succeeded { signature, .. })
                if wanted.is_none_or(|wanted| wanted == signature))
        })
    }
}

/// A span of trouble.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    from: u64,
    /// Until when, where it is over.
    until: Option<u64>,
    is_planned: bool,
}

impl Trouble {
    fn touches(&self, from: u64, to: u64) -> bool {
        self.from <= to && self.until.is_none_or(|until| until >= from)
    }
}

/// All messages, and spans of trouble.
#[derive(Debug, Default)]
pub struct Checks {
    pub messages: BTreeMap<String, MessageRecord>,
    by_key: BTreeMap<String, Vec<String>>,
    arrivals: VecDeque<u64>,
    troubles: Vec<Trouble>,
    /// What consensus must keep to.
    leaders: BTreeMap<(u32, u64), u64>,
    votes: BTreeMap<(u64, u32, u64), u64>,
    leases: BTreeMap<(u32, u64, u64), (u64, String)>,
    identities: BTreeMap<u64, u64>,
    /// Services that messages of a kind may run at besides their own.
    other_services: BTreeSet<(Kind, &'static str)>,
    /// Whether a time of day has jumped: no rule says then when a delayed message may run.
    pub clocks_jump: bool,
    pub protocol: ProtocolChecks,
    pub broken: Vec<Broken>,
}

impl Checks {
    pub fn fail(&mut self, at: u64, rule: &'static str, text: String) {
        self.broken.push(Broken { rule, text, at });
    }

    // Troubles.

    /// A trouble begins; its number. Planned work is none for the rules that say so.
    pub fn trouble_begins(&mut self, now: u64, is_planned: bool) -> usize {
        self.troubles.push(Trouble { from: now, until: None, is_planned });
        self.troubles.len() - 1
    }

    pub fn trouble_ends(&mut self, number: usize, now: u64) {
        if let Some(trouble) = self.troubles.get_mut(number) {
            trouble.until = Some(now);
        }
    }

    /// How many troubles have begun.
    pub fn troubles_begun(&self) -> usize {
        self.troubles.len()
    }

    /// Whether there was no unplanned trouble at all in a span.
    pub fn is_calm(&self, from: u64, to: u64) -> bool {
        !self.troubles.iter().any(|trouble| !trouble.is_planned && trouble.touches(from, to))
    }

    /// Whether all machines are in touch: nothing at all happened lately.
    pub fn in_touch(&self, now: u64) -> bool {
        self.were_in_touch(now, now)
    }

    /// Whether all machines were in touch all the time.
    pub fn were_in_touch(&self, from: u64, to: u64) -> bool {
        let from = from.saturating_sub(2 * LIVENESS_MS);
        !self.troubles.iter().any(|trouble| trouble.touches(from, to))
    }

    // Messages.

    pub fn sent(&mut self, id: String, record: MessageRecord) {
        if let Some(key) = &record.key {
            self.by_key.entry(key.clone()).or_default().push(id.clone());
        }
        self.messages.insert(id, record);
    }

    pub fn accepted(&mut self, now: u64, id: &str, name: Option<String>) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.accepted_at = Some(now);
        message.name = Some(name.unwrap_or_else(|| id.to_owned()));
    }

    pub fn refused(&mut self, now: u64, id: &str, status: u16) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.refused = Some(status);
        if !message.runs.is_empty() {
            self.fail(now, "REFUSED", format!("{id} has run and is answered {status}"));
        }
    }

    /// A message arrives at a runner.
    pub fn arrives(&mut self, now: u64, kind: Kind, draining_since: Option<u64>, id: &str, uid: &str) {
        if kind == Kind::Endpoint {
            self.count_arrival(now);
        }
        if let Some(since) = draining_since
            && now > since + MAX_LAG_MS + DRAIN_TIMEOUT_MS
            && self.in_touch(now)
        {
            let text = format!("{id} reaches {uid}, which drains since {since}");
            self.fail(now, "DRAIN", text);
        }
    }

    fn count_arrival(&mut self, now: u64) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| at + ORIGIN_WINDOW_MS <= now) {
            self.arrivals.pop_front();
        }
        let most = ENDPOINT_RATE_PER_S * (ORIGIN_WINDOW_MS as f64 / 1_000.0) * ORIGIN_OVERSHOOT + 5.0;
        if self.arrivals.len() as f64 > most {
            let text = format!("{} arrivals in {ORIGIN_WINDOW_MS} ms, {most} allowed", self.arrivals.len());
            self.fail(now, "CEILING", text);
        }
    }

    pub fn run_begins(&mut self, now: u64, id: &str, service: &str, run: u64) {
        let Some(message) = self.messages.get_mut(id) else {
            return self.fail(now, "UNASKED", format!("{id} was never sent"));
        };
        let earlier: Vec<RunRecord> = message.runs.values().cloned().collect();
        message.runs.insert(run, RunRecord { began: now, outcome: None });
        let message = message.clone();
        if !self.is_allowed_at(message.kind, service) {
            self.fail(now, "ROUTE", format!("{id} runs at {service}"));
        }
        if let Some(status) = message.refused {
            self.fail(now, "REFUSED", format!("{id} runs though it was answered {status}"));
        }
        if now + EARLY_SLACK_MS < message.due_at && !self.clocks_jump {
            self.fail(now, "EARLY-RUN", format!("{id} runs though it is due at {}", message.due_at));
        }
        self.check_twice(now, id, &earlier);
        self.check_order(now, id, &message);
        self.check_budget(now, id, &earlier);
    }

    /// A configuration that may be in force from now on leads a kind's route to this service.
    pub fn may_run_at(&mut self, kind: Kind, service: &'static str) {
        self.other_services.insert((kind, service));
    }

    fn is_allowed_at(&self, kind: Kind, service: &str) -> bool {
        let is_other = |(other, name): &(Kind, &str)| *other == kind && *name == service;
        kind.service() == service || self.other_services.iter().any(is_other)
    }

    fn check_twice(&mut self, now: u64, id: &str, earlier: &[RunRecord]) {
        for run in earlier {
            let Some(RunOutcome::Succeeded { read_at: Some(read_at), .. }) = &run.outcome else { continue };
            if self.is_calm(run.began.saturating_sub(LIVENESS_MS), now) {
                let began = run.began;
                let text = format!("{id} runs again: it ran at {began} with a success read at {read_at}");
                self.fail(now, "TWICE", text);
            }
        }
    }

    /// A message that fails at each run runs only so often.
    fn check_budget(&mut self, now: u64, id: &str, earlier: &[RunRecord]) {
        let ended =
            |outcome: RunOutcome| earlier.iter().filter(|run| run.outcome.as_ref() == Some(&outcome)).count();
        let (failed, rejected) = (ended(RunOutcome::Failed), ended(RunOutcome::Rejected));
        let is_spent = failed >= 3 * MAX_RETRIES as usize || rejected >= 3;
        if is_spent && self.in_touch(now) {
            let text = format!("{id} runs again after {failed} answers of 500 and {rejected} of 422");
            self.fail(now, "BUDGET", text);
        }
    }

    fn check_order(&mut self, now: u64, id: &str, message: &MessageRecord) {
        let Some(key) = &message.key else { return };
        let mut violations = Vec::new();
        for other in self.by_key.get(key).into_iter().flatten().filter(|other| *other != id) {
            let Some(before) = self.messages.get(other) else { continue };
            let was_before = before.accepted_at.is_some_and(|at| at < message.sent_at);
            if was_before && before.ended_at.is_none() {
                violations.push(format!("{id} begins while {other} of {key} has not ended"));
            }
        }
        violations.into_iter().for_each(|text| self.fail(now, "ORDER", text));
    }

    pub fn run_ended(&mut self, now: u64, id: &str, run: u64, outcome: RunOutcome) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let ends = matches!(outcome, RunOutcome::Succeeded { .. } | RunOutcome::Rejected);
        if let Some(record) = message.runs.get_mut(&run) {
            record.outcome = Some(outcome);
        }
        let failed = message.runs.values().filter(|run| run.outcome == Some(RunOutcome::Failed)).count();
        if (ends || failed >= MAX_RETRIES as usize) && message.ended_at.is_none() {
            message.ended_at = Some(now);
        }
    }

    /// The edge read a whole success.
    pub fn success_read(&mut self, now: u64, id: &str, run: u64) {
        let record = self.messages.get_mut(id).and_then(|message| message.runs.get_mut(&run));
        if let Some(RunOutcome::Succeeded { read_at, .. }) = record.and_then(|record| record.outcome.as_mut())
        {
            *read_at = Some(now);
        }
    }

    /// A receiver took a call-back.
    pub fn callback_taken(&mut self, id: &str) {
        if let Some(message) = self.messages.get_mut(id) {
            message.callback_taken = true;
        }
    }

    /// An end is reported to a client or a receiver.
    pub fn reported(&mut self, now: u64, id: &str, phase: &str, signature: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let fault = match phase {
            "succeeded" => !message.succeeded(Some(signature)),
            "dead_letter" => message.ended_at.is_none(),
            _ => false,
        };
        if fault {
            let text = format!("{id} is reported as {phase} with {signature:?}: runs {:?}", message.runs);
            self.fail(now, "MIXED", text);
        }
    }

    // Our own.

    pub fn leads(&mut self, now: u64, group: u32, term: u64, replica: u64) {
        let known = *self.leaders.entry((group, term)).or_insert(replica);
        if known != replica {
            let text = format!("group {group}: {known} and {replica} both lead in term {term}");
            self.fail(now, "ONE-LEADER", text);
        }
    }

    pub fn votes(&mut self, now: u64, voter: u64, group: u32, term: u64, candidate: u64) {
        let known = *self.votes.entry((voter, group, term)).or_insert(candidate);
        if known != candidate {
            let text = format!("group {group}: {voter} votes for {known} and {candidate} in term {term}");
            self.fail(now, "ONE-VOTE", text);
        }
    }

    pub fn leased(&mut self, now: u64, group: u32, lease: (u64, u64), edge: u64, id: &str) {
        let holder = (edge, id.to_owned());
        let known = self.leases.entry((group, lease.0, lease.1)).or_insert_with(|| holder.clone()).clone();
        if known != holder {
            self.fail(
                now,
                "ONE-HOLDER",
                format!("group {group}: lease {lease:?} of {known:?} and {holder:?}"),
            );
        }
    }

    pub fn lives_on(&mut self, now: u64, identity: u64, disk: u64) {
        let known = *self.identities.entry(identity).or_insert(disk);
        if known != disk {
            self.fail(now, "ONE-DISK", format!("identity {identity} on disk {known} and on disk {disk}"));
        }
    }

    pub fn lease_holders(&mut self, now: u64, group: u32, holders: &BTreeSet<u64>) {
        if holders.len() > 1 {
            self.fail(now, "ONE-LEASE", format!("group {group}: {holders:?} hold leader's leases at once"));
        }
    }
}
