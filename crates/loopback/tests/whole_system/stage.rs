//! A system with its stand-ins, ready for messages.

use std::time::Duration;

use ruddervalve_loopback::{
    Accepted, Bounds, CallbackReceiver, Client, ClientError, ConfigurationPlan, DiskKind, Message,
    ReceiverPlan, Route, RunLog, Runner, RunnerPlan, Service, System, SystemPlan, eventually,
};
use tokio::sync::{Semaphore, SemaphorePermit};

/// How long any step may take: far above what it takes, as the machine may be busy.
pub const STEP: Duration = Duration::from_secs(20);
pub const HOST: &str = "workshop.example";
/// The service without an order, with call-backs.
pub const LETTERS: &str = "letters";
/// The service with an order.
pub const LEDGER: &str = "ledger";
/// Lines of each log that are printed when a test fails.
const LOG_LINES: usize = 40;

/// Systems that run at the same time: each has eight processes.
static SYSTEMS: Semaphore = Semaphore::const_new(2);

pub struct Stage {
    pub system: System,
    pub client: Client,
    pub receiver: CallbackReceiver,
    pub log: RunLog,
    pub configuration: ConfigurationPlan,
    _permit: SemaphorePermit<'static>,
}

impl Stage {
    /// A system with its first configuration and without runners.
    pub async fn set_up() -> Self {
        Self::of(Bounds::default(), ReceiverPlan::default()).await
    }

    pub async fn of(bounds: Bounds, receiver: ReceiverPlan) -> Self {
        Self::planned(SystemPlan { bounds, ..plan() }, receiver).await
    }

    pub async fn planned(plan: SystemPlan, receiver: ReceiverPlan) -> Self {
        let permit = SYSTEMS.acquire().await.unwrap();
        let system = System::start(plan).await.unwrap();
        let receiver = CallbackReceiver::start(system.next_ip(), receiver).await.unwrap();
        let client = system.client();
        let configuration = configuration();
        let stage = Self { system, client, receiver, log: RunLog::default(), configuration, _permit: permit };
        stage.system.operator().replace(0, &stage.configuration, STEP).await.unwrap();
        stage.system.ready(STEP).await.unwrap();
        stage
    }

    pub async fn runner(&self, plan: RunnerPlan) -> Runner {
        Runner::start(self.system.next_ip(), plan, self.system.list(), &self.log).await.unwrap()
    }

    pub async fn send(&self, message: &Message) -> Accepted {
        self.client.send(message, STEP).await.unwrap()
    }

    /// Sends a message on a new route, again while an edge does not know the route yet.
    pub async fn sends_once_in_force(&self, message: &Message) -> Accepted {
        let send = async || match self.client.send(message, STEP).await {
            Err(ClientError::Refused(404)) => None,
            result => Some(result.unwrap()),
        };
        eventually("the new route", STEP, send).await.unwrap()
    }

    pub async fn send_all(&self, message: &Message, count: usize) -> Vec<Accepted> {
        let mut accepted = Vec::new();
        for _ in 0..count {
            accepted.push(self.send(message).await);
        }
        accepted
    }

    /// Waits for the end of a message: it has to succeed, with the signature of a run that succeeded.
    pub async fn succeeds(&self, message: &Accepted) {
        let state = self.client.ended(message, STEP).await.unwrap();
        assert_eq!(state.phase, "succeeded", "{}", message.name);
        let runs = self.log.of(&message.request_id);
        let has_run = runs.iter().any(|run| {
            run.outcome == Some(ruddervalve_loopback::Outcome::Succeeded)
                && Some(&run.signature) == state.signature.as_ref()
        });
        assert!(has_run, "{} is signed {:?}, its runs are {runs:?}", message.name, state.signature);
    }

    pub async fn all_succeed(&self, messages: &[Accepted]) {
        for message in messages {
            self.succeeds(message).await;
        }
    }

    /// Nothing may have ended by itself, and no try may have run that was turned away with a promise.
    pub fn ends_well(&mut self, messages: &[Accepted]) {
        assert_eq!(self.system.ended_by_themselves(), Vec::<String>::new());
        for promised in messages.iter().flat_map(|message| &message.promised) {
            assert_eq!(self.log.of(promised), Vec::new(), "a promise for {promised} was broken");
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for section in self.system.logs().split("--- ") {
                let lines: Vec<&str> = section.lines().collect();
                let from = lines.len().saturating_sub(LOG_LINES);
                eprintln!("--- {}", lines.first().copied().unwrap_or_default());
                lines.iter().skip(from.max(1)).for_each(|line| eprintln!("{line}"));
            }
        }
    }
}

/// A small system that no disk holds up.
pub fn plan() -> SystemPlan {
    SystemPlan { disks: DiskKind::Memory, ..SystemPlan::of(env!("CARGO_BIN_EXE_demonstration")) }
}

pub fn letter() -> Message {
    Message::to(HOST, "/letters/a?b=c").with_body("dear reader")
}

pub fn entry(key: &str) -> Message {
    Message::to(HOST, "/ledger/account").with_body("+1").with_key(key)
}

fn configuration() -> ConfigurationPlan {
    let letters = Route { callback_url: true, ..Route::to(LETTERS, HOST, "/letters/") };
    let ledger = Route { ordered: true, ..Route::to(LEDGER, HOST, "/ledger/") };
    ConfigurationPlan::first(vec![letters, ledger], vec![Service::listed(LETTERS), Service::listed(LEDGER)])
}
