//! Links of an edge, a store or a coordinator to coordinators: whichever leads sends its updates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ruddervalve_protocol::{Channel, CoordinatorReply, CoordinatorRequest, Greeting, Registration};
use ruddervalve_rpc::{Backoff, LinkEvent, LinkSettings, Outbox, Peer};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::{
    Boot, KnownCoordinators, TakenReply, Updates, backoff, draw_seed, heartbeat_interval, link_settings,
};

/// Something that coordinators said.
#[derive(Debug)]
pub struct ControlEvent {
    /// Which coordinator, by its internal address.
    pub from: SocketAddr,
    /// What; none: the connection to it came up or ended, or what it said is of no use.
    pub reply: Option<CoordinatorReply>,
}

#[derive(Debug)]
struct Link {
    _peer: Peer,
    outbox: Option<Outbox>,
}

/// Links to coordinators.
#[derive(Debug)]
pub struct ControlLinks {
    links: BTreeMap<SocketAddr, Link>,
    known: KnownCoordinators,
    registration: Registration,
    greeting: Greeting,
    settings: LinkSettings,
    backoff: Backoff,
    /// When the coordinator that leads last answered a heartbeat; the start of this process before the first answer.
    leader_heard_at: Instant,
    /// Whether it was logged that no leader answers.
    missing_leader_logged: bool,
    updates: Updates,
    /// Since when the leader names a configuration that has not come, and whether that was logged.
    behind: Option<(Instant, bool)>,
    sender: mpsc::UnboundedSender<(SocketAddr, LinkEvent<CoordinatorReply>)>,
    events: mpsc::UnboundedReceiver<(SocketAddr, LinkEvent<CoordinatorReply>)>,
}

impl ControlLinks {
    /// No links yet.
    pub fn new(boot: &Boot, registration: Registration) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            links: BTreeMap::new(),
            known: KnownCoordinators::new(&registration),
            registration,
            greeting: boot.greeting(Channel::Control),
            settings: link_settings(&boot.settings),
            backoff: backoff(&boot.settings, draw_seed()),
            leader_heard_at: Instant::now(),
            missing_leader_logged: false,
            updates: Updates::default(),
            behind: None,
            sender,
            events,
        }
    }

    /// These coordinators are known to the owner: links to others are closed unless they are needed to find the leader.
    pub fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.known.set_listed(addresses);
        self.update_links();
    }

    /// Keeps links to the coordinators that are needed to hear the leader and to find the next one, and to no others.
    fn update_links(&mut self) {
        let addresses = self.known.addresses();
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
                    outbox.send(&CoordinatorRequest::Register(
                        self.registration.clone(),
                        self.updates.received(),
                    ));
                    outbox.send(&CoordinatorRequest::Heartbeat);
                    link.outbox = Some(outbox);
                    return ControlEvent { from, reply: None };
                }
                LinkEvent::Message(reply) => {
                    if self.known.hear(from, &reply) {
                        self.update_links();
                    }
                    if let CoordinatorReply::Alive { term, configuration, .. } = reply {
                        self.heard_leader(from, term);
                        self.log_late_configuration(from, configuration);
                    }
                    let TakenReply { reply, is_update } = self.updates.take(reply);
                    if is_update {
                        self.send(&CoordinatorRequest::Received(self.updates.received()));
                    }
                    return ControlEvent { from, reply };
                }
                LinkEvent::Room => {}
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
        heartbeat_interval(&self.settings)
    }

    /// Keeps the links alive.
    pub fn heartbeat(&mut self) {
        self.send(&CoordinatorRequest::Heartbeat);
        if self.known.heartbeat_sent() {
            self.update_links();
        }
        self.log_missing_leader();
    }

    /// The process itself leads: no other answers as leader, and none is missing.
    pub fn leads_itself(&mut self) {
        self.known.leads_itself();
        self.leader_heard_at = Instant::now();
    }

    fn heard_leader(&mut self, from: SocketAddr, term: u64) {
        self.leader_heard_at = Instant::now();
        if std::mem::take(&mut self.missing_leader_logged) {
            tracing::info!(leader = %from, term, "a coordinator that leads answers");
        }
    }

    /// Logs once that the leader has named a configuration for longer than a link may be silent, and it has not come.
    fn log_late_configuration(&mut self, leader: SocketAddr, configuration: u64) {
        let received = self.updates.received().configuration;
        if configuration <= received {
            self.behind = None;
            return;
        }
        let (since, is_logged) = self.behind.get_or_insert((Instant::now(), false));
        let late_ms = since.elapsed().as_millis();
        if late_ms >= u128::from(self.settings.silence_ms) && !std::mem::replace(is_logged, true) {
            tracing::warn!(%leader, configuration, received, late_ms, "the leader's configuration has not come");
        }
    }

    /// Logs once that no leader has answered for longer than a link may be silent.
    fn log_missing_leader(&mut self) {
        let silent_ms = self.leader_heard_at.elapsed().as_millis();
        if self.missing_leader_logged || silent_ms < u128::from(self.settings.silence_ms) {
            return;
        }
        self.missing_leader_logged = true;
        let connected = self.links.values().filter(|link| link.outbox.is_some()).count();
        tracing::warn!(known = self.links.len(), connected, "no coordinator that leads answers");
    }

    /// Tells all coordinators that a link is kept to something.
    pub fn send(&self, request: &CoordinatorRequest) {
        for outbox in self.links.values().filter_map(|link| link.outbox.as_ref()) {
            outbox.send(request);
        }
    }
}
