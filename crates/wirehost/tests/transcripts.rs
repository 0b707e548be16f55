//! The adapter's binary on small transcripts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INFO: &str = concat!(
    r#"{"az":"north","discovery":"pushed","family_info":{"class_kind":[-1,-1],"class_stretch":[1.0,1.0],"#,
    r#""tells_start":true,"novel":7},"limits":{"cancel":true,"max_attempts":3,"max_retry_after":500000,"probes":false},"#,
    r#""localities":["north","south"],"machine_types":["box"],"objective_mix":{"whole":0.5,"worst_class":0.2},"#,
    r#""obligations":{"ask_within":10000000,"cold":10000000,"cold_share":0.2,"tip_after":1000000,"#,
    r#""tip_multiple":3.0},"over_share_worth":0.1,"peers_total":2,"position":0,"prices":{"cross_zone":0.0},"#,
    r#""profiles":[{"aim":100000,"deadline":1000000,"name":"look","semantics":"retryable","worth":1.0},"#,
    r#"{"aim":100000,"deadline":1000000,"name":"book","semantics":"fragile","worth":2.0}],"#,
    r#""reporting":{"fields":["backlog","x0"],"how":"answers"},"tenants":[],"tick":1000,"worth_by":"request"}"#
);

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ruddervalve-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A host that has ended early takes no more input: its exit code tells.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn attach(instance: u64, seed: u64) -> String {
    format!(
        "AT dispatcher_id={instance}\nATTACH rng_seed={seed} info={INFO}\nSHEET sheet=0 members_list=2\n\
         ENTRY pack=0 availability=ready hall=north runner=10.0.0.1:80 heft=1 shape=box\n\
         ENTRY pack=0 availability=ready hall=south runner=10.0.0.2:80 heft=1 shape=box novel=1\n\
         REGISTRY how=C sheet=0 epoch=1\n"
    )
}

fn served(input: &str) -> Vec<String> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap().lines().map(str::to_owned).collect()
}

#[test]
fn an_empty_batch_has_an_empty_reply_and_the_end_of_input_ends_well() {
    assert_eq!(served("BATCH ts=1\nFLUSH\n"), ["EOR"]);
    assert!(served("").is_empty());
}

#[test]
fn a_request_is_assigned_and_its_failure_answered() {
    let start = attach(3, 7);
    let lines = served(&format!(
        "BATCH ts=1000\n{start}DEMAND rid=42 expires_in=1000000 category=book width=1 later=x\nFLUSH\n\
         BATCH ts=2000\nAT dispatcher_id=3\nUPDATE_OF rid=42 copy=0 kind=1 runner=10.0.0.1:80\n\
         FROM_PEER author=1 contents=aGkgNw==\nUNHEARD of=it\nFLUSH\n\
         BATCH ts=3000\nAT dispatcher_id=3\n\
         OUTCOME rid=42 delay_seen=9 status=err copy=0 final=0 report=backlog:0,x0:2.5,y:1\nFLUSH\n"
    ));
    assert!(lines[0] == "SOURCE dispatcher_id=3" && lines[1].starts_with("ASSIGN rid=42 runner=10.0.0."));
    assert!(lines.iter().any(|line| line.starts_with("SLEEP mark=0 time=")));
    assert!(lines.contains(&"ABORT rid=42".to_owned()), "{lines:?}");
    assert_eq!(lines.iter().filter(|line| *line == "EOR").count(), 3);
}

#[test]
fn a_refusal_tells_when_to_come_back() {
    let start = attach(3, 7).replace("availability=ready", "availability=draining");
    let lines = served(&format!(
        "BATCH ts=1000\n{start}DEMAND rid=42 expires_in=1000000 category=book\nFLUSH\n\
         BATCH ts=1000000\nAT dispatcher_id=3\nDEADLINE_HIT mark=0\nFLUSH\n"
    ));
    let wait = lines.iter().find_map(|line| line.strip_prefix("DENY rid=42 come_back="));
    assert_eq!(wait, Some("500000"), "within limits.max_retry_after: {lines:?}");
}

