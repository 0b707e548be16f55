//! What the operator is answered: a status and JSON.

use ruddervalve_configuration::{ConfigurationFaults, Fault};
use ruddervalve_protocol::ConfigurationUpdate;

use crate::placement::RetireFault;
use crate::state::{Retirement, RetirementPhase};
use crate::state_command::ControlResult;

/// The statuses that the operator may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// 200.
    Ok,
    /// 400: the call is wrong by itself.
    BadRequest,
    /// 404: no such path, machine or configuration.
    NotFound,
    /// 405: the path takes another method.
    MethodNotAllowed,
    /// 409: the call does not go with the present state.
    Conflict,
    /// 412: another version is current.
    PreconditionFailed,
    /// 413: the body is too large.
    TooLarge,
    /// 503: it cannot be decided here and now, and nothing was done; the operator asks another coordinator.
    Unavailable,
    /// 504: what became of the call is not known here, as it may be in force yet; the operator sends it again.
    OutcomeUnknown,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: Status,
    /// For `Allow`, where the method was wrong.
    pub allow: Option<&'static str>,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl Status {
    /// The number.
    pub fn code(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::Conflict => 409,
            Self::PreconditionFailed => 412,
            Self::TooLarge => 413,
            Self::Unavailable => 503,
            Self::OutcomeUnknown => 504,
        }
    }
}

impl Answer {
    /// The configuration in force, byte for byte as it was sent; 404 before the first.
    pub fn configuration(update: Option<&ConfigurationUpdate>) -> Self {
        match update {
            Some(update) => Self::new(Status::Ok, update.body.as_slice().to_vec()),
            None => Self::refusal(Status::NotFound, "there is no configuration yet: send the first", ""),
        }
    }

    /// The state of a retirement; 404 where there was none.
    pub fn retirement(retirement: Option<&Retirement>) -> Self {
        match retirement.map(|retirement| retirement.phase) {
            Some(phase) => Self::phase(phase),
            None => Self::unknown_machine(),
        }
    }

    /// It cannot be decided here and now, and nothing is known to have changed; `reason` says why and what to do.
    pub fn unavailable(reason: &str) -> Self {
        Self::refusal(Status::Unavailable, reason, "")
    }

    /// What became of the call is not known: it may take effect yet, through another leader.
    pub fn outcome_unknown() -> Self {
        let error = "what became of the call is not known here: send the same call again, to any coordinator";
        Self::refusal(Status::OutcomeUnknown, error, "")
    }

    /// A retirement that would leave too little, or of a store that is not known.
    pub fn retire_fault(fault: RetireFault) -> Self {
        match fault {
            RetireFault::Unknown => Self::unknown_machine(),
            RetireFault::TooFewLeft { .. } | RetireFault::SpreadLost => {
                Self::refusal(Status::Conflict, &fault.to_string(), "")
            }
        }
    }

    /// A body of more than so many bytes.
    pub fn too_large(max_body_bytes: usize) -> Self {
        let error = format!("the body is too large: send {max_body_bytes} bytes at most");
        Self::refusal(Status::TooLarge, &error, "")
    }

    pub(crate) fn wrong_method(wanted: &'static str) -> Self {
        let error = format!("the path takes another method: use {wanted}");
        let mut answer = Self::refusal(Status::MethodNotAllowed, &error, "");
        answer.allow = Some(wanted);
        answer
    }

    pub(crate) fn unknown_path() -> Self {
        let error = "the path is not known: use Config.Replace, Config.Get, Retire.Start/NODE or Retire.Get/NODE under /api/";
        Self::refusal(Status::NotFound, error, "")
    }

    pub(crate) fn invalid_configuration(faults: &ConfigurationFaults) -> Self {
        let listed: Vec<String> = faults.faults.iter().map(fault_object).collect();
        let first = faults.faults.first().map(fault_fields).unwrap_or_default();
        let body = format!(r#"{{{first}"Faults":[{}],"Omitted":{}}}"#, listed.join(","), faults.omitted);
        Self::new(Status::BadRequest, body.into_bytes())
    }

    /// What is wrong, and where: a place in the body, or a header.
    pub(crate) fn refusal(status: Status, error: &str, at: &str) -> Self {
        let body = format!(r#"{{"Error":{},"At":{}}}"#, json_text(error), json_text(at));
        Self::new(status, body.into_bytes())
    }

    fn unknown_machine() -> Self {
        Self::refusal(Status::NotFound, "the machine is not known: name a storage machine of the system", "")
    }

    fn phase(phase: RetirementPhase) -> Self {
        let name = match phase {
            RetirementPhase::Running => "running",
            RetirementPhase::Succeeded => "succeeded",
        };
        Self::new(Status::Ok, format!(r#"{{"Phase":"{name}"}}"#).into_bytes())
    }

    fn version(version: u64) -> Self {
        Self::new(Status::Ok, format!(r#"{{"ResourceVersion":{version}}}"#).into_bytes())
    }

    fn other_version(current: u64) -> Self {
        let error = json_text(
            "another version is current, or this one is not higher: build on the current one with a higher number",
        );
        let body = format!(r#"{{"Error":{error},"At":"Base-Version","ResourceVersion":{current}}}"#);
        Self::new(Status::PreconditionFailed, body.into_bytes())
    }

    fn new(status: Status, body: Vec<u8>) -> Self {
        Self { status, allow: None, body }
    }
}

/// What `Config.Replace` is answered.
pub fn answer_replace(result: &ControlResult) -> Answer {
    match result {
        ControlResult::Taken { version } | ControlResult::AlreadyTaken { version } => {
            Answer::version(*version)
        }
        ControlResult::Conflict { current } => Answer::other_version(*current),
        ControlResult::TooOldToTell { .. } => Answer::outcome_unknown(),
        _ => unexpected(),
    }
}

/// What `Retire.Start` is answered. A repeat is acknowledged again.
pub fn answer_retire(result: &ControlResult) -> Answer {
    match result {
        ControlResult::RetireStarted | ControlResult::RetireUnderWay => {
            Answer::phase(RetirementPhase::Running)
        }
        ControlResult::AlreadyRetired => Answer::phase(RetirementPhase::Succeeded),
        ControlResult::UnknownNode => Answer::unknown_machine(),
        ControlResult::TooFewLeft { left, needed } => {
            Answer::retire_fault(RetireFault::TooFewLeft { left: *left, needed: *needed })
        }
        _ => unexpected(),
    }
}

/// The result belongs to another command. The operator asks again and is told what holds.
fn unexpected() -> Answer {
    Answer::unavailable("the outcome is not known here: send the same call again")
}

/// The fields of the first fault, ready for others to follow.
fn fault_fields(fault: &Fault) -> String {
    format!(r#""Error":{},"At":{},"#, json_text(&fault.kind.to_string()), json_text(&fault.at))
}

fn fault_object(fault: &Fault) -> String {
    format!(r#"{{"Error":{},"At":{}}}"#, json_text(&fault.kind.to_string()), json_text(&fault.at))
}

/// The text as JSON, with its quotes.
fn json_text(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| r#""""#.to_owned())
}
