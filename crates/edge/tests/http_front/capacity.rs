//! More connections than the front may have.

use ruddervalve_edge::front::{FrontLimits, FrontResponse, StatusCode};
use tokio::net::TcpStream;

use crate::http_support::local;
use crate::rig::{Client, Rig, SIMPLE, limits};

#[tokio::test(start_paused = true)]
async fn oldest_idle_connection_gives_way() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_connections: 3, ..limits() }).await;
        let mut first = rig.client().await;
        first.assert_serves(&mut rig).await;
        let mut second = rig.client().await;
        second.assert_serves(&mut rig).await;
        rig.clock.pass(50).await;
        first.assert_serves(&mut rig).await;
        let mut third = rig.client().await;
        third.assert_serves(&mut rig).await;
        let mut fourth = rig.client().await;
        fourth.assert_serves(&mut rig).await;
        second.assert_ended().await;
        let mut fifth = rig.client().await;
        fifth.assert_serves(&mut rig).await;
        first.assert_ended().await;
        third.assert_serves(&mut rig).await;
        assert_eq!(rig.front.counters().open_connections, 3);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn idle_connection_with_a_request_under_way_does_not_give_way() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_connections: 1, ..limits() }).await;
        let mut kept = rig.client().await;
        kept.assert_serves(&mut rig).await;
        // Nothing runs in between: the front hears of the new connection first, while the kept one still seems idle.
        let stream = std::net::TcpStream::connect(rig.address).expect("accepted by the system");
        kept.stream.try_write(SIMPLE.as_bytes()).expect("room");
        stream.set_nonblocking(true).expect("an option");
        let mut new = Client { stream: TcpStream::from_std(stream).expect("a socket"), unread: Vec::new() };
        rig.accept().await;
        assert_eq!(kept.answer().await.status, 202);
        new.assert_serves(&mut rig).await;
        assert_eq!(rig.front.counters().open_connections, 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn too_many_busy_connections_are_told_when_to_come_back() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_connections: 2, ..limits() }).await;
        let mut busy = [rig.client().await, rig.client().await];
        let mut calls = Vec::new();
        for client in &mut busy {
            client.send(SIMPLE).await;
            calls.push(rig.call().await);
        }
        let mut refused = rig.client().await;
        refused.send(SIMPLE).await;
        let answer = refused.answer().await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("retry-after"), Some("2"));
        assert!(answer.closes());
        refused.assert_ended().await;
        drop(refused);
        assert!(rig.has_no_call());
        for call in calls {
            call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        }
        for client in &mut busy {
            assert_eq!(client.answer().await.status, 202);
        }
        let mut next = rig.client().await;
        next.assert_serves(&mut rig).await;
        assert_eq!(rig.front.counters().refused, 1);
    })
    .await;
}
