//! Signals of the platform.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What the platform says by signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: end within `GracePeriodS`.
    Terminate,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// Waits for signals.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    /// Begins to listen.
    ///
    /// # Errors
    /// The system refuses it.
    pub fn listen() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, reload: signal(SignalKind::hangup())? })
    }

    /// The next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}
