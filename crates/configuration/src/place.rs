//! Places in a JSON document, written only when a fault is told.

use std::fmt;

/// One step from a value into it.
#[derive(Debug, Clone, Copy)]
enum Step<'a> {
    /// Into the document itself.
    Root,
    /// To a field of an object.
    Key(&'a str),
    /// To an item of an array.
    Index(usize),
}

/// A place as a chain of steps; costs nothing until it is displayed as a JSON pointer such as `/Routes/3/Name`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place<'a> {
    parent: Option<&'a Place<'a>>,
    step: Step<'a>,
}

impl<'a> Place<'a> {
    /// The whole document.
    pub(crate) const ROOT: Place<'static> = Place { parent: None, step: Step::Root };

    /// The field `key` of the object here.
    pub(crate) fn key(&'a self, key: &'a str) -> Place<'a> {
        Place { parent: Some(self), step: Step::Key(key) }
    }

    /// The item `index` of the array here.
    pub(crate) fn index(&'a self, index: usize) -> Place<'a> {
        Place { parent: Some(self), step: Step::Index(index) }
    }
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent {
            parent.fmt(formatter)?;
        }
        match self.step {
            Step::Root => Ok(()),
            Step::Key(key) => write!(formatter, "/{}", key.replace('~', "~0").replace('/', "~1")),
            Step::Index(index) => write!(formatter, "/{index}"),
        }
    }
}
