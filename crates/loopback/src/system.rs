//! A whole system: its processes, the platform's list, an operator and a client.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;
use tokio::time::sleep_until;

use crate::addresses::AddressSpace;
use crate::bounds::{Bounds, FaultTolerance};
use crate::client::Client;
use crate::entry_point::{EdgeAddress, EntryPoint, is_ready};
use crate::eventually::{TimedOut, eventually};
use crate::instance_list::{InstanceList, ListPlan};
use crate::machines::{common, machines};
use crate::memory_disk::MemoryDisks;
use crate::operator::Operator;
use crate::process::{Process, ProcessSignal, RigError};
use crate::settings::{Common, Machine, MachineRole, settings};

/// How long an answer to the platform's question whether an edge is ready may take.
const READINESS_LIMIT: Duration = Duration::from_secs(1);

/// How a system is made.
#[derive(Debug, Clone)]
pub struct SystemPlan {
    /// The program that has the roles as its sub-commands.
    pub program: PathBuf,
    /// How many coordinators.
    pub coordinators: usize,
    /// How many stores.
    pub stores: usize,
    /// How many edges.
    pub edges: usize,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// What may be lost at once.
    pub tolerance: FaultTolerance,
    /// How the platform's list behaves.
    pub list: ListPlan,
    /// Where its disks are.
    pub disks: DiskKind,
    /// `MemoryMb` of each process: nothing enforces it here, and the limits of the processes follow from it.
    pub memory_mb: u64,
}

/// `MemoryMb`, where a plan says nothing else.
const MEMORY_MB: u64 = 256;

/// Where the disks of a system are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskKind {
    /// Among the temporary files.
    Files,
    /// In the memory of the rig, so that no process waits for what others write.
    Memory,
}

impl SystemPlan {
    /// Three coordinators, three stores and two edges.
    pub fn of(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            coordinators: 3,
            stores: 3,
            edges: 2,
            bounds: Bounds::default(),
            tolerance: FaultTolerance::default(),
            list: ListPlan::default(),
            disks: DiskKind::Files,
            memory_mb: MEMORY_MB,
        }
    }
}

/// A system that runs. All its processes are killed and its files removed when this is dropped.
#[derive(Debug)]
pub struct System {
    plan: SystemPlan,
    common: Common,
    addresses: AddressSpace,
    processes: Vec<Process>,
    list: Arc<InstanceList>,
    disks: Option<MemoryDisks>,
    _folder: TempDir,
}

impl System {
    /// Starts all processes of a new system, with empty disks.
    ///
    /// # Errors
    /// Files, addresses or processes cannot be had.
    pub async fn start(plan: SystemPlan) -> Result<Self, RigError> {
        let folder = TempDir::with_prefix("ruddervalve-")?;
        let addresses = AddressSpace::take().map_err(RigError::NoAddress)?;
        let list = Arc::new(InstanceList::start(addresses.next_ip(), plan.list).await?);
        let machines = machines(&plan, &addresses);
        let common = common(&plan, &addresses, &machines, list.address());
        let disks = match plan.disks {
            DiskKind::Files => None,
            DiskKind::Memory => Some(MemoryDisks::start()?),
        };
        let disk_address = disks.as_ref().map(MemoryDisks::address);
        let process = |machine: Machine| {
            let files = folder.path().join(&machine.name);
            Process::new(machine, files, disk_address)
        };
        let processes = machines.into_iter().map(process).collect();
        let mut system = Self { plan, common, addresses, processes, list, disks, _folder: folder };
        system.start_all(true)?;
        Ok(system)
    }

    /// An address for a stand-in.
    pub fn next_ip(&self) -> IpAddr {
        self.addresses.next_ip()
    }

    /// The platform's list.
    pub fn list(&self) -> &Arc<InstanceList> {
        &self.list
    }

    /// The figures of the rules.
    pub fn bounds(&self) -> &Bounds {
        &self.common.bounds
    }

    /// An operator that calls all coordinators.
    pub fn operator(&self) -> Operator {
        Operator::of(self.control_addresses())
    }

    /// A client that comes in at an entry point for all edges.
    pub fn client(&self) -> Client {
        let fronts = self.fronts().into_iter();
        let readiness = self.addresses_of(MachineRole::Edge, self.common.readiness_port);
        let address = |(front, readiness)| EdgeAddress { front, readiness };
        Client::of(EntryPoint::start(fronts.zip(readiness).map(address).collect()))
    }

