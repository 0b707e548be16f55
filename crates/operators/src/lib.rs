//! Owns the operator file: XML checked against `operators.xsd`, which is built in and the one place where names, ranges
//! and defaults stand. It reads a text, tells all faults with line, element and attribute, and fills in defaults. It must
//! never read a file or open a socket itself, put anything in force, or hold what the platform's own file decides.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use thiserror::Error;
use uppsala::dom::{Document, NodeId};
use uppsala::xsd::XsdValidator;
use uppsala::{ValidationError, XmlError, parse};

/// The schema, for other tools.
pub const SCHEMA: &str = include_str!("../operators.xsd");
/// The longest file that is read, in bytes: far more than any fleet's.
const LONGEST: usize = 1 << 20;

/// All that the operator file says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Operators {
    /// Gearman clients and workers, if they are served.
    pub gearman: Option<Gearman>,
}

/// What is told of the Gearman side.
#[derive(Debug, Clone, PartialEq)]
pub struct Gearman {
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// Whether the text command `shutdown` ends the program.
    pub shutdown: bool,
    /// Bounds.
    pub limits: GearmanLimits,
    /// What is told of classes of the platform's settings.
    pub classes: Vec<GearmanClass>,
    /// The functions served.
    pub functions: Vec<GearmanFunction>,
}

/// Bounds of the Gearman side; the schema tells what each is for. Sizes in bytes, times in milliseconds.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct GearmanLimits {
    pub connections: usize,
    pub packet: usize,
    pub unread: usize,
    pub unread_ms: f64,
    pub held_jobs: usize,
    pub jobs_per_connection: usize,
    pub kept_results: usize,
    pub kept: usize,
    pub first_packet_ms: f64,
    pub grab_ms: f64,
    pub end_ms: f64,
    line: usize,
}

/// What is told of one class.
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
    line: usize,
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
    line: usize,
}

/// A fault of the file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there, with the element or attribute.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}", self.line, self.problem)
    }
}

/// An element of the file, its defaults at hand.
struct Element<'a> {
    document: &'a Document<'a>,
    schema: &'a Document<'a>,
    node: NodeId,
    /// The name of its type in the schema.
    kind: &'static str,
}

impl Operators {
    /// Reads a file's text. All faults found are told, in the order of their lines.
    pub fn read(text: &str) -> Result<Self, Vec<Fault>> {
        let fault = |line, problem: String| vec![Fault { line, problem }];
        if text.len() > LONGEST {
            return Err(fault(1, format!("the file is longer than {LONGEST} bytes")));
        }
        let document = parse(text).map_err(|error| unread(&error))?;
        // The schema is this program's own; that it reads is a test.
        let schema = parse(SCHEMA).map_err(|error| unread(&error))?;
        let validator = XsdValidator::from_schema(&schema).map_err(|error| unread(&error))?;
        let mut faults: Vec<Fault> =
            validator.validate(&document).into_iter().map(|error| located(&document, error)).collect();
        if !faults.is_empty() {
            faults.sort();
            faults.dedup();
            return Err(faults);
        }
        let Some(root) = document.document_element() else { return Err(fault(1, "is empty".to_owned())) };
        let top = Element { document: &document, schema: &schema, node: root, kind: "" };
        let gearman = top.child("gearman", "Gearman").map(|element| Gearman::read(&element)).transpose()?;
        Ok(Self { gearman })
    }

    /// What does not fit the platform's own file: classes and tenants by name, and the file descriptors that are left for
    /// connections beside those of submitters and nodes.
    pub fn check(
        &self,
        classes: &[String],
        tenants: &[String],
        descriptors: usize,
    ) -> Result<(), Vec<Fault>> {
        let mut faults = Vec::new();
        let mut tell = |line, problem| faults.push(Fault { line, problem });
        let Some(gearman) = &self.gearman else { return Ok(()) };
        let known = |class: &String| classes.contains(class);
        for class in gearman.classes.iter().filter(|class| !known(&class.name)) {
            tell(
                class.line,
                format!("class name '{}': is no class of the settings ({})", class.name, classes.join(", ")),
            );
        }
        for function in &gearman.functions {
            if !known(&function.class) {
                let (class, all) = (&function.class, classes.join(", "));
                tell(function.line, format!("function class '{class}': is no class of the settings ({all})"));
            }
            if let Some(tenant) = function.tenant.as_ref().filter(|tenant| !tenants.contains(tenant)) {
                let all = tenants.join(", ");
                tell(
                    function.line,
                    format!("function tenant '{tenant}': is no tenant of the settings ({all})"),
                );
            }
        }
        if gearman.limits.connections > descriptors {
            let asked = gearman.limits.connections;
            let problem =
                format!("limits connections '{asked}': limits.sockets leaves room for {descriptors}");
            tell(gearman.limits.line, problem);
        }
        faults.sort();
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }
}

