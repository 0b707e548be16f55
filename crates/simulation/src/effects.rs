//! What processes want done.

use nanoserde::SerBin as _;
use rand::Rng as _;
use ruddervalve_consensus::MessageKind;
use ruddervalve_protocol::{AppendOutcome, GroupId, StoreToEdge};
use ruddervalve_replication::Envelope;

use crate::event::Event;
use crate::lives::incarnation;
use crate::network::Life;
use crate::process::{Effect, Input, Payload};
use crate::world::World;

/// A slot takes so many syncs longer than a log.
const SLOT_SYNCS: u64 = 3;
/// A full disk is tried again after this, in milliseconds.
const FULL_RETRY_MS: u64 = 100;

impl World {
    pub fn carry_out(&mut self, process: Life, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(process, effect);
        }
    }

    fn carry_out_one(&mut self, process: Life, effect: Effect) {
        #[cfg(feature = "mutants")]
        let Some(effect) = crate::mutants::changed(effect) else { return };
        match effect {
            Effect::Send(connection, payload) => {
                self.look_at(process, &payload, connection);
                self.look_for_phase(process, &payload, connection);
                self.send(process, connection, payload);
            }
            Effect::Close(connection) => self.close(process, connection),
            Effect::Links(links) => self.set_links(process, &links),
            Effect::Write(records, ticket) => {
                #[cfg(feature = "mutants")]
                if crate::mutants::tells_before_sync() {
                    self.after(0, Event::WrittenEarly(process, ticket));
                }
                let Some(host) = self.hosts.get_mut(process.machine) else { return };
                if host.disk.submit(records, ticket) {
                    self.begin_sync(process);
                }
            }
            Effect::Respond(client, response) => self.edge_responds(process, client, response),
            Effect::Deliver(order) => self.deliver(process, *order),
            Effect::CallBack(group, order) => {
                let way = self.outside_way();
                self.after(way, Event::CallbackArrives(process, group, order));
            }
            Effect::CallPlatform(call) => {
                let way = self.outside_way();
                self.after(way, Event::ListCall(process, call.number));
            }
            Effect::Reply(caller, reply) => self.operator_replies(caller, reply),
            Effect::Failed(reason) => self.fails(process, &reason),
        }
    }

    fn look_for_phase(&mut self, process: Life, payload: &Payload, id: crate::process::ConnectionId) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (opener, acceptor) = (connection.opener.process, connection.acceptor.process);
        let receiver = if opener == process { acceptor } else { opener };
        self.look_for_snapshot(process, receiver, payload);
    }

    /// From a machine to something outside, one way.
    pub fn outside_way(&mut self) -> u64 {
        1 + self.network_random.random_range(0..=self.scenario.jitter_ms)
    }

    pub fn begin_sync(&mut self, process: Life) {
        let sync = self.scenario.sync_ms;
        let wait = self.network_random.random_range(sync / 2..=sync + sync / 2).max(1);
        let slowness = self.hosts.get(process.machine).map_or(1, |host| host.disk.slowness);
        self.after(wait * slowness, Event::Synced(process));
    }

    pub fn synced(&mut self, process: Life) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        if host.disk.stalls_until > now {
            let until = host.disk.stalls_until;
            return self.at(until, Event::Synced(process));
        }
        match host.disk.synced() {
            Ok((ticket, begins)) => {
                if begins {
                    self.begin_sync(process);
                }
                if let Some(ticket) = ticket {
                    self.hand(process, Input::Written(ticket));
                }
            }
            Err(error) if error.is_full() => self.after(FULL_RETRY_MS, Event::Synced(process)),
            Err(error) => self.fails(process, &error.to_string()),
        }
    }

    /// Begins a checkpoint, when the log has grown enough.
    pub fn checkpoint_if_due(&mut self, process: Life) {
        let bytes = self.scenario.checkpoint_bytes;
        let Some(host) = self.hosts.get_mut(process.machine).filter(|host| host.disk.wants_checkpoint(bytes))
        else {
            return;
        };
        let Some(checkpoint) = host.process.as_ref().and_then(|running| running.checkpoint()) else { return };
        match host.disk.begin_checkpoint(checkpoint) {
            Ok(begins) => {
                if begins {
                    self.begin_sync(process);
                }
                self.after(self.scenario.sync_ms * SLOT_SYNCS, Event::WriteCheckpoint(process));
            }
            Err(error) => self.fails(process, &error.to_string()),
        }
    }

    pub fn write_checkpoint(&mut self, process: Life) {
        if !self.is_running(process) {
            return;
        }
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        match host.disk.write_checkpoint() {
            Ok(Some(covered)) => self.hand(process, Input::CheckpointDone(covered)),
            Ok(None) => {}
            Err(error) if error.is_full() => self.after(FULL_RETRY_MS, Event::WriteCheckpoint(process)),
            Err(error) => self.fails(process, &error.to_string()),
        }
    }

    /// What messages between processes show of our own rules.
    fn look_at(&mut self, process: Life, payload: &Payload, connection: crate::process::ConnectionId) {
        match payload {
            Payload::Envelopes(envelopes) => {
                envelopes.iter().for_each(|envelope| self.look_at_vote(envelope))
            }
            Payload::ToEdge(StoreToEdge::Deliver { group, grant }) => {
                let (lease, id) = (grant.lease.id, grant.message.id.0.clone());
                self.trace_lease(process, *group, &id);
                self.look_at_lease(connection, group.0, (lease.term, lease.number), &id);
            }
            Payload::ToEdge(StoreToEdge::Appended {
                request,
                outcome: AppendOutcome::Accepted { lease: Some(lease) },
            }) => {
                self.look_at_lease(
                    connection,
                    u32::MAX,
                    (lease.id.term, lease.id.number),
                    &request.to_string(),
                );
            }
            _ => {}
        }
    }

    fn trace_lease(&mut self, process: Life, group: GroupId, id: &str) {
        if !self.trace.keeps() {
            return;
        }
        let store = self.hosts.get(process.machine).and_then(|host| host.process.as_ref()?.store());
        let state = store.and_then(|store| store.shards().get(&group)).map(|shard| shard.state());
        let message = ruddervalve_protocol::MessageId(id.to_owned());
        let due = state.and_then(|state| Some(state.pending(state.sequence(&message)?)?.due_ms));
        let shard_ms = state.map(|state| state.shard_ms());
        let text = format!(
            "machine {} leases {id} of group {}: due {due:?}, shard time {shard_ms:?}",
            process.machine, group.0
        );
        self.line(|| text);
    }

    fn look_at_lease(
        &mut self,
        id: crate::process::ConnectionId,
        group: u32,
        lease: (u64, u64),
        message: &str,
    ) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let edge = incarnation(connection.opener.process);
        if group != u32::MAX {
            self.checks.leased(self.now, group, lease, edge, message);
        }
    }

    /// A granted vote; read from the message's encoding, as only replicas know its contents.
    fn look_at_vote(&mut self, envelope: &Envelope) {
        if envelope.message.kind() != MessageKind::VoteReply {
            return;
        }
        let bytes = envelope.message.serialize_bin();
        let term = bytes.first_chunk().map_or(0, |first| u64::from_le_bytes(*first));
        if bytes.last() == Some(&1) {
            self.checks.votes(self.now, envelope.from.0, envelope.group.0, term, envelope.to.0);
        }
    }
}
