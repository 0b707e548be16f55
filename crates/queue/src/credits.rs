//! How many deliveries of one service each edge can start.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use ruddervalve_configuration::Distance;
use ruddervalve_protocol::Incarnation;

/// An edge that can start deliveries. The order is the preference: near ones first, then the most credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    distance: Distance,
    credits: Reverse<u32>,
    edge: Reverse<Incarnation>,
}

/// What an edge offers, and from where.
#[derive(Debug, Clone, Copy)]
struct Credit {
    distance: Distance,
    count: u32,
}

/// The credits of a service.
#[derive(Debug, Default)]
pub(crate) struct CreditBoard {
    credits: BTreeMap<Incarnation, Credit>,
    offers: BTreeSet<Offer>,
}

impl Credit {
    fn offer_of(self, edge: Incarnation) -> Offer {
        Offer { distance: self.distance, credits: Reverse(self.count), edge: Reverse(edge) }
    }
}

impl CreditBoard {
    /// Replaces the credits of an edge.
    pub(crate) fn set(&mut self, edge: Incarnation, distance: Distance, count: u32) {
        self.withdraw(edge);
        if count == 0 {
            return;
        }
        let credit = Credit { distance, count };
        self.credits.insert(edge, credit);
        self.offers.insert(credit.offer_of(edge));
    }

    /// Takes the credits of an edge away.
    pub(crate) fn withdraw(&mut self, edge: Incarnation) {
        if let Some(credit) = self.credits.remove(&edge) {
            self.offers.remove(&credit.offer_of(edge));
        }
    }

    /// Spends a credit of an edge.
    pub(crate) fn spend(&mut self, edge: Incarnation) {
        if let Some(Credit { distance, count }) = self.credits.get(&edge).copied() {
            self.set(edge, distance, count.saturating_sub(1));
        }
    }

    /// The edges with credits, the best first.
    pub(crate) fn best_first(&self) -> impl Iterator<Item = Incarnation> {
        self.offers.iter().map(|offer| offer.edge.0)
    }
}
