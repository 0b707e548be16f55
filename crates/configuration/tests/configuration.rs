//! Reading and checking the operator's configurations.

mod common;

use common::CONFIGURATION;
use proptest::prelude::*;
use ruddervalve_configuration::{Configuration, FaultKind, MAX_NESTING, RouteKind, Unreadable, digest};

/// A configuration with one field of its text replaced.
fn changed(from: &str, to: &str) -> String {
    assert!(CONFIGURATION.contains(from), "the document has no {from}");
    CONFIGURATION.replacen(from, to, 1)
}

fn faults(body: &str) -> String {
    Configuration::parse(body.as_bytes()).expect_err("a fault was expected").to_string()
}

#[test]
fn a_whole_configuration_is_read_as_it_stands() {
    let configuration = Configuration::parse(CONFIGURATION.as_bytes()).expect("it is valid");
    insta::assert_debug_snapshot!(configuration);
}

#[test]
fn what_is_not_needed_has_defaults_also_where_it_is_null() {
    let body = r#"{"ResourceVersion":1,
        "Routes":[{"Name":"r","Hostname":"A.Example:80","PathPrefix":"/","Type":"asynchronous","TimeoutMs":700,"Backend":"s","MaxRetries":null}],
        "Services":[{"Name":"s"}],"Limits":null}"#;
    let configuration = Configuration::parse(body.as_bytes()).expect("it is valid");
    insta::assert_debug_snapshot!(configuration);
}

