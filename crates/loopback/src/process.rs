//! One role as a real process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use displaydoc::Display;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::Instant;

use crate::addresses::NoAddress;
use crate::client::ClientError;
use crate::eventually::{TimedOut, eventually};
use crate::memory_disk;
use crate::operator::OperatorError;
use crate::settings::Machine;

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "RUDDERVALVE_BOOT";
/// The variable that sets what is logged; the caller's is handed on.
const LOG_VARIABLE: &str = "RUDDERVALVE_LOG";

/// Why a system on loopback cannot be run.
#[derive(Debug, Display)]
pub enum RigError {
    /// a file of the rig cannot be used ({0}): check the temporary folder
    Io(std::io::Error),
    /// {0}
    NoAddress(NoAddress),
    /// {0}
    TimedOut(TimedOut),
    /// {0}
    Operator(OperatorError),
    /// {0}
    Client(ClientError),
    /// there is no machine {0}: name one of the system's
    UnknownMachine(String),
    /// {0} does not run: start it first
    NotRunning(String),
}

impl std::error::Error for RigError {}

impl From<std::io::Error> for RigError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<TimedOut> for RigError {
    fn from(error: TimedOut) -> Self {
        Self::TimedOut(error)
    }
}

impl From<ClientError> for RigError {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}

impl From<OperatorError> for RigError {
    fn from(error: OperatorError) -> Self {
        Self::Operator(error)
    }
}

/// A signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: end in order.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGSTOP: freeze.
    Freeze,
    /// SIGCONT: go on.
    Thaw,
    /// SIGHUP: the settings file has changed.
    Reload,
}

impl ProcessSignal {
    fn number(self) -> Signal {
        match self {
            Self::Terminate => Signal::TERM,
            Self::Kill => Signal::KILL,
            Self::Freeze => Signal::STOP,
            Self::Thaw => Signal::CONT,
            Self::Reload => Signal::HUP,
        }
    }
}

/// A machine with its process, its settings file, its data folder and its log. The process is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    machine: Machine,
    folder: PathBuf,
    /// Where its disk is served, if that is in memory.
    disks: Option<SocketAddr>,
    child: Option<Child>,
    started_at: Option<Instant>,
}

impl Process {
    /// The process of a machine, with its files in this folder, but for its disk if that is served in memory. It does not run
    /// yet.
    pub(crate) fn new(machine: Machine, folder: PathBuf, disks: Option<SocketAddr>) -> Self {
        Self { machine, folder, disks, child: None, started_at: None }
    }

    /// The machine.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Its id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// When it was started last.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at.filter(|_| self.child.is_some())
    }

    /// All that it has logged, in all its lives.
    pub fn log(&self) -> String {
        let bytes = std::fs::read(self.log_file()).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Where it keeps its data.
    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// It does not run.
    pub fn signal(&self, signal: ProcessSignal) -> Result<(), RigError> {
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok()).and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| RigError::NotRunning(self.machine.name.clone()))?;
        kill_process(pid, signal.number()).map_err(|error| RigError::Io(error.into()))
    }

    /// Kills it with SIGKILL and waits for its end. Without effect where it does not run.
    ///
    /// # Errors
    /// It cannot be killed.
    pub fn kill(&mut self) -> Result<(), RigError> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until it has ended by itself.
    ///
    /// # Errors
    /// It does not run, or had not ended within the limit.
    pub async fn ended(&mut self, limit: Duration) -> Result<ExitStatus, RigError> {
        let name = self.machine.name.clone();
        let Some(mut child) = self.child.take() else { return Err(RigError::NotRunning(name)) };
        let condition = format!("the end of {name}");
        let look = || std::future::ready(child.try_wait().ok().flatten());
        let ended = eventually(&condition, limit, look).await;
        if ended.is_err() {
            self.child = Some(child);
        }
        Ok(ended?)
    }

    /// Whether it has ended by itself, without having been asked to.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Removes all that is in the data folder.
    ///
    /// # Errors
    /// The folder cannot be changed.
    pub(crate) fn empty_disk(&self) -> Result<(), RigError> {
        let data = self.data_folder();
        if data.exists() {
            std::fs::remove_dir_all(&data)?;
        }
        Ok(std::fs::create_dir_all(&data)?)
    }

    /// Starts it with these settings; one that runs is left alone.
    ///
    /// # Errors
    /// Its files cannot be written, or the program cannot be started.
    pub(crate) fn start(&mut self, program: &Path, settings: &serde_json::Value) -> Result<(), RigError> {
        if self.child.is_some() {
            return Ok(());
        }
        std::fs::create_dir_all(self.data_folder())?;
        let settings_file = self.folder.join("settings.json");
        std::fs::write(&settings_file, settings.to_string())?;
        let log = File::options().create(true).append(true).open(self.log_file())?;
        let mut command = Command::new(program);
        command.arg(self.machine.role.command()).env(SETTINGS_VARIABLE, settings_file);
        if let Some(disks) = self.disks.filter(|_| self.machine.role.has_disk()) {
            command.env(memory_disk::VARIABLE, format!("{disks}/{}", self.machine.name));
        }
        if let Some(level) = std::env::var_os(LOG_VARIABLE) {
            command.env(LOG_VARIABLE, level);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        self.started_at = Some(Instant::now());
        Ok(())
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join("log.txt")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
