//! Events that may cross, each made to cross in the bad order: a stand-in withholds a connection, a byte or a close until
//! it has seen the state that it waits for.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket as Raw, Type};

use crate::rig::*;

/// A node whose connections do not come up until it lets them: its queue of new connections is full, so that the first
/// word of any further one is dropped and said again a second later.
struct Late {
    listener: TcpListener,
    before: Vec<TcpStream>,
    address: SocketAddr,
}

impl Late {
    fn new() -> Self {
        let raw = Raw::new(Domain::IPV4, Type::STREAM, None).unwrap();
        raw.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        raw.listen(0).unwrap();
        let listener = TcpListener::from(raw);
        let address = listener.local_addr().unwrap();
        let mut before = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            before.push(stream);
        }
        Self { listener, before, address }
    }

    /// Whether somebody's connection to it is on its way: the first word was said.
    fn asked_now(&self) -> bool {
        has_connection_to(self.address, "02")
    }

    fn asked(&self) {
        until("a connection is on its way", || self.asked_now().then_some(()));
    }

    fn given_up(&self) {
        until("it is given up", || (!self.asked_now()).then_some(()));
    }

    /// Lets the connection come up.
    fn accept(&mut self) -> TcpStream {
        for _ in self.before.drain(..) {
            drop(self.listener.accept().unwrap());
        }
        let stream = self.listener.accept().unwrap().0;
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        stream
    }

    /// Lets the connection come up, and reads all that is said on it.
    fn let_in(mut self) -> String {
        heard(self.accept())
    }
}

/// Whether the system has a connection to this address in this state, as `/proc/net/tcp` numbers them: 02 for one that
/// comes up, 08 for one that the other side has closed.
fn has_connection_to(address: SocketAddr, state: &str) -> bool {
    let port = format!(":{:04X}", address.port());
    // The third column is the other side, the fourth the state.
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(|line| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next().is_some_and(|to| to.ends_with(&port)) && fields.next() == Some(state)
    })
}

/// All that is said on a connection.
fn heard(mut stream: TcpStream) -> String {
    let mut said = Vec::new();
    let mut piece = [0; 4096];
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return String::from_utf8(said).unwrap(),
            Ok(length) => said.extend_from_slice(&piece[..length]),
        }
        // A job as these tests send it: whoever runs it has it now.
        if said.ends_with(b"ocean") {
            return String::from_utf8(said).unwrap();
        }
    }
}

fn patient(config: &str) -> String {
    config.replace("\"connect_timeout\": 250000", "\"connect_timeout\": 20000000")
}

fn uncancelled(config: &str) -> String {
    patient(config).replace("\"cancel\": true", "\"cancel\": false")
}

fn keyed(config: &str) -> String {
    let keyed = "\"semantics\": \"dedup\", \"group\": \"all\", \"window\": 4000000";
    patient(config).replace("\"semantics\": \"fragile\"", keyed)
}

#[test]
fn a_node_told_as_leaving_while_its_connection_comes_up_gets_nothing_on_it() {
    let late = Late::new();
    let rig = Rig::with(Shared::default(), late.address, patient);
    let mut held = rig.send(&job("tint", "done", 5_000));
    late.asked();
    let leaving = chunk(&list(8, false, rig.node, "leaving"));
    rig.seen.lock().unwrap().watches[0].1.write_all(leaving.as_bytes()).unwrap();
    until("it is told", || rig.counters("list.").contains(&"list.changes=1".to_owned()).then_some(()));
    assert_eq!(late.let_in(), "");
    assert_eq!(Message::read(&mut held).unwrap().status(), "503", "it never ran");
    assert!(rig.counters("claims").contains(&"claims.never_sent=1".to_owned()));
}

#[test]
fn a_job_whose_submitter_left_while_the_connection_to_its_node_came_up_is_not_sent() {
    // Where nodes take no cancels the decisions leave the claim alone.
    for (change, given_up) in [(patient as fn(&str) -> String, true), (uncancelled, false)] {
        let late = Late::new();
        let rig = Rig::with(Shared::default(), late.address, change);
        let held = rig.send(&job("pour", "done", 25_000));
        late.asked();
        drop(held);
        let left = "answers.submitter_left=1".to_owned();
        until("it is seen to leave", || rig.counters("answers").contains(&left).then_some(()));
        match given_up {
            true => late.given_up(),
            false => assert_eq!(late.let_in(), "", "it was sent after its submitter had left"),
        }
    }
}

