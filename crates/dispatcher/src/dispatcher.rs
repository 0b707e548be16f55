//! Owns the parts of the running dispatcher: it builds them, serves until it is told to end, and ends once all that was
//! taken is answered.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;

use ruddervalve::{Facade, ListKind};
use ruddervalve_broker::{Broker, Clock, Counters, Pool};
use ruddervalve_gearman::{Engine, Gearman};
use ruddervalve_http::{Attempts, Control, Front, Handover, Probes, RESERVED_DESCRIPTORS, RunnerList};
use ruddervalve_operators::Operators;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::listener::listen;
use crate::operator_file::Options;
use crate::orders::OrderExecutor;

/// The running dispatcher.
pub struct Dispatcher {
    pub(super) config: Config,
    pub(super) options: Options,
    pub(super) operators: Operators,
    pub(super) clock: Clock,
    pub(super) counters: Rc<Counters>,
    pub(super) broker: Rc<Broker>,
    attempts: Rc<Attempts>,
    pub(super) list: Rc<RunnerList>,
    front: Rc<Front>,
    pub(super) gearman: Option<Rc<Gearman>>,
    /// Whether another process of this dispatcher is there.
    linked: watch::Receiver<bool>,
}

/// The signals that the program obeys.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print: Signal,
    hang_up: Signal,
}

/// What the dispatcher has to do next.
enum Event {
    End,
    PrintCounters,
    /// Another process of this dispatcher has come or gone.
    LinkChanged,
    Reload,
}

impl Signals {
    fn install() -> Result<Self, std::io::Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print: signal(SignalKind::user_defined1())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Connections to runners and of clients: two fifths each of the descriptors that are not set aside for operators and
/// Gearman, as each request in flight has one of both. Those that are ending, discovery and the program itself take the
/// rest. The two processes of an upgrade take half each.
fn connection_limit(sockets: usize, operators: &Operators, linked: bool) -> usize {
    let gearman = operators.gearman.as_ref().map_or(0, |gearman| gearman.limits.connections);
    sockets.saturating_sub(RESERVED_DESCRIPTORS + gearman) * 2 / if linked { 10 } else { 5 }
}

impl Dispatcher {
    /// Serves from the start to the end of the program.
    ///
    /// # Errors
    ///
    /// It cannot start: an address cannot be bound, or settings cannot be used.
    pub async fn run(config: Config, options: Options, operators: Operators) -> Result<(), Box<dyn Error>> {
        let mut signals = Signals::install()?;
        let listener = listen(config.listen, config.accept_fd).await?;
        let mut dispatcher = Self::start(config, options, operators, &listener).await?;
        dispatcher.serve_gearman().await?;
        let shared = dispatcher.config.accept_fd.is_some();
        let serving = actix_rt::spawn(dispatcher.front.clone().serve(listener, shared));
        dispatcher.serve(&mut signals).await;
        dispatcher.shut_down(serving).await;
        Ok(())
    }

    async fn start(
        config: Config,
        options: Options,
        operators: Operators,
        listener: &TcpListener,
    ) -> Result<Self, Box<dyn Error>> {
        let at = listener.local_addr()?;
        let mut dispatcher = Self::build(config, options, operators)?;
        if let Some(known) = dispatcher.config.known.take() {
            dispatcher.broker.list_received(ListKind::Cached, known);
        }
        dispatcher.take_over(at).await;
        dispatcher.broker.tick(Pool::PLATFORM);
        dispatcher.list.start();
        dispatcher.serve_control().await?;
        let line = format_args!("{} listens on {at}", dispatcher.config.name);
        dispatcher.counters.log(dispatcher.clock.now(), line);
        dispatcher.log_observability(&dispatcher.config);
        dispatcher.gearman = dispatcher.new_gearman()?;
        Ok(dispatcher)
    }

    /// Builds the parts and has the broker's orders executed; nothing is served yet.
    fn build(config: Config, options: Options, operators: Operators) -> Result<Self, Box<dyn Error>> {
        let (clock, counters) = (Clock::running(), Rc::new(Counters::default()));
        let limit = connection_limit(config.sockets, &operators, false);
        let facade = Facade::new(config.settings.clone(), config.names.clone(), config.seed)?;
        let (broker, orders) = Broker::new(facade, clock.clone(), counters.clone());
        let attempts =
            Attempts::new(config.network.clone(), broker.clone(), clock.clone(), counters.clone(), limit);
        let list = RunnerList::new(&config.network, config.discovery, broker.clone(), clock.clone());
        let list = Rc::new(list);
        let executor = OrderExecutor {
            attempts: attempts.clone(),
            probes: Probes::new(broker.clone(), attempts.clone(), counters.clone()),
            list: list.clone(),
            broker: broker.clone(),
            clock: clock.clone(),
        };
        actix_rt::spawn(executor.run(orders));
        let front = Front::new(broker.clone(), clock.clone(), counters.clone(), limit, &config.network);
        let (gearman, linked) = (None, watch::Sender::new(false).subscribe());
        Ok(Self {
            config,
            options,
            operators,
            clock,
            counters,
            broker,
            attempts,
            list,
            front,
            gearman,
            linked,
        })
    }

