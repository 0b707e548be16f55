//! Every switch of the settings that changes what a dispatcher may do or hear, one value at a time: stand-ins that behave
//! as the settings say get a small mixed load from the real program, and all of it is served, each job once.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use insta::assert_snapshot;
use serde_json::{Value, json};

use crate::rig::*;

/// How an execute node behaves.
#[derive(Clone, Default)]
struct Manner {
    tells_start: bool,
    progress: bool,
    /// Its report goes along with answers.
    reports: bool,
    /// What it answers to a probe.
    probed: &'static str,
    /// It drains, though the list does not say so yet: it hands back what has not started.
    returns: bool,
    /// It fails each job.
    fails: bool,
    /// It is busy with others' jobs for so long that a first one waits in its queue unstarted.
    stuck: bool,
}

#[derive(Default)]
struct Log {
    /// Jobs run to their end, by id, and how often.
    runs: BTreeMap<String, usize>,
    /// Heads of what came.
    heads: Vec<Message>,
    probes: usize,
    /// What probes asked for.
    asked: BTreeSet<String>,
    handed_back: usize,
    left_waiting: usize,
    connections: usize,
}

type Shared = Arc<Mutex<Log>>;

const WELL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nTEXT qps=1, x0=4";
const NOT_THERE: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

fn stand_in(name: &'static str, manner: Manner, log: &Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, log) = (listener.local_addr().unwrap(), log.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            log.lock().unwrap().connections += 1;
            let (manner, log) = (manner.clone(), log.clone());
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                while let Some(asked) = Message::read(&mut from) {
                    let answer = if asked.first.starts_with("GET ") {
                        let mut log = log.lock().unwrap();
                        log.probes += 1;
                        log.asked.insert(asked.first.clone());
                        manner.probed.to_owned()
                    } else {
                        let Some(answer) = run(name, &manner, asked, &log) else {
                            // Unstarted until the other side gives it up.
                            let _ = stream.peek(&mut [0]);
                            return;
                        };
                        answer
                    };
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// What a node answers to a job; none where it never starts it.
fn run(name: &str, manner: &Manner, job: Message, log: &Shared) -> Option<String> {
    let id = job.headers["x-txn"].clone();
    let mut log = log.lock().unwrap();
    log.heads.push(job);
    if manner.stuck {
        log.left_waiting += 1;
        return None;
    }
    let line = |state: &str, more: &str| {
        chunk(&format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"{state}\"{more}}}\n"))
    };
    if manner.fails {
        return Some("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_owned());
    }
    let load = if manner.reports { ",\"load\":{\"x0\":4,\"queue\":0}" } else { "" };
    let mut answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    if manner.returns {
        log.handed_back += 1;
        return Some(answer + &line("returned", load) + "0\r\n\r\n");
    }
    if manner.tells_start {
        answer += &line("started", "");
    }
    if manner.progress {
        answer += &line("running", ",\"share\":0.5");
    }
    *log.runs.entry(id.clone()).or_default() += 1;
    Some(answer + &line("done", &format!(",\"result\":\"of {id}\"{load}")) + "0\r\n\r\n")
}

/// Discovery, or the agent that a list is pushed to: the nodes on each watch, and then nothing but empty lines.
fn listing(nodes: &[(&str, SocketAddr, &str)]) -> SocketAddr {
    let entry = |(name, address, zone): &(&str, SocketAddr, &str)| {
        json!({"id": name, "addr": address.to_string(), "zone": zone, "kind": "box", "cell": 0, "state": "active",
               "weight": 1.0, "started_ms": 0})
    };
    let entries: Vec<Value> = nodes.iter().map(entry).collect();
    let list = chunk(&format!("{}\n", json!({"version": 3, "full": true, "servers": entries})));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            thread::spawn(move || {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut said = stream.write_all(format!("{head}{list}").as_bytes());
                while said.is_ok() {
                    thread::sleep(Duration::from_secs(1));
                    said = stream.write_all(chunk("\n").as_bytes());
                }
            });
        }
    });
    address
}

