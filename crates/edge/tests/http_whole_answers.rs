//! Whole answers in any framing and in any pieces count, whenever they are read.

mod http_support;

use http_support::drawn_answers::{drawn_answer, send_in_pieces};
use http_support::local;
use http_support::runner_rig::{Peer, Rig, succeeded};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use ruddervalve_edge::runner::Delivery;

/// Histories that are played, each with several messages.
const SEEDS: u64 = 60;
const MESSAGES: u64 = 8;

async fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rig = Rig::new().await;
    let mut kept: Option<Peer> = None;
    for message in 0..MESSAGES {
        let request_id = format!("r-{message}");
        let delivering = rig.start(Delivery { request_id: request_id.clone(), ..rig.delivery() });
        let mut peer = match kept.take() {
            Some(peer) => peer,
            None => rig.peer().await,
        };
        peer.request().await;
        let (answer, closes) = drawn_answer(&mut random, &request_id, 0.2);
        send_in_pieces(&mut random, &rig, &mut peer, &answer).await;
        kept = (!closes).then_some(peer);
        let result = delivering.await.expect("delivered");
        let text = String::from_utf8_lossy(&answer).into_owned();
        assert_eq!(result.answer, succeeded(), "seed {seed}, message {message}, {result:?}: {text}");
    }
}

#[tokio::test(start_paused = true)]
async fn whole_answers_count_in_any_framing_and_in_any_pieces() {
    for seed in 0..SEEDS {
        local(play(seed)).await;
    }
}
