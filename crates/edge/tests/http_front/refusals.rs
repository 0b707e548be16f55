//! Requests that are refused, and what of the connection and the answers before is left.

use ruddervalve_edge::front::FrontLimits;

use crate::http_support::local;
use crate::rig::{Rig, SIMPLE, assert_refused, limits, turns};

#[tokio::test(start_paused = true)]
async fn refused_request_does_not_take_the_answer_before_it_along() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send(SIMPLE).await;
        client.send("GET / HTTP/1.1\r\nHost: h\nContent-Length: 9\r\n\r\n").await;
        rig.accept().await;
        assert_eq!(client.answer().await.status, 202);
        assert_eq!(client.answer().await.status, 400);
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn smuggling_is_refused() {
    let post = "POST / HTTP/1.1\r\nHost: h\r\n";
    let inner = "GET /in HTTP/1.1\r\nHost: h\r\n\r\n";
    for fields in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "Content-Length: 1, 1\r\n\r\na",
        "Content-Length: +1\r\n\r\na",
        "Content-Length: -1\r\n\r\na",
        "Content-Length: 0x1\r\n\r\na",
        "Content-Length:\r\n\r\na",
        "Content-Length : 1\r\n\r\na",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
        "X: a\r\n folded\r\n\r\n",
        "X: a\r\n\tTransfer-Encoding: chunked\r\n\r\n",
        "X: a\nY: b\r\n\r\n",
        "X: a\rY: b\r\n\r\n",
        "X: a\0\r\n\r\n",
        "X\r\n\r\n",
        ": x\r\n\r\n",
        "Content-Length: 1\n\r\na",
    ] {
        assert_refused(format!("{post}{fields}{inner}"), 400).await;
    }
    for first in [
        "POST /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST  / HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /\u{e9} HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/2.0\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.10\r\nHost: h\r\n\r\n",
        "POST /\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        assert_refused(first, 400).await;
    }
}

#[tokio::test(start_paused = true)]
async fn bad_chunks_are_refused() {
    for chunks in [
        "x\r\n",
        "\r\n",
        ";a\r\n",
        "-1\r\na\r\n",
        "+1\r\na\r\n",
        "0x1\r\na\r\n",
        "1 \r\na\r\n",
        " 1\r\na\r\n",
        "1\na\r\n0\r\n\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "1\r\na\n0\r\n\r\n",
        "1;a\nb\r\na\r\n0\r\n\r\n",
        "10000000000000001\r\na\r\n",
        "0\r\nT: a\nU: b\r\n\r\n",
        "0\r\n\n",
    ] {
        let head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_refused(format!("{head}{chunks}"), 400).await;
    }
}

#[tokio::test(start_paused = true)]
async fn repeated_headers_are_refused() {
    for fields in [
        "Host: h\r\nHost: h\r\n",
        "Host: h\r\nRequest-Id: a\r\nRequest-Id: b\r\n",
        "Host: h\r\nRequest-Id: a\r\nrequest-id: a\r\n",
        "Host: h\r\nDelay-Ms: 1\r\nDelay-Ms: 1\r\n",
        "Host: h\r\nOrdering-Key: 1\r\nOrdering-Key: 1\r\n",
        "Host: h\r\nCallback-Url: 1\r\nCallback-Url: 1\r\n",
        "X: no host\r\n",
    ] {
        assert_refused(format!("POST / HTTP/1.1\r\n{fields}\r\n"), 400).await;
    }
    assert_refused("GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n", 400).await;
}

#[tokio::test(start_paused = true)]
async fn bad_values_are_answered_and_the_connection_is_kept() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        let long = format!("Request-Id: {}", "a".repeat(65));
        for field in [
            "Delay-Ms: -1",
            "Delay-Ms: +1",
            "Delay-Ms: 1.5",
            "Delay-Ms: 1e3",
            "Delay-Ms: ",
            "Delay-Ms: soon",
            "Delay-Ms: 60001",
            "Delay-Ms: 99999999999999999999999",
            "Deadline-Ms: x",
            "Request-Id: ",
            "Request-Id: a/b",
            "Request-Id: a b",
            "Request-Id: \u{e9}",
            "Ordering-Key: \u{e9}",
            &long,
        ] {
            client
                .send(format!("POST / HTTP/1.1\r\nHost: h\r\n{field}\r\nContent-Length: 2\r\n\r\nhi"))
                .await;
            let answer = client.answer().await;
            assert_eq!(answer.status, 400, "{field}");
            assert!(!answer.closes(), "{field}");
        }
        assert!(rig.has_no_call());
        let longest = "a".repeat(64);
        client
            .send(format!("POST / HTTP/1.1\r\nHost: h\r\nDelay-Ms: 60000\r\nRequest-Id: {longest}\r\n\r\n"))
            .await;
        let request = rig.accept().await;
        assert_eq!((request.delay_ms, request.request_id), (Some(60_000), Some(longest)));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn large_heads_and_bodies_are_refused_as_soon_as_known() {
    let long = "a".repeat(600);
    assert_refused(format!("GET / HTTP/1.1\r\nHost: h\r\nX: {long}"), 431).await;
    assert_refused(format!("GET / HTTP/1.1\r\nHost: h\r\nX: {long}\r\n\r\n"), 431).await;
    assert_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413).await;
    assert_refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413)
        .await;
    let chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_refused(format!("{chunked}65\r\n"), 413).await;
    assert_refused(format!("{chunked}64\r\n{}\r\n1\r\n", "a".repeat(100)), 413).await;
}

#[tokio::test(start_paused = true)]
async fn large_body_under_way_does_not_lose_the_answer() {
    local(async {
        let rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n").await;
        turns().await;
        client.send([b'a'; 500]).await;
        let answer = client.answer().await;
        assert_eq!(answer.status, 413);
        client.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn more_fields_than_hyper_reads_are_refused() {
    local(async {
        let mut rig = Rig::new(FrontLimits { max_header_bytes: 16 << 10, ..limits() }).await;
        let mut client = rig.client().await;
        client.send(format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "X: y\r\n".repeat(100))).await;
        assert_eq!(client.answer().await.status, 431);
        client.assert_ended().await;
        assert!(rig.has_no_call());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn limits_may_change_while_it_runs() {
    local(async {
        let mut rig = Rig::new(limits()).await;
        let mut client = rig.client().await;
        client.assert_serves(&mut rig).await;
        rig.limits.send_modify(|limits| limits.max_body_bytes = 1);
        client.send(SIMPLE).await;
        assert_eq!(client.answer().await.status, 413);
        let mut within = rig.client().await;
        rig.limits.send_modify(|limits| limits.max_body_bytes = 2);
        within.send("POST / HTTP/1.1\r\nHost: h\r\n").await;
        turns().await;
        rig.limits.send_modify(|limits| limits.max_body_bytes = 1);
        within.send("Content-Length: 2\r\n\r\nhi").await;
        rig.accept().await;
        assert_eq!(within.answer().await.status, 202);
    })
    .await;
}
