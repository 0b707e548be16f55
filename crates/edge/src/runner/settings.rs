//! Times and bounds of the connections.

/// Times and bounds of the connections to runners and receivers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunnerSettings {
    /// How long a connection may take to come up, in milliseconds. A machine that is cut off says nothing.
    pub connect_timeout_ms: u64,
    /// How long bytes may stay without an acknowledgement before the connection breaks (`TCP_USER_TIMEOUT`), in
    /// milliseconds.
    pub user_timeout_ms: u64,
    /// How much longer than the time that a runner is given its answer is waited for, in milliseconds: the way there and
    /// back, as the runner's time begins when the request has come.
    pub answer_margin_ms: u64,
    /// How long a connection is kept idle where the other side names no time, and at most, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How much earlier than the other side's `Keep-Alive: timeout` an idle connection is given up, in milliseconds: a
    /// request must not cross with the close.
    pub keep_alive_margin_ms: u64,
    /// The most idle connections to one address.
    pub max_idle_per_address: usize,
    /// The longest body of an answer that is read, in bytes; a longer one is taken for broken.
    pub max_answer_bytes: usize,
    /// The most connections to one receiver of call-backs: they accept few.
    pub callback_connections: usize,
    /// The most connections to one address for health checks.
    pub health_connections: usize,
}

impl Default for RunnerSettings {
    /// Fit for a local network where nothing else is known.
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            user_timeout_ms: 4_000,
            answer_margin_ms: 50,
            idle_timeout_ms: 10_000,
            keep_alive_margin_ms: 500,
            max_idle_per_address: 32,
            max_answer_bytes: 1 << 20,
            callback_connections: 4,
            health_connections: 1,
        }
    }
}
