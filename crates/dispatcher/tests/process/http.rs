//! The platform's protocol: what submitters, execute nodes, discovery and operators meet.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;
use std::time::Duration;

use insta::{assert_debug_snapshot, assert_snapshot};

use crate::rig::*;

#[test]
fn a_job_reaches_a_node_as_it_came_and_its_result_the_submitter_over_kept_connections() {
    let rig = Rig::new();
    // What belongs to the one connection, by its name or by the submitter's word, stays behind.
    let own = "X-Hop: 1\r\nConnection: keep-alive, x-hop\r\nKeep-Alive: 9\r\nTE: trailers\r\nContent-Length";
    let mut stream = rig.send(&job("tint", "done", 5_000).replace("Content-Length", own));
    let first = Message::read(&mut stream).unwrap();
    assert_eq!((first.status(), first.body.as_str()), ("200", "a \"red\" tint"));
    stream.get_mut().write_all(job("pour", "done", 25_000).as_bytes()).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), "200");
    assert_eq!(rig.seen(|seen| seen.connections), 1, "a finished stream gives its connection back");
    let mut sent = rig.seen(|seen| seen.requests[0].clone());
    let left: u32 =
        sent.headers.insert("x-remaining-ms".to_owned(), "left".to_owned()).unwrap().parse().unwrap();
    assert!(left < 5_000, "{left}");
    assert!(sent.headers.remove("x-txn").is_some() && sent.headers.remove("date").is_some());
    assert_debug_snapshot!(sent, @r#"
    Message {
        first: "POST /tint/7?do=done HTTP/1.1",
        headers: {
            "accept-encoding": "identity",
            "content-length": "5",
            "cookie": "key=7f",
            "host": "service.internal",
            "x-lane": "tint",
            "x-org": "acme",
            "x-remaining-ms": "left",
        },
        body: "ocean",
    }
    "#);
}

