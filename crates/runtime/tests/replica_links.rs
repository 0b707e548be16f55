//! Links between replicas.

mod common;

use std::time::Duration;

use common::settings;
use ruddervalve_protocol::{Channel, Incarnation};
use ruddervalve_replication::Envelope;
use ruddervalve_rpc::{LinkEvent, Peer, accept};
use ruddervalve_runtime::{Boot, backoff, link_settings, replica_link_settings, serve_replica_link};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

#[tokio::test]
async fn replica_link_whose_other_end_is_gone_without_a_word_is_given_up_within_liveness() {
    let play = async {
        let boot = Boot::new(settings(), Incarnation(1), std::path::PathBuf::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, mut seen) = mpsc::unbounded_channel();
        let _link = Peer::keep::<Vec<Envelope>>(
            listener.local_addr().unwrap(),
            boot.greeting(Channel::Replica),
            replica_link_settings(&boot.settings),
            backoff(&boot.settings, 1),
            move |event| drop(events.send(event)),
        );
        let (stream, _) = listener.accept().await.unwrap();
        // From here on this end says and reads nothing, as one whose connection is gone on its side alone.
        let _gone = accept(stream, &link_settings(&boot.settings)).await.unwrap();
        assert!(matches!(seen.recv().await, Some(LinkEvent::Up(_))));
        tokio::time::pause();
        let liveness = Duration::from_millis(boot.settings.bounds.liveness_ms);
        let given_up = timeout(liveness, seen.recv()).await;
        assert!(matches!(given_up, Ok(Some(LinkEvent::Down(_)))), "{given_up:?}");
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test]
async fn replica_link_on_which_nothing_is_said_stays_while_its_other_end_lives() {
    let play = async {
        let boot = Boot::new(settings(), Incarnation(1), std::path::PathBuf::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (events, mut seen) = mpsc::unbounded_channel();
        let _link = Peer::keep::<Vec<Envelope>>(
            listener.local_addr().unwrap(),
            boot.greeting(Channel::Replica),
            replica_link_settings(&boot.settings),
            backoff(&boot.settings, 1),
            move |event| drop(events.send(event)),
        );
        let (stream, _) = listener.accept().await.unwrap();
        let (_, stream) = accept(stream, &link_settings(&boot.settings)).await.unwrap();
        let settings = boot.settings.clone();
        tokio::task::spawn_local(async move { serve_replica_link(stream, &settings, |_| ()).await });
        assert!(matches!(seen.recv().await, Some(LinkEvent::Up(_))));
        tokio::time::pause();
        let long = Duration::from_millis(boot.settings.bounds.liveness_ms * 10);
        let until = tokio::time::Instant::now() + long;
        while let Ok(event) = tokio::time::timeout_at(until, seen.recv()).await {
            let is_heartbeat = matches!(&event, Some(LinkEvent::Message(envelopes)) if envelopes.is_empty());
            assert!(is_heartbeat, "{event:?}");
        }
    };
    LocalSet::new().run_until(play).await;
}
