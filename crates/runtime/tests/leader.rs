//! How a process finds the coordinator that leads.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;

use common::settings;
use ruddervalve_configuration::Settings;
use ruddervalve_protocol::{CoordinatorReply, CoordinatorRequest, Incarnation, Registration};
use ruddervalve_rpc::{Outbox, accept, run};
use ruddervalve_runtime::{Boot, ControlLinks, link_settings};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// A coordinator that answers heartbeats so, and tells who registers.
async fn coordinator(
    settings: Settings,
    reply: CoordinatorReply,
    told: mpsc::UnboundedSender<SocketAddr>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let limits = link_settings(&settings);
        while let Ok((stream, _)) = listener.accept().await {
            let (_, stream) = accept(stream, &limits).await.unwrap();
            let outbox = Outbox::new(&limits);
            let answer = |request| match request {
                CoordinatorRequest::Register(..) => drop(told.send(address)),
                _ => drop(outbox.send(&reply).then_some(())),
            };
            run(stream, &limits, &outbox, answer).await;
        }
    });
    address
}

/// The links of an edge that knows one seed.
fn links_of_an_edge(settings: Settings, seed: SocketAddr) -> ControlLinks {
    let boot = Boot::new(settings, Incarnation(1), PathBuf::new());
    let mut links = ControlLinks::new(&boot, Registration::Edge { incarnation: Incarnation(1) });
    links.set_addresses(&[seed]);
    links
}

/// The coordinators at which the links have registered, in order, once these are enough.
async fn registered_until(
    links: &mut ControlLinks,
    registered: &mut mpsc::UnboundedReceiver<SocketAddr>,
    is_enough: impl Fn(&[SocketAddr]) -> bool,
) -> Vec<SocketAddr> {
    let mut seen = Vec::new();
    while !is_enough(&seen) {
        tokio::select! {
            _ = links.next() => {}
            address = registered.recv() => seen.extend(address),
        }
    }
    seen
}

#[test]
fn a_leader_that_is_no_seed_is_found_by_what_a_seed_says() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let settings = settings();
        let (told, mut registered) = mpsc::unbounded_channel();
        let alive = CoordinatorReply::Alive { term: 1, configuration: 0, edges: 1 };
        let leader = coordinator(settings.clone(), alive, told.clone()).await;
        let names = CoordinatorReply::NotLeader { candidates: vec![leader.to_string()] };
        let seed = coordinator(settings.clone(), names, told).await;
        let mut links = links_of_an_edge(settings, seed);
        let seen = registered_until(&mut links, &mut registered, |seen| seen.len() == 2).await;
        assert_eq!(seen, [seed, leader]);
        // The owner's addresses change: the leader's stays.
        links.set_addresses(&[seed]);
        loop {
            let event = links.next().await;
            if event.from == leader && matches!(event.reply, Some(CoordinatorReply::Alive { .. })) {
                break;
            }
        }
    }));
}

#[test]
fn a_leader_that_no_seed_knows_is_found_among_those_that_a_seed_knows() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let settings = settings();
        let (told, mut registered) = mpsc::unbounded_channel();
        let alive = CoordinatorReply::Alive { term: 1, configuration: 0, edges: 1 };
        let leader = coordinator(settings.clone(), alive, told.clone()).await;
        let knows_none = CoordinatorReply::NotLeader { candidates: Vec::new() };
        let follower = coordinator(settings.clone(), knows_none, told.clone()).await;
        let candidates = vec![follower.to_string(), leader.to_string()];
        let seed = coordinator(settings.clone(), CoordinatorReply::NotLeader { candidates }, told).await;
        let mut links = links_of_an_edge(settings, seed);
        let seen = registered_until(&mut links, &mut registered, |seen| seen.contains(&leader)).await;
        assert_eq!(seen.first(), Some(&seed));
    }));
}