#[test]
fn a_killed_instance_starts_anew_within_one_batch() {
    let again = attach(3, 8);
    let lines = served(&format!(
        "BATCH ts=1000\n{}DEMAND rid=1 expires_in=1000000 category=look\nFLUSH\n\
         BATCH ts=2000\nAT dispatcher_id=3\nDEMAND rid=2 expires_in=1000000 category=look\nPOWER_OFF\n\
         {again}DEMAND rid=5 expires_in=1000000 category=look\nFLUSH\n",
        attach(3, 7)
    ));
    let assigned: Vec<&str> =
        lines.iter().filter(|line| line.starts_with("ASSIGN")).map(|line| &line[..12]).collect();
    assert_eq!(assigned, ["ASSIGN rid=1", "ASSIGN rid=5"]);
}

#[test]
fn a_sheet_number_is_read_in_the_order_of_events() {
    let lines = served(&format!(
        "BATCH ts=1000\n{}SHEET sheet=0 members_list=1\n\
         ENTRY pack=0 availability=ready hall=north runner=10.0.0.9:80 heft=1 shape=box\n\
         REGISTRY how=F sheet=0 epoch=2\nDEMAND rid=1 expires_in=1000000 category=look\nFLUSH\n",
        attach(0, 7)
    ));
    assert!(lines.contains(&"ASSIGN rid=1 runner=10.0.0.9:80".to_owned()), "{lines:?}");
}

#[test]
fn one_process_and_two_act_alike() {
    let demand = "DEMAND rid=1 expires_in=1000000 category=look\n";
    let alone = |id: u64| served(&format!("BATCH ts=1000\n{}{demand}FLUSH\n", attach(id, 40 + id)));
    let both = served(&format!("BATCH ts=1000\n{}{demand}{}{demand}FLUSH\n", attach(1, 41), attach(2, 42)));
    let (mut first, second) = (alone(1), alone(2));
    first.pop();
    first.extend(second);
    assert_eq!(both, first);
}

#[test]
fn settings_without_sense_become_the_fault_message() {
    let start = attach(3, 7).replace(r#""peers_total":2"#, r#""peers_total":0"#);
    let lines = served(&format!("BATCH ts=1000\n{start}FLUSH\n"));
    assert_eq!(
        lines,
        [
            "SOURCE dispatcher_id=3",
            "BUG reason_text=settings: index: must be below the number of dispatchers",
            "EOR"
        ]
    );
}

#[test]
fn malformed_lines_end_the_program_with_a_plain_message() {
    let start = format!("BATCH ts=1000\n{}", attach(0, 7));
    for (lines, message) in [
        ("BATCH\n".to_owned(), "line 1: BATCH: field 'ts' is missing"),
        ("BATCH ts=soon\n".to_owned(), "line 1: BATCH: field 'ts' is 'soon', expected a number"),
        ("BATCH ts=1\nBATCH ts=2\n".to_owned(), "line 2: BATCH: expected FLUSH before the next batch"),
        ("DEADLINE_HIT mark=1\n".to_owned(), "line 1: DEADLINE_HIT: expected BATCH first"),
        ("BATCH ts=1\nPOWER_OFF\n".to_owned(), "line 2: POWER_OFF: expected AT first"),
        (
            "BATCH ts=1\nSHEET sheet=0 members_list=1\nFLUSH\n".to_owned(),
            "line 3: FLUSH: expected another ENTRY of the list",
        ),
        (format!("{start}DEMAND rid\n"), "line 8: expected name=value, found 'rid'"),
        (
            format!("{start}DEMAND rid=1 expires_in=5 category=none\n"),
            "line 8: DEMAND: field 'category' is 'none', expected the name of a class",
        ),
        (
            format!("{start}OUTCOME rid=1 copy=0 status=fine\n"),
            "line 8: OUTCOME: field 'status' is 'fine', expected an outcome of the wire",
        ),
        (
            "BATCH ts=1\nAT dispatcher_id=0\nATTACH rng_seed=1 info={\n".to_owned(),
            "line 3: ATTACH: field 'info': EOF while parsing",
        ),
    ] {
        let output = run(&lines);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{lines}");
        assert!(error.starts_with(&format!("ruddervalve-adapter: {message}")), "{error}");
    }
}