#[test]
fn a_job_whose_time_is_over_when_the_connection_comes_up_is_not_sent() {
    let late = Late::new();
    let rig = Rig::with(Shared::default(), late.address, patient);
    let mut held = rig.send(&job("pour", "done", 300));
    late.asked();
    assert!(["502", "503"].contains(&Message::read(&mut held).unwrap().status()));
    late.given_up();
}

#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
    let late = Late::new();
    let rig = Rig::configured(keyed);
    // It begins at the first node, the only one then, and is broken off there once a second node is known.
    let mut held = rig.send(&job("pour", "breaks-late", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    let begun = Instant::now();
    let other = list(8, false, late.address, "active").replace("\"id\":\"a\"", "\"id\":\"b\"");
    rig.seen.lock().unwrap().watches[0].1.write_all(chunk(&other).as_bytes()).unwrap();
    until("the second node is known", || {
        rig.counters("list.").contains(&"list.changes=1".to_owned()).then_some(())
    });
    rig.seen.lock().unwrap().break_off = true;
    late.asked();
    until("the window is over", || (begun.elapsed() > Duration::from_millis(4_000)).then_some(()));
    assert_eq!(late.let_in(), "", "the first node may still run it");
    assert_eq!(Message::read(&mut held).unwrap().status(), "503", "submitters may repeat it anywhere");
}

/// A discovery whose calls the test answers itself, in turn.
struct Discovery {
    address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl Discovery {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (sender, calls)) = (listener.local_addr().unwrap(), channel());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
                let Some(request) = request else { continue };
                if sender.send((request.first, stream)).is_err() {
                    return;
                }
            }
        });
        Self { address, calls }
    }

    /// The next call: its first line and where to answer it.
    fn call(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(Duration::from_secs(60)).expect("a call")
    }

    /// Opens the watch of the next call with this text.
    fn open(&self, text: &str) -> (String, TcpStream) {
        let (call, mut stream) = self.call();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}{}", chunk(text)).as_bytes()).unwrap();
        (call, stream)
    }
}

/// The program with a node and this discovery, which has told it of the node by this text.
fn told(
    discovery: &Discovery,
    first: &dyn Fn(SocketAddr) -> String,
    change: fn(&str) -> String,
) -> (Rig, TcpStream) {
    let seen = Shared::default();
    let node = node(&seen);
    let config = CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0");
    let config = change(&config.replace("127.0.0.1:8500", &discovery.address.to_string()));
    let rig = Rig::started(start(&config, &[]), seen, node, config);
    let watch = discovery.open(&first(node)).1;
    until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
    (rig, watch)
}

fn as_it_is(config: &str) -> String {
    config.to_owned()
}

fn pushed(config: &str) -> String {
    config.replace("\"on_request\"", "\"pushed\"")
}

/// Broken into lines as a printer for people would.
fn indented(list: &str) -> String {
    list.replace('{', "{\n  ").replace(',', ",\n\n  ").replace('}', "\n}")
}

#[test]
fn a_list_broken_into_lines_and_pieces_is_read_whole_and_taken_once() {
    let discovery = Discovery::new();
    let (rig, mut watch) = told(&discovery, &|node| indented(&list(7, true, node, "active")), as_it_is);
    assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
    // Two values in a row, cut in the middle of a word, with an empty line's chunk between the halves' chunks.
    let both =
        indented(&list(8, false, rig.node, "active")) + &indented(&list(9, false, rig.node, "leaving"));
    let (one, other) = both.split_at(both.find("version").unwrap() + 3);
    for piece in [one, other, "\n"] {
        watch.write_all(chunk(piece).as_bytes()).unwrap();
    }
    let counts = until("both are taken", || {
        Some(rig.counters("list.")).filter(|counts| counts.contains(&"list.changes=2".to_owned()))
    });
    assert_eq!(counts, ["list.changes=2", "list.whole=1"], "no failure among them");
    assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "503");
}

