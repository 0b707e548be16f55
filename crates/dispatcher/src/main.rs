//! Owns the start and the end of the program: it reads the configuration and the operator file, builds the parts, hands
//! the broker's orders to them, gives them what changed in the files after SIGHUP, and ends after SIGTERM once all that was
//! taken is answered. It must never know what is in a job or an answer, nor put a part of a faulty file in force.

mod config;

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use clap::Parser;
use ruddervalve::{Facade, ListKind};
use ruddervalve_broker::{Broker, Clock, Counters, Order, Pool};
use ruddervalve_gearman::Gearman;
use ruddervalve_http::{Claims, Control, Front, Handover, MachineList, Probes, SET_ASIDE};
use ruddervalve_operators::Operators;
use socket2::{SockRef, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio_listener::{ListenerAddress, SystemOptions, UserOptions};

use config::Config;

/// Dispatches jobs to execute nodes. ROUTER_CONFIG names the platform's configuration.
#[derive(Debug, Parser)]
#[command(name = "ruddervalve", version)]
struct Options {
    /// The operator file, in XML; its schema is crates/operators/operators.xsd
    #[arg(long, value_name = "FILE", env = "RUDDERVALVE_OPERATORS")]
    operators: Option<PathBuf>,
}

/// So many descriptors are left to submitters, nodes and discovery, whatever else is served.
const FOR_THE_PLATFORM: usize = 64;

impl Options {
    /// Reads the operator file, if there is one, and checks it against the platform's. A line for each fault.
    fn read(&self, config: &Config) -> Result<Operators, Vec<String>> {
        let Some(path) = &self.operators else { return Ok(Operators::default()) };
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|error| vec![format!("{name}: {error}")])?;
        let spare = config.sockets.saturating_sub(SET_ASIDE + FOR_THE_PLATFORM);
        let checked =
            |read: Operators| read.check(&config.names.classes, &config.names.tenants, spare).map(|()| read);
        let told = |fault| format!("{name}: {fault}");
        Operators::read(&text).and_then(checked).map_err(|faults| faults.into_iter().map(told).collect())
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn file(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

fn main() -> ExitCode {
    if let Some(code) = ruddervalve_system::run(std::env::args_os().skip(1).collect()) {
        return code;
    }
    let options = Options::parse();
    let config = match Config::read(variable, file) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("ruddervalve: {error}");
            return ExitCode::from(2);
        }
    };
    // Before anything here is opened that could have its number.
    if let Some(fd) = config.accept_fd
        && let Err(problem) = is_socket(fd)
    {
        eprintln!("ruddervalve: ROUTER_ACCEPT_FD: {problem}");
        return ExitCode::from(2);
    }
    let operators = match options.read(&config) {
        Ok(operators) => operators,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("ruddervalve: {fault}"));
            return ExitCode::from(2);
        }
    };
    match actix_rt::System::new().block_on(run(config, &options, operators)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ruddervalve: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Connections to nodes and of submitters: two fifths each of the descriptors that are not set aside for operators and
/// Gearman, as each job out has one of both. Those that are ending, discovery and the program itself take the rest.
/// The two processes of an upgrade take half each.
fn share(sockets: usize, operators: &Operators, linked: bool) -> usize {
    let gearman = operators.gearman.as_ref().map_or(0, |gearman| gearman.limits.connections);
    sockets.saturating_sub(SET_ASIDE + gearman) * 2 / if linked { 10 } else { 5 }
}

fn is_socket(fd: i32) -> Result<(), String> {
    match std::fs::read_link(format!("/proc/self/fd/{fd}")) {
        Ok(what) if what.to_string_lossy().starts_with("socket:") => Ok(()),
        Ok(_) => Err(format!("descriptor {fd} is no socket")),
        Err(_) => Err(format!("descriptor {fd} is not open")),
    }
}

/// The listening socket that the platform holds.
async fn inherited(fd: i32) -> Result<TcpListener, String> {
    let mut options = UserOptions::default();
    options.sd_accept_ignore_environment = true;
    let address = ListenerAddress::FromFd(fd);
    let taken = tokio_listener::Listener::bind(&address, &SystemOptions::default(), &options).await;
    let taken = taken.map_err(|error| error.to_string())?;
    let listener = taken.try_into_tcp_listener().map_err(|_| "is no TCP socket".to_owned())?;
    let socket = SockRef::from(&listener);
    match socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false) {
        true => Ok(listener),
        false => Err(format!("descriptor {fd} is no listening TCP socket")),
    }
}

