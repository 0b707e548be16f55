//! Messages on their way.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use nanoserde::{DeBin, SerBin};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ruddervalve_consensus::Message;
use ruddervalve_protocol::ReplicaId;

/// An encoded message, ordered by when it comes.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flight {
    pub due: u64,
    sequence: u64,
    pub from: ReplicaId,
    pub to: ReplicaId,
    bytes: Vec<u8>,
}

impl Flight {
    pub fn message(&self) -> Message {
        DeBin::deserialize_bin(&self.bytes).expect("what was encoded is decoded")
    }
}

/// How a network treats messages.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    pub loss: f64,
    pub duplicates: f64,
    /// Messages that take very long.
    pub stragglers: f64,
    pub longest_delay_ms: u64,
}

pub const CALM: Weather = Weather { loss: 0.0, duplicates: 0.0, stragglers: 0.0, longest_delay_ms: 3 };

#[derive(Debug)]
pub struct Network {
    pub weather: Weather,
    /// One-way cuts: from, to.
    pub cuts: HashSet<(ReplicaId, ReplicaId)>,
    flights: BinaryHeap<Reverse<Flight>>,
    sequence: u64,
}

impl Network {
    pub fn new(weather: Weather) -> Self {
        Self { weather, cuts: HashSet::new(), flights: BinaryHeap::new(), sequence: 0 }
    }

    pub fn send(
        &mut self,
        random: &mut ChaCha8Rng,
        now: u64,
        from: ReplicaId,
        to: ReplicaId,
        message: &Message,
    ) {
        if self.cuts.contains(&(from, to)) || random.random_bool(self.weather.loss) {
            return;
        }
        let copies = if random.random_bool(self.weather.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            let straggles = random.random_bool(self.weather.stragglers);
            let longest = if straggles { 1500 } else { self.weather.longest_delay_ms };
            let due = now + random.random_range(1..=longest);
            self.sequence += 1;
            let bytes = SerBin::serialize_bin(message);
            self.flights.push(Reverse(Flight { due, sequence: self.sequence, from, to, bytes }));
        }
    }

    pub fn next_due(&self) -> Option<u64> {
        self.flights.peek().map(|flight| flight.0.due)
    }

    pub fn take_due(&mut self, now: u64) -> Option<Flight> {
        if self.next_due()? > now {
            return None;
        }
        self.flights.pop().map(|flight| flight.0)
    }
}