#[test]
fn a_list_that_cannot_be_read_ends_the_watch_and_changes_nothing() {
    let discovery = Discovery::new();
    let (rig, mut watch) = told(&discovery, &|node| list(7, true, node, "active"), as_it_is);
    watch.write_all(chunk("{\"version\":8,\"full\":\"perhaps\",\"servers\":[]}\n").as_bytes()).unwrap();
    let (call, _watch) = discovery.open("\n");
    assert!(call.contains("index=7"), "{call}");
    let line = until("a line", || {
        rig.lines.lock().unwrap().iter().find(|line| line.contains("machine list: ")).cloned()
    });
    assert!(line.contains("full: invalid type"), "{line}");
    assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
}

#[test]
fn what_a_silent_watch_missed_is_had_before_it_counts_as_told_though_a_call_hangs() {
    // It counts as told six seconds after the silence began, and may be sent to for the half second of the grace: a job
    // that is given up then tells the time.
    for (change, hangs) in [(pushed as fn(&str) -> String, true), (as_it_is, false)] {
        let discovery = Discovery::new();
        let (rig, _silent) = told(&discovery, &|node| list(7, true, node, "active"), change);
        let mut time = rig.send(&job("pour", "runs", 6_500));
        let hung = hangs.then(|| discovery.call());
        let (call, _watch) = discovery.open(&list(8, false, rig.node, "leaving"));
        assert!(call.contains("index=7"), "{call}");
        until("it is told", || rig.counters("list.").contains(&"list.changes=1".to_owned()).then_some(()));
        time.get_ref().set_nonblocking(true).unwrap();
        let early = time.get_mut().read(&mut [0]).map_err(|error| error.kind());
        assert_eq!(early, Err(ErrorKind::WouldBlock), "the job's time is not over yet");
        drop(hung);
    }
}

#[test]
fn a_discovery_that_lets_calls_wait_longer_than_usual_is_waited_for_in_the_end() {
    let discovery = Discovery::new();
    let (rig, _silent) = told(&discovery, &|node| list(7, true, node, "active"), as_it_is);
    let (_, mut first) = discovery.call();
    assert!(matches!(first.read(&mut [0]), Ok(0) | Err(_)), "given up, so that another one is made in time");
    let (_, mut second) = discovery.call();
    // Longer than the first call was waited for, by a job that is given up then.
    assert_eq!(rig.ask(&job("pour", "runs", 3_000)).status(), "502");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    second.write_all(format!("{head}{}", chunk(&list(8, false, rig.node, "leaving"))).as_bytes()).unwrap();
    until("it is told", || rig.counters("list.").contains(&"list.changes=1".to_owned()).then_some(()));
    assert!(discovery.calls.try_recv().is_err(), "there was no third call");
}

#[test]
fn a_whole_list_older_than_the_one_in_hand_takes_nothing_back_unless_asked_for_anew() {
    let discovery = Discovery::new();
    let (rig, watch) = told(&discovery, &|node| list(7, true, node, "leaving"), as_it_is);
    drop(watch);
    let (call, _old) = discovery.open(&list(6, true, rig.node, "active"));
    assert!(call.contains("index=7"), "{call}");
    let (call, mut stream) = discovery.call();
    assert!(call.contains("index=0"), "the whole list, whatever it is: {call}");
    assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "503", "the node leaves");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 0);
    // A service that counts anew is believed the second time.
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}{}", chunk(&list(1, true, rig.node, "active"))).as_bytes()).unwrap();
    until("it is taken", || (rig.ask(&job("tint", "done", 700)).status() == "200").then_some(()));
}

/// Holds the program still while things happen to it, so that all of them wait for it together when it goes on.
fn held_still(rig: &Rig, meanwhile: impl FnOnce()) {
    rig.signal("-STOP");
    let state = format!("/proc/{}/stat", rig.child.id());
    until("it stands still", || std::fs::read_to_string(&state).unwrap().contains(") T ").then_some(()));
    meanwhile();
    rig.signal("-CONT");
}

/// Closes a connection with a reset, as the system of a submitter that died does.
fn reset(stream: BufReader<TcpStream>) {
    SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
}

