//! A JSON document that has been read in full.

use displaydoc::Display;
use sonic_rs::Value;

/// How deep arrays and objects may stand in each other. The reader of JSON calls itself for each level, so that a body
/// of brackets alone would use up the stack; what is sent here needs four levels.
pub const MAX_NESTING: usize = 32;

/// Why a document could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Unreadable {
    /// the JSON is broken at line {line}, column {column}: send the whole document, complete and with nothing behind it
    Syntax {
        /// Counted from 1; 0 where it is not known.
        line: usize,
        /// Counted from 1; 0 where it is not known.
        column: usize,
    },
    /// arrays and objects are nested more than 32 deep: send a document without nesting beyond what is described
    TooDeep,
}

impl std::error::Error for Unreadable {}

/// A JSON document, read and checked in full: no cut, nothing behind it, valid UTF-8, nesting within [`MAX_NESTING`].
#[derive(Debug, Clone)]
pub struct Document {
    value: Value,
}

impl Document {
    /// Reads the whole of `bytes`.
    ///
    /// # Errors
    /// [`Unreadable`] where it is not one complete JSON value. Never panics and never recurses without bound.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        if !is_nesting_bounded(bytes) {
            return Err(Unreadable::TooDeep);
        }
        let value = sonic_rs::from_slice(bytes)
            .map_err(|error| Unreadable::Syntax { line: error.line(), column: error.column() })?;
        Ok(Self { value })
    }

    /// The value, to be read by pointers.
    pub fn value(&self) -> &Value {
        &self.value
    }
}

/// Whether brackets outside strings never stand deeper than [`MAX_NESTING`]. Says nothing else about the bytes.
fn is_nesting_bounded(bytes: &[u8]) -> bool {
    let mut depth = 0_usize;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for byte in bytes {
        if is_in_string {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => is_in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => is_in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return false;
        }
    }
    true
}
