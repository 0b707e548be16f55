//! What follows from the settings for the sockets, and what a dispatcher can learn from under them.

use super::*;

#[test]
fn connections_are_kept_in_mind_only_where_a_new_one_has_a_price() {
    let example = include_str!("../../../examples/config.json");
    let example: serde_json::Value = serde_json::from_str(example).unwrap();
    for (price, kept) in [(0.08, 12_000_000), (0.0, 0)] {
        let mut settings = example["settings"].clone();
        settings["prices"]["handshake"] = price.into();
        settings["limits"]["conn_idle"] = 15_000_000.into();
        let info = Info::read(&settings.to_string()).unwrap();
        // As long as the sockets keep one, which is less than the node does.
        assert_eq!((info.network().conn_kept_ms(), info.checked().unwrap().0.conn_kept), (12_000.0, kept));
    }
}

/// The example's settings with these keys changed.
fn with(changes: &[(&str, serde_json::Value)]) -> Info {
    let mut example: serde_json::Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
    for (pointer, value) in changes {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        example["settings"].pointer_mut(parent).unwrap()[key] = value.clone();
    }
    Info::read(&example["settings"].to_string()).unwrap()
}

#[test]
fn what_can_be_learnt_from_is_told_and_what_is_missing_named() {
    use serde_json::json;
    let probes = ("/limits/probes", json!(true));
    for (changes, line, missing) in [
        (vec![], "with answers; starts: told; progress: each 1000 ms; list: asked for", ""),
        (vec![probes.clone()], "with answers and probes; starts: told", ""),
        (vec![("/reporting/how", json!("probe")), probes.clone()], "by probes; starts: told", ""),
        (vec![("/reporting/how", json!("probe"))], "none; starts", "settings.limits.probes forbids"),
        (vec![("/reporting/how", json!("none")), probes], "none; starts", "neither"),
        (vec![("/reporting/fields", json!(["queue"]))], "with answers; starts", "no 'x0'"),
        (vec![("/reporting/fields", json!([]))], "with answers; starts", ""),
        (vec![("/family_info/tells_start", json!(false))], "with answers; starts: not told; progress", ""),
        (vec![("/family_info/progress", json!(0))], "starts: told; progress: not told", ""),
        (vec![("/discovery", json!("pushed"))], "list: pushed", ""),
    ] {
        let observability = with(&changes).observability();
        assert!(observability.line.contains(line), "{changes:?}: {}", observability.line);
        assert_eq!(observability.missing.is_empty(), missing.is_empty(), "{changes:?}");
        assert!(
            observability.missing.iter().all(|told| told.contains(missing)),
            "{:?}",
            observability.missing
        );
    }
}

#[test]
fn what_a_connection_costs_of_a_job_follows_from_the_prices() {
    use serde_json::json;
    // Jobs are worth 5 and 10, the second of which must not run twice.
    for (changes, part) in [
        (vec![], 0.06),
        (vec![("/prices/handshake", json!(0.0))], 0.0),
        (vec![("/profiles/1/semantics", json!("retryable"))], 0.0),
        (vec![("/profiles/1/worth", json!(1.0))], 0.24),
    ] {
        let told = with(&changes).network().connection_price_share;
        assert!((told - part).abs() < 1e-9, "{changes:?}: {told}");
    }
}
