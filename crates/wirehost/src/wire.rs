//! Lines of the wire: a message name and its `name=value` fields.

use std::str::FromStr;

use thiserror::Error;

/// What is wrong with a line.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    /// A part without the form `name=value`.
    #[error("expected name=value, found '{0}'")]
    Part(String),
    /// A required field is absent.
    #[error("{0}: field '{1}' is missing")]
    Missing(String, &'static str),
    /// A field's value has another form than expected.
    #[error("{0}: field '{1}' is '{2}', expected {3}")]
    Value(String, &'static str, String, &'static str),
    /// A message where none may stand.
    #[error("{0}: expected {1}")]
    Order(String, &'static str),
    /// Settings that cannot be read.
    #[error("ATTACH: field 'info': {0}")]
    Settings(String),
    /// Bytes that are no text.
    #[error("expected UTF-8 text")]
    Text,
}

/// One parsed line.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message name.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line. A field of free text or JSON runs to the end of the line.
    pub fn parse(line: &'a str) -> Result<Self, Malformed> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let part = rest.split(' ').next().unwrap_or_default();
            let Some((field, value)) = part.split_once('=') else {
                return Err(Malformed::Part(part.to_owned()));
            };
            if field == "info" {
                fields.push((field, &rest[field.len() + 1..]));
                break;
            }
            fields.push((field, value));
            rest = rest.get(part.len() + 1..).unwrap_or_default();
        }
        Ok(Self { name, fields })
    }

    /// A field as text.
    pub fn text(&self, field: &'static str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    /// A required field as text.
    pub fn required(&self, field: &'static str) -> Result<&'a str, Malformed> {
        self.text(field).ok_or_else(|| Malformed::Missing(self.name.to_owned(), field))
    }

    /// The error for a field whose value is not what was expected.
    pub fn wrong(&self, field: &'static str, expected: &'static str) -> Malformed {
        let value = self.text(field).unwrap_or_default().to_owned();
        Malformed::Value(self.name.to_owned(), field, value, expected)
    }

    /// A required number.
    pub fn number<T: FromStr>(&self, field: &'static str) -> Result<T, Malformed> {
        self.required(field)?.parse().map_err(|_| self.wrong(field, "a number"))
    }

    /// A number that may be absent.
    pub fn optional<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, Malformed> {
        self.text(field).map(|_| self.number(field)).transpose()
    }

    /// A flag that may be absent.
    pub fn flag(&self, field: &'static str) -> Result<bool, Malformed> {
        match self.text(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(self.wrong(field, "1 or 0")),
        }
    }
}

#[cfg(test)]
mod tests;