impl Gearman {
    fn read(element: &Element<'_>) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut tell = |line, problem: String| faults.push(Fault { line, problem });
        let listen = element.text("listen").unwrap_or_default();
        let listen = listen.parse().unwrap_or_else(|_| {
            tell(element.line(), format!("gearman listen '{listen}': is no address with a port"));
            SocketAddr::from(([127, 0, 0, 1], 0))
        });
        // Without the element all its defaults hold: those of an attribute stand at its type.
        let limits = GearmanLimits::read(&element.child("limits", "GearmanLimits").unwrap_or(Element {
            kind: "GearmanLimits",
            node: element.node,
            ..*element
        }));
        if limits.unread < limits.packet {
            tell(limits.line, "limits unread-kib: must be at least packet-kib".to_owned());
        }
        let classes: Vec<_> =
            element.children("class", "GearmanClass").map(|class| GearmanClass::read(&class)).collect();
        let functions: Vec<_> = element
            .children("function", "GearmanFunction")
            .map(|function| GearmanFunction::read(&function))
            .collect();
        let mut seen = BTreeMap::new();
        let named = classes.iter().map(|class| ("class", &class.name, class.line));
        for (what, name, line) in
            named.chain(functions.iter().map(|function| ("function", &function.name, function.line)))
        {
            if let Some(first) = seen.insert((what, name), line) {
                tell(line, format!("{what} name '{name}': stands in line {first} already"));
            }
        }
        let shutdown = matches!(element.text("shutdown").as_deref(), Some("true" | "1"));
        if faults.is_empty() {
            Ok(Self { listen, shutdown, limits, classes, functions })
        } else {
            Err(faults)
        }
    }
}

impl GearmanLimits {
    fn read(element: &Element<'_>) -> Self {
        let count = |name| element.number(name).unwrap_or_default() as usize;
        let ms = |name| element.number(name).unwrap_or_default() as f64;
        Self {
            connections: count("connections"),
            packet: count("packet-kib") << 10,
            unread: count("unread-kib") << 10,
            unread_ms: ms("unread-ms"),
            held_jobs: count("held-jobs"),
            jobs_per_connection: count("jobs-per-connection"),
            kept_results: count("kept-results"),
            kept: count("kept-kib") << 10,
            first_packet_ms: ms("first-packet-ms"),
            grab_ms: ms("grab-ms"),
            end_ms: ms("end-ms"),
            line: element.line(),
        }
    }
}

