//! Clients that are slow, idle, or leave.

use ruddervalve_edge::front::{FrontResponse, StatusCode};
use tokio::io::AsyncWriteExt as _;

use crate::http_support::local;
use crate::rig::{Rig, SIMPLE, limits, turns};

#[tokio::test(start_paused = true)]
async fn slow_head_is_told_so() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HT").await;
        rig.clock.pass(200).await;
        client.send("TP/1.1\r\n").await;
        rig.clock.pass(200).await;
        let answer = client.answer().await;
        assert_eq!(answer.status, 408);
        assert!(answer.closes());
        client.assert_ended().await;
        assert!(rig.has_no_call());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn paused_body_is_told_so_and_a_slow_one_is_not() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n").await;
        for byte in ["a", "b", "c", "d"] {
            rig.clock.pass(800).await;
            client.send(byte).await;
        }
        assert_eq!(rig.accept().await.body, "abcd");
        assert_eq!(client.answer().await.status, 202);
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab").await;
        rig.clock.pass(1_200).await;
        assert_eq!(client.answer().await.status, 408);
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn idle_connections_end_in_silence() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut fresh = rig.client().await;
        let mut kept = rig.client().await;
        kept.assert_serves(&mut rig).await;
        rig.clock.pass(900).await;
        kept.assert_serves(&mut rig).await;
        rig.clock.pass(300).await;
        fresh.assert_ended().await;
        kept.assert_serves(&mut rig).await;
        rig.clock.pass(1_200).await;
        kept.assert_ended().await;
        rig.front.ended().await;
        assert_eq!(rig.front.counters().refused, 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_leaves_within_a_request_is_noticed() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        for part in ["POST / HT", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"] {
            let mut client = rig.client().await;
            client.send(part).await;
            turns().await;
            drop(client);
            rig.front.ended().await;
        }
        assert!(rig.has_no_call());
        assert_eq!(rig.front.counters().clients_left, 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_resets_is_not_worked_for() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let mut call = rig.call().await;
        client.stream.set_zero_linger().expect("an option");
        drop(client);
        call.answer.closed().await;
        rig.front.ended().await;
        assert_eq!(rig.front.counters().clients_left, 1);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_only_stops_sending_is_answered() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        client.stream.shutdown().await.expect("open");
        turns().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("still worked for");
        assert_eq!(client.answer().await.status, 202);
        client.assert_ended().await;
        rig.front.ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn client_that_does_not_read_is_given_up() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        let large = vec![b'x'; 64 << 20];
        call.answer.send(FrontResponse::new(StatusCode::OK).with_body("text/plain", large)).expect("there");
        turns().await;
        rig.clock.pass(800).await;
        client.send("more").await;
        rig.clock.pass(100).await;
        assert_eq!(rig.front.counters().open_connections, 1);
        rig.clock.pass(400).await;
        rig.front.ended().await;
    })
    .await;
}
