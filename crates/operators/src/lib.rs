//! Owns the operator file: XML checked against `operators.xsd`, which is built in and the one place where names, ranges
//! and defaults stand. It reads a text, tells all faults with line, element and attribute, and fills in defaults. It
//! must never read a file or open a socket itself, put anything in force, or hold what the platform's own file decides.

mod element;
mod fault;
mod gearman;

use uppsala::parse;
use uppsala::xsd::XsdValidator;

use self::element::Element;
pub use self::fault::Fault;
use self::fault::{located, syntax_fault};
pub use self::gearman::{GearmanClass, GearmanFunction, GearmanLimits, GearmanSettings};

/// The schema, for other tools.
pub const SCHEMA: &str = include_str!("../operators.xsd");
/// The longest file that is read, in bytes: far more than any fleet's.
const LONGEST: usize = 1 << 20;

/// All that the operator file says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Operators {
    /// Gearman clients and workers, if they are served.
    pub gearman: Option<GearmanSettings>,
}

impl Operators {
    /// Reads a file's text. All faults found are told, in the order of their lines.
    ///
    /// # Errors
    ///
    /// Every fault with its line, and what was expected there.
    pub fn read(text: &str) -> Result<Self, Vec<Fault>> {
        let fault = |line, problem: String| vec![Fault { line, problem }];
        if text.len() > LONGEST {
            return Err(fault(1, format!("the file is longer than {LONGEST} bytes")));
        }
        let document = parse(text).map_err(|error| syntax_fault(&error))?;
        // The schema is this program's own; that it reads is a test.
        let schema = parse(SCHEMA).map_err(|error| syntax_fault(&error))?;
        let validator = XsdValidator::from_schema(&schema).map_err(|error| syntax_fault(&error))?;
        let mut faults: Vec<Fault> =
            validator.validate(&document).into_iter().map(|error| located(&document, error)).collect();
        if !faults.is_empty() {
            faults.sort();
            faults.dedup();
            return Err(faults);
        }
        let Some(root) = document.document_element() else { return Err(fault(1, "is empty".to_owned())) };
        let top = Element { document: &document, schema: &schema, node: root, kind: "" };
        let gearman =
            top.child("gearman", "Gearman").map(|element| GearmanSettings::read(&element)).transpose()?;
        Ok(Self { gearman })
    }

    /// What does not fit the platform's own file: classes and tenants by name, and the file descriptors that are left
    /// for connections beside those of clients and runners.
    ///
    /// # Errors
    ///
    /// Every fault with its line: names that the settings do not have, or too many connections.
    pub fn check(
        &self,
        classes: &[String],
        tenants: &[String],
        descriptors: usize,
    ) -> Result<(), Vec<Fault>> {
        let Some(gearman) = &self.gearman else { return Ok(()) };
        let mut faults = gearman.unknown_classes(classes);
        faults.extend(gearman.unknown_tenants(tenants));
        let asked = gearman.limits.connections;
        if asked > descriptors {
            let problem =
                format!("limits connections '{asked}': limits.sockets leaves room for {descriptors}");
            faults.push(Fault { line: gearman.limits.line, problem });
        }
        faults.sort();
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }
}

#[cfg(test)]
mod tests;
