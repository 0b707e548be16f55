//! How many deliveries of one service each edge can start.

use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_protocol::Incarnation;

/// An edge that can start deliveries. The order is the preference: near ones first, then the most credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    near: bool,
    credits: u32,
    edge: Incarnation,
}

/// The credits of a service.
#[derive(Debug, Default)]
pub(crate) struct CreditBoard {
    credits: BTreeMap<Incarnation, u32>,
    offers: BTreeSet<Offer>,
    near: BTreeSet<Incarnation>,
}

impl CreditBoard {
    /// Replaces the credits of an edge.
    pub(crate) fn set(&mut self, edge: Incarnation, near: bool, credits: u32) {
        self.withdraw(edge);
        if credits == 0 {
            return;
        }
        if near {
            self.near.insert(edge);
        }
        self.credits.insert(edge, credits);
        self.offers.insert(Offer { near, credits, edge });
    }

    /// Takes the credits of an edge away.
    pub(crate) fn withdraw(&mut self, edge: Incarnation) {
        let near = self.near.remove(&edge);
        if let Some(credits) = self.credits.remove(&edge) {
            self.offers.remove(&Offer { near, credits, edge });
        }
    }

    /// Spends a credit of an edge.
    pub(crate) fn spend(&mut self, edge: Incarnation) {
        let Some(credits) = self.credits.get(&edge).copied() else { return };
        let near = self.near.contains(&edge);
        self.set(edge, near, credits.saturating_sub(1));
    }

    /// The edges with credits, the best first.
    pub(crate) fn best_first(&self) -> impl Iterator<Item = Incarnation> {
        self.offers.iter().rev().map(|offer| offer.edge)
    }
}
