//! What the edge is told to do, and what it tells.

/// A step to take now, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchStep {
    /// Send the job's message to a runner; its end is told with [`super::Dispatch::finished`].
    Deliver {
        /// The job.
        job: u64,
        /// The runner's `Uid`, for `Expected-Instance`; none for an endpoint that stands in the configuration.
        uid: Option<String>,
        /// `ip:port`.
        address: String,
        /// Connections to that address that this edge may have open at once, idle ones included.
        max_connections: u32,
    },
    /// The job will not be delivered from here: the queue may grant its message again. It has not run.
    GiveBack {
        /// The job.
        job: u64,
        /// When another try makes sense, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Ask a runner for its load; the answer is told with [`super::Dispatch::probed`].
    Probe {
        /// The runner's `Uid`.
        uid: String,
        /// `ip:port`.
        address: String,
    },
    /// Call [`super::Dispatch::tick`] at this time, and ask for the startable numbers anew. It replaces later ones asked
    /// for before.
    WakeAt(u64),
}

/// How a delivery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// 2xx with its signature.
    Served,
    /// 500: this attempt failed.
    Error500,
    /// 422: it can never be done.
    Rejected422,
    /// Turned away unseen (503, 429, 409 or 400 with `Not-Executed`).
    Full,
    /// No answer in time, or 504.
    TimedOut,
    /// No connection could be opened; it has not run.
    ConnectFailed,
    /// The connection broke or the answer made no sense; it may have run.
    Reset,
    /// 421: another instance answers there; it has not run.
    WrongInstance,
    /// It was not sent, for a reason that lies here (no connection left within the share, the edge is ending); it has
    /// not run, and nothing is learnt of the runner.
    NotSent,
}

/// What `Instance-Load` told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerLoad {
    /// Messages that run.
    pub running: u32,
    /// Messages that wait for a slot there.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}
