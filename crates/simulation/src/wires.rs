//! How connections come up, carry messages and end.

use rand::Rng as _;

use crate::event::Event;
use crate::network::{Life, Machine, Packet, Side};
use crate::process::{ConnectionId, Input, Link, Payload};
use crate::world::World;

/// A packet that a cut holds up is looked at again after this, in milliseconds.
pub const LOOK_AGAIN_MS: u64 = 25;
/// Between machines of one zone, in milliseconds.
pub const NEAR_MS: u64 = 1;

impl World {
    /// How long a packet takes.
    pub fn way(&mut self, from: Machine, to: Machine) -> u64 {
        let zone = |machine: Machine| self.hosts.get(machine).map_or(0, |host| host.place.zone);
        let delay = if zone(from) == zone(to) { NEAR_MS } else { NEAR_MS + self.scenario.delay_ms };
        delay + self.network_random.random_range(0..=self.scenario.jitter_ms)
    }

    /// A process sends on one of its connections.
    pub fn send(&mut self, process: Life, id: ConnectionId, payload: Payload) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let side = if connection.opener.process == process { Side::Opener } else { Side::Acceptor };
        if connection.end(side).is_open {
            self.push(id, side.other(), Packet::Message(payload));
        }
    }

    /// Puts a packet on its way to one side.
    pub fn push(&mut self, id: ConnectionId, to: Side, packet: Packet) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (from, target) = (connection.end(to.other()).process.machine, connection.end(to).process.machine);
        let way = self.way(from, target);
        let now = self.now;
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let end = connection.end_mut(to);
        let at = end.last_at.max(now + way);
        end.last_at = at;
        end.inbound.push_back((at, packet));
        self.at(at, Event::Packet(id, to));
    }

    /// The next packet to a side may be there.
    pub fn packet(&mut self, id: ConnectionId, side: Side) {
        let now = self.now;
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (from, to) = (connection.end(side.other()).process, connection.end(side).process);
        let Some((at, _)) = connection.end(side).inbound.front() else { return };
        if *at > now {
            return;
        }
        let held_for = now - *at;
        let has_power = self.hosts.get(to.machine).is_some_and(|host| host.has_power);
        if self.network.is_cut(from.machine, to.machine) || !has_power {
            if held_for > connection.end(side).silence_ms.min(crate::places::LIVENESS_MS) {
                // What was sent is not acknowledged for too long. The other side learns it from silence, or when it sends.
                if let Some(connection) = self.network.connections.get_mut(&id) {
                    connection.end_mut(side).inbound.clear();
                }
                return self.end_comes(id, side.other());
            }
            return self.after(LOOK_AGAIN_MS, Event::Packet(id, side));
        }
        if connection.end(side).is_lost {
            return self.vanishes(id, side);
        }
        if !self.is_running(to) || !connection.end(side).is_open {
            return self.refused(id, side);
        }
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let end = connection.end_mut(side);
        let Some((_, packet)) = end.inbound.pop_front() else { return };
        end.heard_at = now;
        if side == Side::Acceptor && matches!(packet, Packet::Greeting(_)) {
            connection.is_accepted = true;
        }
        match packet {
            Packet::Greeting(greeting) => self.hand(to, Input::Accepted(id, greeting)),
            Packet::Message(payload) => self.hand(to, Input::Message(id, payload)),
            Packet::Heartbeat => {}
            Packet::End => self.end_comes(id, side),
        }
    }

    /// What has come to an end that is gone without a word is lost, and its sender is told nothing.
    fn vanishes(&mut self, id: ConnectionId, side: Side) {
        if let Some(connection) = self.network.connections.get_mut(&id) {
            connection.end_mut(side).inbound.clear();
        }
        self.network.forget_closed(id);
    }

    /// A process says on the connections that other replicas have opened to it that it is alive.
    pub fn send_replica_heartbeats(&mut self, process: Life) {
        for id in self.accepted_replica_links(process) {
            self.push_heartbeat(id);
        }
    }

    /// The connections that other replicas have opened to a process, as far as it has them.
    pub fn accepted_replica_links(&self, process: Life) -> Vec<ConnectionId> {
        let ends = self.network.by_process.get(&process).into_iter().flatten();
        let accepted = ends.filter(|(_, side)| *side == Side::Acceptor).map(|(id, _)| *id);
        let is_replica_link = |id: &ConnectionId| {
            self.network.connections.get(id).is_some_and(|connection| {
                matches!(connection.link, Link::Replica(..))
                    && connection.is_accepted
                    && connection.acceptor.is_open
            })
        };
        accepted.filter(is_replica_link).collect()
    }

    /// Puts a heartbeat on its way back to the opener. It takes no drawn time, so that it changes no other packet's.
    fn push_heartbeat(&mut self, id: ConnectionId) {
        let now = self.now;
        let delay = NEAR_MS + self.scenario.delay_ms;
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let end = &mut connection.opener;
        let at = end.last_at.max(now + delay);
        end.last_at = at;
        end.inbound.push_back((at, Packet::Heartbeat));
        self.at(at, Event::Packet(id, Side::Opener));
    }

    /// Nobody is there for a packet: its sender is told.
    pub fn refused(&mut self, id: ConnectionId, side: Side) {
        if let Some(connection) = self.network.connections.get_mut(&id) {
            connection.end_mut(side).inbound.clear();
            connection.end_mut(side).is_open = false;
        }
        let is_told =
            self.network.connections.get(&id).is_some_and(|connection| connection.end(side.other()).is_open);
        if is_told {
            self.push(id, side.other(), Packet::End);
        } else {
            self.network.forget_closed(id);
        }
    }

    /// A side learns that its connection has ended.
    pub fn end_comes(&mut self, id: ConnectionId, side: Side) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let link = connection.link;
        let is_accepted = connection.is_accepted;
        let end = connection.end_mut(side);
        if !end.is_open {
            return self.network.forget_closed(id);
        }
        end.is_open = false;
        end.inbound.clear();
        let process = end.process;
        match side {
            Side::Opener => {
                if self.network.links.get(&(process, link)) == Some(&id) {
                    self.network.links.remove(&(process, link));
                    self.hand(process, Input::LinkDown(link));
                    if let Some(failures) =
                        self.hosts.get_mut(process.machine).and_then(|host| host.links.get_mut(&link))
                    {
                        *failures = 0;
                    }
                    self.dial_again(process, link);
                }
            }
            Side::Acceptor if is_accepted => self.hand(process, Input::Ended(id)),
            Side::Acceptor => {}
        }
        self.network.forget_closed(id);
    }

    /// A process closes its end: what it sent before still comes.
    pub fn close_end(&mut self, id: ConnectionId, side: Side) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        if !std::mem::replace(&mut connection.end_mut(side).is_open, false) {
            return;
        }
        connection.end_mut(side).inbound.clear();
        if connection.end(side.other()).is_open {
            self.push(id, side.other(), Packet::End);
        }
        self.network.forget_closed(id);
    }

    /// A process closes a connection, and knows at once that it has ended.
    pub fn close(&mut self, process: Life, id: ConnectionId) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let side = if connection.opener.process == process { Side::Opener } else { Side::Acceptor };
        if connection.end(side.other()).is_open {
            self.push(id, side.other(), Packet::End);
        }
        self.end_comes(id, side);
    }

    /// Nothing may have come for too long.
    pub fn silence(&mut self, id: ConnectionId, side: Side) {
        let now = self.now;
        let Some(connection) = self.network.connections.get(&id) else { return };
        let end = connection.end(side);
        if !end.is_open {
            return;
        }
        let due = end.heard_at + end.silence_ms;
        let is_frozen = self.hosts.get(end.process.machine).is_some_and(|host| host.is_frozen);
        if now < due || is_frozen {
            return self.at(due.max(now + LOOK_AGAIN_MS), Event::Silence(id, side));
        }
        if connection.end(side.other()).is_open {
            self.push(id, side.other(), Packet::End);
        }
        self.end_comes(id, side);
    }

    /// All connections of a process end with it. Its last bytes may be lost.
    pub fn end_connections(&mut self, process: Life, by_power: bool) {
        let ends: Vec<(ConnectionId, Side)> =
            self.network.by_process.get(&process).into_iter().flatten().copied().collect();
        for (id, side) in ends {
            let loses_bytes = by_power || self.network_random.random_bool(0.5);
            let Some(connection) = self.network.connections.get_mut(&id) else { continue };
            if side == Side::Opener {
                self.network.links.remove(&(process, connection.link));
            }
            if loses_bytes {
                connection.end_mut(side.other()).inbound.clear();
            }
            if by_power {
                // The peer learns it from silence, or when it sends something.
                connection.end_mut(side).is_open = false;
                self.network.forget_closed(id);
            } else {
                self.close_end(id, side);
            }
        }
    }

    /// All connections of a machine are reset, with all bytes on their way.
    pub fn reset_connections(&mut self, machine: Machine) {
        let Some(process) = self.running(machine) else { return };
        let ends: Vec<(ConnectionId, Side)> =
            self.network.by_process.get(&process).into_iter().flatten().copied().collect();
        for (id, side) in ends {
            if let Some(connection) = self.network.connections.get_mut(&id) {
                connection.end_mut(side.other()).inbound.clear();
            }
            self.close(process, id);
        }
    }
}
