//! Why a store ends.

use std::net::SocketAddr;

use displaydoc::Display;
use ruddervalve_runtime::NodeError;

/// Why a store cannot start or go on.
#[derive(Debug, Display)]
pub enum StoreError {
    /// {0}
    Node(NodeError),
    /// the internal address {0} cannot be listened on ({1}): check that no other process has it
    Internal(SocketAddr, std::io::Error),
    /// signals cannot be had ({0}): check the limits of the process
    Signals(std::io::Error),
    /// shard {0} on disk cannot be read: empty the data folder, the process refills it from its peers
    Damaged(u32),
}

impl std::error::Error for StoreError {}

impl From<NodeError> for StoreError {
    fn from(error: NodeError) -> Self {
        Self::Node(error)
    }
}
