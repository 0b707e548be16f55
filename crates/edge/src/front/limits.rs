//! What the front allows.

/// Bounds of requests and connections. They may change while the front runs and apply to requests that begin afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontLimits {
    /// The longest head of a request, in bytes; beyond it 431 is answered. So it is beyond some 400 KiB and beyond 100
    /// header fields in any case, which is as far as hyper reads.
    pub max_header_bytes: usize,
    /// The longest body of a request, in bytes; beyond it 413 is answered as soon as it is known.
    pub max_body_bytes: usize,
    /// How long a head may take from its first byte, in milliseconds; beyond it 408 is answered.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle between requests, a client may pause within a body, or an answer may wait for a
    /// client that does not read, in milliseconds.
    pub idle_timeout_ms: u64,
    /// How many connections may be open at once. It follows from the descriptors that the process is given, less those
    /// that it needs for everything else.
    pub max_connections: usize,
    /// What a client is told to wait when there are too many connections, in milliseconds.
    pub retry_after_ms: u64,
    /// The longest `Delay-Ms` that is taken, in milliseconds. A longer one is a mistake: the message would have to be
    /// kept past its retention.
    pub longest_delay_ms: u64,
}

impl Default for FrontLimits {
    /// What a configuration starts from until the operator sets `Limits`: small heads, bodies of a quarter mebibyte.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            max_connections: 1_024,
            retry_after_ms: 1_000,
            longest_delay_ms: 24 * 60 * 60 * 1_000,
        }
    }
}
