//! Reading the platform's list of runners: when to call, and when a list is whole. No I/O and no clock.

use std::collections::BTreeMap;

use ruddervalve_protocol::{Runner, RunnerList};

use crate::listing_pace::{Backoff, ListPace};
use crate::listing_page::ListPage;

/// A call that is to be made now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListCall {
    /// Names the call when its answer is handed back.
    pub number: u64,
    /// Path and query of the request, a `GET`.
    pub target: String,
    /// When to give up, in milliseconds of the clock that was passed in.
    pub give_up_ms: u64,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum ListAnswer {
    /// A page.
    Page(ListPage),
    /// 429: too many calls.
    TooMany {
        /// `Retry-After`, in milliseconds, where it was given.
        retry_after_ms: Option<u64>,
    },
    /// Anything else: no connection, no answer, another status, a page that cannot be read.
    Failed,
}

/// What an answer led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListProgress {
    /// No list is whole by it.
    Unfinished,
    /// A list is whole and says the same as the last, but for how long runners stay cold.
    Unchanged,
    /// A list is whole and differs from the last: tell it to all.
    Changed,
}

/// Reads the list again and again. Has at most one call under way, and keeps the last whole list while the platform is
/// silent; a list is never made of less than all its pages.
#[derive(Debug)]
pub struct ListReader {
    pace: ListPace,
    backoff: Backoff,
    term: u64,
    calls: u64,
    in_flight: Option<InFlight>,
    next_call_ms: u64,
    collection: Option<Collection>,
    list: Option<RunnerList>,
    skipped: u64,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    number: u64,
    give_up_ms: u64,
}

/// The pages of one list so far.
#[derive(Debug)]
struct Collection {
    started_ms: u64,
    runners: BTreeMap<String, Runner>,
    next_page: Option<String>,
    skipped: u64,
}

impl ListReader {
    /// A reader that calls first at `now_ms`. `term` is the reader's term of office, which the lists carry; `seed` draws
    /// the jitter and should differ from process to process.
    pub fn new(pace: ListPace, term: u64, seed: u64, now_ms: u64) -> Self {
        Self {
            pace,
            backoff: Backoff::new(pace, seed),
            term,
            calls: 0,
            in_flight: None,
            next_call_ms: now_ms,
            collection: None,
            list: None,
            skipped: 0,
        }
    }

    /// The last whole list. Its sequence grows with each list that differs from the one before.
    pub fn list(&self) -> Option<&RunnerList> {
        self.list.as_ref()
    }

    /// How many entries of the last whole list could not be read and were passed over.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// When to call [`Self::poll`] next, in milliseconds of the clock that was passed in.
    pub fn next_wake_ms(&self) -> u64 {
        self.in_flight.map_or(self.next_call_ms, |call| call.give_up_ms)
    }

    /// The call that is due, if any. Gives up on the one under way when its time is over: an answer that comes later
    /// is passed over.
    pub fn poll(&mut self, now_ms: u64) -> Option<ListCall> {
        if let Some(call) = self.in_flight {
            if now_ms < call.give_up_ms {
                return None;
            }
            self.in_flight = None;
            self.fail(now_ms, None);
        }
        if now_ms < self.next_call_ms {
            return None;
        }
        Some(self.call(now_ms))
    }

    /// Takes the answer of the call `number`; passes over all but the one under way.
    pub fn answer(&mut self, number: u64, answer: ListAnswer, now_ms: u64) -> ListProgress {
        if self.in_flight.is_none_or(|call| call.number != number) {
            return ListProgress::Unfinished;
        }
        self.in_flight = None;
        match answer {
            ListAnswer::Page(page) => self.take_page(page, now_ms),
            ListAnswer::TooMany { retry_after_ms } => {
                self.fail(now_ms, retry_after_ms);
                ListProgress::Unfinished
            }
            ListAnswer::Failed => {
                self.fail(now_ms, None);
                ListProgress::Unfinished
            }
        }
    }

