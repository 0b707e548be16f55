//! Requests and answers as they have to be.

use ruddervalve_edge::front::{
    Front, FrontHeader, FrontRequest, FrontResponse, Method, READINESS_PATH, Readiness, StatusCode,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::http_support::{ManualClock, local};
use crate::rig::{Client, Rig, SIMPLE, limits, turns};

#[tokio::test(start_paused = true)]
async fn request_reaches_handler_with_all_its_parts() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client
            .send(
                "PUT /x/%2e./y?q=%7B1}&r=//s? HTTP/1.1\r\nhost: boye61.example:80\r\nRequest-Id: 9c.A_-\r\n\
                 Delay-Ms: 1500\r\nCallback-Url: http://10.20.0.4:8080/done\r\nOrdering-Key: key 1\r\n\
                 Content-Type: text/x\r\nDeadline-Ms: 500\r\nContent-Length: 3\r\n\r\nabc",
            )
            .await;
        let request = rig.accept().await;
        let expected = FrontRequest {
            method: Method::PUT,
            host: "boye61.example:80".to_owned(),
            path_and_query: "/x/%2e./y?q=%7B1}&r=//s?".to_owned(),
            request_id: Some("9c.A_-".to_owned()),
            delay_ms: Some(1_500),
            callback_url: Some("http://10.20.0.4:8080/done".to_owned()),
            ordering_key: Some("key 1".to_owned()),
            content_type: "text/x".to_owned(),
            deadline_ms: Some(500),
            body: "abc".into(),
        };
        assert_eq!(request, expected);
        let answer = client.answer().await;
        assert_eq!(answer.status, 202);
        assert!(!answer.closes());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn body_in_chunks_comes_whole_and_the_connection_is_kept() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        for _ in 0..2 {
            client
                .send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n")
                .await;
            turns().await;
            client.send("0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n").await;
            assert_eq!(rig.accept().await.body, "abc0123456789");
            assert_eq!(client.answer().await.status, 202);
        }
        assert_eq!(rig.front.counters().answered, 2);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn pipelined_requests_are_handled_one_after_the_other() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        let requests: String = (0..5)
            .map(|number| format!("POST /{number} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n{number}"))
            .collect();
        client.send(requests).await;
        for number in 0..5 {
            let call = rig.call().await;
            assert_eq!(call.request.path_and_query, format!("/{number}"));
            assert_eq!(call.request.body, number.to_string());
            turns().await;
            assert!(rig.has_no_call(), "second request before the first was answered");
            let body = format!("answer {number}");
            call.answer
                .send(FrontResponse::new(StatusCode::OK).with_body("text/plain", body))
                .expect("there");
        }
        for number in 0..5 {
            assert_eq!(client.answer().await.body, format!("answer {number}").into_bytes());
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn body_is_asked_for_where_the_client_waits_for_that() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 100);
        client.send("hi").await;
        assert_eq!(rig.accept().await.body, "hi");
        assert_eq!(client.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn target_may_name_the_host_again() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("GET http://H.example/a?b HTTP/1.1\r\nHost: h.example\r\n\r\n").await;
        let request = rig.accept().await;
        assert_eq!((request.host.as_str(), request.path_and_query.as_str()), ("h.example", "/a?b"));
        assert_eq!(client.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn handler_may_take_longer_than_any_limit() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        rig.clock.pass(5_000).await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED)).expect("client is there");
        assert_eq!(client.answer().await.status, 202);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn handler_may_close() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let call = rig.call().await;
        call.answer.send(FrontResponse::new(StatusCode::ACCEPTED).closing()).expect("client is there");
        assert!(client.answer().await.closes());
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn headers_of_answers_are_worded() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        let answer = FrontResponse::new(StatusCode::SERVICE_UNAVAILABLE)
            .with_header(FrontHeader::retry_after_ms(1_001))
            .with_header(FrontHeader::MessageId("m-1".to_owned()))
            .with_body("application/json", "{}");
        rig.call().await.answer.send(answer).expect("client is there");
        let answer = client.answer().await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("retry-after"), Some("2"));
        assert_eq!(answer.header("message-id"), Some("m-1"));
        assert_eq!(answer.header("content-type"), Some("application/json"));
        assert_eq!(answer.body, b"{}");
        client.send(SIMPLE).await;
        let bad = FrontResponse::new(StatusCode::OK).with_header(FrontHeader::MessageId("a\r\nb".to_owned()));
        rig.call().await.answer.send(bad).expect("client is there");
        assert_eq!(client.answer().await.status, 500);
        client.send(SIMPLE).await;
        rig.call().await.answer.send(FrontResponse::new(StatusCode::CONTINUE)).expect("client is there");
        assert_eq!(client.answer().await.status, 500);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn readiness_follows_the_process() {
    local(async {
        let _clock = ManualClock::stopped();
        let (_limits, watched) = watch::channel(limits());
        let front = Front::new(watched);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (ready, watched) = watch::channel(false);
        let served = front.clone();
        spawn_local(async move { served.serve(listener, Readiness::new(watched)).await });
        let stream = TcpStream::connect(address).await.expect("accepted");
        let mut client = Client { stream, unread: Vec::new() };
        let question = format!("GET {READINESS_PATH} HTTP/1.1\r\nHost: h\r\n\r\n");
        client.send(&question).await;
        assert_eq!(client.answer().await.status, 503);
        ready.send_replace(true);
        client.send(&question).await;
        assert_eq!(client.answer().await.status, 200);
        client.send("GET /other HTTP/1.1\r\nHost: h\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 404);
    })
    .await;
}