async fn run(
    mut config: Config,
    options: &Options,
    mut operators: Operators,
) -> Result<(), Box<dyn std::error::Error>> {
    let (clock, counters) = (Clock::running(), Rc::new(Counters::default()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut print = signal(SignalKind::user_defined1())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let listener = match config.accept_fd {
        None => TcpListener::bind(config.listen).await?,
        Some(fd) => inherited(fd).await.map_err(|problem| format!("ROUTER_ACCEPT_FD: {problem}"))?,
    };
    let at = listener.local_addr()?;
    let limit = share(config.sockets, &operators, false);
    let facade = Facade::new(config.settings.clone(), config.names.clone(), config.seed)?;
    let (broker, orders) = Broker::new(facade, clock.clone(), counters.clone());
    let claims = Claims::new(config.network.clone(), broker.clone(), clock.clone(), counters.clone(), limit);
    let probes = Probes::new(broker.clone(), claims.clone(), counters.clone());
    let list = Rc::new(MachineList::new(&config.network, config.discovery, broker.clone(), clock.clone()));
    actix_rt::spawn(obey(
        orders,
        (claims.clone(), probes.clone()),
        list.clone(),
        broker.clone(),
        clock.clone(),
    ));
    if let Some(known) = config.known.take() {
        broker.list(ListKind::Cached, known);
    }
    // Where the platform holds the socket, another process of this dispatcher may serve already.
    let folder = std::env::var_os("TMPDIR").filter(|_| config.accept_fd.is_some());
    let handover = folder.map(|folder| {
        let (name, discovery) = (config.name.clone(), list.discovery());
        let (broker, clock, counters) = (broker.clone(), clock.clone(), counters.clone());
        Handover::new(name, at, folder.as_ref(), broker, clock, counters, discovery)
    });
    if let Some(handover) = &handover {
        handover.take_over().await;
    }
    let mut linked =
        handover.as_ref().map_or_else(|| watch::Sender::new(false).subscribe(), |link| link.linked());
    linked.mark_changed();
    broker.tick(Pool::PLATFORM);
    list.start();
    if let Some(address) = config.control {
        let listener = TcpListener::bind(address).await?;
        counters.say(clock.now(), format_args!("operators call at {}", listener.local_addr()?));
        let control = Control::new(broker.clone(), clock.clone(), counters.clone());
        actix_rt::spawn(control.serve(listener));
    }
    let front = Front::new(broker.clone(), clock.clone(), counters.clone(), limit, &config.network);
    counters.say(clock.now(), format_args!("{} listens on {at}", config.name));
    tell_hearing(&config, &counters, &clock);
    let gearman = match &operators.gearman {
        None => None,
        Some(told) => {
            let (broker, clock, counters) = (broker.clone(), clock.clone(), counters.clone());
            let platform = (&config.settings, &config.names);
            let gearman = Gearman::new(&config.name, told, platform, config.seed, broker, clock, counters)?;
            gearman.show();
            Some(gearman)
        }
    };
    if let (Some(gearman), Some(told)) = (&gearman, &operators.gearman) {
        // In an upgrade the older process may hold the address until it is told to end.
        let (address, wait) = (told.listen, config.accept_fd.is_some());
        let listener = if wait { None } else { Some(Gearman::bind(address, false).await?) };
        let (gearman, clock, counters) = (gearman.clone(), clock.clone(), counters.clone());
        actix_rt::spawn(async move {
            let listener = match listener {
                Some(listener) => Ok(listener),
                None => Gearman::bind(address, true).await,
            };
            match listener.and_then(|listener| Ok((listener.local_addr()?, listener))) {
                Ok((at, listener)) => {
                    counters.say(clock.now(), format_args!("gearman listens on {at}"));
                    gearman.serve(listener).await;
                }
                Err(error) => counters.say(clock.now(), format_args!("gearman cannot listen: {error}")),
            }
        });
    }
    let serving = actix_rt::spawn(front.clone().serve(listener, config.accept_fd.is_some()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = asked_to_end(gearman.as_deref()) => break,
            _ = print.recv() => eprintln!("ruddervalve: {counters}"),
            Ok(()) = linked.changed() => {
                let most = share(config.sockets, &operators, *linked.borrow_and_update());
                front.limit_to(most, &config.network);
                claims.limit_to(most, &config.network);
            }
            _ = hang_up.recv() => {
                let put = |new: &Config| broker.reconfigure(Pool::PLATFORM, new.settings.clone(), new.names.clone());
                let read = config.read_again(variable, file);
                let read = read.map_err(|error| error.to_string());
                let read = read.and_then(|new| put(&new).map(|()| new).map_err(|error| error.to_string()));
                match read {
                    Err(error) => {
                        counters.count("reloads", "faulty");
                        let line = format_args!("configuration stays as it was: {error}");
                        counters.say(clock.now(), line);
                    }
                    Ok(new) => {
                        counters.count("reloads", "taken");
                        for key in config.fixed_keys_changed(&new) {
                            let line = format_args!("configuration: {key} takes effect with the next start");
                            counters.say(clock.now(), line);
                        }
                        tell_hearing(&new, &counters, &clock);
                        list.follow(new.discovery, &new.network);
                        config = new;
                    }
                }
                match take_operators(options, &config, &operators, gearman.as_deref()) {
                    Err(faults) => {
                        counters.count("operators", "faulty");
                        counters.say(clock.now(), "the operator file in force stays as it was:");
                        faults.iter().for_each(|fault| counters.say(clock.now(), fault));
                    }
                    Ok((new, notes)) => {
                        counters.count("operators", "taken");
                        notes.iter().for_each(|note| counters.say(clock.now(), note));
                        operators = new;
                    }
                }
                let most = share(config.sockets, &operators, *linked.borrow());
                front.limit_to(most, &config.network);
                claims.limit_to(most, &config.network);
            }
        }
    }
    broker.end(config.accept_fd.is_some());
    let http = async {
        let _ = serving.await;
        // A job is open for as long as its connection.
        front.empty().await;
    };
    let gearman = async {
        if let Some(gearman) = &gearman {
            gearman.finish().await;
        }
    };
    tokio::join!(http, gearman);
    eprintln!("ruddervalve: {counters}");
    Ok(())
}

/// Tells those on call what the dispatcher can learn from under its settings, and what is missing.
fn tell_hearing(config: &Config, counters: &Counters, clock: &Clock) {
    counters.say(clock.now(), &config.hearing.line);
    config.hearing.missing.iter().for_each(|what| counters.say(clock.now(), format_args!("warning: {what}")));
}

/// Reads the operator file again and puts it in force, as far as that can be done while the program runs.
fn take_operators(
    options: &Options,
    config: &Config,
    old: &Operators,
    gearman: Option<&Gearman>,
) -> Result<(Operators, Vec<String>), Vec<String>> {
    let mut new = options.read(config)?;
    let mut notes = Vec::new();
    match (gearman, &mut new.gearman, &old.gearman) {
        (Some(gearman), Some(told), Some(before)) => {
            gearman
                .reconfigure(told, (&config.settings, &config.names))
                .map_err(|error| vec![format!("gearman: {error}")])?;
            if std::mem::replace(&mut told.listen, before.listen) != before.listen {
                notes.push("operator file: gearman listen takes effect with the next start".to_owned());
            }
        }
        (_, now, before) if now.is_some() != before.is_some() => {
            notes.push("operator file: gearman takes effect with the next start".to_owned());
            now.clone_from(before);
        }
        _ => {}
    }
    Ok((new, notes))
}

/// Waits until an operator has asked for the end by Gearman's text protocol.
async fn asked_to_end(gearman: Option<&Gearman>) {
    match gearman {
        Some(gearman) => gearman.shut_down().await,
        None => std::future::pending().await,
    }
}

/// Does what the broker orders, in its order.
async fn obey(
    mut orders: mpsc::UnboundedReceiver<Order>,
    (claims, probes): (Rc<Claims>, Rc<Probes>),
    list: Rc<MachineList>,
    broker: Rc<Broker>,
    clock: Clock,
) {
    let mut wakes = BTreeSet::new();
    loop {
        // Whole microseconds, upwards: a wake must not come before its time.
        let next: Option<u64> = wakes.first().map(|(at, _)| *at);
        let wait = next.map_or(Duration::from_secs(3_600), |at| clock.until(at as f64 / 1e3));
        tokio::select! {
            biased;
            order = orders.recv() => match order {
                None => return,
                Some(Order::Claim(claim)) => claims.start(claim),
                Some(Order::Withdraw { claim }) => claims.withdraw(claim),
                Some(Order::AskForList) => list.ask(),
                Some(Order::Probe(probe)) => probes.start(probe),
                Some(Order::WakeAt(pool, at)) => drop(wakes.insert(((at * 1e3).ceil() as u64, pool))),
            },
            () = tokio::time::sleep(wait) => {
                let now = (clock.now() * 1e3) as u64;
                let later = wakes.split_off(&(now + 1, Pool::PLATFORM));
                let due: BTreeSet<Pool> = wakes.iter().map(|(_, pool)| *pool).collect();
                wakes = later;
                due.into_iter().for_each(|pool| broker.tick(pool));
            }
        }
    }
}
