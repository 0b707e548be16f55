//! The interface of the decision module: what it is told, what it answers.
//!
//! All times are integer microseconds of one monotonic clock that the embedder reads; spans use the same
//! unit. Ids are chosen by the embedder and carry no meaning beyond identity.

use thiserror::Error;

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A request taken by this dispatcher; never reused.
    RequestId(u64);
    /// A worker; keeps its id when its process restarts, and has the same at every dispatcher.
    WorkerId(u64);
    /// An index into [`Settings::classes`].
    ClassId(usize);
    /// An index into [`Settings::tenants`].
    TenantId(usize);
    /// A zone; equal ids mean the same zone.
    ZoneId(usize);
    /// A kind of machine; equal ids mean the same kind.
    KindId(usize);
    /// A cell: a small group of workers that share what they remember.
    CellId(u64);
}

/// What repeating a request of a class may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Repeating is harmless.
    Safe,
    /// Repeats are dropped by the workers of one group while they remember the first.
    Keyed {
        /// Which workers drop repeats of one another's requests.
        group: Group,
        /// How long they remember, from the send of the earliest attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// The workers that drop repeats together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

impl Group {
    /// Whether two workers are of one such group.
    pub fn holds(self, one: &Member, other: &Member) -> bool {
        match self {
            Self::All => true,
            // What is not told of two workers is not known to be the same.
            Self::Zone => one.worker == other.worker || (one.zone.is_some() && one.zone == other.zone),
            Self::Cell => one.worker == other.worker || (one.cell.is_some() && one.cell == other.cell),
        }
    }
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// What a request is worth.
    pub worth: f64,
    /// The fraction of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// What repeating does.
    pub effect: Effect,
    /// The one kind of worker that runs this class; none: any.
    pub kind: Option<KindId>,
}

/// One tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantSettings {
    /// Requests a second over all dispatchers that are within the tenant's share.
    pub quota_per_s: f64,
}

/// How the list of workers is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Pushed,
    /// Changes come only to a subscriber, the list only when fetched.
    OnRequest,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reporting {
    /// With the end of attempts, with probes, or unasked.
    Answers,
    /// With probes only.
    Probes,
    /// Nowhere.
    None,
}

/// What the site permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Attempts for one request, at most.
    pub max_attempts: usize,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// The longest wait that clients heed when a refusal tells them to come back.
    pub max_retry_after: Micros,
}

/// The figures of the four rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// A worker starts at no less than this fraction of its capacity.
    pub cold_share: f64,
    /// A started worker is warm no later than this.
    pub cold: Micros,
    /// A cold worker sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall_after: Micros,
    /// Without a subscription a dispatcher has to ask for the list within this time; 0: never.
    pub ask_within: Micros,
}

impl Rules {
    /// A span between two calls for the list, or the time within which they have to be made where that is shorter.
    pub fn asked_within(&self, span: Micros) -> Micros {
        if self.ask_within == 0 { span } else { span.min(self.ask_within) }
    }
}

/// Everything a dispatcher is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Which of the dispatchers this is, from 0.
    pub index: usize,
    /// How many dispatchers share the workers, this one included.
    pub dispatchers: usize,
    /// The zone of this dispatcher.
    pub zone: Option<ZoneId>,
    /// The shortest time between two rounds.
    pub tick: Micros,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Worth counts for each unit of work instead of each request.
    pub worth_by_work: bool,
    /// What a request beyond its tenant's share is worth, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// What the service of the worst-served class weighs beside the whole's, which weighs 1.
    pub worst_class_weight: f64,
    /// The price of an attempt that crosses zones, in units of the mean request's worth.
    pub cross_zone_price: f64,
    /// How long an idle connection to a worker is kept, where a new one has a price; 0: it has none.
    pub conn_kept: Micros,
    /// How the list of workers is learned.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reporting: Reporting,
    /// The list's weights show load: a worker's size over 1 + the requests held for each core.
    pub live_weights: bool,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// What the site permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
}

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The field, as a path.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl Settings {
    /// Checks that the settings make sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, field: &str, problem| {
            let field = field.to_owned();
            if ok { Ok(()) } else { Err(SettingsError { field, problem }) }
        };
        let amount = |value: f64| value.is_finite() && value >= 0.0;
        check(self.index < self.dispatchers, "index", "must be below the number of dispatchers")?;
        check(!self.classes.is_empty(), "classes", "must not be empty")?;
        for (index, class) in self.classes.iter().enumerate() {
            let at = |name: &str| format!("classes[{index}].{name}");
            check(class.deadline > 0, &at("deadline"), "must be above 0")?;
            for (name, value) in
                [("aim_stretch", class.aim_stretch), ("worth", class.worth), ("late_worth", class.late_worth)]
            {
                check(amount(value), &at(name), "must be finite and not negative")?;
            }
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            let field = format!("tenants[{index}].quota_per_s");
            check(amount(tenant.quota_per_s), &field, "must be finite and not negative")?;
        }
        for (name, value) in [
            ("over_share_worth", self.over_share_worth),
            ("worst_class_weight", self.worst_class_weight),
            ("cross_zone_price", self.cross_zone_price),
        ] {
            check(amount(value), name, "must be finite and not negative")?;
        }
        check(self.limits.max_attempts > 0, "limits.max_attempts", "must be at least 1")?;
        let share = self.rules.cold_share;
        check(amount(share) && share <= 1.0, "rules.cold_share", "must lie in 0 to 1")?;
        check(amount(self.rules.fall_multiple), "rules.fall_multiple", "must be finite and not negative")
    }
}