fn half_close(stream: &BufReader<TcpStream>) {
    stream.get_ref().shutdown(Shutdown::Write).unwrap();
}

#[test]
fn a_submitter_that_sent_much_behind_its_job_is_seen_to_leave_however_it_goes() {
    let rig = Rig::new();
    let much = format!("{}{}", job("pour", "runs", 25_000), "x".repeat(100_000));
    for (number, leave) in [drop as fn(BufReader<TcpStream>), reset, |stream| {
        half_close(&stream);
        until("it is told", || stream.get_ref().peek(&mut [0]).is_ok().then_some(()));
    }]
    .into_iter()
    .enumerate()
    {
        let stream = rig.send(&much.replace("X-Txn: ", &format!("X-Txn: {number}")));
        until("the node has it", || rig.seen(|seen| seen.requests.len() == number + 1).then_some(()));
        leave(stream);
        until("the node sees the end", || rig.seen(|seen| seen.closed == number + 1).then_some(()));
    }
    assert_eq!(rig.counters("answers"), ["answers.submitter_left=3"]);
}

#[test]
fn what_came_behind_a_job_is_served_next_or_dropped_with_the_connection_told_to_end() {
    let rig = Rig::new();
    let next = job("tint", "done", 25_000);
    for (behind, answers) in [(next.clone(), 2), (next + &"x".repeat(100_000), 1)] {
        rig.seen.lock().unwrap().watches.truncate(1);
        let mut stream = rig.send(&(job("pour", "done", 25_000) + &behind));
        for number in 1..=answers {
            let answer = Message::read(&mut stream).expect("an answer");
            assert_eq!(answer.status(), "200");
            assert_eq!(answer.headers.contains_key("connection"), answers == 1 && number == 1);
        }
    }
}

