//! What the file says of Gearman clients and workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::element::Element;
use super::fault::Fault;

/// The Gearman side.
#[derive(Debug, Clone, PartialEq)]
pub struct GearmanSettings {
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// Whether the text command `shutdown` ends the program.
    pub shutdown: bool,
    /// Bounds.
    pub limits: GearmanLimits,
    /// What the file says of classes of the platform's settings.
    pub classes: Vec<GearmanClass>,
    /// The functions served.
    pub functions: Vec<GearmanFunction>,
}

/// Bounds of the Gearman side; the schema tells what each is for. Sizes in bytes, times in milliseconds.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct GearmanLimits {
    pub connections: usize,
    pub packet_bytes: usize,
    pub unread_bytes: usize,
    pub unread_ms: f64,
    pub held_jobs: usize,
    pub jobs_per_connection: usize,
    pub kept_results: usize,
    pub kept_bytes: usize,
    pub first_packet_ms: f64,
    pub grab_ms: f64,
    pub end_ms: f64,
    pub(super) line: usize,
}

/// What the file says of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct GearmanClass {
    /// Its name in the platform's settings.
    pub name: String,
    /// How long a job may wait and run in all while a client waits; none: the class's deadline.
    pub wait_ms: Option<f64>,
    /// The same for a background job.
    pub background_wait_ms: f64,
    /// How long the result of a job with a unique id is kept; none: by what the class allows.
    pub keep_ms: Option<f64>,
    pub(super) line: usize,
}

/// One function.
#[derive(Debug, Clone, PartialEq)]
pub struct GearmanFunction {
    /// Its name.
    pub name: String,
    /// The class of its jobs.
    pub class: String,
    /// The tenant they count for.
    pub tenant: Option<String>,
    /// The pool of workers that serves it.
    pub pool: String,
    /// Jobs of it open at once.
    pub queue: Option<usize>,
    pub(super) line: usize,
}

impl GearmanSettings {
    pub(super) fn read(element: &Element<'_>) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut add_fault = |line, problem: String| faults.push(Fault { line, problem });
        let listen = element.text("listen").unwrap_or_default();
        let listen = listen.parse().unwrap_or_else(|_| {
            add_fault(element.line(), format!("gearman listen '{listen}': is no address with a port"));
            SocketAddr::from(([127, 0, 0, 1], 0))
        });
        // Without the element all its defaults hold: those of an attribute stand at its type.
        let limits = GearmanLimits::read(&element.child("limits", "GearmanLimits").unwrap_or(Element {
            kind: "GearmanLimits",
            node: element.node,
            ..*element
        }));
        if limits.unread_bytes < limits.packet_bytes {
            add_fault(limits.line, "limits unread-kib: must be at least packet-kib".to_owned());
        }
        let settings = Self {
            listen,
            shutdown: matches!(element.text("shutdown").as_deref(), Some("true" | "1")),
            limits,
            classes: element
                .children("class", "GearmanClass")
                .map(|class| GearmanClass::read(&class))
                .collect(),
            functions: element
                .children("function", "GearmanFunction")
                .map(|function| GearmanFunction::read(&function))
                .collect(),
        };
        faults.extend(settings.repeated_names());
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Classes and functions that stand twice.
    fn repeated_names(&self) -> Vec<Fault> {
        let classes = self.classes.iter().map(|class| ("class", &class.name, class.line));
        let functions = self.functions.iter().map(|function| ("function", &function.name, function.line));
        let (mut seen, mut faults) = (BTreeMap::new(), Vec::new());
        for (what, name, line) in classes.chain(functions) {
            if let Some(first) = seen.insert((what, name), line) {
                let problem = format!("{what} name '{name}': stands in line {first} already");
                faults.push(Fault { line, problem });
            }
        }
        faults
    }

    /// Classes that the platform's settings do not have.
    pub(super) fn unknown_classes(&self, classes: &[String]) -> Vec<Fault> {
        let all = classes.join(", ");
        let named = self.classes.iter().map(|class| ("class name", &class.name, class.line));
        let used = self.functions.iter().map(|function| ("function class", &function.class, function.line));
        let unknown = named.chain(used).filter(|(_, class, _)| !classes.contains(class));
        let fault = |(what, class, line): (&str, &String, usize)| Fault {
            line,
            problem: format!("{what} '{class}': is no class of the settings ({all})"),
        };
        unknown.map(fault).collect()
    }

    /// Tenants that the platform's settings do not have.
    pub(super) fn unknown_tenants(&self, tenants: &[String]) -> Vec<Fault> {
        let all = tenants.join(", ");
        let named =
            self.functions.iter().filter_map(|function| Some((function.tenant.as_ref()?, function.line)));
        let unknown = named.filter(|(tenant, _)| !tenants.contains(tenant));
        let fault = |(tenant, line): (&String, usize)| Fault {
            line,
            problem: format!("function tenant '{tenant}': is no tenant of the settings ({all})"),
        };
        unknown.map(fault).collect()
    }
}

impl GearmanLimits {
    pub(super) fn read(element: &Element<'_>) -> Self {
        let count = |name| element.number(name).unwrap_or_default() as usize;
        let ms = |name| element.number(name).unwrap_or_default() as f64;
        Self {
            connections: count("connections"),
            packet_bytes: count("packet-kib") << 10,
            unread_bytes: count("unread-kib") << 10,
            unread_ms: ms("unread-ms"),
            held_jobs: count("held-jobs"),
            jobs_per_connection: count("jobs-per-connection"),
            kept_results: count("kept-results"),
            kept_bytes: count("kept-kib") << 10,
            first_packet_ms: ms("first-packet-ms"),
            grab_ms: ms("grab-ms"),
            end_ms: ms("end-ms"),
            line: element.line(),
        }
    }
}

impl GearmanClass {
    pub(super) fn read(element: &Element<'_>) -> Self {
        let ms = |name| element.number(name).map(|ms| ms as f64);
        Self {
            name: element.text("name").unwrap_or_default(),
            wait_ms: ms("wait-ms"),
            background_wait_ms: ms("background-wait-ms").unwrap_or_default(),
            keep_ms: ms("keep-ms"),
            line: element.line(),
        }
    }
}

impl GearmanFunction {
    pub(super) fn read(element: &Element<'_>) -> Self {
        let text = |name| element.text(name).unwrap_or_default();
        Self {
            name: text("name"),
            class: text("class"),
            tenant: element.text("tenant"),
            pool: text("pool"),
            queue: element.number("queue").map(|most| most as usize),
            line: element.line(),
        }
    }
}