    fn call(&mut self, now_ms: u64) -> ListCall {
        self.calls = self.calls.saturating_add(1);
        let give_up_ms = now_ms.saturating_add(self.pace.call_timeout_ms);
        self.in_flight = Some(InFlight { number: self.calls, give_up_ms });
        let collection = self.collection.get_or_insert_with(|| Collection::new(now_ms));
        ListCall { number: self.calls, target: target(collection.next_page.as_deref()), give_up_ms }
    }

    fn take_page(&mut self, page: ListPage, now_ms: u64) -> ListProgress {
        let mut collection = self.collection.take().unwrap_or_else(|| Collection::new(now_ms));
        if page.next_page.is_some() && page.next_page == collection.next_page {
            // A page that names itself as the next would never end.
            self.fail(now_ms, None);
            return ListProgress::Unfinished;
        }
        self.backoff.reset();
        collection.add(page);
        if collection.next_page.is_some() {
            self.next_call_ms = now_ms.saturating_add(self.pace.gap_ms);
            self.collection = Some(collection);
            return ListProgress::Unfinished;
        }
        let next_start_ms = collection.started_ms.saturating_add(self.pace.interval_ms);
        self.next_call_ms = next_start_ms.max(now_ms.saturating_add(self.pace.gap_ms));
        self.skipped = collection.skipped;
        self.finish(collection.runners.into_values().collect())
    }

    fn finish(&mut self, runners: Vec<Runner>) -> ListProgress {
        let is_same = self.list.as_ref().is_some_and(|list| are_alike(&list.runners, &runners));
        let last = self.list.as_ref().map_or(0, |list| list.sequence);
        let sequence = if is_same { last } else { last.saturating_add(1) };
        self.list = Some(RunnerList { term: self.term, sequence, runners });
        if is_same { ListProgress::Unchanged } else { ListProgress::Changed }
    }

    /// Waits, and begins anew if the pages so far are too old by then or a page keeps failing: its token may have lapsed.
    fn fail(&mut self, now_ms: u64, retry_after_ms: Option<u64>) {
        let wait_ms = self.backoff.next(retry_after_ms);
        self.next_call_ms = now_ms.saturating_add(wait_ms);
        let oldest_start_ms = self.next_call_ms.saturating_sub(self.pace.collection_limit_ms);
        let is_too_old =
            self.collection.as_ref().is_some_and(|collection| collection.started_ms < oldest_start_ms);
        if is_too_old || self.backoff.is_persistent() {
            self.collection = None;
        }
    }
}

impl Collection {
    fn new(started_ms: u64) -> Self {
        Self { started_ms, runners: BTreeMap::new(), next_page: None, skipped: 0 }
    }

    /// Adds a page. Where the list moved between two calls, a runner may stand on both pages: the later entry counts.
    fn add(&mut self, page: ListPage) {
        self.skipped = self.skipped.saturating_add(page.skipped);
        self.next_page = page.next_page;
        for runner in page.runners {
            self.runners.insert(runner.uid.clone(), runner);
        }
    }
}

/// Whether two lists say the same, but for how long runners stay cold, which changes from call to call.
fn are_alike(one: &[Runner], other: &[Runner]) -> bool {
    let is_alike = |one: &Runner, other: &Runner| {
        one.uid == other.uid
            && one.service == other.service
            && one.address == other.address
            && one.zone == other.zone
            && one.capacity == other.capacity
            && one.phase == other.phase
    };
    one.len() == other.len() && one.iter().zip(other).all(|(one, other)| is_alike(one, other))
}

/// Path and query of a call.
fn target(page: Option<&str>) -> String {
    match page {
        None => "/instances".to_owned(),
        Some(token) => format!("/instances?PageToken={}", percent_encoded(token)),
    }
}

/// The text with all but letters, digits and `-._~` as `%XX`.
fn percent_encoded(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