    /// The `ControlPlane` addresses.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.addresses_of(MachineRole::Coordinator, self.common.control_port)
    }

    /// The `Front` addresses.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.addresses_of(MachineRole::Edge, self.common.front_port)
    }

    /// The names of the machines with this role.
    pub fn names(&self, role: MachineRole) -> Vec<String> {
        let with_role = self.processes.iter().map(Process::machine).filter(|machine| machine.role == role);
        with_role.map(|machine| machine.name.clone()).collect()
    }

    /// A process.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn process(&self, name: &str) -> Result<&Process, RigError> {
        let found = self.processes.iter().find(|process| process.machine().name == name);
        found.ok_or_else(|| RigError::UnknownMachine(name.to_owned()))
    }

    /// Kills a process with SIGKILL.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn kill(&mut self, name: &str) -> Result<(), RigError> {
        self.process_mut(name)?.kill()
    }

    /// Kills all processes with SIGKILL, at the same moment as far as can be.
    ///
    /// # Errors
    /// One cannot be killed.
    pub fn kill_all(&mut self) -> Result<(), RigError> {
        for process in &self.processes {
            if process.pid().is_some() {
                process.signal(ProcessSignal::Kill)?;
            }
        }
        self.processes.iter_mut().try_for_each(Process::kill)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// There is no such machine, or its process does not run.
    pub fn signal(&self, name: &str, signal: ProcessSignal) -> Result<(), RigError> {
        self.process(name)?.signal(signal)
    }

    /// Waits until a process has ended by itself.
    ///
    /// # Errors
    /// There is no such machine, or it had not ended within the limit.
    pub async fn ended(&mut self, name: &str, limit: Duration) -> Result<std::process::ExitStatus, RigError> {
        self.process_mut(name)?.ended(limit).await
    }

    /// Starts a process again that was killed or has ended, on the disk it left.
    ///
    /// # Errors
    /// There is no such machine, or it cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<(), RigError> {
        self.run(name, false)
    }

    /// Waits until a process that runs has been back for `SyncS`: from then on another one may be lost.
    ///
    /// # Errors
    /// There is no such machine, or its process does not run.
    pub async fn back_in_sync(&self, name: &str) -> Result<(), RigError> {
        let since = self.process(name)?.started_at().ok_or_else(|| RigError::NotRunning(name.to_owned()))?;
        sleep_until(since + Duration::from_secs_f64(self.common.bounds.sync_s)).await;
        Ok(())
    }

    /// Starts all processes again that were killed or have ended, on the disks they left.
    ///
    /// # Errors
    /// One cannot be started.
    pub fn restart_all(&mut self) -> Result<(), RigError> {
        self.start_all(false)
    }

    /// Kills a process and removes all that is in its data folder.
    ///
    /// # Errors
    /// There is no such machine, or its folder cannot be changed.
    pub fn lose_disk(&mut self, name: &str) -> Result<(), RigError> {
        let process = self.process_mut(name)?;
        process.kill()?;
        process.empty_disk()?;
        if let Some(disks) = &self.disks {
            disks.erase(name);
        }
        Ok(())
    }

    /// Processes that have ended by themselves although nobody asked them to.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let ended = self
            .processes
            .iter_mut()
            .filter_map(|process| process.has_ended().then(|| process.machine().name.clone()));
        ended.collect()
    }

    /// The log of all processes, one after the other.
    pub fn logs(&self) -> String {
        let log = |process: &Process| format!("--- {}\n{}", process.machine().name, process.log());
        self.processes.iter().map(log).collect()
    }

    /// Waits until all edges that run call themselves ready.
    ///
    /// # Errors
    /// One did not within the limit.
    pub async fn ready(&self, limit: Duration) -> Result<(), TimedOut> {
        let edges = self.processes.iter().filter(|process| process.machine().role == MachineRole::Edge);
        for edge in edges.filter(|process| process.pid().is_some()) {
            let address = SocketAddr::new(edge.machine().ip, self.common.readiness_port);
            let condition = format!("{} being ready", edge.machine().name);
            eventually(&condition, limit, async || is_ready(address, READINESS_LIMIT).await.then_some(()))
                .await?;
        }
        Ok(())
    }

    /// Waits until an edge does not call itself ready any more.
    ///
    /// # Errors
    /// There is no such machine, or it still did at the limit.
    pub async fn unready(&self, name: &str, limit: Duration) -> Result<(), RigError> {
        let address = SocketAddr::new(self.process(name)?.machine().ip, self.common.readiness_port);
        let condition = format!("{name} leaving");
        Ok(eventually(&condition, limit, async || (!is_ready(address, READINESS_LIMIT).await).then_some(()))
            .await?)
    }

    fn addresses_of(&self, role: MachineRole, port: u16) -> Vec<SocketAddr> {
        let with_role = self.processes.iter().map(Process::machine).filter(|machine| machine.role == role);
        with_role.map(|machine| SocketAddr::new(machine.ip, port)).collect()
    }

    fn process_mut(&mut self, name: &str) -> Result<&mut Process, RigError> {
        let found = self.processes.iter_mut().find(|process| process.machine().name == name);
        found.ok_or_else(|| RigError::UnknownMachine(name.to_owned()))
    }

    fn start_all(&mut self, bootstrap: bool) -> Result<(), RigError> {
        let names: Vec<String> =
            self.processes.iter().map(|process| process.machine().name.clone()).collect();
        names.iter().try_for_each(|name| self.run(name, bootstrap))
    }

    fn run(&mut self, name: &str, bootstrap: bool) -> Result<(), RigError> {
        let (common, program) = (self.common.clone(), self.plan.program.clone());
        let process = self.process_mut(name)?;
        let file = settings(&common, process.machine(), &process.data_folder(), bootstrap);
        process.start(&program, &file)
    }
}
