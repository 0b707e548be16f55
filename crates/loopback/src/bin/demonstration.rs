//! A demonstration for newcomers: a whole system on loopback with toy runners, the loss of a store, and what became of
//! each message. With the name of a role as its argument it is that role: that is how it starts the processes.

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use ruddervalve_disk::Folder;
use ruddervalve_loopback::{
    Accepted, CallbackReceiver, Client, ConfigurationPlan, MemoryFolder, Message, MessageState, Misbehaviour,
    Outcome, ReceiverPlan, RigError, Route, RunLog, Runner, RunnerPlan, Service, System, SystemPlan,
    eventually,
};
use rustix::process::{Signal, set_parent_process_death_signal};
use tokio::time::Instant;

/// The exit code for arguments that are not known.
const FAULTY: u8 = 2;
/// How long any one step may take before the demonstration is given up.
const STEP: Duration = Duration::from_secs(15);
const HOST: &str = "workshop.example";
/// The service whose runners take messages in any order and whose senders are called back.
const LETTERS: &str = "letters";
/// The service whose runners take messages about one thing in their order.
const LEDGER: &str = "ledger";
const ACCOUNTS: [&str; 3] = ["anna", "emil", "fritz"];
/// Messages to each service in each of the three parts of the demonstration.
const IN_EACH_PART: usize = 9;
/// The store that is lost.
const LOST_STORE: &str = "store-1";

/// Why the demonstration failed.
#[derive(Debug, Display)]
enum Failure {
    /// the system cannot be run: {0}
    Rig(RigError),
    /// messages were lost or came in the wrong order: this must not happen, report it with the lines above
    Broken,
}

impl std::error::Error for Failure {}

impl<E: Into<RigError>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Rig(error.into())
    }
}

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    if arguments.is_empty() {
        return demonstrate();
    }
    end_with_parent();
    let folder = match MemoryFolder::of_this_process() {
        Ok(folder) => folder,
        Err(error) => {
            eprintln!("demonstration: the disk in memory cannot be reached: {error}");
            return ExitCode::FAILURE;
        }
    };
    let folder = folder.map(|folder| Arc::new(folder) as Arc<dyn Folder>);
    ruddervalve_system::run_on(arguments, folder).unwrap_or_else(usage)
}

/// A role that a rig started ends when the rig's thread does, even where the rig was killed and could not see to it.
fn end_with_parent() {
    // Where the kernel does not offer it, the rig still ends its processes when it is dropped.
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
}

fn usage() -> ExitCode {
    eprintln!("demonstration: unknown arguments: give none for the demonstration, or the name of a role");
    ExitCode::from(FAULTY)
}

fn demonstrate() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(play()),
        Err(error) => Err(Failure::Rig(RigError::Io(error))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("demonstration: {failure}");
            ExitCode::FAILURE
        }
    }
}

/// Everything that runs.
struct Stage {
    system: System,
    client: Client,
    receiver: CallbackReceiver,
    log: RunLog,
    letters: Vec<Runner>,
    ledger: Vec<Runner>,
    began: Instant,
}

/// A message that was accepted, and how it was sent.
struct Sent {
    service: &'static str,
    key: Option<&'static str>,
    accepted: Accepted,
}

async fn play() -> Result<(), Failure> {
    let mut stage = Stage::set_up().await?;
    stage.tell("everything runs; sending messages");
    let mut sent = stage.send_part().await?;
    stage.troubles();
    sent.extend(stage.send_part().await?);
    stage.system.kill(LOST_STORE)?;
    stage.tell(&format!("{LOST_STORE} was killed with SIGKILL; sending on"));
    sent.extend(stage.send_part().await?);
    stage.system.restart(LOST_STORE)?;
    stage.tell(&format!("{LOST_STORE} was started again; waiting for all messages to end"));
    stage.report(&sent).await
}

impl Stage {
    async fn set_up() -> Result<Self, Failure> {
        let began = Instant::now();
        println!("starting three coordinators, three stores and two edges on loopback");
        let system = System::start(SystemPlan::of(std::env::current_exe()?)).await?;
        let receiver = CallbackReceiver::start(system.next_ip(), ReceiverPlan::default()).await?;
        let log = RunLog::default();
        let letters = runners(&system, LETTERS, &log).await?;
        let ledger = runners(&system, LEDGER, &log).await?;
        system.operator().replace(0, &configuration(), STEP).await?;
        system.ready(STEP).await?;
        let client = system.client();
        Ok(Self { system, client, receiver, log, letters, ledger, began })
    }

    fn tell(&self, what: &str) {
        println!("{:5.1} s  {what}", self.began.elapsed().as_secs_f64());
    }

