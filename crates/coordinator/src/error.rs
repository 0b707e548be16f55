//! Why a coordinator ends.

use std::net::SocketAddr;

use displaydoc::Display;
use ruddervalve_runtime::NodeError;

/// Why a coordinator cannot start or go on.
#[derive(Debug, Display)]
pub enum CoordinatorError {
    /// {0}
    Node(NodeError),
    /// the internal address {0} cannot be listened on ({1}): check that no other process has it
    Internal(SocketAddr, std::io::Error),
    /// the control address {0} cannot be listened on ({1}): check that no other process has it
    Control(SocketAddr, std::io::Error),
    /// ListenAddrs/ControlPlane is not set: set it to the address that the operator calls
    NoControlAddress,
    /// signals cannot be had ({0}): check the limits of the process
    Signals(std::io::Error),
    /// the control group's state on disk cannot be read: empty the data folder, the process refills it from its peers
    Damaged,
}

impl std::error::Error for CoordinatorError {}

impl From<NodeError> for CoordinatorError {
    fn from(error: NodeError) -> Self {
        Self::Node(error)
    }
}