    /// Where the platform holds the socket, another process of this dispatcher may serve already: takes over from it.
    async fn take_over(&mut self, at: SocketAddr) {
        let folder = std::env::var_os("TMPDIR").filter(|_| self.config.accept_fd.is_some());
        if let Some(folder) = folder {
            let (name, discovery) = (self.config.name.clone(), self.list.discovery());
            let (broker, clock, counters) = (self.broker.clone(), self.clock.clone(), self.counters.clone());
            let handover = Handover::new(name, at, folder.as_ref(), broker, clock, counters, discovery);
            handover.take_over().await;
            self.linked = handover.linked();
        }
        self.linked.mark_changed();
    }

    /// Serves the operators' address, if there is one.
    async fn serve_control(&self) -> Result<(), Box<dyn Error>> {
        let Some(address) = self.config.control else { return Ok(()) };
        let listener = TcpListener::bind(address).await?;
        let line = format_args!("operators call at {}", listener.local_addr()?);
        self.counters.log(self.clock.now(), line);
        let control = Control::new(self.broker.clone(), self.clock.clone(), self.counters.clone());
        actix_rt::spawn(control.serve(listener));
        Ok(())
    }

    fn new_gearman(&self) -> Result<Option<Rc<Gearman>>, Box<dyn Error>> {
        let Some(settings) = &self.operators.gearman else { return Ok(None) };
        let (broker, clock, counters) = (self.broker.clone(), self.clock.clone(), self.counters.clone());
        let platform = (&self.config.settings, &self.config.names);
        let (name, seed) = (&self.config.name, self.config.seed);
        let (engine_broker, engine_clock) = (broker.clone(), clock.clone());
        let engine =
            Engine::new(name, settings, platform, seed, engine_broker, engine_clock, counters.clone())?;
        let gearman = Gearman::new(engine, settings, broker, clock, counters);
        gearman.show();
        Ok(Some(gearman))
    }

    /// Serves Gearman clients and workers, if they are to be served. In an upgrade the older process may hold the
    /// address until it is told to end: then it is waited for.
    async fn serve_gearman(&self) -> Result<(), Box<dyn Error>> {
        let (Some(gearman), Some(settings)) = (&self.gearman, &self.operators.gearman) else { return Ok(()) };
        let (address, wait) = (settings.listen, self.config.accept_fd.is_some());
        let listener = if wait { None } else { Some(Gearman::bind(address, false).await?) };
        let (gearman, clock, counters) = (gearman.clone(), self.clock.clone(), self.counters.clone());
        actix_rt::spawn(async move {
            let listener = match listener {
                Some(listener) => Ok(listener),
                None => Gearman::bind(address, true).await,
            };
            match listener.and_then(|listener| Ok((listener.local_addr()?, listener))) {
                Ok((at, listener)) => {
                    counters.log(clock.now(), format_args!("gearman listens on {at}"));
                    gearman.serve(listener).await;
                }
                Err(error) => counters.log(clock.now(), format_args!("gearman cannot listen: {error}")),
            }
        });
        Ok(())
    }

    /// Serves until the program is told to end.
    async fn serve(&mut self, signals: &mut Signals) {
        loop {
            match self.next_event(signals).await {
                Event::End => return,
                Event::PrintCounters => eprintln!("ruddervalve: {}", self.counters),
                Event::LinkChanged => {
                    let linked = *self.linked.borrow_and_update();
                    self.apply_limits(linked);
                }
                Event::Reload => {
                    self.reload();
                    let linked = *self.linked.borrow();
                    self.apply_limits(linked);
                }
            }
        }
    }

    async fn next_event(&mut self, signals: &mut Signals) -> Event {
        tokio::select! {
            _ = signals.terminate.recv() => Event::End,
            _ = signals.interrupt.recv() => Event::End,
            () = asked_to_end(self.gearman.as_deref()) => Event::End,
            _ = signals.print.recv() => Event::PrintCounters,
            Ok(()) = self.linked.changed() => Event::LinkChanged,
            _ = signals.hang_up.recv() => Event::Reload,
        }
    }

    fn apply_limits(&self, linked: bool) {
        let limit = connection_limit(self.config.sockets, &self.operators, linked);
        self.front.set_limits(limit, &self.config.network);
        self.attempts.set_limits(limit, &self.config.network);
    }

    /// Waits until all that was taken is answered.
    async fn shut_down(self, serving: JoinHandle<()>) {
        self.broker.shut_down(self.config.accept_fd.is_some());
        let http = async {
            let _ = serving.await;
            // A request is open for as long as its connection.
            self.front.empty().await;
        };
        let gearman = async {
            if let Some(gearman) = &self.gearman {
                gearman.finish().await;
            }
        };
        tokio::join!(http, gearman);
        eprintln!("ruddervalve: {}", self.counters);
    }
}

/// Waits until an operator has asked for the end by Gearman's text protocol.
async fn asked_to_end(gearman: Option<&Gearman>) {
    match gearman {
        Some(gearman) => gearman.shut_down().await,
        None => std::future::pending().await,
    }
}