impl GearmanClass {
    fn read(element: &Element<'_>) -> Self {
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
    fn read(element: &Element<'_>) -> Self {
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

impl<'a> Element<'a> {
    fn children(&self, name: &'static str, kind: &'static str) -> impl Iterator<Item = Element<'a>> {
        let Self { document, schema, node, .. } = *self;
        let named = move |node: &NodeId| {
            document.element(*node).is_some_and(|element| element.name.local_name == name)
        };
        document.children_iter(node).filter(named).map(move |node| Element { document, schema, node, kind })
    }

    fn child(&self, name: &'static str, kind: &'static str) -> Option<Element<'a>> {
        self.children(name, kind).next()
    }

    /// An attribute's value, or its default in the schema.
    fn text(&self, name: &str) -> Option<String> {
        let given = self.document.get_attribute(self.node, name);
        given.map(|value| value.trim().to_owned()).or_else(|| self.default(name))
    }

    fn default(&self, name: &str) -> Option<String> {
        let of_kind = |id: &NodeId| self.schema.get_attribute(*id, "name") == Some(self.kind);
        let kind = self.schema.get_elements_by_tag_name("complexType").into_iter().find(of_kind)?;
        let attributes = self.schema.children_iter(kind);
        let named = |id: &NodeId| self.schema.get_attribute(*id, "name") == Some(name);
        let is_attribute =
            |id: &NodeId| self.schema.element(*id).is_some_and(|it| it.name.local_name == "attribute");
        let attribute = attributes.filter(is_attribute).find(named)?;
        self.schema.get_attribute(attribute, "default").map(str::to_owned)
    }

    fn number(&self, name: &str) -> Option<u32> {
        self.text(name)?.parse().ok()
    }

    fn line(&self) -> usize {
        self.document.node_line(self.node)
    }
}

/// A fault that the schema finds, with the element where it is, and the attribute if its value is quoted.
fn located(document: &Document<'_>, error: ValidationError) -> Fault {
    let line = error.line.unwrap_or(1).max(1);
    let nodes = document
        .document_element()
        .into_iter()
        .flat_map(|root| std::iter::once(root).chain(document.descendants(root)).collect::<Vec<NodeId>>());
    let there = |node: &NodeId| {
        document.node_line(*node) == line
            && error.column.is_none_or(|column| document.node_column(*node) == column)
    };
    let element = nodes.filter(there).find_map(|node| document.element(node));
    let quoted = error.message.split('\'').nth(1);
    let problem = match element {
        None => error.message.clone(),
        Some(element) => {
            let attribute = (element.attributes.iter()).find(|attribute| Some(&*attribute.value) == quoted);
            let attribute =
                attribute.map(|attribute| format!(" {}", attribute.name.local_name)).unwrap_or_default();
            format!("{}{attribute}: {}", element.name.local_name, error.message)
        }
    };
    Fault { line, problem }
}

/// A text that is no XML.
fn unread(error: &XmlError) -> Vec<Fault> {
    let (line, problem) = match error {
        XmlError::WellFormedness(error) => (error.line, &error.message),
        XmlError::Namespace(error) => (error.line, &error.message),
        XmlError::Parse(error) => (error.line, &error.message),
        XmlError::Validation(error) => (error.line.unwrap_or(1), &error.message),
        XmlError::XPath(error) => (1, &error.message),
        XmlError::UnexpectedEof => (1, &"the file ends too soon".to_owned()),
    };
    vec![Fault { line: line.max(1), problem: problem.clone() }]
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = include_str!("../../../examples/operators.xml");

    /// The faults of the example with one text put for another.
    fn faults(old: &str, new: &str) -> String {
        assert!(EXAMPLE.contains(old), "{old}");
        let text = EXAMPLE.replacen(old, new, 1);
        let names = |names: [&str; 2]| names.map(str::to_owned);
        let read = Operators::read(&text)
            .and_then(|read| read.check(&names(["tint", "pour"]), &names(["acme", "zenith"]), 300));
        match read {
            Ok(()) => format!("{new:?}: none\n"),
            Err(faults) => faults.iter().map(|fault| format!("{fault}\n")).collect(),
        }
    }

    #[test]
    fn the_example_is_read_with_the_defaults_of_the_schema() {
        // Guards against a second truth beside the schema, and against an example that does not work.
        let read = Operators::read(EXAMPLE).unwrap();
        let gearman = read.gearman.as_ref().unwrap();
        assert_eq!((gearman.limits.connections, gearman.limits.packet), (256, 1 << 20));
        assert_eq!(gearman.limits.unread, 4 << 20);
        assert_eq!(
            gearman.functions.iter().map(|function| function.pool.as_str()).collect::<Vec<_>>(),
            ["gearman"; 2]
        );
        assert_eq!(faults("<!--", "<!--"), "\"<!--\": none\n");
        assert_eq!(Operators::read("<operators/>").unwrap(), Operators::default());
    }

    #[test]
    fn a_fault_is_told_with_its_line_and_what_was_expected_and_all_at_once() {
        let mut table = String::new();
        for (old, new) in [
            ("<operators", "<operator"),
            ("</gearman>", "</german>"),
            ("listen=\"127.0.0.1:4730\"", ""),
            ("listen=\"127.0.0.1:4730\"", "listen=\"localhost\""),
            ("listen=\"127.0.0.1:4730\"", "listen=\"127.0.0.1:99999\""),
            ("connections=\"256\"", "connections=\"0\" packet-kib=\"x\" color=\"red\""),
            ("connections=\"256\"", "connections=\"1000\""),
            ("connections=\"256\"", "unread-kib=\"1\""),
            ("name=\"pour\" class", "name=\"tint\" class"),
            ("class=\"pour\"", "class=\"poor\""),
            ("tenant=\"acme\"", "tenant=\"nobody\""),
            ("<function ", "<job/><function "),
            ("wait-ms=\"10000\"", "wait-ms=\"-1\""),
            (EXAMPLE, ""),
            (EXAMPLE, "<operators>"),
        ] {
            table += &faults(old, new);
        }
        insta::assert_snapshot!(table);
    }
}
