//! The links of a process to peers and coordinators, as the run-time part of a role keeps them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ruddervalve_protocol::{CoordinatorReply, CoordinatorRequest, Registration, ReplicaId};
use ruddervalve_runtime::{KnownCoordinators, ReplicaInput, ReplicaOutput, TakenReply, Updates};

use crate::process::{ConnectionId, Effect, Input, Link, Payload, batches};

/// Open links.
#[derive(Debug)]
pub struct RoleLinks {
    registration: Registration,
    replicas: BTreeMap<ReplicaId, ConnectionId>,
    control: BTreeMap<SocketAddr, ConnectionId>,
    known: KnownCoordinators,
    updates: Updates,
    /// Links to others than coordinators that the owner wants.
    asked: Vec<Link>,
    /// All links that are kept.
    wanted: Vec<Link>,
}

impl RoleLinks {
    pub fn new(registration: Registration) -> Self {
        Self {
            known: KnownCoordinators::new(&registration),
            registration,
            updates: Updates::default(),
            replicas: BTreeMap::new(),
            control: BTreeMap::new(),
            asked: Vec::new(),
            wanted: Vec::new(),
        }
    }

    /// Keeps links to these peers and coordinators, and these others.
    pub fn set(
        &mut self,
        own: Option<ReplicaId>,
        peers: &[(ReplicaId, SocketAddr)],
        coordinators: &[SocketAddr],
        others: &[Link],
        effects: &mut Vec<Effect>,
    ) {
        let peers = peers.iter().filter(|(id, _)| Some(*id) != own).map(|(id, at)| Link::Replica(*id, *at));
        self.asked = peers.chain(others.iter().copied()).collect();
        self.known.set_listed(coordinators);
        self.keep(effects);
    }

    /// Takes note of what came on a connection; the coordinator at its other end, if it is one to a coordinator, and what
    /// its owner is to take.
    pub fn hear(
        &mut self,
        connection: ConnectionId,
        reply: CoordinatorReply,
        effects: &mut Vec<Effect>,
    ) -> Option<(SocketAddr, CoordinatorReply)> {
        let from =
            self.control.iter().find(|(_, known)| **known == connection).map(|(address, _)| *address)?;
        if self.known.hear(from, &reply) {
            self.keep(effects);
        }
        let TakenReply { reply, is_update } = self.updates.take(reply);
        if is_update {
            self.tell(&CoordinatorRequest::Received(self.updates.received()), effects);
        }
        Some((from, reply?))
    }

    fn keep(&mut self, effects: &mut Vec<Effect>) {
        let mut wanted = self.asked.clone();
        wanted.extend(self.known.addresses().into_iter().map(Link::Control));
        wanted.sort_unstable();
        wanted.dedup();
        if wanted != self.wanted {
            self.replicas.retain(|id, _| {
                wanted.iter().any(|link| matches!(link, Link::Replica(other, _) if other == id))
            });
            self.control.retain(|address, _| wanted.contains(&Link::Control(*address)));
            self.wanted.clone_from(&wanted);
            effects.push(Effect::Links(wanted));
        }
    }

    /// A link came up: a coordinator is told at once who this is.
    pub fn up(&mut self, link: Link, connection: ConnectionId, effects: &mut Vec<Effect>) {
        match link {
            Link::Replica(id, _) => {
                self.replicas.insert(id, connection);
            }
            Link::Control(address) => {
                self.control.insert(address, connection);
                let register =
                    CoordinatorRequest::Register(self.registration.clone(), self.updates.received());
                effects.push(Effect::Send(connection, Payload::Request(register)));
            }
            Link::Delivery(..) => {}
        }
    }

    /// A link is down; what the replicas have to be told.
    pub fn down(&mut self, link: Link) -> Option<ReplicaInput> {
        match link {
            Link::Replica(id, _) => {
                self.replicas.remove(&id);
                Some(ReplicaInput::Unreachable(id))
            }
            Link::Control(address) => {
                self.control.remove(&address);
                None
            }
            Link::Delivery(..) => None,
        }
    }

    /// Sends a heartbeat to coordinators. `leads`: the owner leads the control group itself.
    pub fn heartbeat(&mut self, leads: bool, effects: &mut Vec<Effect>) {
        if leads {
            self.known.leads_itself();
        }
        self.tell(&CoordinatorRequest::Heartbeat, effects);
        if self.known.heartbeat_sent() {
            self.keep(effects);
        }
    }

    /// Tells all coordinators that a link is kept to.
    pub fn tell(&self, request: &CoordinatorRequest, effects: &mut Vec<Effect>) {
        for connection in self.control.values() {
            effects.push(Effect::Send(*connection, Payload::Request(request.clone())));
        }
    }

    /// Hands on what replicas want done.
    pub fn carry_out(&self, outputs: Vec<ReplicaOutput>, effects: &mut Vec<Effect>) {
        for output in outputs {
            match output {
                ReplicaOutput::Write { records, ticket } => effects.push(Effect::Write(records, ticket)),
                ReplicaOutput::Send(envelopes) => {
                    for (to, batch) in batches(envelopes) {
                        if let Some(connection) = self.replicas.get(&to) {
                            effects.push(Effect::Send(*connection, Payload::Envelopes(batch)));
                        }
                    }
                }
            }
        }
    }
}

/// What the replicas have to be told of an input, if it is for them.
#[expect(clippy::result_large_err, reason = "not an error: the input goes on to whom it is for")]
pub fn replica_input(input: Input) -> Result<ReplicaInput, Input> {
    match input {
        Input::Written(ticket) => Ok(ReplicaInput::Written { ticket }),
        Input::CheckpointDone(covered) => Ok(ReplicaInput::CheckpointDone { covered }),
        Input::Message(_, Payload::Envelopes(envelopes)) => Ok(ReplicaInput::Received(envelopes)),
        other => Err(other),
    }
}
