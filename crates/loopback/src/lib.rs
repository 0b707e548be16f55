//! The whole system on loopback: stand-ins for all that it speaks with, written from the published protocol, and a rig
//! that runs its roles as real processes.
//!
//! Meant for tests and for demonstrations; nothing here is part of what is deployed. All processes of a system share
//! their port numbers, as all machines of a deployment do, and each has an address of its own out of 127.0.0.0/8.

mod addresses;
mod bounds;
mod call;
mod callbacks;
mod client;
mod configuration;
mod entry_point;
mod eventually;
mod http_connection;
mod http_message;
mod instance_list;
mod machines;
mod memory_disk;
mod operator;
mod process;
mod run_log;
mod runner;
mod runner_exchange;
mod server;
mod settings;
mod system;

pub use addresses::{AddressSpace, NoAddress};
pub use bounds::{Bounds, FaultTolerance};
pub use call::{call, follow};
pub use callbacks::{Callback, CallbackReceiver, ReceiverPlan};
pub use client::{Accepted, Client, ClientError, Message, MessageState};
pub use configuration::{ConfigurationPlan, FrontLimits, Route, Service};
pub use entry_point::{EdgeAddress, EntryPoint};
pub use eventually::{TimedOut, eventually, holds};
pub use http_connection::{HttpConnection, HttpError};
pub use http_message::{Header, Headers, HttpRequest, HttpResponse};
pub use instance_list::{InstanceList, ListPlan, ListedRunner, RunnerPhase};
pub use memory_disk::{MemoryDisks, MemoryFolder};
pub use operator::{Operator, OperatorError};
pub use process::{Process, ProcessSignal, RigError};
pub use run_log::{Outcome, Run, RunLog};
pub use runner::{Misbehaviour, Runner, RunnerPlan};
pub use settings::{Machine, MachineRole};
pub use system::{DiskKind, System, SystemPlan};
