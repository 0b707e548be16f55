//! Connections between machines: delay, cuts, lost bytes, silence.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ruddervalve_protocol::Greeting;

use crate::process::{ConnectionId, Link, Payload};

/// A machine, by its place in the list of all.
pub type Machine = usize;

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    Opener,
    Acceptor,
}

impl Side {
    pub fn other(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }
}

/// A process: a machine in one of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    pub machine: Machine,
    pub life: u64,
}

/// What travels on a connection.
#[derive(Debug, Clone)]
pub enum Packet {
    Greeting(Greeting),
    Message(Payload),
    /// A sign of life that the run-time part of a process takes for itself.
    Heartbeat,
    End,
}

/// For how long each side of a connection puts up with silence.
#[derive(Debug, Clone, Copy)]
pub struct SilenceLimits {
    pub opener_ms: u64,
    pub acceptor_ms: u64,
}

/// One end.
#[derive(Debug)]
pub struct End {
    pub process: Life,
    /// Whether the process still has it.
    pub is_open: bool,
    /// Whether it has gone without a word: what still comes to it vanishes, and its sender is told nothing.
    pub is_lost: bool,
    pub heard_at: u64,
    /// For how long nothing may come, in milliseconds.
    pub silence_ms: u64,
    /// On the way to this end, each with when it arrives at the earliest.
    pub inbound: VecDeque<(u64, Packet)>,
    /// When the last of those arrives.
    pub last_at: u64,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    pub link: Link,
    pub opener: End,
    pub acceptor: End,
    /// Whether the acceptor's process knows it.
    pub is_accepted: bool,
}

impl Connection {
    pub fn end(&self, side: Side) -> &End {
        match side {
            Side::Opener => &self.opener,
            Side::Acceptor => &self.acceptor,
        }
    }

    pub fn end_mut(&mut self, side: Side) -> &mut End {
        match side {
            Side::Opener => &mut self.opener,
            Side::Acceptor => &mut self.acceptor,
        }
    }
}

/// All connections and cuts.
#[derive(Debug, Default)]
pub struct Network {
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub by_process: BTreeMap<Life, BTreeSet<(ConnectionId, Side)>>,
    /// Open links, by opener.
    pub links: BTreeMap<(Life, Link), ConnectionId>,
    /// Ways, from and to, on which nothing comes through, and how many cuts hold each.
    cuts: BTreeMap<(Machine, Machine), u32>,
    last: u64,
}

impl Network {
    pub fn is_cut(&self, from: Machine, to: Machine) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    pub fn cut(&mut self, from: Machine, to: Machine) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    pub fn heal(&mut self, from: Machine, to: Machine) {
        if let Some(count) = self.cuts.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.cuts.remove(&(from, to));
            }
        }
    }

    pub fn open(
        &mut self,
        link: Link,
        opener: Life,
        acceptor: Life,
        now: u64,
        silence: SilenceLimits,
    ) -> ConnectionId {
        self.last += 1;
        let id = ConnectionId(self.last);
        let end = |process, silence_ms| End {
            process,
            is_open: true,
            is_lost: false,
            heard_at: now,
            silence_ms,
            inbound: VecDeque::new(),
            last_at: now,
        };
        let (opener_end, acceptor_end) = (end(opener, silence.opener_ms), end(acceptor, silence.acceptor_ms));
        let connection = Connection { link, opener: opener_end, acceptor: acceptor_end, is_accepted: false };
        self.connections.insert(id, connection);
        self.by_process.entry(opener).or_default().insert((id, Side::Opener));
        self.by_process.entry(acceptor).or_default().insert((id, Side::Acceptor));
        id
    }

    /// Forgets a connection that neither end has any more.
    pub fn forget_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.opener.is_open || connection.acceptor.is_open {
            return;
        }
        for (process, side) in
            [(connection.opener.process, Side::Opener), (connection.acceptor.process, Side::Acceptor)]
        {
            if let Some(ends) = self.by_process.get_mut(&process) {
                ends.remove(&(id, side));
                if ends.is_empty() {
                    self.by_process.remove(&process);
                }
            }
        }
        self.connections.remove(&id);
    }
}
