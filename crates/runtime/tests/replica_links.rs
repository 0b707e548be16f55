//! Links between replicas.

mod common;

use std::time::Duration;

use common::settings;
use ruddervalve_protocol::{Channel, Incarnation};
use ruddervalve_replication::Envelope;
use ruddervalve_rpc::{LinkEvent, Peer, accept};
use ruddervalve_runtime::{Boot, backoff, link_settings, replica_link_settings, serve_replica_link};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout, timeout_at};

/// A link that is kept open to a listener of this test, and what happens on it.
struct KeptLink {
    boot: Boot,
    listener: TcpListener,
    seen: mpsc::UnboundedReceiver<LinkEvent<Vec<Envelope>>>,
    _peer: Peer,
}

impl KeptLink {
    /// Has to be called on a local task set.
    async fn open() -> Self {
        let boot = Boot::new(settings(), Incarnation(1), std::path::PathBuf::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, seen) = mpsc::unbounded_channel();
        let peer = Peer::keep::<Vec<Envelope>>(
            listener.local_addr().unwrap(),
            boot.greeting(Channel::Replica),
            replica_link_settings(&boot.settings),
            backoff(&boot.settings, 1),
            move |event| drop(events.send(event)),
        );
        Self { boot, listener, seen, _peer: peer }
    }

    /// The other end of the connection, once its greeting was read.
    async fn accepted(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().await.unwrap();
        let (_, stream) = accept(stream, &link_settings(&self.boot.settings)).await.unwrap();
        stream
    }

    fn liveness(&self) -> Duration {
        Duration::from_millis(self.boot.settings.bounds.liveness_ms)
    }
}

#[tokio::test]
async fn replica_link_whose_other_end_is_gone_without_a_word_is_given_up_within_liveness() {
    let play = async {
        let mut link = KeptLink::open().await;
        // From here on this end says and reads nothing, as one whose connection is gone on its side alone.
        let _gone = link.accepted().await;
        assert!(matches!(link.seen.recv().await, Some(LinkEvent::Up(_))));
        tokio::time::pause();
        let given_up = timeout(link.liveness(), link.seen.recv()).await;
        assert!(matches!(given_up, Ok(Some(LinkEvent::Down(_)))), "{given_up:?}");
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test]
async fn replica_link_on_which_nothing_is_said_stays_while_its_other_end_lives() {
    let play = async {
        let mut link = KeptLink::open().await;
        let stream = link.accepted().await;
        let settings = link.boot.settings.clone();
        tokio::task::spawn_local(async move { serve_replica_link(stream, &settings, |_| ()).await });
        assert!(matches!(link.seen.recv().await, Some(LinkEvent::Up(_))));
        tokio::time::pause();
        let until = Instant::now() + link.liveness() * 10;
        let mut heartbeats = 0;
        while let Ok(event) = timeout_at(until, link.seen.recv()).await {
            let is_heartbeat = matches!(&event, Some(LinkEvent::Message(envelopes)) if envelopes.is_empty());
            assert!(is_heartbeat, "{event:?}");
            heartbeats += 1;
        }
        assert!(heartbeats >= 30, "three in each silence: {heartbeats}");
    };
    LocalSet::new().run_until(play).await;
}
