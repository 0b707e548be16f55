//! From a request of the operator to a typed call.

use ruddervalve_configuration::{Configuration, Document, digest};
use ruddervalve_protocol::Blob;
use sonic_rs::{JsonValueTrait, pointer};

use crate::operator_answer::{Answer, Status};
use crate::state_command::{ControlCommand, ReplaceConfiguration};

const REPLACE_PATH: &str = "/api/Config.Replace";
const GET_PATH: &str = "/api/Config.Get";
const START_RETIRE_PREFIX: &str = "/api/Retire.Start/";
const GET_RETIRE_PREFIX: &str = "/api/Retire.Get/";
const GET: &str = "GET";
const POST: &str = "POST";

/// The header that names the version that a configuration builds on.
const BASE_VERSION: &str = "Base-Version";
/// Milliseconds in a second.
const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The longest `DeadlineS` that is taken: a year.
const LONGEST_DEADLINE_S: f64 = 365.0 * 24.0 * 3600.0;

/// Which call a request is, by its method and path; known before its body is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// `POST /api/Config.Replace`.
    ReplaceConfiguration,
    /// `GET /api/Config.Get`.
    GetConfiguration,
    /// `POST /api/Retire.Start/NODE`.
    StartRetire {
        /// The store's `NodeName`.
        node: String,
    },
    /// `GET /api/Retire.Get/NODE`.
    GetRetire {
        /// The store's `NodeName`.
        node: String,
    },
}

/// A call whose parts have all been checked.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorCall {
    /// A configuration is to be put into force.
    ReplaceConfiguration(Box<ReplaceOrder>),
    /// The configuration in force is asked for.
    GetConfiguration,
    /// A store is to be emptied.
    StartRetire(RetireOrder),
    /// The state of a retirement is asked for.
    GetRetire {
        /// The store's `NodeName`.
        node: String,
    },
}

/// A configuration that has passed all checks but those against the current one.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplaceOrder {
    /// What the coordinators have to agree upon.
    pub replacement: ReplaceConfiguration,
    /// The same, read.
    pub configuration: Configuration,
}

/// A store that is to be emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetireOrder {
    /// The store's `NodeName`.
    pub node: String,
    /// `DeadlineS`, in milliseconds.
    pub deadline_ms: u64,
}

impl Endpoint {
    /// The call at a method and a path; a query is passed over.
    ///
    /// # Errors
    /// 404 for an unknown path, 405 for another method than the path takes.
    pub fn parse(method: &str, path: &str) -> Result<Self, Answer> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let endpoint = Self::at(path)?;
        let wanted = endpoint.method();
        if method == wanted { Ok(endpoint) } else { Err(Answer::wrong_method(wanted)) }
    }

    /// The method that it takes.
    pub fn method(&self) -> &'static str {
        match self {
            Self::ReplaceConfiguration | Self::StartRetire { .. } => POST,
            Self::GetConfiguration | Self::GetRetire { .. } => GET,
        }
    }

    /// Checks the rest of the request. `base_version` is the `Base-Version` header as it was sent.
    ///
    /// # Errors
    /// 413 for a body of more than `max_body_bytes`, 400 for whatever else is wrong, with its place.
    pub fn read(
        self,
        base_version: Option<&[u8]>,
        body: &[u8],
        max_body_bytes: usize,
    ) -> Result<OperatorCall, Answer> {
        if body.len() > max_body_bytes {
            return Err(Answer::too_large(max_body_bytes));
        }
        match self {
            Self::ReplaceConfiguration => read_replace(base_version, body),
            Self::GetConfiguration => Ok(OperatorCall::GetConfiguration),
            Self::StartRetire { node } => read_retire(node, body),
            Self::GetRetire { node } => Ok(OperatorCall::GetRetire { node }),
        }
    }

    fn at(path: &str) -> Result<Self, Answer> {
        match path {
            REPLACE_PATH => return Ok(Self::ReplaceConfiguration),
            GET_PATH => return Ok(Self::GetConfiguration),
            _ => {}
        }
        if let Some(node) = path.strip_prefix(START_RETIRE_PREFIX) {
            return Ok(Self::StartRetire { node: node_name(node)? });
        }
        if let Some(node) = path.strip_prefix(GET_RETIRE_PREFIX) {
            return Ok(Self::GetRetire { node: node_name(node)? });
        }
        Err(Answer::unknown_path())
    }
}

impl RetireOrder {
    /// What the coordinators have to agree upon; `minimum_stores` have to remain.
    pub fn command(&self, minimum_stores: u32) -> ControlCommand {
        ControlCommand::StartRetire { node: self.node.clone(), deadline_ms: self.deadline_ms, minimum_stores }
    }
}

fn read_replace(base_version: Option<&[u8]>, body: &[u8]) -> Result<OperatorCall, Answer> {
    let base_version = read_base_version(base_version)?;
    let configuration =
        Configuration::parse(body).map_err(|faults| Answer::invalid_configuration(&faults))?;
    let replacement = ReplaceConfiguration {
        base_version,
        version: configuration.version(),
        digest: digest(body),
        body: Blob::from(body),
    };
    Ok(OperatorCall::ReplaceConfiguration(Box::new(ReplaceOrder { replacement, configuration })))
}

fn read_base_version(header: Option<&[u8]>) -> Result<u64, Answer> {
    let text = header.and_then(|bytes| std::str::from_utf8(bytes).ok()).map(str::trim);
    let version = text.and_then(|text| text.parse().ok());
    version.ok_or_else(|| {
        let error = "Base-Version is missing or no whole number: name the version that this builds on, 0 for the first";
        Answer::refusal(Status::BadRequest, error, BASE_VERSION)
    })
}

fn read_retire(node: String, body: &[u8]) -> Result<OperatorCall, Answer> {
    let document = Document::read(body)
        .map_err(|reason| Answer::refusal(Status::BadRequest, &reason.to_string(), ""))?;
    let deadline_s = document.value().pointer(pointer!["DeadlineS"]).and_then(|deadline| deadline.as_f64());
    let deadline_s = deadline_s.filter(|deadline| (0.0..=LONGEST_DEADLINE_S).contains(deadline));
    let Some(deadline_s) = deadline_s else {
        let error = "DeadlineS is missing or no number of seconds: give 0 or more, a year at most";
        return Err(Answer::refusal(Status::BadRequest, error, "/DeadlineS"));
    };
    let deadline_ms = (deadline_s * MILLISECONDS_PER_SECOND).round() as u64;
    Ok(OperatorCall::StartRetire(RetireOrder { node, deadline_ms }))
}

/// The name in a path: one segment, with `%XX` decoded.
fn node_name(segment: &str) -> Result<String, Answer> {
    if segment.is_empty() || segment.contains('/') {
        return Err(Answer::unknown_path());
    }
    percent_decoded(segment).ok_or_else(Answer::unknown_path)
}

/// None where a `%` is not followed by two hexadecimal digits, or the bytes are no UTF-8.
fn percent_decoded(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = char::from(bytes.next()?).to_digit(16)?;
            let low = char::from(bytes.next()?).to_digit(16)?;
            decoded.push(u8::try_from(high * 16 + low).ok()?);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}
