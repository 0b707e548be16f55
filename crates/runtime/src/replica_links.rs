//! The accepting end of links between replicas.
//!
//! Consensus messages travel one way on such a link, from its opener. Heartbeats go back, so that the opener notices a link
//! whose other end is gone without a word.

use std::convert::Infallible;
use std::time::Duration;

use ruddervalve_configuration::Settings;
use ruddervalve_replication::Envelope;
use ruddervalve_rpc::{Outbox, RpcError, run};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::{accepted_replica_link_settings, heartbeat_interval, link_settings};

/// Takes what a peer sends on a connection that it has opened and greeted on, until the connection ends; returns why it did.
pub async fn serve_replica_link(
    stream: TcpStream,
    settings: &Settings,
    on_envelopes: impl FnMut(Vec<Envelope>),
) -> RpcError {
    let limits = accepted_replica_link_settings(settings);
    let outbox = Outbox::new(&limits);
    let interval = heartbeat_interval(&link_settings(settings));
    tokio::select! {
        error = run(stream, &limits, &outbox, on_envelopes) => error,
        never = send_heartbeats(&outbox, interval) => match never {},
    }
}

/// Sends an empty batch now and again.
async fn send_heartbeats(outbox: &Outbox, interval: Duration) -> Infallible {
    loop {
        outbox.send(&Vec::<Envelope>::new());
        sleep(interval).await;
    }
}
