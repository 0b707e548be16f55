//! Which route a request takes.

mod common;

use common::CONFIGURATION;
use proptest::prelude::*;
use ruddervalve_configuration::{Configuration, RouteTable};

fn table(body: &str) -> RouteTable {
    RouteTable::new(&Configuration::parse(body.as_bytes()).expect("it is valid"))
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

/// A configuration of routes, each with a host, a prefix and a type; their names are their indexes.
fn configuration(routes: &[(String, String, &str)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (host, prefix, kind))| {
            format!(
                r#"{{"Name":"{index}","Hostname":"{host}","PathPrefix":"{prefix}","Type":"{kind}","TimeoutMs":5,"Backend":"s"}}"#
            )
        })
        .collect();
    format!(r#"{{"ResourceVersion":1,"Services":[{{"Name":"s"}}],"Routes":[{}]}}"#, routes.join(","))
}

#[test]
fn hosts_are_compared_without_case_and_port() {
    let table = table(CONFIGURATION);
    for host in ["shop.example", "SHOP.Example", "shop.example:80", "Shop.example:8069", "shop.example:"] {
        assert_eq!(found(&table, host, "/prices/x").as_deref(), Some("prices"), "{host}");
    }
    for host in ["", ":80", "shop", "shop.example.", "ledger.example", "shop.example:x"] {
        assert_eq!(found(&table, host, "/prices/x"), None, "{host}");
    }
}

#[test]
fn ipv6_hosts_keep_their_colons() {
    let table = table(&configuration(&[("[::1]".to_owned(), "/".to_owned(), "asynchronous")]));
    assert!(table.find("[::1]", "/").is_some());
    assert!(table.find("[::1]:80", "/").is_some());
    assert!(table.find("[::2]:80", "/").is_none());
}

#[test]
fn the_query_does_not_count_and_the_prefix_is_plain_text() {
    let table = table(CONFIGURATION);
    assert_eq!(found(&table, "shop.example", "/prices/?a=/x").as_deref(), Some("prices"));
    assert_eq!(found(&table, "shop.example", "/prices?/"), None);
    assert_eq!(found(&table, "shop.example", "/PRICES/"), None);
    assert_eq!(found(&table, "shop.example", "/x?/prices/"), None);
    assert_eq!(found(&table, "shop.example", ""), None);
}

#[test]
fn requests_of_an_unserved_route_go_to_no_other() {
    let routes = [
        ("a".to_owned(), "/".to_owned(), "asynchronous"),
        ("a".to_owned(), "/live/".to_owned(), "streamed"),
        ("a".to_owned(), "/live/soon/".to_owned(), "asynchronous"),
    ];
    let table = table(&configuration(&routes));
    assert_eq!(found(&table, "a", "/x").as_deref(), Some("0"));
    assert_eq!(found(&table, "a", "/live/x"), None);
    assert_eq!(found(&table, "a", "/live/soon/x").as_deref(), Some("2"));
    assert!(table.route("1").is_some());
}

#[test]
fn routes_and_services_are_found_by_name() {
    let table = table(CONFIGURATION);
    let route = table.route("doses").expect("it is there");
    let service = table.service(&route.backend).expect("it is there");
    assert!(route.ordered && service.idempotent);
    assert_eq!(
        table.service("suppliers").and_then(|service| service.static_endpoint).map(|to| to.port()),
        Some(8080)
    );
    assert!(table.route("r").is_none() && table.service("").is_none());
    assert_eq!((table.version(), table.limits().max_body_bytes), (7, 262_144));
    assert_eq!((table.routes().count(), table.services().count()), (3, 3));
}

/// The route by a search over all, as the protocol words it.
fn naive(routes: &[(String, String, &str)], host: &str, path: &str) -> Option<String> {
    let matching =
        routes.iter().enumerate().filter(|(_, (own, prefix, _))| own == host && path.starts_with(prefix));
    let (index, (_, _, kind)) = matching.max_by_key(|(_, (_, prefix, _))| prefix.len())?;
    (*kind == "asynchronous").then(|| index.to_string())
}

proptest! {
    #[test]
    fn the_longest_prefix_wins_as_in_a_naive_search(
        routes in prop::collection::hash_map(("[ab]", "(/[ab]{0,2}){0,4}"), any::<bool>(), 0..24),
        requests in prop::collection::vec(("[abc]", "(/[ab]{0,2}){0,5}"), 1..32),
    ) {
        let routes: Vec<(String, String, &str)> = routes
            .into_iter()
            .map(|((host, prefix), served)| (host, prefix, if served { "asynchronous" } else { "other" }))
            .collect();
        let table = table(&configuration(&routes));
        for (host, path) in requests {
            prop_assert_eq!(found(&table, &host, &path), naive(&routes, &host, &path));
        }
    }

    #[test]
    fn no_host_or_path_makes_it_panic(host: String, path: String) {
        let _ = table(CONFIGURATION).find(&host, &path);
    }
}
