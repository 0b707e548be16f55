//! Owns the start and the end of the program: it reads the configuration, builds the parts, hands the broker's orders to
//! them, gives them what changed in the file after SIGHUP, and ends after SIGTERM once all that was taken is answered. It
//! must never know what is in a job or an answer, nor put a part of a faulty file in force.

mod config;

use std::collections::BTreeSet;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use ruddervalve::{Facade, ListKind};
use ruddervalve_broker::{Broker, Clock, Counters, Order, Pool};
use ruddervalve_http::{Claims, Control, Front, Handover, MachineList, SET_ASIDE, client};
use socket2::{SockRef, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio_listener::{ListenerAddress, SystemOptions, UserOptions};

use config::Config;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn file(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

fn main() -> ExitCode {
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
    match actix_rt::System::new().block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ruddervalve: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Connections to nodes and of submitters: two fifths each of the descriptors that are not set aside for operators, as
/// each job out has one of both. Those that are ending, discovery and the program itself take the rest.
/// The two processes of an upgrade take half each.
fn share(sockets: usize, linked: bool) -> usize {
    (sockets - SET_ASIDE) * 2 / if linked { 10 } else { 5 }
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

async fn run(mut config: Config) -> Result<(), Box<dyn std::error::Error>> {
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
    let limit = share(config.sockets, false);
    let facade = Facade::new(config.settings.clone(), config.names.clone(), config.seed)?;
    let (broker, orders) = Broker::new(facade, clock.clone(), counters.clone());
    let claims = Claims::new(config.network.clone(), broker.clone(), clock.clone(), counters.clone(), limit);
    let list = MachineList::new(client(&config.network), config.discovery, broker.clone());
    let list = Rc::new(list);
    actix_rt::spawn(obey(orders, claims.clone(), list.clone(), broker.clone(), clock.clone()));
    if let Some(known) = config.known.take() {
        broker.list(ListKind::Cached, known);
    }
    // Where the platform holds the socket, another process of this dispatcher may serve already.
    let folder = std::env::var_os("TMPDIR").filter(|_| config.accept_fd.is_some());
    let handover = folder.map(|folder| {
        let (name, discovery) = (config.name.clone(), list.discovery());
        let (broker, clock, counters) = (broker.clone(), clock.clone(), counters.clone());
        Handover::new(name, folder.as_ref(), broker, clock, counters, discovery)
    });
    if let Some(handover) = &handover {
        handover.take_over().await;
    }
    let mut linked =
        handover.as_ref().map_or_else(|| watch::Sender::new(false).subscribe(), |link| link.linked());
    linked.mark_changed();
    broker.tick(Pool::PLATFORM);
    if let Some(address) = config.control {
        let listener = TcpListener::bind(address).await?;
        counters.say(clock.now(), format_args!("operators call at {}", listener.local_addr()?));
        let control = Control::new(broker.clone(), clock.clone(), counters.clone());
        actix_rt::spawn(control.serve(listener));
    }
    let front = Front::new(broker.clone(), clock.clone(), counters.clone(), limit, &config.network);
    counters.say(clock.now(), format_args!("{} listens on {at}", config.name));
    let serving = actix_rt::spawn(front.clone().serve(listener, config.accept_fd.is_some()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = print.recv() => eprintln!("ruddervalve: {counters}"),
            Ok(()) = linked.changed() => {
                let most = share(config.sockets, *linked.borrow_and_update());
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
                        let most = share(new.sockets, *linked.borrow());
                        front.limit_to(most, &new.network);
                        claims.limit_to(most, &new.network);
                        list.follow(new.discovery);
                        config = new;
                    }
                }
            }
        }
    }
    broker.end(config.accept_fd.is_some());
    let _ = serving.await;
    // A job is open for as long as its connection.
    front.empty().await;
    eprintln!("ruddervalve: {counters}");
    Ok(())
}

/// Does what the broker orders, in its order.
async fn obey(
    mut orders: mpsc::UnboundedReceiver<Order>,
    claims: Rc<Claims>,
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
