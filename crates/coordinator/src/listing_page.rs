//! One page of the platform's list.

use std::net::SocketAddr;

use displaydoc::Display;
use ruddervalve_configuration::{Document, Unreadable};
use ruddervalve_protocol::{Runner, RunnerPhase};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value, pointer};

/// The `Phase` of a runner that takes new work. Any other is read as draining, so that none is sent by mistake.
const READY: &str = "ready";

/// A page.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ListPage {
    /// The entries that could be read.
    pub runners: Vec<Runner>,
    /// The token of the page that follows; none on the last.
    pub next_page: Option<String>,
    /// How many entries could not be read.
    pub skipped: u64,
}

/// Why a page is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PageFault {
    /// {0}
    Unreadable(Unreadable),
    /// Instances is missing or no array: ask again
    NoInstances,
    /// NextPageToken is neither a text nor null: ask again
    BadToken,
}

impl std::error::Error for PageFault {}

impl ListPage {
    /// Reads the body of an answer.
    ///
    /// # Errors
    /// [`PageFault`] where the page as a whole is broken: it must not stand for a part of a list. Entries that are broken
    /// by themselves are passed over and counted.
    pub fn parse(body: &[u8]) -> Result<Self, PageFault> {
        let document = Document::read(body).map_err(PageFault::Unreadable)?;
        let value = document.value();
        let instances = value.pointer(pointer!["Instances"]).and_then(|instances| instances.as_array());
        let instances = instances.ok_or(PageFault::NoInstances)?;
        let mut page = Self { next_page: next_page(value)?, ..Self::default() };
        page.runners.reserve(instances.len());
        for entry in instances.iter() {
            match runner(entry) {
                Some(runner) => page.runners.push(runner),
                None => page.skipped = page.skipped.saturating_add(1),
            }
        }
        Ok(page)
    }
}

/// The token; null, missing and empty mean that this is the last page.
fn next_page(value: &Value) -> Result<Option<String>, PageFault> {
    let Some(token) = value.pointer(pointer!["NextPageToken"]).filter(|token| !token.is_null()) else {
        return Ok(None);
    };
    let token = token.as_str().ok_or(PageFault::BadToken)?;
    Ok((!token.is_empty()).then(|| token.to_owned()))
}

/// An entry, if it has all that is needed to send to the runner.
fn runner(entry: &Value) -> Option<Runner> {
    let address = text(entry, "Address")?;
    address.parse::<SocketAddr>().ok()?;
    let capacity = entry.pointer(pointer!["Capacity"])?.as_u64()?;
    let cold_remaining_ms = entry.pointer(pointer!["ColdRemainingMs"]).and_then(|cold| cold.as_f64());
    let phase = text(entry, "Phase")?;
    Some(Runner {
        uid: name(entry, "Uid")?,
        service: name(entry, "Backend")?,
        address: address.to_owned(),
        zone: text(entry, "Zone").unwrap_or_default().to_owned(),
        capacity: u32::try_from(capacity).ok()?,
        phase: if phase == READY { RunnerPhase::Ready } else { RunnerPhase::Draining },
        cold_remaining_ms: cold_remaining_ms.map_or(0, |cold| cold.clamp(0.0, f64::from(u32::MAX)) as u32),
    })
}

/// A text with at least one character.
fn name(entry: &Value, key: &'static str) -> Option<String> {
    text(entry, key).filter(|text| !text.is_empty()).map(str::to_owned)
}

fn text<'a>(entry: &'a Value, key: &'static str) -> Option<&'a str> {
    entry.pointer(pointer![key])?.as_str()
}