#[test]
fn submitters_that_leave_in_a_burst_have_no_job_sent_on_behind_them() {
    // One job keeps the node, further ones wait for their first claim. What ends the one is told before they leave.
    let rig = Rig::configured(uncancelled);
    let mut first = rig.send(&job("pour", "mute", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    let waiting: Vec<_> = (0..12).map(|_| rig.send(&job("pour", "done", 25_000))).collect();
    until("all are taken", || rig.counters("jobs").contains(&"jobs.taken=13".to_owned()).then_some(()));
    held_still(&rig, || {
        rig.seen.lock().unwrap().break_off = true;
        until("it is told", || rig.seen(|seen| seen.closed == 1).then_some(()));
        let ways = [drop as fn(BufReader<TcpStream>), reset];
        waiting.into_iter().zip(ways.iter().cycle()).for_each(|(stream, leave)| leave(stream));
    });
    assert_eq!(Message::read(&mut first).unwrap().body, "late");
    let left = "answers.submitter_left=12".to_owned();
    until("all are seen to leave", || rig.counters("answers").contains(&left).then_some(()));
    assert_eq!(rig.seen(|seen| seen.requests.len()), 1);
}

#[test]
fn a_submitter_that_has_left_unseen_has_no_job_sent_on_behind_it() {
    // The connection to the node comes up, then the submitter leaves, and the program learns of both at once.
    let mut late = Late::new();
    let rig = Rig::with(Shared::default(), late.address, uncancelled);
    let held = rig.send(&job("pour", "done", 25_000));
    late.asked();
    let mut stream = None;
    held_still(&rig, || {
        stream = Some(late.accept());
        let submitter = held.get_ref().local_addr().unwrap();
        drop(held);
        until("the submitter's end has come", || has_connection_to(submitter, "08").then_some(()));
    });
    assert_eq!(heard(stream.unwrap()), "");
    assert_eq!(rig.counters("answers"), ["answers.submitter_left=1"]);
}

#[test]
fn a_request_that_comes_while_its_connection_is_to_make_room_is_served() {
    // Two fifths of the 48 descriptors that operators leave are 19 connections.
    let rig = Rig::configured(|config| config.replace("1024", "64"));
    let mut kept: Vec<_> = (0..19).map(|_| rig.send(HEALTH)).collect();
    kept.iter_mut().for_each(|kept| assert_eq!(Message::read(kept).unwrap().status(), "200"));
    let mut further = None;
    held_still(&rig, || {
        further = Some(rig.send(&job("tint", "done", 25_000)));
        // The one idle for longest; the program hears of the connection first.
        kept[0].get_mut().write_all(job("tint", "done", 25_000).as_bytes()).unwrap();
    });
    assert_eq!(Message::read(&mut kept[0]).expect("not reset").status(), "200");
    assert_eq!(Message::read(&mut further.unwrap()).unwrap().status(), "200");
}

#[test]
fn a_request_that_crossed_the_close_of_its_connection_is_sent_on_only_when_sent_again() {
    let rig = Rig::configured(|config| config.replace("1024", "64"));
    let mut kept: Vec<_> = (0..19).map(|_| rig.send(HEALTH)).collect();
    kept.iter_mut().for_each(|kept| assert_eq!(Message::read(kept).unwrap().status(), "200"));
    let _further = rig.send(HEALTH);
    assert!(Message::read(&mut kept[0]).is_none(), "the one idle for longest makes room");
    let crossed = job("pour", "done", 25_000);
    kept[0].get_mut().write_all(crossed.as_bytes()).unwrap();
    assert!(Message::read(&mut kept[0]).is_none());
    assert_eq!(rig.ask(&crossed).status(), "200", "no copy of it is open");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 1);
}

#[test]
fn a_request_that_has_to_make_room_before_it_is_whole_is_refused_and_told_so() {
    let rig = Rig::configured(|config| config.replace("1024", "64"));
    let good = job("tint", "done", 25_000);
    for half in [&good[..40], &good[..good.len() - 1]] {
        let mut halves: Vec<_> = (0..19).map(|_| rig.send(half)).collect();
        halves.iter().for_each(|half| half.get_ref().set_nonblocking(true).unwrap());
        let refused = until("one makes room", || {
            assert_eq!(rig.ask(&job("tint", "done", 25_000)).status(), "200");
            halves.iter().position(|half| half.get_ref().peek(&mut [0]).is_ok())
        });
        halves[refused].get_ref().set_nonblocking(false).unwrap();
        let answer = Message::read(&mut halves[refused]).expect("an answer");
        assert_eq!((answer.status(), &*answer.headers["connection"]), ("503", "close"));
        assert!(answer.headers.contains_key("retry-after"));
    }
}

#[test]
fn what_came_up_before_the_listener_closes_is_served() {
    let rig = Rig::new();
    let _busy = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    rig.signal("-TERM");
    until("it ends", || (rig.ask(HEALTH).status() == "503").then_some(()));
    let mut late = Vec::new();
    held_still(&rig, || {
        let since = Instant::now();
        late.extend((0..3).map(|_| rig.send(&job("tint", "done", 2_500))));
        until("it accepts no more", || (since.elapsed() > Duration::from_millis(700)).then_some(()));
    });
    for late in &mut late {
        let answer = Message::read(late).expect("not reset");
        assert_eq!((answer.status(), &*answer.headers["connection"]), ("200", "close"));
    }
}

#[test]
fn a_node_that_hangs_at_sigterm_costs_its_job_its_time_and_the_end_no_more() {
    let mut rig = Rig::new();
    let mut hung = rig.send(&job("pour", "runs", 1_500));
    let mut kept = rig.send(HEALTH);
    assert_eq!(Message::read(&mut kept).unwrap().status(), "200");
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    rig.signal("-TERM");
    // One that comes on a resting connection meanwhile, and one that rests until it is closed.
    let mut rests = rig.send(&job("tint", "done", 1_500));
    kept.get_mut().write_all(job("tint", "done", 1_500).as_bytes()).unwrap();
    for stream in [&mut rests, &mut kept] {
        assert!(["200", "503"].contains(&Message::read(stream).expect("an answer").status()));
        assert!(Message::read(stream).is_none(), "and a close behind it");
    }
    // There is no way back, and no new settings either.
    rig.signal("-HUP");
    let answer = Message::read(&mut hung).unwrap();
    assert_eq!((answer.status(), &*answer.headers["connection"]), ("502", "close"));
    assert!(rig.ended().success());
}

#[test]
fn what_came_behind_the_last_answer_on_a_connection_is_not_sent_on() {
    let rig = Rig::new();
    let _busy = rig.send(&job("pour", "waits", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    rig.signal("-TERM");
    until("it ends", || (rig.ask(HEALTH).status() == "503").then_some(()));
    let mut both = rig.send(&(job("tint", "done", 2_500) + &job("tint", "done", 2_500)));
    let answer = Message::read(&mut both).unwrap();
    assert_eq!((answer.status(), &*answer.headers["connection"]), ("200", "close"));
    assert!(Message::read(&mut both).is_none(), "told to end, it is the submitter's to send again");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 2);
}

#[test]
fn a_request_sent_again_as_its_connection_was_reset_meets_no_open_copy() {
    let rig = Rig::new();
    let request = job("tint", "runs", 25_000);
    let first = rig.send(&request);
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    let mut second = None;
    held_still(&rig, || {
        reset(first);
        second = Some(rig.send(&request));
    });
    until("the node has it again", || rig.seen(|seen| seen.requests.len() == 2).then_some(()));
    until("the first is given up", || rig.seen(|seen| seen.closed == 1).then_some(()));
    drop(second);
}

#[test]
fn an_answer_that_comes_a_second_time_is_not_taken_for_the_next_jobs() {
    // The connection took long to come up, so the last byte of what must not run twice is held back for long.
    let mut late = Late::new();
    let rig = Rig::with(Shared::default(), late.address, patient);
    let mut first = rig.send(&job("tint", "done", 25_000));
    late.asked();
    let stream = late.accept();
    let mut from = BufReader::new(stream.try_clone().unwrap());
    let (id, mut to) = (Message::read(&mut from).unwrap().headers["x-txn"].clone(), stream);
    let done = chunk(&format!("{{\"id\":\"{id}\",\"from\":\"a\",\"state\":\"done\",\"result\":\"red\"}}\n"));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    to.write_all(format!("{head}{done}0\r\n\r\n").as_bytes()).unwrap();
    assert_eq!(Message::read(&mut first).unwrap().body, "red");
    // On the kept connection, while the last byte is missing, comes what would say that the job never ran.
    let seen = rig.seen.clone();
    let mut second = rig.send(&job("pour", "done", 25_000));
    let mut said = Vec::new();
    while !said.ends_with(b"ocea") {
        let mut byte = [0];
        from.read_exact(&mut byte).unwrap();
        said.push(byte[0]);
    }
    to.write_all(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut rest = Vec::new();
    let _ = from.read_to_end(&mut rest);
    assert_eq!(rest, b"", "the last byte is not sent on it");
    thread::spawn(move || serve(late.accept(), &seen));
    assert_eq!(Message::read(&mut second).unwrap().body, "a \"red\" tint");
    assert_eq!(rig.seen(|seen| seen.requests.len()), 1);
}

/// The configuration of a dispatcher on this socket that has its list from this discovery.
fn on(listener: &TcpListener, discovery: SocketAddr) -> String {
    let config = with_control(CONFIG).replace("127.0.0.1:8000", &listener.local_addr().unwrap().to_string());
    config.replace("127.0.0.1:8500", &discovery.to_string())
}

fn serves(rig: &Rig) {
    until("it serves", || (rig.call("check\n") == "OK\n").then_some(()));
}

#[test]
fn two_customers_dispatchers_of_one_name_in_one_folder_share_nothing() {
    let (one, other) = (Shared::default(), Shared::default());
    let nodes = [node(&one), node(&other)];
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let first = on(&listeners[0], discovery(&one, nodes[0]));
    // The second one's discovery is down: it knows of no node.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let second = on(&listeners[1], closed);
    let [mine, theirs] = listeners.map(Socket::new);
    let _rig = Rig::beside(&one, nodes[0], &first, &mine);
    serves(&_rig);
    let folder = Socket { folder: mine.folder.clone(), listener: theirs.listener.try_clone().unwrap() };
    let stranger = Rig::beside(&other, nodes[1], &second, &folder);
    until("its start is over", || stranger.call("vars\n").contains("registry_entries").then_some(()));
    assert!(
        stranger.call("vars\n").contains("registry_entries=0\n"),
        "the other customer's nodes are none of its"
    );
    // And the first one's own successor still finds it.
    let next = Rig::beside(&one, nodes[0], &on_again(&first, closed), &mine);
    serves(&next);
    assert_eq!(next.counters("handover"), ["handover.taken=1"]);
}

/// The same configuration with another discovery.
fn on_again(config: &str, discovery: SocketAddr) -> String {
    let old = config.split("\"discovery\": \"").nth(1).unwrap().split('"').next().unwrap();
    config.replacen(old, &discovery.to_string(), 1)
}

#[test]
fn versions_of_one_discovery_are_not_held_against_anothers_by_the_two_processes_of_a_dispatcher() {
    // The newer process has its list elsewhere, where versions are lower.
    let (seen, listener) = (Shared::default(), TcpListener::bind("127.0.0.1:0").unwrap());
    let (node, elsewhere) = (node(&seen), Discovery::new());
    let config = on(&listener, discovery(&seen, node));
    let shared = Socket::new(listener);
    let old = Rig::beside(&seen, node, &config, &shared);
    serves(&old);
    let new = Rig::beside(&seen, node, &on_again(&config, elsewhere.address), &shared);
    let (call, mut watch) = elsewhere.open(&list(2, true, node, "leaving"));
    assert!(call.contains("index=0"), "{call}");
    until("the newer one is told", || new.call("vars\n").contains("out_of_rotation=1\n").then_some(()));
    let still = chunk(&list(8, false, node, "active"));
    seen.lock().unwrap().watches[0].1.write_all(still.as_bytes()).unwrap();
    until("the older one is told", || {
        old.counters("list.").contains(&"list.changes=1".to_owned()).then_some(())
    });
    // Whatever the older one says of it is with the newer one before the answer to a change that comes later.
    watch.write_all(chunk(&list(3, false, node, "leaving")).as_bytes()).unwrap();
    until("and the newer one again", || {
        new.counters("list.").contains(&"list.changes=1".to_owned()).then_some(())
    });
    assert!(new.call("vars\n").contains("out_of_rotation=1\n"), "another service's version is none of its");
}

#[test]
fn nodes_in_hand_are_known_by_the_names_of_new_settings() {
    // Another customer's settings: the class needs a kind that they did not name before.
    let rig = Rig::configured(|config| {
        config.replace("[\"box\", \"vat\"]", "[\"vat\"]").replace("[\"north\", \"south\"]", "[\"south\"]")
    });
    assert_eq!(rig.ask(&job("pour", "done", 700)).status(), "503", "no node of its kind is known");
    let renamed = rig.config.replace("[\"vat\"]", "[\"vat\", \"box\"]").replace("[-1, 0]", "[-1, 1]");
    rig.reload(&renamed, "reloads.taken=1");
    assert_eq!(rig.ask(&job("pour", "done", 5_000)).status(), "200");
}

#[test]
fn settings_read_again_between_submit_and_repeat_change_nothing_for_the_job() {
    let rig = Rig::new();
    let mut fragile = rig.send(&job("pour", "breaks-late", 25_000));
    until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
    let harmless = rig.config.replace("\"fragile\"", "\"retryable\"");
    rig.reload(&harmless, "reloads.taken=1");
    rig.seen.lock().unwrap().break_off = true;
    assert_eq!(
        Message::read(&mut fragile).unwrap().status(),
        "502",
        "it came as one that must not run twice"
    );
    assert_eq!(rig.seen(|seen| seen.requests.len()), 1);
}

#[test]
fn a_node_told_of_with_an_address_that_cannot_be_read_gets_nothing_new() {
    for state in ["active", "leaving"] {
        let rig = Rig::new();
        let change = list(8, false, rig.node, state).replace(&rig.node.to_string(), "nowhere");
        let fault = "machine list: a: 'nowhere' is no address with a port";
        rig.seen.lock().unwrap().watches[0].1.write_all(chunk(&change).as_bytes()).unwrap();
        until("it is told, and the fault named", || {
            rig.lines.lock().unwrap().iter().any(|line| line.ends_with(fault)).then_some(())
        });
        assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "503");
        assert_eq!(rig.seen(|seen| seen.requests.len()), 0);
        assert_eq!(rig.counters("list.machines"), ["list.machines_not_read=1"]);
    }
}

#[test]
fn a_start_with_a_list_known_before_is_ready_while_discovery_is_down() {
    let seen = Shared::default();
    let node = node(&seen);
    // Bound, and never accepted from: calls hang.
    let hangs = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = format!("\"known\": {}, \"settings\": {{", list(7, true, node, "active").trim());
    for change in [as_it_is as fn(&str) -> String, pushed] {
        let config = change(&CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0"));
        let config = config.replace("127.0.0.1:8500", &hangs.local_addr().unwrap().to_string());
        let config = config.replacen("\"settings\": {", &known, 1);
        let rig = Rig::started(start(&config, &[]), seen.clone(), node, config);
        assert_eq!(rig.ask(HEALTH).status(), "200", "from its first answer on");
        assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
    }
}

#[test]
fn an_answer_that_never_ends_costs_its_job_its_time_and_nobody_elses() {
    for how in ["endless", "endless-line"] {
        let rig = Rig::new();
        let mut endless = rig.send(&job("pour", how, 1_500));
        until("the node has it", || rig.seen(|seen| seen.requests.len() == 1).then_some(()));
        assert_eq!(rig.ask(HEALTH).status(), "200", "others are answered meanwhile");
        assert_eq!(Message::read(&mut endless).unwrap().status(), "502");
        until("its connection is closed", || rig.seen(|seen| seen.closed == 1).then_some(()));
        assert_eq!(rig.ask(&job("tint", "done", 25_000)).status(), "200");
    }
}

#[test]
fn what_discovery_has_elsewhere_is_had_before_it_counts_as_told_though_its_first_call_hangs() {
    // "After SIGHUP it counts 4 s later", and half a second of grace is behind that: a job given up then tells the time.
    for change in [as_it_is as fn(&str) -> String, pushed] {
        let (before, elsewhere) = (Discovery::new(), Discovery::new());
        let (rig, mut old) = told(&before, &|node| list(7, true, node, "active"), change);
        rig.reload(&on_again(&rig.config, elsewhere.address), "reloads.taken=1");
        let mut time = rig.send(&job("pour", "runs", 4_500));
        let _hung = elsewhere.call();
        // What the watch given up still says is heard by nobody.
        let _ = old.write_all(chunk(&list(9, false, rig.node, "active")).as_bytes());
        let (call, _watch) = elsewhere.open(&list(2, true, rig.node, "leaving"));
        assert!(call.contains("index=0"), "{call}");
        until("it is told", || rig.counters("list.whole").contains(&"list.whole=2".to_owned()).then_some(()));
        time.get_ref().set_nonblocking(true).unwrap();
        let early = time.get_mut().read(&mut [0]).map_err(|error| error.kind());
        assert_eq!(early, Err(ErrorKind::WouldBlock), "the job's time is not over yet");
        assert!(!rig.counters("list.").contains(&"list.changes=1".to_owned()));
        assert_eq!(rig.ask(&job("tint", "done", 700)).status(), "503");
    }
}

#[test]
fn submitters_that_send_much_at_once_and_go_take_no_room_from_jobs() {
    let rig = Rig::configured(|config| config.replace("1024", "64"));
    let much = "x".repeat(60_000);
    let ways = [drop as fn(BufReader<TcpStream>), reset, |stream| half_close(&stream)];
    for (number, leave) in ways.iter().cycle().take(90).enumerate() {
        let whole = job("tint", "runs", 25_000);
        // Behind a job, behind half of one, and nothing else.
        let before = [&*whole, &whole[..whole.len() / 2], ""][number / 3 % 3];
        leave(rig.send(&format!("{before}{much}")));
    }
    // As long granted as those before: one granted less counts as a later try, and late ones wait for tokens.
    assert_eq!(rig.ask(&job("tint", "done", 25_000)).status(), "200");
    until("all have gone", || {
        let open = std::fs::read_dir(format!("/proc/{}/fd", rig.child.id())).unwrap().count();
        (open < 24).then_some(())
    });
}
