//! What a role serves.

use bitflags::bitflags;
use sonic_rs::JsonValueTrait;

use crate::FaultKind;
use crate::fault::FaultList;
use crate::section::Section;

bitflags! {
    /// Who may call a process from outside, and what it does for them.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
    pub struct Serves: u8 {
        /// Clients: it accepts messages and delivers them.
        const EDGE = 1;
        /// Nobody; it keeps data.
        const STORAGE = 1 << 1;
        /// Runners and the operator.
        const CONTROL_PLANE = 1 << 2;
    }
}

/// Reads `Serves`; it may be empty and has to be there.
pub(super) fn read(root: Section<'_>, faults: &mut FaultList) -> Serves {
    let Some(array) = root.array(true, "Serves", faults) else { return Serves::empty() };
    let root_place = root.place();
    let array_place = root_place.key("Serves");
    let mut serves = Serves::empty();
    for (index, value) in array.iter().enumerate() {
        match value.as_str() {
            Some(name) => serves |= named(name),
            None => faults.add(array_place.index(index), FaultKind::WrongType { wanted: "a text" }),
        }
    }
    serves
}

/// What a name stands for; nothing for a name that is not known, as the file may gain values.
fn named(name: &str) -> Serves {
    match name {
        "edge" => Serves::EDGE,
        "storage" => Serves::STORAGE,
        "control_plane" => Serves::CONTROL_PLANE,
        _ => Serves::empty(),
    }
}
