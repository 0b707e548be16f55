//! How processes open the connections that they keep.

use rand::Rng as _;
use ruddervalve_configuration::Settings;
use ruddervalve_protocol::{Greeting, PROTOCOL_VERSION};
use ruddervalve_runtime::{accepted_replica_link_settings, backoff, link_settings, replica_link_settings};

use crate::event::Event;
use crate::lives::incarnation;
use crate::network::{Life, Machine, Packet, Side, SilenceLimits};
use crate::process::{ConnectionId, Input, Link};
use crate::wires::{LOOK_AGAIN_MS, NEAR_MS};
use crate::world::World;

impl World {
    /// Keeps exactly these links of a process.
    pub fn set_links(&mut self, process: Life, wanted: &[Link]) {
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        let known: Vec<Link> = host.links.keys().copied().collect();
        host.links.retain(|link, _| wanted.contains(link));
        let new: Vec<Link> = wanted.iter().copied().filter(|link| !known.contains(link)).collect();
        host.links.extend(new.iter().map(|link| (*link, 0)));
        for link in known.into_iter().filter(|link| !wanted.contains(link)) {
            if let Some(connection) = self.network.links.remove(&(process, link)) {
                self.close_end(connection, Side::Opener);
            }
        }
        for link in new {
            self.after(0, Event::Dial(process, link));
        }
    }

    pub fn wants(&self, process: Life, link: Link) -> bool {
        let host = self.hosts.get(process.machine);
        self.is_running(process)
            && host.is_some_and(|host| host.links.contains_key(&link))
            && !self.network.links.contains_key(&(process, link))
    }

    pub fn dial(&mut self, process: Life, link: Link) {
        if !self.wants(process, link) {
            return;
        }
        if self.hosts.get(process.machine).is_some_and(|host| host.is_frozen) {
            return self.after(LOOK_AGAIN_MS, Event::Dial(process, link));
        }
        let target = self.by_address.get(&link.address()).copied();
        let Some(target) = target else { return self.after(NEAR_MS, Event::DialFailed(process, link)) };
        let silent = self.network.is_cut(process.machine, target)
            || self.network.is_cut(target, process.machine)
            || self.hosts.get(target).is_none_or(|host| !host.has_power);
        if silent {
            let timeout = self.connect_timeout(process.machine);
            return self.after(timeout, Event::DialFailed(process, link));
        }
        let way = self.way(process.machine, target);
        self.after(way, Event::Reaches(process, link));
    }

    pub fn connect_timeout(&self, machine: Machine) -> u64 {
        self.hosts.get(machine).map_or(1, |host| link_settings(&host.settings).connect_timeout_ms)
    }

    pub fn dial_reaches(&mut self, process: Life, link: Link) {
        if !self.wants(process, link) {
            return;
        }
        let Some(target) = self.by_address.get(&link.address()).copied() else { return };
        let way = self.way(target, process.machine);
        let Some(acceptor) = self.running(target) else {
            return self.after(way, Event::DialFailed(process, link));
        };
        let Some(host) = self.hosts.get(process.machine) else { return };
        let silence = silence_limits(link, &host.settings);
        let connection = self.network.open(link, process, acceptor, self.now, silence);
        self.network.links.insert((process, link), connection);
        self.after(silence.opener_ms, Event::Silence(connection, Side::Opener));
        self.after(silence.acceptor_ms, Event::Silence(connection, Side::Acceptor));
        self.after(way, Event::Established(connection));
    }

    pub fn dial_failed(&mut self, process: Life, link: Link) {
        if self.wants(process, link) {
            self.hand(process, Input::LinkDown(link));
            self.dial_again(process, link);
        }
    }

    pub fn dial_again(&mut self, process: Life, link: Link) {
        let seed: u64 = self.network_random.random();
        let Some(host) = self.hosts.get_mut(process.machine) else { return };
        let Some(failures) = host.links.get_mut(&link) else { return };
        *failures += 1;
        let pause = backoff(&host.settings, seed).pause(*failures);
        let pause = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        self.after(pause.max(1), Event::Dial(process, link));
    }

    pub fn established(&mut self, id: ConnectionId) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        if !connection.opener.is_open {
            return;
        }
        let (process, link) = (connection.opener.process, connection.link);
        let Some(host) = self.hosts.get(process.machine) else { return };
        let greeting = Greeting {
            version: PROTOCOL_VERSION,
            channel: link.channel(),
            node: host.place.name.clone(),
            zone: host.settings.zone.clone(),
            incarnation: ruddervalve_protocol::Incarnation(incarnation(process)),
        };
        self.push(id, Side::Acceptor, Packet::Greeting(greeting));
        self.hand(process, Input::LinkUp(link, id));
    }
}

/// For how long the ends of a link put up with silence; both go by the same settings.
fn silence_limits(link: Link, settings: &Settings) -> SilenceLimits {
    match link {
        Link::Replica(..) => SilenceLimits {
            opener_ms: replica_link_settings(settings).silence_ms,
            acceptor_ms: accepted_replica_link_settings(settings).silence_ms,
        },
        Link::Control(_) | Link::Delivery(..) => {
            let silence_ms = link_settings(settings).silence_ms;
            SilenceLimits { opener_ms: silence_ms, acceptor_ms: silence_ms }
        }
    }
}