#[test]
fn unknown_fields_are_ignored_everywhere() {
    let body = changed(r#"{"ResourceVersion":7,"#, r#"{"Colour":{"x":[1,{}]},"ResourceVersion":7,"#)
        .replace(r#""Ordered":true,"#, r#""Ordered":true,"Colour":"blue","#)
        .replace(r#""Tls":false,"#, r#""Tls":false,"Colour":1e3,"#);
    let expected = Configuration::parse(CONFIGURATION.as_bytes()).expect("it is valid");
    assert_eq!(Configuration::parse(body.as_bytes()).expect("it is valid"), expected);
}

#[test]
fn a_route_of_an_unknown_type_is_accepted_and_not_served() {
    let body = changed("asynchronous", "streamed");
    let configuration = Configuration::parse(body.as_bytes()).expect("it is valid");
    let route = configuration.routes().first().expect("there is one");
    assert_eq!(route.kind, RouteKind::Other("streamed".to_owned()));
    assert!(!route.is_served());
}

#[test]
fn whole_numbers_may_be_written_with_a_point() {
    let body = changed(r#""TimeoutMs":1500"#, r#""TimeoutMs":1500.0"#);
    let configuration = Configuration::parse(body.as_bytes()).expect("it is valid");
    assert_eq!(configuration.routes().first().map(|route| route.timeout_ms), Some(1500));
}

#[test]
fn all_faults_are_told_at_once_with_their_places() {
    let body = r#"{"ResourceVersion":"7","Routes":[
        {"Name":"r1","Hostname":"a.example","PathPrefix":"/a/","Type":"asynchronous","TimeoutMs":0,"Backend":"s1"},
        {"Name":"r2","Hostname":"a.example","PathPrefix":"/b/","Type":"asynchronous","TimeoutMs":-5,"Backend":"gone"},
        {"Name":"r3","Hostname":"a.example","PathPrefix":"/c/","Type":"asynchronous","TimeoutMs":5,"Backend":"gone"},
        {"Name":"r3","Hostname":"A.EXAMPLE","PathPrefix":"/c/","Type":"asynchronous","TimeoutMs":5.5,"Backend":"s1"},
        {"Name":"r5","Hostname":"A.EXAMPLE","PathPrefix":"/c/","Type":"asynchronous","TimeoutMs":5,"Backend":"s1"},
        {"Name":"r5","Hostname":"b.example","PathPrefix":"/c/","Type":"asynchronous","TimeoutMs":5,"Backend":"s1"},
        {"Name":"","Hostname":7,"Ordered":"yes","RetentionS":-1,"MaxRetries":5000000000,"PriorityClass":1e300},
        12],
        "Services":[{"Name":"s1"},{"Name":"s1","RatePerS":-1,"StaticEndpoint":"10.0.0.4","MaxConnections":1.5},[]],
        "Limits":{"MaxBodyBytes":"many","IdleTimeoutMs":-1}}"#;
    insta::assert_snapshot!(faults(body));
}

#[test]
fn sections_that_are_missing_or_of_another_kind_are_told() {
    insta::assert_snapshot!(faults(r#"{"Limits":[]}"#));
    insta::assert_snapshot!(faults(r#"{"ResourceVersion":1,"Routes":{},"Services":"none"}"#));
    insta::assert_snapshot!(faults("[1,2]"));
}

#[test]
fn a_large_broken_configuration_gets_a_small_listing() {
    let routes = vec!["{}"; 1000].join(",");
    let body = format!(r#"{{"ResourceVersion":1,"Services":[],"Routes":[{routes}]}}"#);
    let faults = Configuration::parse(body.as_bytes()).expect_err("it is faulty");
    assert_eq!(faults.faults.len(), 32);
    // Each route lacks its name, host, prefix, type, time-out and service.
    assert_eq!(faults.faults.len() + faults.omitted, 6 * 1000);
}

#[test]
fn what_cannot_be_read_in_full_is_a_fault() {
    let broken = [
        String::new(),
        "   ".to_owned(),
        "null".to_owned(),
        format!("{CONFIGURATION}x"),
        format!("{CONFIGURATION} {{}}"),
        format!("{CONFIGURATION},"),
        format!("{CONFIGURATION}\0"),
        changed("7,", "7,,"),
        changed("7,", "07,"),
        changed("7,", "NaN,"),
        changed("7,", "1e999,"),
        changed(r#""Routes""#, r#"'Routes'"#),
        changed("prices", "r-\u{1}"),
        changed("prices", r"\ud800"),
        changed("prices", r"\x"),
    ];
    for body in broken {
        assert!(Configuration::parse(body.as_bytes()).is_err(), "taken: {body}");
    }
}

#[test]
fn bytes_that_are_no_utf8_are_a_fault() {
    for bad in [&b"\xff"[..], b"\xc3", b"\xed\xa0\x80", b"\xf8\x88\x80\x80\x80"] {
        let start = CONFIGURATION.find("prices").expect("it is there");
        let mut body = CONFIGURATION.as_bytes().to_vec();
        body.splice(start..start + 1, bad.iter().copied());
        assert!(Configuration::parse(&body).is_err(), "taken: {bad:?}");
    }
}

#[test]
fn nesting_is_bounded_before_it_is_read() {
    for open in ["[", r#"{"a":"#, "{\"Routes\":["] {
        let body = open.repeat(1_000_000);
        let error = Configuration::parse(body.as_bytes()).expect_err("it is too deep");
        assert_eq!(
            error.faults.first().map(|fault| fault.kind.clone()),
            Some(FaultKind::Unreadable(Unreadable::TooDeep))
        );
    }
    let inner = MAX_NESTING - 1;
    let deepest = format!("{}{}", "[".repeat(inner), "]".repeat(inner));
    let body = changed(r#""Limits""#, &format!(r#""Colour":{deepest},"Limits""#));
    assert!(Configuration::parse(body.as_bytes()).is_ok());
    let brackets_in_text = changed("prices", &r#"\"[{"#.repeat(100));
    assert!(Configuration::parse(brackets_in_text.as_bytes()).is_ok());
}

#[test]
fn the_digest_is_fnv_1a_of_128_bits() {
    // Two of the published test values of the function.
    assert_eq!(digest(b""), 0x6c62272e07bb014262b821756295c58d);
    assert_eq!(digest(b"foobar"), 0x343e1662793c64bf6f0d3597ba446f18);
    assert_ne!(digest(b"a "), digest(b" a"));
}

#[test]
fn every_cut_is_a_fault() {
    for length in 0..CONFIGURATION.len() {
        let cut = CONFIGURATION.as_bytes().get(..length).expect("it is shorter");
        assert!(Configuration::parse(cut).is_err(), "taken at {length}");
    }
}

/// A JSON value, often with keys that mean something.
fn any_json() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<bool>().prop_map(|flag| flag.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>()
            .prop_filter("JSON has finite numbers", |number| number.is_finite())
            .prop_map(|n| format!("{n:e}")),
        "[a-z0-9:./]{0,12}".prop_map(|text| format!("\"{text}\"")),
    ];
    let key = prop::sample::select(vec![
        "ResourceVersion",
        "Routes",
        "Services",
        "Limits",
        "Name",
        "Hostname",
        "PathPrefix",
        "Type",
        "TimeoutMs",
        "Backend",
        "RetentionS",
        "StaticEndpoint",
        "RatePerS",
        "Colour",
    ]);
    leaf.prop_recursive(4, 64, 8, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::vec((key.clone(), inner), 0..8).prop_map(|fields| {
                let fields: Vec<String> =
                    fields.into_iter().map(|(key, value)| format!("\"{key}\":{value}")).collect();
                format!("{{{}}}", fields.join(","))
            }),
        ]
    })
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Configuration::parse(&bytes);
    }

    #[test]
    fn no_json_makes_it_panic(body in any_json()) {
        let _ = Configuration::parse(body.as_bytes());
    }

    #[test]
    fn no_change_of_a_byte_makes_it_panic(position in 0..CONFIGURATION.len(), byte: u8) {
        let mut body = CONFIGURATION.as_bytes().to_vec();
        if let Some(place) = body.get_mut(position) {
            *place = byte;
        }
        let _ = Configuration::parse(&body);
    }

    #[test]
    fn a_time_out_is_taken_if_and_only_if_it_is_over_0(timeout in 0_u64..100_000) {
        let body = changed(r#""TimeoutMs":1500"#, &format!(r#""TimeoutMs":{timeout}"#));
        prop_assert_eq!(Configuration::parse(body.as_bytes()).is_ok(), timeout > 0);
    }
}
