//! The operator's API, without the network.

use proptest::prelude::*;
use ruddervalve_coordinator::operator::{
    Answer, Endpoint, OperatorCall, RetireOrder, Status, answer_replace, answer_retire,
};
use ruddervalve_coordinator::placement::RetireFault;
use ruddervalve_coordinator::state::{Retirement, RetirementPhase};
use ruddervalve_coordinator::state_command::{ControlCommand, ControlResult};
use ruddervalve_protocol::{Blob, ConfigurationUpdate};

const MAX_BODY_BYTES: usize = 10_000;
const CONFIGURATION: &str = r#"{"ResourceVersion":7,"Services":[{"Name":"s"}],
    "Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/","Type":"asynchronous","TimeoutMs":5,"Backend":"s"}]}"#;

fn call(method: &str, path: &str, base_version: Option<&str>, body: &str) -> Result<OperatorCall, Answer> {
    Endpoint::parse(method, path)?.read(base_version.map(str::as_bytes), body.as_bytes(), MAX_BODY_BYTES)
}

fn told(answer: &Answer) -> String {
    let allow = answer.allow.map(|method| format!(" (Allow: {method})")).unwrap_or_default();
    format!("{}{allow} {}", answer.status.code(), String::from_utf8_lossy(&answer.body))
}

fn refused(method: &str, path: &str, base_version: Option<&str>, body: &str) -> String {
    told(&call(method, path, base_version, body).expect_err("it was to be refused"))
}

#[test]
fn a_configuration_is_handed_on_byte_for_byte() {
    let OperatorCall::ReplaceConfiguration(order) =
        call("POST", "/api/Config.Replace", Some(" 5 "), CONFIGURATION).expect("it is valid")
    else {
        panic!("it is another call");
    };
    assert_eq!((order.replacement.base_version, order.replacement.version), (5, 7));
    assert_eq!(order.replacement.body.as_slice(), CONFIGURATION.as_bytes());
    assert_eq!(order.replacement.digest, ruddervalve_configuration::digest(CONFIGURATION.as_bytes()));
    assert_eq!(order.configuration.version(), 7);
}

