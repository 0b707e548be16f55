//! The client side against runners and receivers that are written here.

mod http_support;

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use http_support::local;
use http_support::runner_rig::{DONE, Rig, not_run, settings, succeeded, turns, unclear};
use ruddervalve_edge::runner::{
    CallbackResult, Delivery, HealthResult, InstanceLoad, NotRunReason, RunnerAnswer, RunnerClient,
    RunnerSettings, UnclearReason,
};
use tokio::task::spawn_local;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn request_is_passed_on_unchanged() {
    local(async {
        let rig = Rig::new().await;
        let delivery = Delivery {
            method: "PUT".to_owned(),
            path_and_query: "//x/%2e./y?q=%7B1}&r=//s?".to_owned(),
            content_type: "text/x".to_owned(),
            ordering_key: Some("key 1".to_owned()),
            ..rig.delivery()
        };
        let delivering = rig.start(delivery);
        let mut peer = rig.peer().await;
        let request = peer.request().await;
        let (head, body) = request.split_once("\r\n\r\n").expect("an empty line");
        let mut lines = head.split("\r\n");
        assert_eq!(lines.next(), Some("PUT //x/%2e./y?q=%7B1}&r=//s? HTTP/1.1"));
        let mut fields: Vec<&str> = lines.collect();
        fields.sort_unstable();
        assert_eq!(
            fields,
            [
                "Content-Length: 4",
                "Content-Type: text/x",
                "Deadline-Ms: 1000",
                "Expected-Instance: i-1",
                "Host: boye61.example",
                "Ordering-Key: key 1",
                "Request-Id: r-1",
            ]
        );
        assert_eq!(body, "body");
        peer.send(DONE).await;
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn what_cannot_stand_in_a_request_is_not_sent() {
    local(async {
        let rig = Rig::new().await;
        let changes: [fn(&mut Delivery); 5] = [
            |delivery| delivery.path_and_query = "/a#b".to_owned(),
            |delivery| delivery.path_and_query = "/a b".to_owned(),
            |delivery| delivery.method = "P T".to_owned(),
            |delivery| delivery.host = "a\r\nX: b".to_owned(),
            |delivery| delivery.request_id = "a\n".to_owned(),
        ];
        for change in changes {
            let mut delivery = rig.delivery();
            change(&mut delivery);
            let result = rig.client.deliver(delivery).await;
            assert_eq!(result.answer, not_run(NotRunReason::Unsendable));
            assert!(!result.new_connection);
        }
        rig.assert_nobody_connects().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn load_and_time_are_told() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        rig.clock.pass(250).await;
        peer.send("HTTP/1.1 500 E\r\nInstance-Load: 3, 0,8\r\nContent-Length: 0\r\n\r\n").await;
        let result = delivering.await.expect("delivered");
        assert_eq!(result.load, Some(InstanceLoad { running: 3, waiting: 0, slots: 8 }));
        assert_eq!(result.elapsed_ms, 250);
        for bad in ["", "1,2", "1,2,3,4", "a,b,c", "-1,0,0", "1,2,99999999999"] {
            assert!(bad.parse::<InstanceLoad>().is_err(), "{bad}");
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn whole_answers_are_told_apart() {
    let signed = "Request-Id: r-1\r\nResponse-Signature: s.1\r\n";
    let retry = |reason, retry_after_ms| RunnerAnswer::NotRun { reason, retry_after_ms };
    let cases = [
        (format!("200 OK\r\n{signed}Content-Length: 0"), succeeded()),
        (format!("202 Accepted\r\n{signed}Content-Length: 0"), succeeded()),
        ("204 No Content\r\nRequest-Id: r-1\r\nResponse-Signature: s.1".to_owned(), succeeded()),
        ("200 OK\r\nResponse-Signature: s.1\r\nContent-Length: 0".to_owned(), succeeded()),
        ("500 E\r\nContent-Length: 0".to_owned(), RunnerAnswer::Failed),
        ("422 E\r\nContent-Length: 0".to_owned(), RunnerAnswer::Rejected),
        ("503 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::Full503)),
        (
            "503 E\r\nNot-Executed: 1\r\nRetry-After: 2\r\nContent-Length: 0".to_owned(),
            retry(NotRunReason::Full503, Some(2_000)),
        ),
        (
            "429 E\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0".to_owned(),
            retry(NotRunReason::TooMany429, Some(1_000)),
        ),
        ("421 E\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::WrongInstance421)),
        ("409 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::Conflict409)),
        ("400 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(), not_run(NotRunReason::BadRequest400)),
        (
            "500 E\r\nNot-Executed: 1\r\nContent-Length: 0".to_owned(),
            not_run(NotRunReason::NotExecuted { status: 500 }),
        ),
        ("504 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(504))),
        ("503 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(503))),
        ("429 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(429))),
        ("409 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(409))),
        ("400 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(400))),
        ("302 E\r\nContent-Length: 0".to_owned(), unclear(UnclearReason::UnexpectedStatus(302))),
    ];
    for (head, expected) in cases {
        local(async {
            let rig = Rig::new().await;
            let (result, mut peer) = rig.answered(format!("HTTP/1.1 {head}\r\n\r\n")).await;
            assert_eq!(result.answer, expected, "{head}");
            rig.assert_reuses(&mut peer).await;
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn answers_that_cannot_be_trusted_count_for_nothing() {
    let signed = "Response-Signature: s.1\r\n";
    for answer in [
        format!("HTTP/1.1 200 OK\r\nRequest-Id: r-2\r\n{signed}Content-Length: 0\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nRequest-Id: r-2\r\n{signed}Content-Length: 0\r\n\r\n"),
        "HTTP/1.1 500 E\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 422 E\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 503 E\r\nRequest-Id: r-2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 421 E\r\nRequest-Id: r-2\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nResponse-Signature: \r\nContent-Length: 0\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{signed}{signed}Content-Length: 0\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\n{signed}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
        format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        ),
        format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 2000\r\n\r\n{}", "a".repeat(2_000)),
        "HTTP/1.1 2x0 OK\r\n\r\n".to_owned(),
        "a second answer".to_owned(),
    ] {
        local(async {
            let rig = Rig::new().await;
            let (result, mut peer) = rig.answered(&answer).await;
            assert_eq!(result.answer, unclear(UnclearReason::Garbled), "{answer}");
            assert_eq!(result.load, None);
            peer.assert_ended().await;
            rig.assert_nobody_connects().await;
        })
        .await;
    }
}

/// The process was held up while the answer came: when it looks, the answer is there whole and the time is over.

#[tokio::test(start_paused = true)]
async fn an_answer_that_came_in_time_counts_though_it_is_read_late() {
    let chunked = DONE.replace("Content-Length: 2", "Transfer-Encoding: chunked");
    let chunked = chunked.replace("ok", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n");
    for answer in [DONE, &chunked] {
        local(async {
            let rig = Rig::new().await;
            let delivering = rig.start(rig.delivery());
            let mut peer = rig.peer().await;
            peer.request().await;
            rig.clock.pass(900).await;
            peer.send(answer).await;
            advance(Duration::from_millis(200)).await;
            assert_eq!(delivering.await.expect("delivered").answer, succeeded(), "{answer}");
            rig.assert_reuses(&mut peer).await;
        })
        .await;
    }
}

/// The runner's time begins when the request has come, and its answer has to come back.

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_on_its_way_when_the_time_is_over_counts() {
    local(async {
        let mut rig = Rig::new().await;
        rig.client = RunnerClient::new(RunnerSettings { answer_margin_ms: 50, ..settings() });
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        assert!(peer.request().await.contains("Deadline-Ms: 1000\r\n"));
        rig.clock.pass(1_040).await;
        peer.send(DONE).await;
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
        let (delivery, _) = rig.another();
        let delivering = rig.start(delivery);
        peer.request().await;
        rig.clock.pass(1_060).await;
        assert_eq!(delivering.await.expect("delivered").answer, unclear(UnclearReason::Timeout));
        peer.assert_ended().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn answers_that_are_cut_count_for_nothing() {
    let signed = "Response-Signature: s.1\r\n";
    for (answer, reason) in [
        (String::new(), UnclearReason::Closed),
        ("HTTP/1.1 200 OK\r\nResponse-Sig".to_owned(), UnclearReason::Closed),
        (format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 3\r\n\r\nab"), UnclearReason::Garbled),
        (
            format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"),
            UnclearReason::Garbled,
        ),
        (format!("HTTP/1.1 200 OK\r\n{signed}\r\nab"), UnclearReason::Garbled),
        (format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: gzip\r\n\r\nab"), UnclearReason::Garbled),
        (
            format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked, gzip\r\n\r\nab"),
            UnclearReason::Garbled,
        ),
        ("HTTP/1.1 500 E\r\nTransfer-Encoding: identity\r\n\r\nab".to_owned(), UnclearReason::Garbled),
        ("HTTP/1.1 500 E\r\nContent-Length: 3\r\n\r\nab".to_owned(), UnclearReason::Garbled),
        ("HTTP/1.1 422 E\r\nContent-Length: 3\r\n\r\nab".to_owned(), UnclearReason::Garbled),
    ] {
        local(async {
            let rig = Rig::new().await;
            let delivering = rig.start(rig.delivery());
            let mut peer = rig.peer().await;
            peer.request().await;
            peer.send(&answer).await;
            drop(peer);
            let result = delivering.await.expect("delivered");
            assert_eq!(result.answer, unclear(reason), "{answer}");
            rig.assert_nobody_connects().await;
            assert_eq!(rig.client.open_connections(rig.address), 0);
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn not_run_is_certain_from_the_head_on() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        peer.send("HTTP/1.1 503 E\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nfu").await;
        drop(peer);
        assert_eq!(delivering.await.expect("delivered").answer, not_run(NotRunReason::Full503));
        rig.assert_opens().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn reset_after_the_request_is_unclear() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        peer.reset();
        assert_eq!(delivering.await.expect("delivered").answer, unclear(UnclearReason::Reset));
        rig.assert_nobody_connects().await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn silence_ends_with_the_deadline() {
    local(async {
        let rig = Rig::new().await;
        for part in [
            "",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\nContent-Length: 2\r\n\r\na",
        ] {
            let delivering = rig.start(rig.delivery());
            let mut peer = rig.peer().await;
            peer.request().await;
            peer.send(part).await;
            rig.clock.pass(990).await;
            assert!(!delivering.is_finished());
            rig.clock.pass(10).await;
            let result = delivering.await.expect("delivered");
            assert_eq!(result.answer, unclear(UnclearReason::Timeout), "{part}");
            assert_eq!(result.elapsed_ms, 1_000);
            peer.assert_ended().await;
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn slow_head_within_the_deadline_counts() {
    local(async {
        let rig = Rig::new().await;
        let delivering = rig.start(rig.delivery());
        let mut peer = rig.peer().await;
        peer.request().await;
        for byte in DONE.as_bytes() {
            peer.send([*byte]).await;
            turns().await;
        }
        assert_eq!(delivering.await.expect("delivered").answer, succeeded());
        rig.assert_reuses(&mut peer).await;
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn interim_answers_are_not_the_answer() {
    local(async {
        let rig = Rig::new().await;
        let (result, _peer) = rig.answered(format!("HTTP/1.1 100 Continue\r\n\r\n{DONE}")).await;
        assert_eq!(result.answer, succeeded());
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn call_backs_are_told_apart() {
    local(async {
        let rig = Rig::new().await;
        let start = || {
            let client = rig.client.clone();
            let address = rig.address;
            let body = Bytes::from_static(b"{}");
            spawn_local(async move { client.call_back(address, "h:80", "/done?x", body, 500).await })
        };
        let calling = start();
        let mut peer = rig.peer().await;
        let request = peer.request().await;
        let expected = "POST /done?x HTTP/1.1\r\nHost: h:80\r\nContent-Type: application/json\r\n\
                        Content-Length: 2\r\n\r\n{}";
        assert_eq!(request, expected);
        assert_eq!(start().await.expect("called"), CallbackResult::Failed, "one connection a receiver");
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(calling.await.expect("called"), CallbackResult::Taken);
        rig.client.retain(&HashSet::new());
        for (answer, expected) in [
            ("HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n", CallbackResult::Refused(400)),
            ("HTTP/1.1 204 E\r\n\r\n", CallbackResult::Refused(204)),
            ("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", CallbackResult::Refused(503)),
        ] {
            let calling = start();
            peer.request().await;
            peer.send(answer).await;
            assert_eq!(calling.await.expect("called"), expected);
        }
        let calling = start();
        peer.request().await;
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n").await;
        drop(peer);
        assert_eq!(calling.await.expect("called"), CallbackResult::Failed);
        let calling = start();
        let mut peer = rig.peer().await;
        peer.request().await;
        rig.clock.pass(500).await;
        assert_eq!(calling.await.expect("called"), CallbackResult::Failed);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn health_is_read() {
    local(async {
        let rig = Rig::new().await;
        let start = || {
            let client = rig.client.clone();
            let address = rig.address;
            spawn_local(async move { client.health(address, "/health", 500).await })
        };
        let asking = start();
        let mut peer = rig.peer().await;
        let request = peer.request().await;
        assert_eq!(request, format!("GET /health HTTP/1.1\r\nHost: {}\r\n\r\n", rig.address));
        peer.send("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nInstance-Load: 1,2,3\r\nContent-Length: 0\r\n\r\n")
            .await;
        let expected = HealthResult {
            status: Some(200),
            instance_id: Some("i-1".to_owned()),
            load: Some(InstanceLoad { running: 1, waiting: 2, slots: 3 }),
        };
        assert_eq!(asking.await.expect("asked"), expected);
        let asking = start();
        peer.request().await;
        peer.send("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(asking.await.expect("asked").status, Some(503));
        let asking = start();
        peer.request().await;
        rig.clock.pass(500).await;
        assert_eq!(asking.await.expect("asked"), HealthResult::default());
    })
    .await;
}