    /// A few of the things that runners do to a dispatcher.
    fn troubles(&self) {
        self.tell("a letter will fail once, one be refused for good, one answer be lost; a ledger runner will fail once");
        if let Some(runner) = self.letters.first() {
            runner.misbehave(Misbehaviour::Fail);
            runner.misbehave(Misbehaviour::Reject);
            runner.misbehave(Misbehaviour::LoseAnswer);
        }
        if let Some(runner) = self.ledger.first() {
            runner.misbehave(Misbehaviour::Fail);
        }
    }

    async fn send_part(&self) -> Result<Vec<Sent>, Failure> {
        let mut sent = Vec::new();
        for (number, account) in (0..IN_EACH_PART).zip(ACCOUNTS.iter().cycle()) {
            let letter = Message::to(HOST, &format!("/{LETTERS}/{number}"))
                .with_body("dear reader")
                .with_callback(&self.receiver.url());
            sent.push(self.send(LETTERS, None, &letter).await?);
            let entry = Message::to(HOST, &format!("/{LEDGER}/{account}")).with_body("+1").with_key(account);
            sent.push(self.send(LEDGER, Some(account), &entry).await?);
        }
        Ok(sent)
    }

    async fn send(
        &self,
        service: &'static str,
        key: Option<&'static str>,
        message: &Message,
    ) -> Result<Sent, Failure> {
        Ok(Sent { service, key, accepted: self.client.send(message, STEP).await? })
    }

    async fn report(&self, sent: &[Sent]) -> Result<(), Failure> {
        println!(
            "{:24} {:8} {:6} {:12} {:>5}  {:12} call-backs",
            "message", "service", "key", "state", "runs", "done by"
        );
        let mut is_whole = true;
        for message in sent {
            let state = self.client.ended(&message.accepted, STEP).await?;
            let callbacks = self.callbacks(message).await?;
            self.line(message, &state, callbacks);
            is_whole &= self.is_right(message, &state);
        }
        let is_ordered = ACCOUNTS.iter().all(|account| self.is_ordered(sent, account));
        self.tell(&format!("{} messages accepted, in order by key: {}", sent.len(), yes_no(is_ordered)));
        self.tell(&format!("every message done, or refused for good by its runner: {}", yes_no(is_whole)));
        if is_whole && is_ordered { Ok(()) } else { Err(Failure::Broken) }
    }

    /// How many call-backs came for a message; waits for the first where one is owed.
    async fn callbacks(&self, message: &Sent) -> Result<usize, Failure> {
        if message.service != LETTERS {
            return Ok(0);
        }
        let count =
            || Some(self.receiver.taken(&message.accepted.request_id).len()).filter(|count| *count > 0);
        let condition = format!("the call-back of {}", message.accepted.name);
        Ok(eventually(&condition, STEP, || std::future::ready(count())).await?)
    }

    fn line(&self, message: &Sent, state: &MessageState, callbacks: usize) {
        let runs = self.log.of(&message.accepted.request_id);
        let last = runs.last().map_or("-", |run| run.uid.as_str());
        let key = message.key.unwrap_or("-");
        let (name, service, phase) = (&message.accepted.name, message.service, &state.phase);
        println!("{name:24} {service:8} {key:6} {phase:12} {:>5}  {last:12} {callbacks}", runs.len());
    }

    /// A success names a run that succeeded; a dead letter was refused for good.
    fn is_right(&self, message: &Sent, state: &MessageState) -> bool {
        let runs = self.log.of(&message.accepted.request_id);
        match state.phase.as_str() {
            "succeeded" => runs.iter().any(|run| Some(&run.signature) == state.signature.as_ref()),
            _ => runs.iter().any(|run| run.outcome == Some(Outcome::Rejected)),
        }
    }

    fn is_ordered(&self, sent: &[Sent], account: &str) -> bool {
        let of_account = sent.iter().filter(|message| message.key == Some(account));
        let ids: Vec<String> = of_account.map(|message| message.accepted.request_id.clone()).collect();
        let early = self.log.out_of_turn(&ids);
        early.is_empty()
    }
}

async fn runners(system: &System, service: &str, log: &RunLog) -> Result<Vec<Runner>, Failure> {
    let mut runners = Vec::new();
    for _ in 0..2 {
        runners.push(Runner::start(system.next_ip(), RunnerPlan::of(service), system.list(), log).await?);
    }
    Ok(runners)
}

fn configuration() -> ConfigurationPlan {
    let letters = Route { callback_url: true, ..Route::to(LETTERS, HOST, "/letters/") };
    let ledger = Route { ordered: true, ..Route::to(LEDGER, HOST, "/ledger/") };
    ConfigurationPlan::first(vec![letters, ledger], vec![Service::listed(LETTERS), Service::listed(LEDGER)])
}

fn yes_no(yes: bool) -> &'static str {
    if yes { "yes" } else { "NO" }
}