/// A deployment: the settings that differ from the example's, the nodes beside it, and what its submitters send along.
#[derive(Clone, Default)]
struct Site {
    settings: Vec<(&'static str, Value)>,
    manner: Manner,
    /// A second node that is not as the first.
    other: Option<Manner>,
    /// The second node's zone.
    far: bool,
    headers: &'static str,
}

/// Twelve jobs, three on each of four connections, of both classes: all nodes are idle or soon are, so all are served.
fn play(site: &Site) -> (Log, Vec<String>) {
    let log = Shared::default();
    let nodes = [
        ("a", stand_in("a", site.manner.clone(), &log), "north"),
        (
            "b",
            stand_in("b", site.other.clone().unwrap_or_else(|| site.manner.clone()), &log),
            if site.far { "south" } else { "north" },
        ),
    ];
    let mut config: Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = listing(&nodes).to_string().into();
    for (pointer, value) in &site.settings {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        config["settings"].pointer_mut(parent).unwrap()[key] = value.clone();
    }
    let config = config.to_string();
    let rig = Rig::started(start(&config, &[]), Default::default(), nodes[0].1, config);
    until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
    let submit = |first: &str| {
        let mut stream = rig.send("");
        for class in [first, "pour", "tint"] {
            let job = job(class, "done", if class == "tint" { 5_000 } else { 25_000 });
            let job = job.replace("Content-Length", &format!("{}Content-Length", site.headers));
            stream.get_mut().write_all(job.as_bytes()).unwrap();
            let answer = Message::read(&mut stream).unwrap();
            assert_eq!(answer.status(), "200", "{:?}", answer.headers);
            assert!(answer.body.starts_with("of "));
        }
    };
    thread::scope(|scope| {
        ["tint", "pour", "tint", "pour"].map(|first| scope.spawn(move || submit(first))).map(drop)
    });
    let counters = rig.counters("");
    drop(rig);
    let log = std::mem::take(&mut *log.lock().unwrap());
    assert_eq!(log.runs.len(), 12, "each job ran");
    assert!(log.runs.values().all(|runs| *runs == 1), "and none twice");
    (log, counters)
}

fn counted(counters: &[String], name: &str) -> usize {
    let count = counters.iter().find_map(|count| count.strip_prefix(&format!("{name}=")));
    count.map_or(0, |count| count.parse().unwrap())
}

/// As the example's settings say.
fn usual() -> Manner {
    Manner { tells_start: true, progress: true, reports: true, probed: NOT_THERE, ..Manner::default() }
}

fn site(settings: Vec<(&'static str, Value)>, manner: Manner) -> Site {
    Site { settings, manner, ..Site::default() }
}

#[test]
fn load_may_come_with_answers_by_probes_or_not_at_all() {
    for (how, allowed, reports) in [
        ("answers", false, true),
        ("answers", true, true),
        ("probe", true, false),
        ("probe", false, false),
        ("none", false, false),
        ("none", true, false),
    ] {
        let settings = vec![("/reporting/how", json!(how)), ("/limits/probes", json!(allowed))];
        let probed = if allowed { WELL } else { NOT_THERE };
        let (log, counters) = play(&site(settings, Manner { reports, probed, ..usual() }));
        let probes = log.probes;
        assert_eq!(probes > 0, allowed && how != "none", "{how} {allowed}: none without need or leave");
        assert!(probes <= 12, "{how}: at most one for each job, {probes}");
        assert_eq!(counted(&counters, "probes.sent"), probes, "{how}");
        assert_eq!(counted(&counters, "probes.answered"), probes, "{how}");
        assert!(log.asked.iter().all(|asked| asked == "GET /load HTTP/1.1"), "{:?}", log.asked);
    }
}

#[test]
fn where_there_are_no_reports_a_node_that_failed_is_asked_for_its_health() {
    let settings = vec![
        ("/reporting/how", json!("none")),
        ("/limits/probes", json!(true)),
        ("/profiles/1/semantics", json!("retryable")),
    ];
    let unwell = "HTTP/1.1 503 Unwell\r\nContent-Length: 0\r\n\r\n";
    let well = Manner { reports: false, probed: WELL, ..usual() };
    let other = Some(Manner { fails: true, probed: unwell, ..well.clone() });
    let (log, counters) = play(&Site { other, ..site(settings, well) });
    assert_eq!(log.asked, BTreeSet::from(["GET /healthz HTTP/1.1".to_owned()]));
    assert_eq!(counted(&counters, "probes.unwell"), log.probes, "and no other node is");
}

#[test]
fn starts_and_progress_may_be_told_or_not() {
    for (tells_start, progress) in [(true, true), (true, false), (false, true), (false, false)] {
        let every = if progress { 1_000_000 } else { 0 };
        let settings =
            vec![("/family_info/tells_start", json!(tells_start)), ("/family_info/progress", json!(every))];
        play(&site(settings, Manner { tells_start, progress, ..usual() }));
    }
}

#[test]
fn nothing_told_but_by_probes_of_a_pushed_list_is_enough() {
    // All that the first deployment never did, at once.
    let settings = vec![
        ("/reporting/how", json!("probe")),
        ("/limits/probes", json!(true)),
        ("/family_info/tells_start", json!(false)),
        ("/discovery", json!("pushed")),
        ("/prices/handshake", json!(0.0)),
        ("/worth_by", json!("work")),
        ("/clients/marks_retry", json!(true)),
    ];
    let manner = Manner { tells_start: false, progress: false, reports: false, probed: WELL, ..usual() };
    let (log, counters) = play(&site(settings, manner));
    assert!(log.probes > 0 && counted(&counters, "list.whole") == 1);
}

#[test]
fn lists_may_be_pushed_or_asked_for() {
    for how in ["pushed", "on_request"] {
        let (_, counters) = play(&site(vec![("/discovery", json!(how))], usual()));
        assert_eq!(counted(&counters, "list.whole"), 1, "{how}: it was had");
    }
}

#[test]
fn what_submitters_may_send_along_goes_on_and_changes_nothing() {
    // Hints, keys, marked retries, labels: each may be there or not.
    for headers in
        ["", "X-Estimate: 12\r\n", "X-Entity: 7f\r\n", "X-Resent: 1\r\n", "X-Labels: slots=2,memory=1\r\n"]
    {
        let settings = vec![("/clients/marks_retry", json!(headers.contains("Resent")))];
        let (log, _) = play(&Site { headers, ..site(settings, usual()) });
        if let Some((name, value)) = headers.trim_end().split_once(": ") {
            let there = log
                .heads
                .iter()
                .filter(|head| head.headers.get(&name.to_lowercase()).map(String::as_str) == Some(value));
            assert_eq!(there.count(), log.heads.len(), "{headers}");
        }
    }
}

#[test]
fn what_a_draining_node_hands_back_is_served_by_another() {
    let other = Some(Manner { returns: true, ..usual() });
    let (log, counters) = play(&Site { other, ..site(Vec::new(), usual()) });
    assert_eq!(counted(&counters, "claims.turned_away"), log.handed_back);
}

#[test]
fn attempts_may_be_withdrawn_or_not() {
    // A job that never starts at a node is called back where that is allowed and harmless, and then served elsewhere.
    for cancel in [true, false] {
        let settings = vec![("/limits/cancel", json!(cancel)), ("/profiles/1/semantics", json!("retryable"))];
        let mut stuck = site(settings, usual());
        // Where it is not allowed, the one node is not stuck: the load has to be served all the same.
        stuck.other = cancel.then(|| Manner { stuck: true, ..usual() });
        let (log, counters) = play(&stuck);
        assert_eq!(counted(&counters, "claims.withdrawn"), log.left_waiting, "cancel {cancel}");
    }
}

#[test]
fn effects_of_classes_copies_streams_prices_cells_and_zones_leave_an_idle_fleet_serving() {
    let mut sites = Vec::new();
    for semantics in ["retryable", "dedup", "fragile", "unheard-of"] {
        for group in ["all", "zone", "cell"] {
            sites.push(site(
                vec![
                    ("/profiles/0/semantics", json!(semantics)),
                    ("/profiles/0/group", json!(group)),
                    ("/profiles/0/window", json!(5_000_000)),
                ],
                usual(),
            ));
        }
    }
    for (pointer, values) in [
        ("/limits/second_copies", vec![json!(true), json!(false)]),
        ("/limits/retry_after", vec![json!(true), json!(false)]),
        ("/limits/streams_per_conn", vec![json!(1), json!(8)]),
        ("/limits/max_attempts", vec![json!(1), json!(6)]),
        ("/prices/handshake", vec![json!(0.0), json!(0.3)]),
        ("/prices/cross_zone", vec![json!(0.0), json!(0.12), json!(2.0)]),
        ("/family_info/queue_order", vec![json!("fifo"), json!("backfill"), json!("priority")]),
        ("/weights", vec![json!("none"), json!("nominal"), json!("rough"), json!("live")]),
        ("/worth_by", vec![json!("request"), json!("work")]),
        ("/tenants", vec![json!([])]),
    ] {
        sites.extend(values.into_iter().map(|value| site(vec![(pointer, value)], usual())));
    }
    // One zone told or none, and a node that stands in another one.
    sites.push(site(vec![("/localities", json!(["north"]))], usual()));
    sites.push(site(vec![("/az", json!("south"))], usual()));
    sites.push(Site { far: true, ..site(Vec::new(), usual()) });
    let mut seen = BTreeSet::new();
    for site in &sites {
        let (log, counters) = play(site);
        assert_eq!(counted(&counters, "answers.served"), 12, "{:?}", site.settings);
        seen.extend(log.runs.into_keys());
    }
    assert_eq!(seen.len(), 12 * sites.len());
}

/// A pushed list on which reports come by probes alone, with one node that answers probes so.
fn probed(answer: &'static str) -> (Rig, Shared, SocketAddr) {
    let log = Shared::default();
    let manner = Manner { tells_start: true, probed: answer, ..Manner::default() };
    let node = stand_in("a", manner, &log);
    let config = CONFIG
        .replace("127.0.0.1:8000", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &listing(&[("a", node, "north")]).to_string())
        .replace("\"how\": \"answers\"", "\"how\": \"probe\"")
        .replace("\"probes\": false", "\"probes\": true, \"probe_timeout\": 200000");
    let config = with_control(&config);
    let rig = Rig::started(start(&config, &[]), Default::default(), node, config);
    until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
    (rig, log, node)
}

#[test]
fn a_probe_ends_in_one_way_and_each_way_is_counted() {
    let mut table = String::new();
    for (what, answer) in [
        ("text", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nTEXT qps=1, x0=4"),
        ("object", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"x0\":4,\"qps\":1}"),
        ("within", "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"load\":{\"x0\":4}}"),
        ("header", "HTTP/1.1 200 OK\r\nX-Pressure: TEXT x0=4\r\nContent-Length: 0\r\n\r\n"),
        ("no free slots", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nTEXT qps=1"),
        ("senseless", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nTEXT x0=-1e9"),
        ("garbled", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"),
        ("no report yet", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        ("turned away", "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
        ("unwell", "HTTP/1.1 503 Unwell\r\nContent-Length: 0\r\n\r\n"),
        ("not known there", NOT_THERE),
        ("never", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT"),
    ] {
        let (rig, log, _) = probed(answer);
        assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200", "{what}");
        let counts = until("the probe has ended", || {
            let counts = rig.counters("probes.");
            (counts.len() > 1).then_some(counts)
        });
        assert_eq!(log.lock().unwrap().probes, 1, "one job, one probe");
        table += &format!("{what}: {}\n", counts.join(" "));
    }
    assert_snapshot!(table, @r"
    text: probes.answered=1 probes.sent=1
    object: probes.answered=1 probes.sent=1
    within: probes.answered=1 probes.sent=1
    header: probes.answered=1 probes.sent=1
    no free slots: probes.answered=1 probes.sent=1 probes.without_free_slots=1
    senseless: probes.answered=1 probes.sent=1 probes.without_free_slots=1
    garbled: probes.answered_without_a_report=1 probes.sent=1
    no report yet: probes.answered_without_a_report=1 probes.sent=1
    turned away: probes.sent=1 probes.turned_away=1
    unwell: probes.sent=1 probes.unwell=1
    not known there: probes.not_known_there=1 probes.sent=1
    never: probes.late=1 probes.sent=1
    ");
}

#[test]
fn a_probe_goes_by_a_kept_connection_and_none_waits_behind_a_job() {
    let (rig, log, _) = probed(WELL);
    for jobs in 1..=3 {
        assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
        until("the probe is answered", || {
            (counted(&rig.counters("probes."), "probes.answered") == jobs).then_some(())
        });
    }
    // Guards the operators' figures: a probe is no attempt.
    assert!(rig.call("vars\n").contains("relayed=3\n"));
    // The first job had to open one, and so had the probe beside it: the others went by these.
    assert_eq!(log.lock().unwrap().connections, 2);
}

#[test]
fn a_node_that_leaves_is_not_probed() {
    let (seen, log) = (crate::rig::Shared::default(), Shared::default());
    let node = stand_in("a", Manner { probed: WELL, ..usual() }, &log);
    let config = CONFIG
        .replace("127.0.0.1:8000", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery(&seen, node).to_string())
        .replace("on_request", "pushed")
        .replace("\"probes\": false", "\"probes\": true");
    let rig = Rig::started(start(&config, &[]), seen.clone(), node, config);
    until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
    let leaving = chunk(&list(8, false, node, "leaving"));
    seen.lock().unwrap().watches[0].1.write_all(leaving.as_bytes()).unwrap();
    until("told", || (counted(&rig.counters("list"), "list.changes") == 1).then_some(()));
    assert_eq!(rig.ask(&job("tint", "done", 300)).status(), "503");
    assert_eq!((log.lock().unwrap().probes, rig.counters("probes.")), (0, Vec::new()));
}

#[test]
fn a_watch_on_an_agent_is_kept_open_whatever_ends_it() {
    let seen = crate::rig::Shared::default();
    let node = node(&seen);
    let config = CONFIG.replace("127.0.0.1:8000", "127.0.0.1:0").replace("on_request", "pushed");
    // The agent is not there yet when the program starts.
    let agent = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = config.replace("127.0.0.1:8500", &agent.to_string());
    let rig = Rig::started(start(&config, &[]), seen.clone(), node, config);
    let tells = || rig.lines.lock().unwrap().iter().filter(|line| line.contains("machine list:")).count();
    until("it is told", || (tells() > 0).then_some(()));
    until("calls fail", || (counted(&rig.counters("list"), "list.failed") > 3).then_some(()));
    assert_eq!(tells(), 0, "once is enough, and the lines were emptied since");
    discovery_at(&seen, node, TcpListener::bind(agent).unwrap());
    until("ready", || (rig.ask(HEALTH).status() == "200").then_some(()));
    // It ends, then it falls silent with its connection open: what it has counts as told all the while.
    seen.lock().unwrap().watches[0].1.shutdown(std::net::Shutdown::Both).unwrap();
    until("a second watch", || (seen.lock().unwrap().watches.len() == 2).then_some(()));
    until("a third watch", || (seen.lock().unwrap().watches.len() == 3).then_some(()));
    assert_eq!(rig.ask(&job("tint", "done", 5_000)).status(), "200");
    // Another agent after a reload, and then discovery that is asked.
    let other = crate::rig::Shared::default();
    let address = discovery(&other, node);
    rig.reload(&rig.config.replace(&agent.to_string(), &address.to_string()), "reloads.taken=1");
    until("a watch there", || (other.lock().unwrap().watches.len() == 1).then_some(()));
    rig.reload(
        &rig.config.replace(&agent.to_string(), &address.to_string()).replace("pushed", "on_request"),
        "reloads.taken=2",
    );
    other.lock().unwrap().watches[0].1.shutdown(std::net::Shutdown::Both).unwrap();
    until("asked again", || (other.lock().unwrap().watches.len() == 2).then_some(()));
    // And back: a watch of its own is opened at once.
    rig.reload(&rig.config.replace(&agent.to_string(), &address.to_string()), "reloads.taken=3");
    until("watched again", || (other.lock().unwrap().watches.len() >= 3).then_some(()));
}

#[test]
fn at_a_start_and_after_a_reload_it_tells_what_it_learns_from_and_what_is_missing() {
    let rig = Rig::new();
    let said = || {
        let lines = rig.lines.lock().unwrap();
        let about = |line: &&String| line.contains("learns from") || line.contains("warning");
        lines
            .iter()
            .filter(about)
            .map(|line| line.replace("ruddervalve: ", ""))
            .collect::<Vec<_>>()
            .join("\n")
    };
    let first = until("it is told", || Some(said()).filter(|said| !said.is_empty()));
    rig.lines.lock().unwrap().clear();
    std::fs::write(config_path(), rig.config.replace("\"answers\"", "\"probe\"")).unwrap();
    rig.signal("-HUP");
    let then = until("it is told again", || Some(said()).filter(|said| said.contains("warning")));
    assert_snapshot!(format!("{first}\n{then}"), @r"
    learns from load reports: with answers; starts: told; progress: each 1000 ms; list: asked for
    learns from load reports: none; starts: told; progress: each 1000 ms; list: asked for
    warning: nothing tells that a node is idle again: settings.reporting.how is 'probe', and settings.limits.probes forbids them
    ");
}

/// Each source file of the program and its text.
fn sources() -> Vec<(PathBuf, String)> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (mut folders, mut read) = (vec![root.join("src"), root.join("crates")], Vec::new());
    while let Some(folder) = folders.pop() {
        for path in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
            if path.is_dir() {
                // Tests may name what they like.
                folders.extend((!path.ends_with("tests")).then_some(path));
            } else if path.extension().is_some_and(|kind| kind == "rs") {
                let text = std::fs::read_to_string(&path).unwrap();
                read.push((path, text));
            }
        }
    }
    assert!(read.len() > 30, "{} files read", read.len());
    read
}

#[test]
fn no_connection_holds_small_writes_back() {
    // Nothing outside shows it: whichever file makes or accepts TCP connections has to set it.
    let mut files = 0;
    for (path, text) in sources() {
        let connects = ["TcpStream::connect(", ".accept()"].iter().any(|words| text.contains(words));
        let held_back = connects && !text.contains("UnixListener") && !text.contains("set_nodelay(true)");
        assert!(!held_back, "{}", path.display());
        files += usize::from(connects);
    }
    assert!(files > 5, "{files} files connect");
}

#[test]
fn no_deployment_is_named_in_the_code() {
    // Sites, zones, operators, classes and tenants are the settings' to name.
    let names = [
        "cairo",
        "hanoi",
        "nile",
        "danang",
        "plan-view",
        "plan-issue",
        "dispense",
        "phuc-an",
        "palermo",
        "catania",
        "messina",
        "registri",
        "aswan",
        "run-sheet",
        "hue-",
        "catalogue",
    ];
    for (path, text) in sources() {
        let text = text.to_lowercase();
        let named: Vec<_> = names.iter().filter(|name| text.contains(*name)).collect();
        assert!(named.is_empty(), "{}: {named:?}", path.display());
    }
}
