//! Settings of a process and the operator's configurations: reading, checking, the route table.
//!
//! Pure, apart from [`Settings::read`], which reads one file. Nothing here panics on any input, however it is broken.
//! Both kinds of JSON are read field by field at named places; unknown fields are ignored, and all faults are reported
//! at once, each with its place and the remedy.

mod checks;
mod configuration;
mod convert;
mod digest;
mod fault;
mod json;
mod locality;
mod place;
mod route;
mod route_table;
mod section;
mod service;
mod settings;

pub use configuration::{Configuration, ConfigurationFaults, Limits};
pub use digest::digest;
pub use fault::{Fault, FaultKind};
pub use json::{Document, MAX_NESTING, Unreadable};
pub use locality::{Distance, Locality};
pub use route::{Route, RouteKind};
pub use route_table::RouteTable;
pub use service::Service;
pub use settings::{
    Bounds, CloudProvider, FaultTolerance, InternalPorts, ListenAddresses, ProcessLimits, Serves, Settings,
    SettingsError, SettingsFaults, ZoneRegion,
};
