//! A front that drains or stops accepting.

use ruddervalve_edge::front::{FrontResponse, StatusCode};
use tokio::net::TcpStream;

use crate::http_support::local;
use crate::rig::{Client, Rig, SIMPLE, limits, turns};

#[tokio::test(start_paused = true)]
async fn drain_lets_present_requests_end() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut idle = rig.client().await;
        idle.assert_serves(&mut rig).await;
        let mut fresh = rig.client().await;
        let mut reading = rig.client().await;
        reading.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh").await;
        let mut busy = rig.client().await;
        busy.send(SIMPLE).await;
        let call = rig.call().await;
        turns().await;
        rig.front.drain(0);
        idle.assert_ended().await;
        fresh.assert_ended().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        reading.send("i").await;
        rig.accept().await;
        for client in [&mut busy, &mut reading] {
            let answer = client.answer().await;
            assert_eq!(answer.status, 202);
            assert!(answer.closes());
            client.assert_ended().await;
        }
        rig.front.ended().await;
        let mut late = rig.client().await;
        late.send(SIMPLE).await;
        rig.accept().await;
        assert!(late.answer().await.closes());
        late.assert_ended().await;
        rig.front.stop_accepting();
        rig.serving.await.expect("serve returns");
        assert!(TcpStream::connect(rig.address).await.is_err());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn drain_keeps_idle_connections_for_its_grace() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut used = rig.client().await;
        used.assert_serves(&mut rig).await;
        let mut unused = rig.client().await;
        turns().await;
        rig.front.drain(400);
        rig.clock.pass(300).await;
        used.send(SIMPLE).await;
        rig.accept().await;
        assert!(used.answer().await.closes());
        used.assert_ended().await;
        rig.clock.pass(200).await;
        unused.assert_ended().await;
        rig.front.ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn drain_answers_requests_that_were_read_ahead() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        turns().await;
        rig.front.drain(0);
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        rig.accept().await;
        assert!(!client.answer().await.closes());
        assert!(client.answer().await.closes());
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn request_that_has_arrived_is_served_though_idle_connections_close() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.assert_serves(&mut rig).await;
        // Nothing has run since these bytes came: the front does not know of them.
        client.stream.try_write(SIMPLE.as_bytes()).expect("room");
        rig.front.drain(0);
        rig.accept().await;
        assert!(client.answer().await.closes());
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn connection_that_has_come_up_is_served_though_the_front_stops_accepting() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        rig.client().await.assert_serves(&mut rig).await;
        // Nothing has run since this connection came up: the front has not accepted it.
        let stream = std::net::TcpStream::connect(rig.address).expect("accepted by the system");
        stream.set_nonblocking(true).expect("an option");
        rig.front.stop_accepting();
        let mut client =
            Client { stream: TcpStream::from_std(stream).expect("a socket"), unread: Vec::new() };
        client.assert_serves(&mut rig).await;
        rig.serving.await.expect("serve returns");
    })
    .await;
}
