//! Faults of the file.

use std::fmt;

use thiserror::Error;
use uppsala::dom::{Document, NodeId};
use uppsala::{ValidationError, XmlError};

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

/// A fault that the schema finds, with the element where it is, and the attribute if its value is quoted.
pub(crate) fn located(document: &Document<'_>, error: ValidationError) -> Fault {
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
pub(crate) fn syntax_fault(error: &XmlError) -> Vec<Fault> {
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