#[test]
fn outcomes_are_told_apart_and_what_may_have_run_is_never_sent_again_or_refused() {
    let rig = Rig::new();
    let mut table = String::new();
    for how in [
        "torn", "foreign", "nothing", "failed", "400", "500", "lost", "ends", "breaks", "gone", "returned",
        "503",
    ] {
        let before = rig.seen(|seen| seen.requests.len());
        let answer = rig.ask(&job("pour", how, 700));
        let claims = rig.seen(|seen| seen.requests.len()) - before;
        let again = if claims > 1 { "sent again" } else { "sent once" };
        let wait = answer.headers.contains_key("retry-after");
        let safe = rig.ask(&job("tint", how, 700));
        table += &format!("{how}: pour {} {again}, wait {wait}; tint {}\n", answer.status(), safe.status());
    }
    assert_snapshot!(table, @r"
    torn: pour 502 sent once, wait false; tint 503
    foreign: pour 502 sent once, wait false; tint 503
    nothing: pour 502 sent once, wait false; tint 503
    failed: pour 502 sent once, wait false; tint 503
    400: pour 400 sent once, wait false; tint 400
    500: pour 502 sent once, wait false; tint 503
    lost: pour 502 sent once, wait false; tint 503
    ends: pour 502 sent once, wait false; tint 503
    breaks: pour 502 sent once, wait false; tint 503
    gone: pour 502 sent once, wait false; tint 503
    returned: pour 503 sent again, wait true; tint 503
    503: pour 503 sent again, wait true; tint 503
    ");
    assert_eq!(rig.counters("answers"), ["answers.failed=9", "answers.refused=13", "answers.unusable=2"]);
}

#[test]
fn a_jobs_own_last_line_is_found_among_others() {
    let rig = Rig::new();
    let answer = rig.ask(&job("pour", "garbled", 5_000));
    assert_eq!((answer.status(), answer.body.as_str()), ("200", "its own"));
    assert_eq!(rig.counters("claims.lines"), ["claims.lines_not_read=3"]);
    assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
    assert_eq!(rig.seen(|seen| seen.connections), 2, "a connection so confused is not used again");
}

#[test]
fn a_kept_connection_that_ends_under_a_job_costs_neither_the_job_nor_the_node() {
    // One that may run twice is sent again, on a new connection.
    let rig = Rig::new();
    assert_eq!(rig.ask(&job("tint", "bait", 5_000)).status(), "200");
    assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
    assert_eq!(rig.counters("claims.kept"), ["claims.kept_broken=1"]);
    assert_eq!(rig.seen(|seen| (seen.connections, seen.requests.len())), (2, 2));
    // From then on one that must not run twice goes by a new connection, though there is a kept one.
    assert_eq!(rig.ask(&job("pour", "done", 25_000)).status(), "200");
    assert_eq!(rig.seen(|seen| seen.connections), 3);
    assert!(
        !rig.lines.lock().unwrap().iter().any(|line| line.contains("failed")),
        "the node keeps its trust"
    );
    // The first such job: the node ended the connection before the last byte was written, so it never ran.
    let rig = Rig::new();
    assert_eq!(rig.ask(&job("tint", "bait", 5_000)).status(), "200");
    assert_eq!(rig.ask(&job("pour", "done", 25_000)).status(), "200");
    assert_eq!(rig.counters("claims.never"), ["claims.never_sent=1"]);
    assert_eq!(rig.seen(|seen| (seen.connections, seen.requests.len())), (2, 2));
}

#[test]
fn a_node_that_cannot_be_reached_costs_a_refusal() {
    // Bound and let go: nobody listens there.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let rig = Rig::with(Shared::default(), closed, str::to_owned);
    assert_eq!(rig.ask(&job("pour", "done", 700)).status(), "503");
    assert!(rig.counters("claims").iter().any(|count| count.starts_with("claims.could_not_connect=")));
}

#[test]
fn silent_connections_make_room_and_jobs_keep_theirs() {
    // Two fifths of the 48 descriptors that operators leave are 19 connections.
    let rig = Rig::configured(|config| config.replace("1024", "64"));
    let mut held = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    let mut kept = rig.send(HEALTH);
    assert_eq!(Message::read(&mut kept).unwrap().status(), "200");
    let silent: Vec<_> = (0..200).map(|_| rig.send("")).collect();
    for mut silent in silent {
        assert!(Message::read(&mut silent).is_none(), "one that says nothing is closed");
    }
    assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200", "others are served");
    let counts = rig.counters("connections.");
    assert!(counts.iter().any(|count| count.starts_with("connections.silent_given_up=")), "{counts:?}");
    assert!(counts.contains(&"connections.submitters_at_once=19".to_owned()), "{counts:?}");
    kept.get_mut().write_all(HEALTH.as_bytes()).unwrap();
    assert_eq!(Message::read(&mut kept).unwrap().status(), "200", "an idle one goes after the silent ones");
    rig.seen.lock().unwrap().watches.clear();
    assert_eq!(Message::read(&mut held).unwrap().status(), "200", "one that holds a job is never closed");
}

#[test]
fn beyond_the_descriptors_for_submitters_jobs_are_refused_and_bad_input_is_not() {
    let rig = Rig::configured(|config| config.replace("1024", "64"));
    let held: Vec<_> = (0..19).map(|_| rig.send(&job("tint", "runs", 5_000))).collect();
    until("all taken", || rig.counters("jobs").contains(&"jobs.taken=19".to_owned()).then_some(()));
    let answer = rig.ask(&job("tint", "done", 700));
    assert_eq!((answer.status(), &*answer.headers["retry-after"]), ("503", "0.250"));
    assert_eq!(answer.headers["connection"], "close");
    assert_eq!(rig.ask(&job("tint", "done", 700).replace("tint", "bake")).status(), "404");
    drop(held);
    until("room again", || (rig.ask(&job("tint", "done", 700)).status() == "200").then_some(()));
}

#[test]
fn what_is_framed_doubtfully_gets_an_error_and_goes_nowhere() {
    let rig = Rig::new();
    let good = job("tint", "done", 5_000);
    let length = |field: &str| good.replace("Content-Length: 5", field);
    let chunked = "Transfer-Encoding: chunked";
    let hidden = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nPOST /x HTTP/1.1\r\n";
    let long = format!("X-Long: {}\r\nContent-Length: 5", "x".repeat(20_000));
    let mut table = String::new();
    for (what, request) in [
        ("both lengths", good.replace("Content-Length: 5\r\n\r\n", hidden)),
        ("two lengths", length("Content-Length: 5\r\nContent-Length: 6")),
        ("a list of lengths", length("Content-Length: 5, 5")),
        ("a negative length", length("Content-Length: -5")),
        ("a signed length", length("Content-Length: +5")),
        ("a huge length", length("Content-Length: 99999999999999999999999")),
        ("a large length", length("Content-Length: 60000000")),
        ("another coding", length("Transfer-Encoding: gzip, chunked")),
        ("two codings", length(&format!("{chunked}\r\n{chunked}"))),
        ("a space before the colon", length("Transfer-Encoding : chunked")),
        ("a bad chunk", length(chunked).replace("ocean", "zz\r\nocean\r\n0\r\n\r\n")),
        ("a short chunk", length(chunked).replace("ocean", "2\r\nocean\r\n0\r\n\r\n")),
        ("long chunks", length(chunked).replace("ocean", &chunk(&"x".repeat(70_000)))),
        ("a long head", length(&long)),
        ("an endless head", format!("POST /tint HTTP/1.1\r\nX: {}", "x".repeat(300_000))),
        ("an upgrade", length("Connection: upgrade\r\nUpgrade: websocket")),
        ("a fragment", good.replace("do=done", "do=done#x")),
        ("no host", good.replace("Host: service.internal\r\n", "")),
    ] {
        table += &format!("{what}: {}\n", rig.ask(&request).status());
    }
    assert_snapshot!(table, @r"
    both lengths: 400
    two lengths: 400
    a list of lengths: 400
    a negative length: 400
    a signed length: 400
    a huge length: 400
    a large length: 413
    another coding: 400
    two codings: 400
    a space before the colon: 400
    a bad chunk: 400
    a short chunk: 400
    long chunks: 413
    a long head: 431
    an endless head: 431
    an upgrade: 400
    a fragment: 400
    no host: 400
    ");
    // Half of one, then a close.
    drop(rig.send(&good[..good.len() - 2]));
    drop(rig.send(&good[..40]));
    until("both are counted", || {
        let counts = rig.counters("bad_input.half");
        (counts == ["bad_input.half_a_body=1", "bad_input.half_a_head=1"]).then_some(())
    });
    assert_eq!(rig.seen(|seen| seen.requests.len()), 0, "nothing doubtful is passed on");
    // What is framed well goes on, also by chunks and several in one write, in order.
    let chunks = chunk("oce") + &chunk("an") + "0\r\n\r\n";
    let first = length(chunked).replace("ocean", &chunks);
    let mut stream = rig.send(&(first + &job("tint", "500", 300) + &job("pour", "done", 5_000)));
    let answers = [(); 3].map(|()| Message::read(&mut stream).unwrap().status().to_owned());
    assert_eq!(answers, ["200", "503", "200"]);
    assert_eq!(rig.seen(|seen| seen.requests[0].body.clone()), "ocean");
}

#[test]
fn an_error_reaches_one_who_is_still_sending() {
    let rig = Rig::new();
    let good = job("tint", "done", 5_000);
    for head in ["Content-Length: 60000000", "Transfer-Encoding: chunked"] {
        let mut stream = rig.send(&good.replace("Content-Length: 5", head).replace("ocean", ""));
        let mut sending = stream.get_ref().try_clone().unwrap();
        let sender = thread::spawn(move || {
            // More than the buffers between hold.
            let piece = chunk(&"x".repeat(65_500));
            (0..128).all(|_| sending.write_all(piece.as_bytes()).is_ok())
        });
        assert!(sender.join().unwrap(), "it is read on until all is sent");
        assert_eq!(Message::read(&mut stream).expect("not reset away").status(), "413");
    }
}

#[test]
fn one_that_keeps_the_program_waiting_gets_an_error_or_a_close_and_idle_ones_stay() {
    let rig = Rig::new();
    let good = job("tint", "done", 5_000);
    let mut idle = rig.send(HEALTH);
    assert_eq!(Message::read(&mut idle).unwrap().status(), "200");
    let mut later = rig.send(&format!("{HEALTH}{}", &good[..40]));
    assert_eq!(Message::read(&mut later).unwrap().status(), "200");
    let (mut silent, mut head) = (rig.send(""), rig.send(&good[..40]));
    let mut body = rig.send(&good[..good.len() - 1]);
    for slow in [&mut later, &mut head, &mut body] {
        let answer = Message::read(slow).expect("an answer");
        assert_eq!((answer.status(), &*answer.headers["connection"]), ("408", "close"));
        assert!(Message::read(slow).is_none());
    }
    assert!(Message::read(&mut silent).is_none(), "one that sent nothing is closed");
    idle.get_mut().write_all(HEALTH.as_bytes()).unwrap();
    assert_eq!(Message::read(&mut idle).unwrap().status(), "200", "between requests there is no such time");
}

#[test]
fn a_request_in_pieces_is_waited_for_as_long_as_pieces_come() {
    // Guards good submitters on slow lines against the time that bad ones have: this one takes longer than that.
    let rig = Rig::new();
    let good = job("tint", "done", 9_000);
    let mut stream = rig.send("");
    for piece in good.as_bytes().chunks(good.len() / 5 + 1) {
        thread::sleep(Duration::from_millis(600));
        stream.get_mut().write_all(piece).unwrap();
    }
    assert_eq!(Message::read(&mut stream).unwrap().status(), "200");
}

#[test]
fn the_id_of_an_open_job_is_not_taken_again() {
    let rig = Rig::new();
    let first = with_id(&job("pour", "waits", 25_000), "X-Txn: same\r\n");
    let mut held = rig.send(&first);
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    assert_eq!(rig.ask(&first).status(), "409");
    rig.seen.lock().unwrap().watches.clear();
    assert_eq!(Message::read(&mut held).unwrap().body, "late", "the first is unharmed");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 1, "no second claim");
    assert_eq!(rig.ask(&with_id(&job("tint", "done", 5_000), "X-Txn: same\r\n")).status(), "200");
}

#[test]
fn what_is_no_job_gets_a_counted_answer_and_no_claim() {
    let rig = Rig::new();
    let good = job("tint", "done", 5_000);
    let mut table = String::new();
    for (what, request) in [
        ("method", good.replacen("POST", "PUT", 1)),
        ("no id", with_id(&good, "")),
        ("an empty id", with_id(&good, "X-Txn:\r\n")),
        ("two ids", with_id(&good, "X-Txn: 1\r\nX-Txn: 2\r\n")),
        ("an id with a gap", with_id(&good, "X-Txn: 1 2\r\n")),
        ("an unprintable id", with_id(&good, "X-Txn: \u{e9}\r\n")),
        ("an id to be left out", good.replace("Cookie", "Connection: x-txn\r\nCookie")),
        ("no class", good.replace("X-Lane: tint\r\n", "")),
        ("other class in the path", good.replace("/tint/", "/pour/")),
        ("unknown class", good.replace("tint", "bake")),
        ("no tenant", good.replace("X-Org: acme\r\n", "")),
        ("unknown tenant", good.replace("acme", "nobody")),
        ("no time", good.replace("X-Remaining-Ms: 5000\r\n", "")),
        ("time no number", good.replace("5000", "soon")),
        ("time below none", good.replace("5000", "-5000")),
        ("two times", good.replace("X-Remaining-Ms: 5000", "X-Remaining-Ms: 1\r\nX-Remaining-Ms: 5000")),
        ("slots no number", good.replace("Cookie", "X-Labels: slots=many\r\nCookie")),
        ("long body", good.replace("Length: 5", "Length: 65537").replace("ocean", &"x".repeat(65_537))),
        ("no HTTP", "hello\r\n\r\n".to_owned()),
    ] {
        table += &format!("{what}: {}\n", rig.ask(&request).status());
    }
    assert_snapshot!(table, @r"
    method: 405
    no id: 400
    an empty id: 400
    two ids: 400
    an id with a gap: 400
    an unprintable id: 400
    an id to be left out: 400
    no class: 400
    other class in the path: 400
    unknown class: 404
    no tenant: 400
    unknown tenant: 400
    no time: 400
    time no number: 400
    time below none: 400
    two times: 400
    slots no number: 400
    long body: 413
    no HTTP: 400
    ");
    let counts = until("all counts", || Some(rig.counters("bad_input")).filter(|counts| counts.len() == 12));
    assert_snapshot!(counts.join("\n"), @r"
    bad_input.body_too_long=1
    bad_input.class_in_path=1
    bad_input.class_unknown=1
    bad_input.connection=1
    bad_input.method=1
    bad_input.not_http=1
    bad_input.unprintable=1
    bad_input.x_labels=1
    bad_input.x_lane=1
    bad_input.x_org=2
    bad_input.x_remaining_ms=4
    bad_input.x_txn=4
    ");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 0);
    let longest = good.replace("Length: 5", "Length: 65536").replace("ocean", &"x".repeat(65_536));
    assert_eq!(rig.ask(&longest).status(), "200");
}

#[test]
fn a_submitter_that_leaves_closes_the_connection_of_its_claim() {
    let rig = Rig::new();
    let stream = rig.send(&job("pour", "runs", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    drop(stream);
    until("the node sees the end", || rig.seen(|seen| seen.closed == 1).then_some(()));
    assert_eq!(rig.counters("answers"), ["answers.submitter_left=1"]);
}

#[test]
fn a_job_that_does_not_end_is_answered_when_its_time_is_over() {
    let rig = Rig::new();
    assert_eq!(rig.ask(&job("pour", "runs", 300)).status(), "502");
    until("the node sees the end", || rig.seen(|seen| seen.closed == 1).then_some(()));
}

#[test]
fn the_watch_is_followed_and_made_again_from_the_version_in_hand() {
    let rig = Rig::new();
    let leaving = chunk(&list(8, false, rig.node, "leaving"));
    rig.seen.lock().unwrap().watches[0].1.write_all(format!("{}{leaving}", chunk("\n")).as_bytes()).unwrap();
    until("the change is taken", || {
        rig.counters("list").contains(&"list.changes=1".to_owned()).then_some(())
    });
    assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "503");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 0, "a node that leaves gets nothing new");
    rig.seen.lock().unwrap().watches[0].1.shutdown(std::net::Shutdown::Both).unwrap();
    until("a second watch", || rig.seen(|seen| seen.watches.len() == 2).then_some(()));
    let calls = rig.seen(|seen| seen.watches.iter().map(|watch| watch.0.clone()).collect::<Vec<_>>());
    assert_debug_snapshot!(calls, @r#"
    [
        "GET /v1/servers?stream=1&index=0 HTTP/1.1",
        "GET /v1/servers?stream=1&index=8 HTTP/1.1",
    ]
    "#);
    until("the list of the second watch", || {
        (rig.ask(&job("tint", "done", 700)).status() == "200").then_some(())
    });
}

#[test]
fn a_watch_that_falls_silent_is_made_again() {
    // A machine that was cut off leaves its connections open; this discovery sends no empty lines.
    let rig = Rig::new();
    until("a second watch", || rig.seen(|seen| seen.watches.len() == 2).then_some(()));
}

#[test]
fn a_connection_idle_for_nearly_as_long_as_nodes_keep_it_is_not_used_again() {
    let rig = Rig::configured(|config| config.replace("\"conn_idle\": 15000000", "\"conn_idle\": 250000"));
    assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "200");
    thread::sleep(Duration::from_millis(250));
    assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "200");
    assert_eq!(rig.seen(|seen| seen.connections), 2);
}

#[test]
fn after_sigterm_what_was_taken_is_finished_and_the_program_ends_well() {
    let mut rig = Rig::new();
    let mut idle = rig.send(HEALTH);
    assert_eq!(Message::read(&mut idle).unwrap().status(), "200");
    let mut stream = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    rig.signal("-TERM");
    assert!(Message::read(&mut idle).is_none(), "an idle connection is closed between requests");
    rig.seen.lock().unwrap().watches.clear();
    let answer = Message::read(&mut stream).unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), ("200", "late"));
    assert_eq!(answer.headers.get("connection").map(String::as_str), Some("close"));
    assert!(rig.ended().success());
    let last = until("counters", || rig.lines.lock().unwrap().last().cloned());
    assert!(last.contains("counters answers.served=1"), "{last}");
}

