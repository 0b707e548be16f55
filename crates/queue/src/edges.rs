//! The edges that a leader knows.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_configuration::Distance;
use ruddervalve_protocol::Incarnation;

use crate::backoff::{mixed, name_hash};
use crate::records::AttachedEdge;

/// Who connects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EdgeSession {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its `NodeName`.
    pub node: String,
    /// Its zone.
    pub zone: String,
}

/// One edge.
#[derive(Debug)]
pub(crate) struct Edge {
    pub(crate) node: String,
    pub(crate) node_hash: u64,
    pub(crate) distance: Distance,
    pub(crate) connected: bool,
    /// Its place among attachments, once its `AttachEdge` is applied.
    pub(crate) attached: Option<u64>,
    /// Its inventory has come on this connection.
    pub(crate) inventoried: bool,
    pub(crate) leaving: bool,
    /// A newer process runs on its machine.
    pub(crate) superseded: bool,
    /// `AttachEdge` or `DetachEdge` is proposed.
    pub(crate) proposing: bool,
    pub(crate) last_heard_ms: u64,
    /// Since when it has no connection, as long as it has none.
    pub(crate) disconnected_ms: u64,
    /// When to look after it again.
    check_ms: u64,
}

impl Edge {
    /// Whether it may get grants, as long as it is not quiet.
    pub(crate) fn usable(&self) -> bool {
        self.connected
            && self.attached.is_some()
            && !self.proposing
            && self.inventoried
            && !self.leaving
            && !self.superseded
    }
}

/// All edges, and when to look after each.
#[derive(Debug, Default)]
pub(crate) struct Edges {
    edges: BTreeMap<Incarnation, Edge>,
    checks: BTreeSet<(u64, Incarnation)>,
    quiet_after_ms: u64,
}

impl Edges {
    /// No edges.
    pub(crate) fn new(quiet_after_ms: u64) -> Self {
        Self { quiet_after_ms, ..Self::default() }
    }

    /// Adds an edge that is attached in the state, and not connected yet.
    pub(crate) fn add_attached(&mut self, now_ms: u64, attached: &AttachedEdge) {
        let edge = self.entry(now_ms, attached.edge, &attached.node);
        edge.attached = Some(attached.order);
    }

    /// The edge, added if it is new.
    pub(crate) fn entry(&mut self, now_ms: u64, incarnation: Incarnation, node: &str) -> &mut Edge {
        self.edges.entry(incarnation).or_insert_with(|| Edge {
            node: node.to_owned(),
            node_hash: name_hash(node),
            distance: Distance::Beyond,
            connected: false,
            attached: None,
            inventoried: false,
            leaving: false,
            superseded: false,
            proposing: false,
            last_heard_ms: now_ms,
            disconnected_ms: now_ms,
            check_ms: u64::MAX,
        })
    }

    pub(crate) fn get(&self, incarnation: Incarnation) -> Option<&Edge> {
        self.edges.get(&incarnation)
    }

    pub(crate) fn get_mut(&mut self, incarnation: Incarnation) -> Option<&mut Edge> {
        self.edges.get_mut(&incarnation)
    }

    /// Forgets an edge.
    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        if let Some(edge) = self.edges.remove(&incarnation) {
            self.checks.remove(&(edge.check_ms, incarnation));
        }
    }

    /// Other processes of a machine that are not known to be dead.
    pub(crate) fn others_of(&self, node: &str, incarnation: Incarnation) -> Vec<Incarnation> {
        let others = self
            .edges
            .iter()
            .filter(|(other, edge)| **other != incarnation && edge.node == node && !edge.superseded);
        others.map(|(other, _)| *other).collect()
    }

    /// Notes that an edge spoke; returns whether it had been quiet.
    pub(crate) fn heard(&mut self, now_ms: u64, incarnation: Incarnation) -> bool {
        let quiet_after_ms = self.quiet_after_ms;
        let Some(edge) = self.edges.get_mut(&incarnation) else { return false };
        let quiet = now_ms.saturating_sub(edge.last_heard_ms) > quiet_after_ms;
        edge.last_heard_ms = edge.last_heard_ms.max(now_ms);
        quiet
    }

    /// Whether an edge may get grants now.
    pub(crate) fn grantable(&self, now_ms: u64, incarnation: Incarnation) -> bool {
        self.edges.get(&incarnation).is_some_and(|edge| self.is_grantable(now_ms, edge))
    }

    /// The edges that may get grants now.
    pub(crate) fn all_grantable(&self, now_ms: u64) -> impl Iterator<Item = (Incarnation, &Edge)> {
        let grantable = self.edges.iter().filter(move |(_, edge)| self.is_grantable(now_ms, edge));
        grantable.map(|(incarnation, edge)| (*incarnation, edge))
    }

    /// Asks for a look at an edge; replaces an earlier one.
    pub(crate) fn check_at(&mut self, at_ms: u64, incarnation: Incarnation) {
        let Some(edge) = self.edges.get_mut(&incarnation) else { return };
        self.checks.remove(&(edge.check_ms, incarnation));
        edge.check_ms = at_ms;
        self.checks.insert((at_ms, incarnation));
    }

    /// Takes out the next edge to look at.
    pub(crate) fn pop_check(&mut self, now_ms: u64) -> Option<Incarnation> {
        let (at_ms, _) = self.checks.first()?;
        if *at_ms > now_ms {
            return None;
        }
        self.checks.pop_first().map(|(_, incarnation)| incarnation)
    }

    /// When to look next.
    pub(crate) fn next_check_ms(&self) -> Option<u64> {
        self.checks.first().map(|(at_ms, _)| *at_ms)
    }

    fn is_grantable(&self, now_ms: u64, edge: &Edge) -> bool {
        edge.usable() && now_ms.saturating_sub(edge.last_heard_ms) <= self.quiet_after_ms
    }
}

/// The rank of an edge for a name by rendezvous hashing: each name has its own order of edges, which changes little as
/// edges come and go.
pub(crate) fn rendezvous(name_hash: u64, node_hash: u64) -> u64 {
    mixed(name_hash ^ mixed(node_hash))
}