#[test]
fn the_other_calls_are_read() {
    assert_eq!(call("GET", "/api/Config.Get?x=1", None, ""), Ok(OperatorCall::GetConfiguration));
    let retire = RetireOrder { node: "store-1".to_owned(), deadline_ms: 10_500 };
    assert_eq!(
        call("POST", "/api/Retire.Start/store-1", None, r#"{"DeadlineS":10.5,"Colour":1}"#),
        Ok(OperatorCall::StartRetire(retire.clone()))
    );
    assert_eq!(
        retire.command(3),
        ControlCommand::StartRetire { node: "store-1".to_owned(), deadline_ms: 10_500, minimum_stores: 3 }
    );
    assert_eq!(
        call("GET", "/api/Retire.Get/store%2D1%C3%BC", None, ""),
        Ok(OperatorCall::GetRetire { node: "store-1ü".to_owned() })
    );
}

#[test]
fn refusals_say_what_is_wrong_and_where() {
    let faulty = CONFIGURATION
        .replace(r#""TimeoutMs":5"#, r#""TimeoutMs":0"#)
        .replace(r#""Name":"s""#, r#""Name":"t""#);
    let too_large = " ".repeat(MAX_BODY_BYTES + 1);
    let listing = [
        refused("POST", "/api/Config.Replace", Some("5"), &faulty),
        refused("POST", "/api/Config.Replace", Some("5"), CONFIGURATION.get(..60).unwrap_or_default()),
        refused("POST", "/api/Config.Replace", None, CONFIGURATION),
        refused("POST", "/api/Config.Replace", Some("-1"), CONFIGURATION),
        refused("POST", "/api/Config.Replace", Some("5"), &too_large),
        refused("GET", "/api/Config.Replace", None, ""),
        refused("POST", "/api/Config.Get", None, ""),
        refused("DELETE", "/api/Retire.Get/n", None, ""),
        refused("POST", "/api/Retire.Start/n", None, ""),
        refused("POST", "/api/Retire.Start/n", None, r#"{"DeadlineS":-1}"#),
        refused("POST", "/api/Retire.Start/n", None, r#"{"DeadlineS":"soon"}"#),
        refused("POST", "/api/Retire.Start/", None, r#"{"DeadlineS":1}"#),
        refused("GET", "/api/Retire.Get/a/b", None, ""),
        refused("GET", "/api/Retire.Get/%f", None, ""),
        refused("GET", "/api/Retire.Get/%ff", None, ""),
        refused("GET", "/api/config.get", None, ""),
        refused("GET", "/", None, ""),
    ];
    insta::assert_snapshot!(listing.join("\n"));
}

#[test]
fn outcomes_become_answers() {
    let update = ConfigurationUpdate { version: 7, body: Blob::from(CONFIGURATION.as_bytes()) };
    let retirement = |phase| Retirement { node: "n".to_owned(), deadline_ms: 5, phase };
    let listing = [
        told(&answer_replace(&ControlResult::Taken { version: 7 })),
        told(&answer_replace(&ControlResult::AlreadyTaken { version: 7 })),
        told(&answer_replace(&ControlResult::Conflict { current: 9 })),
        told(&answer_replace(&ControlResult::Placed)),
        told(&answer_retire(&ControlResult::RetireStarted)),
        told(&answer_retire(&ControlResult::RetireUnderWay)),
        told(&answer_retire(&ControlResult::AlreadyRetired)),
        told(&answer_retire(&ControlResult::UnknownNode)),
        told(&answer_retire(&ControlResult::TooFewLeft { left: 2, needed: 3 })),
        told(&answer_retire(&ControlResult::Placed)),
        told(&Answer::retire_fault(RetireFault::Unknown)),
        told(&Answer::retire_fault(RetireFault::TooFewLeft { left: 2, needed: 3 })),
        told(&Answer::retire_fault(RetireFault::SpreadLost)),
        told(&Answer::retirement(None)),
        told(&Answer::retirement(Some(&retirement(RetirementPhase::Running)))),
        told(&Answer::retirement(Some(&retirement(RetirementPhase::Succeeded)))),
        told(&Answer::configuration(None)),
        told(&Answer::configuration(Some(&update))),
        told(&Answer::unavailable("no leader \"yet\"\n: ask again")),
    ];
    insta::assert_snapshot!(listing.join("\n"));
}

#[test]
fn the_configuration_is_answered_byte_for_byte() {
    let body = b"{ \"any\":\xffbytes}";
    let answer =
        Answer::configuration(Some(&ConfigurationUpdate { version: 1, body: Blob::from(&body[..]) }));
    assert_eq!((answer.status, answer.body.as_slice()), (Status::Ok, &body[..]));
}

#[test]
fn every_refusal_is_json() {
    let quoted = CONFIGURATION.replace(r#""Backend":"s""#, r#""Backend":"\"\\\u0001ü""#);
    let answer = call("POST", "/api/Config.Replace", Some("1"), &quoted).expect_err("it is unknown");
    assert!(ruddervalve_configuration::Document::read(&answer.body).is_ok(), "{}", told(&answer));
}

proptest! {
    #[test]
    fn nothing_makes_it_panic_and_each_refusal_is_json(
        method in "GET|POST|PUT|",
        path in "(/api/(Config\\.Replace|Config\\.Get|Retire\\.Start/|Retire\\.Get/))?.{0,12}",
        base_version in prop::option::of(prop::collection::vec(any::<u8>(), 0..6)),
        body in prop::collection::vec(any::<u8>(), 0..120),
    ) {
        let outcome = Endpoint::parse(&method, &path)
            .and_then(|endpoint| endpoint.read(base_version.as_deref(), &body, 100));
        if let Err(answer) = outcome {
            prop_assert!((400..500).contains(&answer.status.code()));
            prop_assert!(ruddervalve_configuration::Document::read(&answer.body).is_ok());
        }
    }
}

#[test]
fn a_call_whose_outcome_is_not_known_is_no_refusal_and_says_so() {
    let unknown = Answer::outcome_unknown();
    assert_eq!((unknown.status, unknown.status.code()), (Status::OutcomeUnknown, 504));
    assert!(told(&unknown).contains("send the same call again"));
    assert_eq!(answer_replace(&ControlResult::TooOldToTell { version: 3 }), unknown);
}