#[test]
fn operators_get_one_answer_for_one_line_whoever_else_calls() {
    let rig = Rig::configured(with_control);
    let long = format!("{}\n", "x".repeat(400));
    let lines = ["check\n", "check\r\n", "check \n", "\n", "CHECK\n", "drain\n", "\u{e9}\n", &long];
    let table: String = lines.iter().map(|line| rig.call(line)).collect();
    assert_snapshot!(table, @r"
    OK
    OK
    ERR unknown call
    ERR unknown call
    ERR unknown call
    ERR unknown call
    ERR unknown call
    ERR no line of this length
    ");
    // More callers than there is room for say nothing, or half a call: the oldest of them go, others are answered.
    let mut silent: Vec<_> = (0..40).map(|_| TcpStream::connect(rig.control.unwrap()).unwrap()).collect();
    silent.iter_mut().step_by(2).for_each(|caller| caller.write_all(b"che").unwrap());
    assert_eq!(rig.call("check\n"), "OK\n");
    for mut caller in silent {
        let mut answer = String::new();
        let _ = caller.read_to_string(&mut answer);
        assert_eq!(answer, "", "each is closed in the end");
    }
}

#[test]
fn operators_are_answered_while_submitters_hold_all_that_is_theirs() {
    let rig = Rig::configured(|config| with_control(&config.replace("1024", "64")));
    let _silent: Vec<_> = (0..300).map(|_| rig.send("")).collect();
    let _held: Vec<_> = (0..19).map(|_| rig.send(&job("pour", "waits", 25_000))).collect();
    assert_eq!(rig.call("check\n"), "OK\n");
    until("all are taken", || rig.counters("jobs").contains(&"jobs.taken=19".to_owned()).then_some(()));
    assert_eq!(rig.call("check\n"), "OK\n");
}

#[test]
fn the_figures_count_each_event_once_where_it_is_final() {
    let rig = Rig::configured(with_control);
    assert!(
        rig.call("vars\n").contains("edge_router.fulfilled.pour=0\n"),
        "every class shows from the start"
    );
    for (class, how) in
        [("tint", "done"), ("pour", "done"), ("pour", "failed"), ("tint", "400"), ("pour", "503")]
    {
        rig.ask(&job(class, how, 700));
    }
    // What is no job of a class counts under none.
    rig.ask(&job("tint", "done", 700).replace("tint", "bake"));
    let _held = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || {
        rig.seen(|seen| seen.requests.iter().any(|request| request.first.contains("waits"))).then_some(())
    });
    let claims = rig.seen(|seen| seen.requests.len());
    std::fs::write(config_path(), "").unwrap();
    rig.signal("-HUP");
    until("it is turned down", || rig.call("vars\n").contains("cfg_invalid=1").then_some(()));
    let more = "{ \"name\": \"dip\", \"aim\": 1, \"deadline\": 9, \"late_worth\": 0.0, \"semantics\": \"retryable\", \"worth\": 1.0 }, ";
    let added = rig.config.replace("{ \"name\": \"tint\"", &format!("{more}{{ \"name\": \"tint\""));
    rig.reload(
        &added.replace("[-1, 0]", "[-1, -1, 0]").replace("[2.0, 2.0]", "[2.0, 2.0, 2.0]"),
        "reloads.taken=1",
    );
    let leaving = chunk(&list(8, false, rig.node, "leaving"));
    rig.seen.lock().unwrap().watches[0].1.write_all(leaving.as_bytes()).unwrap();
    let figures = until("the list is taken", || {
        Some(rig.call("vars\r\n")).filter(|figures| figures.contains("out_of_rotation=1"))
    });
    assert_snapshot!(figures.replace(&format!("relayed={claims}\n"), "relayed=[as many as the node read]\n"), @r"
    edge_router.fulfilled.dip=0
    edge_router.throttled.dip=0
    edge_router.faulted.dip=0
    edge_router.fulfilled.pour=1
    edge_router.throttled.pour=1
    edge_router.faulted.pour=1
    edge_router.fulfilled.tint=1
    edge_router.throttled.tint=0
    edge_router.faulted.tint=1
    edge_router.relayed=[as many as the node read]
    edge_router.open_requests=1
    edge_router.registry_entries=1
    edge_router.out_of_rotation=1
    edge_router.cfg_accepted=1
    edge_router.cfg_invalid=1
    END
    ");
}

#[test]
fn a_drained_dispatcher_sends_submitters_away_without_losing_one_and_takes_them_again() {
    let rig = Rig::configured(with_control);
    let mut idle = rig.send(HEALTH);
    assert_eq!(Message::read(&mut idle).unwrap().status(), "200");
    let mut used = rig.send(HEALTH);
    assert_eq!(Message::read(&mut used).unwrap().status(), "200");
    let mut silent = rig.send("");
    let mut busy = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    assert_eq!([rig.call("drain-on\n"), rig.call("drain-on\r\n")], ["OK\n", "OK\n"]);
    assert_eq!(rig.ask(HEALTH).status(), "503");
    assert_eq!(rig.call("check\n"), "OK\n", "that is about the process, not the drain");
    // What is open is served on, and each answer ends its connection.
    used.get_mut().write_all(job("tint", "done", 5_000).as_bytes()).unwrap();
    let answer = Message::read(&mut used).unwrap();
    assert_eq!((answer.status(), &*answer.headers["connection"]), ("200", "close"));
    for idle in [&mut idle, &mut silent, &mut used] {
        assert!(Message::read(idle).is_none(), "no connection stays open for nothing");
    }
    // Those who ask for health later are answered, too.
    assert_eq!(rig.ask(HEALTH).status(), "503");
    assert_eq!(rig.call("drain-off\n") + &rig.call("drain-off\n"), "OK\nOK\n");
    assert_eq!(rig.ask(HEALTH).status(), "200");
    rig.seen.lock().unwrap().watches.clear();
    let answer = Message::read(&mut busy).unwrap();
    assert_eq!((answer.body.as_str(), answer.headers.get("connection")), ("late", None));
    busy.get_mut().write_all(job("tint", "done", 5_000).as_bytes()).unwrap();
    assert_eq!(Message::read(&mut busy).unwrap().status(), "200", "connections are kept again");
}

#[test]
fn a_newer_process_takes_over_on_the_socket_and_the_older_one_leaves_nothing_behind() {
    let (seen, listener) = (Shared::default(), TcpListener::bind("127.0.0.1:0").unwrap());
    let (node, address) = (node(&seen), listener.local_addr().unwrap());
    let shared = Socket::new(listener);
    let config = with_control(CONFIG).replace("127.0.0.1:8000", &address.to_string());
    let found = config.replace("127.0.0.1:8500", &discovery(&seen, node).to_string());
    let mut old = Rig::beside(&seen, node, &found, &shared);
    until("the older one serves", || (old.call("check\n") == "OK\n").then_some(()));
    let mut busy = old.send(&job("tint", "waits", 25_000));
    until("the node has it", || old.seen(|seen| seen.requests.len() == 1).then_some(()));
    let mut idle = old.send(HEALTH);
    assert_eq!(Message::read(&mut idle).unwrap().status(), "200");
    // The newer one's discovery is down, and it knows of no list but the older one's.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let new = Rig::beside(&seen, node, &config.replace("127.0.0.1:8500", &closed.to_string()), &shared);
    until("the newer one serves", || (new.call("check\n") == "OK\n").then_some(()));
    assert_eq!(old.counters("handover"), ["handover.handed_on=1"]);
    old.signal("-TERM");
    // Whoever connects from now on is the newer one's, and both hear of a node that leaves.
    until("the newer one is asked", || {
        assert_eq!(new.ask(&job("tint", "done", 25_000)).status(), "200");
        new.call("vars\n").contains("fulfilled.tint=1\n").then_some(())
    });
    let leaving = chunk(&list(8, false, node, "leaving"));
    seen.lock().unwrap().watches[0].1.write_all(leaving.as_bytes()).unwrap();
    until("the newer one is told", || new.call("vars\n").contains("out_of_rotation=1\n").then_some(()));
    // The older one answers what it has and closes what is idle, then it ends.
    idle.get_mut().write_all(HEALTH.as_bytes()).unwrap();
    let answer = Message::read(&mut idle).unwrap();
    assert_eq!((answer.status(), &*answer.headers["connection"]), ("503", "close"));
    seen.lock().unwrap().watches.clear();
    assert_eq!(Message::read(&mut busy).unwrap().body, "late");
    assert!(old.ended().success());
    assert_eq!(new.call("check\n"), "OK\n");
}

#[test]
fn what_another_process_leaves_or_says_wrongly_keeps_none_from_starting() {
    let greet: fn(&str) -> String = |hello| format!("{hello}\n");
    for said in ["", "not ours", "{\"format\":1}", "{\"format\":2,\"name\":\"n0\",\"at_ms\":1e999}"] {
        let (seen, listener) = (Shared::default(), TcpListener::bind("127.0.0.1:0").unwrap());
        let (node, address) = (node(&seen), listener.local_addr().unwrap());
        let shared = Socket::new(listener);
        let path = shared.folder.join(format!("ruddervalve.handover.{address}"));
        match said {
            "" => std::fs::write(path, "left by a crash").unwrap(),
            _ => {
                let other = UnixListener::bind(path).unwrap();
                thread::spawn(move || {
                    let (mut stream, _) = other.accept().unwrap();
                    stream.write_all(greet(said).as_bytes()).unwrap();
                    let _ = stream.read_to_end(&mut Vec::new());
                });
            }
        }
        let config = with_control(CONFIG).replace("127.0.0.1:8000", &address.to_string());
        let config = config.replace("127.0.0.1:8500", &discovery(&seen, node).to_string());
        let rig = Rig::beside(&seen, node, &config, &shared);
        until("it serves", || (rig.call("check\n") == "OK\n").then_some(()));
        assert_eq!(rig.counters("handover"), ["handover.failed=1"], "{said}");
        // Those it does not understand, in turn, are told nothing.
        let path = shared.folder.join(format!("ruddervalve.handover.{address}"));
        let mut stranger = UnixStream::connect(path).unwrap();
        let other = format!("{{\"format\":2,\"dispatcher\":{{\"name\":\"n7\",\"listen\":\"{address}\"}}}}\n");
        stranger.write_all(other.as_bytes()).unwrap();
        let mut told = String::new();
        let _ = stranger.read_to_string(&mut told);
        assert_eq!(told, "");
    }
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_a_fault_of_its_variable() {
    let (ours, theirs) = (TcpListener::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    let stream = TcpStream::connect(ours.local_addr().unwrap()).unwrap();
    let null = std::fs::File::open("/dev/null").unwrap();
    let mut table = String::new();
    for (socket, fd) in [
        (Socket::new(ours), "4000"),
        (Socket::new(theirs), "3"),
        (Socket::new(stream), "3"),
        (Socket::new(null), "3"),
        (Socket::new(TcpListener::bind("127.0.0.1:0").unwrap()), "0"),
        (Socket::new(TcpListener::bind("127.0.0.1:0").unwrap()), "three"),
    ] {
        let output = start_on(&socket, CONFIG, fd).wait_with_output().unwrap();
        assert!(!output.status.success());
        table += &String::from_utf8(output.stderr).unwrap();
    }
    assert_snapshot!(table, @r"
    ruddervalve: ROUTER_ACCEPT_FD: descriptor 4000 is not open
    ruddervalve: ROUTER_ACCEPT_FD: descriptor 3 is no listening TCP socket
    ruddervalve: ROUTER_ACCEPT_FD: descriptor 3 is no listening TCP socket
    ruddervalve: ROUTER_ACCEPT_FD: descriptor 3 is no socket
    ruddervalve: ROUTER_ACCEPT_FD: '0' is no descriptor from 3 on
    ruddervalve: ROUTER_ACCEPT_FD: 'three' is no descriptor from 3 on
    ");
}

#[test]
fn a_configuration_at_fault_names_its_key() {
    let good = CONFIG.replace("8c1f30d27a5be964", "0c").replace("127.0.0.1:8000", "127.0.0.1:0");
    let mut table = String::new();
    for (config, variables) in [
        (good.replace("0c\"", "xyz\""), &[][..]),
        (good.replace("127.0.0.1:8500", "nowhere"), &[]),
        (good.replace("\"listen\": \"127.0.0.1:0\",", ""), &[]),
        (with_control(&good), &[("ROUTER_CONTROL", "there")]),
        (good.clone(), &[("ROUTER_LISTEN", "here")]),
        (good.replace("\"settings\"", "\"known\":{\"version\":1},\"settings\""), &[]),
        (good.replace("1024", "9"), &[]),
        (good.replace("\"aim\": 1200000", "\"aim\": \"soon\""), &[]),
        (good.replace("\"position\": 0", "\"position\": 4"), &[]),
        (good.replace("\"cold_share\": 0.2", "\"cold_share\": 2"), &[]),
        (good.replace("\"settings\"", "\"setting\""), &[]),
    ] {
        let output = start(&config, variables).wait_with_output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        let path = error.split(' ').find(|word| word.contains(".json")).unwrap_or("-").to_owned();
        let error = error.replace(&path, "PATH:").replacen("ruddervalve: ", "", 1);
        table += &format!("{} {error}", output.status.code().unwrap());
    }
    assert_snapshot!(table, @r#"
    2 seed: 'xyz' is no hexadecimal number of 64 bits
    2 discovery: 'nowhere' is no address with a port
    2 listen: is missing
    2 control: 'there' is no address with a port
    2 listen: 'here' is no address with a port
    2 known: missing field `full` at line 1 column 13
    2 limits.sockets: 9 is too few, 64 are needed
    2 settings: profiles[1].aim: invalid type: string "soon", expected u64 at line 42 column 37
    2 settings: position: must be below the number of dispatchers
    2 settings: obligations.cold_share: must lie in 0 to 1
    2 ROUTER_CONFIG: PATH: missing field `settings` at line 59 column 1
    "#);
}

#[test]
fn on_sighup_the_file_is_read_again_whole_and_open_jobs_go_on() {
    let mut rig = Rig::new();
    let mut waiting = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    // A faulty file, though it names another discovery, changes nothing, and a line names the key.
    let elsewhere = Shared::default();
    let moved = discovery(&elsewhere, rig.node).to_string();
    let old =
        rig.config.split('"').find(|word| word.contains(":") && word.len() > 12 && *word != "127.0.0.1:0");
    let good = rig.config.replace(old.unwrap(), &moved);
    let faulty = good.replace("\"cold_share\": 0.2", "\"cold_share\": 2");
    std::fs::write(config_path(), faulty).unwrap();
    rig.signal("-HUP");
    let line = until("a line", || {
        rig.lines.lock().unwrap().iter().find(|line| line.contains("stays as it was")).cloned()
    });
    assert!(line.contains("obligations.cold_share"), "{line}");
    assert_eq!(elsewhere.lock().unwrap().watches.len(), 0);
    // A good one counts whole: discovery wins over the variable, a new class is taken, an old one is not.
    let good = good.replace("127.0.0.1:0", "127.0.0.1:1").replace("\"tint\"", "\"dip\"");
    std::fs::write(config_path(), &good).unwrap();
    rig.signal("-HUP");
    until("listen is told of", || {
        rig.lines.lock().unwrap().iter().any(|line| line.contains("listen takes effect")).then_some(())
    });
    until("the new watch", || (elsewhere.lock().unwrap().watches.len() == 1).then_some(()));
    assert_eq!(elsewhere.lock().unwrap().watches[0].0, "GET /v1/servers?stream=1&index=0 HTTP/1.1");
    assert_eq!(rig.ask(&job("dip", "done", 700)).status(), "200");
    assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "404");
    // Once more, and while draining: harmless. The old watch's end was counted against nobody.
    rig.reload(&good, "reloads.taken=2");
    assert!(!rig.counters("list").iter().any(|count| count.starts_with("list.failed")));
    assert_eq!(elsewhere.lock().unwrap().watches.len(), 1, "the same discovery is not asked again");
    rig.signal("-TERM");
    rig.signal("-HUP");
    rig.seen.lock().unwrap().watches.clear();
    let answer = Message::read(&mut waiting).unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), ("200", "late"));
    assert!(rig.ended().success());
}
