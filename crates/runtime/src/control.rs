//! Links of an edge, a store or a coordinator to all coordinators: whichever leads sends its updates.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ruddervalve_protocol::{Channel, CoordinatorReply, CoordinatorRequest, Greeting, Registration};
use ruddervalve_rpc::{Backoff, LinkEvent, LinkSettings, Outbox, Peer};
use tokio::sync::mpsc;

use crate::{Boot, backoff, draw_seed, link_settings};

/// Something that coordinators said.
#[derive(Debug)]
pub struct ControlEvent {
    /// Which coordinator, by its internal address.
    pub from: SocketAddr,
    /// What; none: the connection to it came up or ended.
    pub reply: Option<CoordinatorReply>,
}

#[derive(Debug)]
struct Link {
    _peer: Peer,
    outbox: Option<Outbox>,
}

/// Links to all coordinators that are known.
#[derive(Debug)]
pub struct ControlLinks {
    links: BTreeMap<SocketAddr, Link>,
    /// The addresses that the owner knows.
    wanted: Vec<SocketAddr>,
    /// The leader that the others name, whether the owner knows its address or not.
    leader: Option<SocketAddr>,
    registration: Registration,
    greeting: Greeting,
    settings: LinkSettings,
    backoff: Backoff,
    sender: mpsc::UnboundedSender<(SocketAddr, LinkEvent<CoordinatorReply>)>,
    events: mpsc::UnboundedReceiver<(SocketAddr, LinkEvent<CoordinatorReply>)>,
}

impl ControlLinks {
    /// No links yet.
    pub fn new(boot: &Boot, registration: Registration) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            links: BTreeMap::new(),
            wanted: Vec::new(),
            leader: None,
            registration,
            greeting: boot.greeting(Channel::Control),
            settings: link_settings(&boot.settings),
            backoff: backoff(&boot.settings, draw_seed()),
            sender,
            events,
        }
    }

    /// Opens links to these addresses and closes those to others, but for the leader's.
    pub fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.wanted = addresses.to_vec();
        self.open_missing();
    }

    /// Opens a link to the leader that a coordinator names: it may be none of those that this process knows, as right after
    /// its start it knows the seeds alone.
    fn follow(&mut self, leader: &str) {
        let Ok(leader) = leader.parse() else { return };
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.open_missing();
        }
    }

    fn open_missing(&mut self) {
        let addresses: BTreeSet<SocketAddr> = self.wanted.iter().copied().chain(self.leader).collect();
        self.links.retain(|address, _| addresses.contains(address));
        for address in addresses {
            if !self.links.contains_key(&address) {
                let link = self.open(address);
                self.links.insert(address, link);
            }
        }
    }

    fn open(&self, address: SocketAddr) -> Link {
        let sender = self.sender.clone();
        let sink = move |event| {
            let _ = sender.send((address, event));
        };
        let backoff = Backoff { seed: draw_seed(), ..self.backoff };
        Link { _peer: Peer::keep(address, self.greeting.clone(), self.settings, backoff, sink), outbox: None }
    }

    /// What happens next. Registers by itself on connections that come up.
    pub async fn next(&mut self) -> ControlEvent {
        loop {
            let Some((from, event)) = self.events.recv().await else { return std::future::pending().await };
            let Some(link) = self.links.get_mut(&from) else { continue };
            match event {
                LinkEvent::Up(outbox) => {
                    outbox.send(&CoordinatorRequest::Register(self.registration.clone()));
                    outbox.send(&CoordinatorRequest::Heartbeat);
                    link.outbox = Some(outbox);
                    return ControlEvent { from, reply: None };
                }
                LinkEvent::Message(reply) => {
                    if let CoordinatorReply::NotLeader { leader: Some(leader) } = &reply {
                        self.follow(leader);
                    }
                    return ControlEvent { from, reply: Some(reply) };
                }
                LinkEvent::Down(error) => {
                    tracing::debug!(%from, %error, "no connection to a coordinator");
                    link.outbox = None;
                    return ControlEvent { from, reply: None };
                }
            }
        }
    }

    /// How often [`ControlLinks::heartbeat`] has to be called: a third of the silence after which a link is given up.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis((self.settings.silence_ms / 3).max(1))
    }

    /// Keeps the links alive.
    pub fn heartbeat(&self) {
        self.send(&CoordinatorRequest::Heartbeat);
    }

    /// Tells all coordinators something.
    pub fn send(&self, request: &CoordinatorRequest) {
        for outbox in self.links.values().filter_map(|link| link.outbox.as_ref()) {
            outbox.send(request);
        }
    }
}
