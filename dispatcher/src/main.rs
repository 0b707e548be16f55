//! Owns the start and the end of the program: it reads the configuration, builds the parts, hands the broker's orders to
//! them, and ends after SIGTERM once all that was taken is answered. It must never know what is in a job or an answer.

mod broker;
mod claims;
mod clock;
mod config;
mod counters;
mod front;
mod machine_list;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use ruddervalve::{Facade, ListKind};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use broker::{Broker, Order};
use claims::Claims;
use clock::Clock;
use config::Config;
use counters::Counters;
use front::Front;
use machine_list::MachineList;

/// New connections keep arriving for so long after SIGTERM.
const KEEP_ACCEPTING: Duration = Duration::from_millis(600);
/// How often the end is looked for once nothing new is taken.
const LOOK: Duration = Duration::from_millis(10);

fn main() -> ExitCode {
    let file = |path: &str| std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"));
    let config = match Config::read(|name| std::env::var(name).ok(), file) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("ruddervalve: {error}");
            return ExitCode::from(2);
        }
    };
    match actix_rt::System::new().block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ruddervalve: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let (clock, counters) = (Clock::running(), Rc::new(Counters::default()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut print = signal(SignalKind::user_defined1())?;
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    let at = listener.local_addr()?;
    // Two fifths of the descriptors for claims and as many for submitters: each job out has one of both. What is idle to
    // nodes, discovery and the program itself take the rest.
    let limit = config.sockets * 2 / 5;
    let facade = Facade::new(config.settings, config.names, config.seed)?;
    let (broker, orders) = Broker::new(facade, clock.clone(), counters.clone());
    let claims = Claims::new(claims::client(&config.network), broker.clone(), clock.clone(), limit);
    let list = MachineList::new(claims::client(&config.network), config.discovery, broker.clone());
    actix_rt::spawn(obey(orders, claims, list, broker.clone(), clock.clone()));
    if let Some(known) = config.known {
        broker.list(ListKind::Cached, known);
    }
    broker.tick();
    let (stop, stopped) = watch::channel(false);
    let front = Front::new(broker.clone(), clock.clone(), counters.clone(), limit, &config.network);
    let serving = actix_rt::spawn(front.clone().serve(listener, stopped));
    counters.say(clock.now(), format_args!("{} listens on {at}", config.name));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = print.recv() => eprintln!("ruddervalve: {counters}"),
        }
    }
    front.close_after_answers();
    tokio::time::sleep(KEEP_ACCEPTING).await;
    let _ = stop.send(true);
    let _ = serving.await;
    while broker.open() > 0 || front.connections() > 0 {
        tokio::time::sleep(LOOK).await;
    }
    eprintln!("ruddervalve: {counters}");
    Ok(())
}

/// Does what the broker orders, in its order.
async fn obey(
    mut orders: mpsc::UnboundedReceiver<Order>,
    claims: Rc<Claims>,
    mut list: MachineList,
    broker: Rc<Broker>,
    clock: Clock,
) {
    let mut wakes = std::collections::BTreeSet::new();
    loop {
        // Whole microseconds, upwards: a wake must not come before its time.
        let next: Option<u64> = wakes.first().copied();
        let wait = next.map_or(Duration::from_secs(3_600), |at| clock.until(at as f64 / 1e3));
        tokio::select! {
            biased;
            order = orders.recv() => match order {
                None => return,
                Some(Order::Claim { claim, address, errand, until_ms }) => {
                    claims.start(claim, address, errand, until_ms);
                }
                Some(Order::Withdraw { claim }) => claims.withdraw(claim),
                Some(Order::AskForList) => list.ask(),
                Some(Order::WakeAt(at)) => drop(wakes.insert((at * 1e3).ceil() as u64)),
            },
            () = tokio::time::sleep(wait) => {
                let now = (clock.now() * 1e3) as u64;
                wakes.retain(|at| *at > now);
                broker.tick();
            }
        }
    }
}