/// Whether a worker may be given work, as the list says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It was withdrawn.
    Gone,
}

/// One line of the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it may be given work.
    pub availability: Availability,
    /// When its process started, on the clock of the rounds; 0: long ago.
    pub booted: Micros,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its kind of machine.
    pub kind: Option<KindId>,
    /// Further kinds that it counts as.
    pub kinds: Vec<KindId>,
    /// Its cell.
    pub cell: Option<CellId>,
    /// Its size beside other workers; where [`Settings::live_weights`] says so, lowered by its load.
    pub weight: f64,
}

impl Member {
    /// Whether it is of a kind; any is of none.
    pub fn is(&self, kind: Option<KindId>) -> bool {
        kind.is_none_or(|kind| self.kind == Some(kind) || self.kinds.contains(&kind))
    }
}

/// How a list is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list; a worker absent from it is removed.
    Full,
    /// The complete list as last held here, possibly outdated.
    Cached,
}

/// A worker's report of its load: late and noisy. Absent values were not reported.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// How long until the client abandons this try.
    pub expires_in: Micros,
    /// Slots the job needs.
    pub slots: f64,
    /// Memory the job needs; a worker has one unit for each slot.
    pub memory: f64,
    /// The expected work, roughly.
    pub hint: Option<Micros>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker returned an error; the job may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Skipped,
    /// The worker could not use the request; it may have run. That says nothing of the worker.
    Unusable,
    /// A connection kept from before broke under it; it may have run. That says nothing of the worker.
    Broken,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Skipped)
    }
}

/// What a dispatcher is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of workers.
    Members {
        /// How to read it.
        kind: ListKind,
        /// Its entries.
        members: Vec<Member>,
    },
    /// A call to discovery failed or the subscription broke.
    DiscoveryFailed {
        /// When what was missed counts as told, where that does not follow from the rules' time for asking.
        told: Option<Micros>,
    },
    /// A request was taken; one final answer is owed.
    Request(NewRequest),
    /// The answer of an attempt has started to stream: it belongs to the client from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// The job of an attempt has started.
    JobStarted {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0 in the order of sends.
        attempt: usize,
    },
    /// The job of an attempt makes progress.
    JobProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
        /// The fraction done.
        done: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// The request has its final answer; otherwise that is still owed.
        closed: bool,
        /// The worker's load report, if one came along.
        report: Option<LoadReport>,
    },
    /// The client left; nothing is owed any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A time asked for with [`Action::WakeAt`] has come.
    Wake,
    /// A probe ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How the probe ended.
        outcome: Outcome,
        /// The worker's load report, if one came along.
        report: Option<LoadReport>,
    },
}

/// What a dispatcher wants done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt, counted from 0 for each request. It lasts until the client gives up at most.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// End the wait on an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it comes back.
        wait: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send [`Event::Wake`] in the first round at or after this time.
    WakeAt(Micros),
    /// Probe a worker.
    Probe(WorkerId),
    /// Subscribe to changes of the list of workers.
    Subscribe,
    /// Write a line for those on call; a few in any second at most.
    Log(Note),
}

/// A change that those on call should see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// A worker's token is withheld after a failure.
    Withheld {
        /// The worker.
        worker: WorkerId,
        /// How long it gets nothing; then a trial may be sent.
        span: Micros,
    },
    /// A worker in doubt served a job and is trusted again.
    Trusted {
        /// The worker.
        worker: WorkerId,
    },
    /// Held requests are given up for want of workers, after a second or more without.
    GivingUp {
        /// How many are held.
        held: usize,
    },
    /// A call to discovery failed; the last list stays in use.
    DiscoveryFailed,
}
