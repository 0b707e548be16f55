//! Attempts: what is told of them, and what becomes of their requests.

use bytes::Bytes;
use ruddervalve::{LoadReport, Outcome, Report};

use super::Broker;
use super::orders::{Attempt, AttemptId, Order};
use super::pool::ListedRunner;
use super::requests::Answer;
use super::table::Table;

/// A runner that the decisions chose for an attempt.
pub(super) struct ChosenRunner {
    pub(super) id: AttemptId,
    /// Its name.
    pub(super) runner: String,
    /// The request must not run twice.
    pub(super) run_once: bool,
    /// By when the attempt's last byte has to be at the runner; none: at any time before the deadline.
    pub(super) by_ms: Option<f64>,
}

impl Table {
    /// The attempt in full.
    ///
    /// # Errors
    ///
    /// Which attempt it was, where its request is closed or its runner not listed.
    fn attempt(&self, chosen: ChosenRunner) -> Result<Attempt, AttemptId> {
        let ChosenRunner { id, runner, run_once, by_ms } = chosen;
        let pool = id.pool();
        let listed = self.pools[pool.0].runners.get(&runner).ok_or(id)?;
        let open = self.requests.get(&id.request).ok_or(id)?;
        Ok(Attempt {
            id,
            pool,
            runner,
            address: listed.address,
            payload: open.payload.clone(),
            deadline_ms: open.deadline_ms,
            send_by_ms: by_ms.unwrap_or(f64::INFINITY),
            run_once,
            new_connection: open.new_connection,
        })
    }
}

impl Broker {
    /// Whether an attempt may still be sent when a connection to its runner is there, on which its last byte arrives
    /// `one_way_ms` later: its request is open and in time, and the runner takes new requests as far as is known by
    /// now.
    pub fn may_send(&self, attempt: &Attempt, one_way_ms: f64) -> bool {
        let (table, now) = (self.table.borrow(), self.clock.now());
        let listed = table.pools[attempt.pool.0].runners.get(&attempt.runner);
        listed.is_some_and(ListedRunner::is_ready)
            && table.requests.contains_key(&attempt.id.request)
            && now < attempt.deadline_ms
            && now + one_way_ms <= attempt.send_by_ms
    }

    /// Orders the attempt that the decisions chose a runner for. Guards against a runner that has gone and a request
    /// that has just ended: such an attempt is reported as never sent.
    pub(super) fn order_attempt(&self, table: &mut Table, chosen: ChosenRunner) {
        match table.attempt(chosen) {
            Ok(attempt) => {
                self.counters.count("claims", "made");
                table.order(attempt.pool, Order::Send(attempt));
            }
            Err(id) => {
                let closed = !table.requests.contains_key(&id.request);
                self.report_to(table, id, Report::Ended { outcome: Outcome::Skipped, closed, load: None });
            }
        }
    }

    /// The request of an attempt has started to run.
    pub fn attempt_started(&self, attempt: AttemptId) {
        self.report(attempt, Report::Started);
    }

    /// The request of an attempt is so far done.
    pub fn attempt_progressed(&self, attempt: AttemptId, done: f64) {
        self.report(attempt, Report::Progress(done));
    }

    /// A part of an attempt's result went on to the client: the request is this attempt's from now on, however it ends.
    pub fn result_streams(&self, attempt: AttemptId) {
        let mut table = self.table.borrow_mut();
        let Some(open) = table.requests.get_mut(&attempt.request) else { return };
        if !std::mem::replace(&mut open.streaming, true) {
            self.report_to(&mut table, attempt, Report::Streams);
        }
    }

    /// An attempt ended; the first one served ends its request.
    pub fn attempt_ended(
        &self,
        attempt: AttemptId,
        outcome: Outcome,
        result: Option<Bytes>,
        load: Option<LoadReport>,
    ) {
        self.counters.count("claims", outcome_label(outcome));
        if let Some(result) = result {
            self.answer(&mut self.table.borrow_mut(), attempt.request, Answer::Served(result));
        }
        let streaming = self.table.borrow_mut().requests.get_mut(&attempt.request).map(|open| {
            open.unusable = outcome == Outcome::Unusable;
            open.new_connection |= matches!(outcome, Outcome::Broken | Outcome::Skipped);
            open.streaming
        });
        // The decisions have let go of what streams: what is owed is given here.
        if streaming == Some(true) {
            self.answer(&mut self.table.borrow_mut(), attempt.request, Answer::Failed);
        }
        let closed = streaming != Some(false);
        self.report(attempt, Report::Ended { outcome, closed, load });
    }

    fn report(&self, attempt: AttemptId, report: Report) {
        self.report_to(&mut self.table.borrow_mut(), attempt, report);
    }

    fn report_to(&self, table: &mut Table, attempt: AttemptId, report: Report) {
        let pool = attempt.pool();
        let steps = table.facade(pool).report(self.clock.now(), attempt.request, attempt.number, report);
        self.perform(table, pool, steps);
    }
}

/// What the counters call an outcome.
fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "turned_away",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "could_not_connect",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "withdrawn",
        Outcome::Skipped => "never_sent",
        Outcome::Unusable => "not_usable",
        Outcome::Broken => "kept_broken",
    }
}
