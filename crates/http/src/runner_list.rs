//! Owns the list of runners as discovery tells it: its form, the watch that stays open, the one clock of its silence,
//! and the version to go on from. It must never decide when to ask a shared service again (the decisions do, with a
//! growing pause), take back what a newer list told, nor choose which runner to use.

pub(crate) mod format;
mod watcher;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use ruddervalve_broker::{Broker, Clock};
use ruddervalve_settings::Network;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use self::watcher::{ListWatcher, Watch, agent_times};
use crate::attempts::connection::discovery_client;

/// Follows the list, one watch at a time.
pub struct RunnerList {
    discovery: watch::Sender<SocketAddr>,
    watcher: Rc<ListWatcher>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl RunnerList {
    /// Follows the list of a discovery service for a broker. Where the list is pushed it is watched from now on.
    pub fn new(network: &Network, discovery: SocketAddr, broker: Rc<Broker>, clock: Clock) -> Self {
        let watcher = ListWatcher {
            client: RefCell::new(discovery_client(network)),
            broker,
            clock,
            watch: Cell::new(Watch::Closed),
            counts_as_told_ms: Cell::new(f64::INFINITY),
            same_service: Cell::new(true),
            agent: Cell::new(agent_times(network)),
            ended: Cell::new(0),
            unanswered: Cell::new(0),
        };
        Self { discovery: watch::Sender::new(discovery), watcher: Rc::new(watcher), task: RefCell::new(None) }
    }

    /// Where the list is had, now and when it changes.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Watches the list from now on where it is pushed: nobody else asks for it then.
    pub fn start(&self) {
        if self.watcher.agent.get().is_some() {
            self.ask();
        }
    }

    /// From now on the list is had elsewhere, or in another way: the watch there is opened at once, and the list in
    /// hand stays meanwhile. The old watch is given up untold, so that its end counts against nobody.
    pub fn follow(&self, discovery: SocketAddr, network: &Network) {
        let moved = self.discovery.send_replace(discovery) != discovery;
        let agent = agent_times(network);
        let came = self.watcher.agent.replace(agent).is_none() && agent.is_some();
        self.watcher.client.replace(discovery_client(network));
        if moved {
            self.watcher.moved();
        }
        if moved || came {
            self.ask();
        }
    }

    /// Asks for the list and its changes. A watch still open is given up, and tells nothing any more once this returns:
    /// being asked again means that it told nothing.
    pub fn ask(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let (address, watcher) = (*self.discovery.borrow(), self.watcher.clone());
        self.task.replace(Some(actix_rt::spawn(async move {
            loop {
                let problem = watcher.run_watch(address).await;
                let Some(pause) = watcher.watch_failed(&problem) else { return };
                tokio::time::sleep(pause).await;
            }
        })));
    }
}
