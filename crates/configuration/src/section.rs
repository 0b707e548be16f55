//! An object within a document, read field by field.

use sonic_rs::{Array, JsonContainerTrait, JsonValueTrait, Value, pointer};

use crate::FaultKind;
use crate::fault::FaultList;
use crate::place::Place;

/// How a value becomes a typed one.
type Convert<T> = fn(&Value) -> Result<T, FaultKind>;

const OBJECT: &str = "an object";
const ARRAY: &str = "an array";
const NEEDED: &str = "described for its section";

/// A value with its place. A field that is null counts as absent everywhere.
#[derive(Clone, Copy)]
pub(crate) struct Section<'a> {
    value: &'a Value,
    place: Place<'a>,
}

impl<'a> Section<'a> {
    /// The value at a place; notes a fault where it is no object.
    pub(crate) fn new(value: &'a Value, place: Place<'a>, faults: &mut FaultList) -> Option<Self> {
        if !value.is_object() {
            faults.add(place, FaultKind::WrongType { wanted: OBJECT });
            return None;
        }
        Some(Self { value, place })
    }

    /// Where it stands.
    pub(crate) fn place(&self) -> Place<'a> {
        self.place
    }

    /// The object's value.
    pub(crate) fn value(&self) -> &'a Value {
        self.value
    }

    /// The value of a field that is there and not null.
    pub(crate) fn find(&self, key: &'static str) -> Option<&'a Value> {
        self.value.pointer(pointer![key]).filter(|value| !value.is_null())
    }

    /// A field that may be absent.
    pub(crate) fn optional<T>(
        &self,
        key: &'static str,
        convert: Convert<T>,
        faults: &mut FaultList,
    ) -> Option<T> {
        let value = self.find(key)?;
        match convert(value) {
            Ok(converted) => Some(converted),
            Err(kind) => {
                faults.add(self.place.key(key), kind);
                None
            }
        }
    }

    /// A field that has to be there.
    pub(crate) fn required<T>(
        &self,
        key: &'static str,
        convert: Convert<T>,
        faults: &mut FaultList,
    ) -> Option<T> {
        if self.find(key).is_none() {
            faults.add(self.place.key(key), missing(convert));
            return None;
        }
        self.optional(key, convert, faults)
    }

    /// A field that has to be there if `is_needed`.
    pub(crate) fn needed_if<T>(
        &self,
        is_needed: bool,
        key: &'static str,
        convert: Convert<T>,
        faults: &mut FaultList,
    ) -> Option<T> {
        if is_needed { self.required(key, convert, faults) } else { self.optional(key, convert, faults) }
    }

    /// An array that has to be there if `is_needed`.
    pub(crate) fn array(
        &self,
        is_needed: bool,
        key: &'static str,
        faults: &mut FaultList,
    ) -> Option<&'a Array> {
        let Some(value) = self.find(key) else {
            if is_needed {
                faults.add(self.place.key(key), FaultKind::Missing { wanted: ARRAY });
            }
            return None;
        };
        let array = value.as_array();
        if array.is_none() {
            faults.add(self.place.key(key), FaultKind::WrongType { wanted: ARRAY });
        }
        array
    }
}

/// The fault of an absent field: what `convert` would have wanted.
fn missing<T>(convert: Convert<T>) -> FaultKind {
    match convert(&Value::default()) {
        Err(FaultKind::WrongType { wanted }) => FaultKind::Missing { wanted },
        _ => FaultKind::Missing { wanted: NEEDED },
    }
}
