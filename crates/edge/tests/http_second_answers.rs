//! Second answers to earlier messages, which a runner in trouble sends later on the same connection.

mod http_support;

use http_support::local;
use http_support::runner_rig::{Peer, Rig, succeeded};

/// Delivers a message on a new connection: the runner's side of it, and the answer.
async fn delivered(rig: &Rig) -> (Peer, String) {
    let (delivery, answer) = rig.another();
    let delivering = rig.start(delivery);
    let mut peer = rig.peer().await;
    peer.request().await;
    peer.send(&answer).await;
    assert_eq!(delivering.await.expect("delivered").answer, succeeded());
    (peer, answer)
}

#[tokio::test(start_paused = true)]
async fn success_behind_a_second_answer_to_an_earlier_message_counts() {
    local(async {
        let rig = Rig::new().await;
        let (mut peer, earlier) = delivered(&rig).await;
        let (delivery, answer) = rig.another();
        let delivering = rig.start(delivery);
        peer.request().await;
        peer.send(format!("{earlier}{answer}")).await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.answer, succeeded());
        assert!(!result.new_connection);
    })
    .await;
}
