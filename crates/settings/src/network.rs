//! What the sockets need to know of the settings.

use ruddervalve::{Discovery, Effect, Micros, Reporting};

use super::Info;

/// What a probe asks a runner for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeKind {
    /// Its load, as the deployment has reports.
    Load,
    /// Whether it is well.
    Health,
}

/// What the sockets need to know of the settings, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Network {
    /// A connection that is not made within this has failed.
    pub connect_timeout_ms: f64,
    /// A probe that is not answered within this has failed.
    pub probe_timeout_ms: f64,
    /// What a probe asks for.
    pub probe: ProbeKind,
    /// The list of runners is pushed to an agent beside the dispatcher, which is asked at no cost.
    pub list_pushed: bool,
    /// For so long after it was told that a runner leaves the dispatcher may still send to it.
    pub drain_grace_ms: f64,
    /// A runner closes a connection that has been idle for this.
    pub conn_idle_ms: f64,
    /// The longest wait that a client heeds.
    pub max_retry_after_ms: f64,
    /// What a new connection to a runner costs beside the dearest request that must not run twice, both as prices.
    pub connection_price_share: f64,
}

impl Network {
    /// How long an idle connection to a runner is kept: what is written just as the runner closes it is lost.
    pub fn conn_kept_ms(&self) -> f64 {
        self.conn_idle_ms * 0.8
    }
}

impl Info {
    /// What the sockets need; a time of 0 or none stands for the default.
    pub fn network(&self) -> Network {
        let or = |value: Micros, usual: f64| if value > 0 { value as f64 / 1e3 } else { usual };
        Network {
            connect_timeout_ms: or(self.limits.connect_timeout, 250.0),
            probe_timeout_ms: or(self.limits.probe_timeout, 2.0 * or(self.limits.connect_timeout, 250.0)),
            probe: if self.reports_come() == Reporting::None { ProbeKind::Health } else { ProbeKind::Load },
            list_pushed: self.list_comes() == Discovery::Pushed,
            drain_grace_ms: self.obligations.drain_grace as f64 / 1e3,
            conn_idle_ms: or(self.limits.conn_idle, 15_000.0),
            max_retry_after_ms: self.limits.max_retry_after as f64 / 1e3,
            connection_price_share: self.connection_price_share(),
        }
    }

    /// The price is for a connection with each job, in units of what all jobs are worth.
    fn connection_price_share(&self) -> f64 {
        let mean =
            self.profiles.iter().map(|profile| profile.worth).sum::<f64>() / self.profiles.len() as f64;
        let once = self.profiles.iter().filter(|profile| profile.effect() != Effect::Safe);
        let dearest = once.map(|profile| profile.worth).fold(0.0, f64::max);
        let part = self.prices.handshake * mean / dearest;
        if part.is_finite() { part } else { 0.0 }
    }
}
