//! Why a connection could not be made or ended.

use std::io;

use displaydoc::Display;

/// Why a connection could not be made or ended.
#[derive(Debug, Display)]
pub enum RpcError {
    /// the peer could not be reached: {0}; check that its process runs and that the link is up
    Connect(io::Error),
    /// the peer did not take the connection within {0} ms; check that its machine runs and that the link is up
    ConnectTimeout(u64),
    /// the connection broke: {0}; it is opened again
    Broken(io::Error),
    /// the peer closed the connection; it is opened again
    Closed,
    /// nothing came from the peer for {0} ms; check that its process is not stopped
    Silent(u64),
    /// a frame of {length} bytes is over the limit of {limit}; check that both sides run the same version
    TooLarge {
        /// The length that was announced.
        length: usize,
        /// The most that is taken.
        limit: usize,
    },
    /// a frame could not be read: {0}; check that both sides run the same version
    Unreadable(String),
    /// the other side is no process of this system; check the address and the port
    NotOurs,
    /// the peer speaks protocol version {theirs}, this process {ours}; upgrade the older one
    Version {
        /// The peer's version.
        theirs: u32,
        /// The version of this process.
        ours: u32,
    },
    /// more than {0} bytes wait for a peer that does not read; it is cut off
    Overflow(usize),
}

impl std::error::Error for RpcError {}
