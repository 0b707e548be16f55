//! From a JSON value to a typed one. Each function answers with the fault where the value does not fit.

use std::net::{IpAddr, SocketAddr};

use sonic_rs::{JsonValueTrait, Value};

use crate::FaultKind;

/// Milliseconds in a second.
const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The longest time that is taken, in milliseconds: 100 years. Sums of some of them never overflow.
pub(crate) const MAX_DURATION_MS: u64 = 100 * 365 * 24 * 3600 * 1000;
/// Up to here, 2 to the 53rd, a fraction can hold every whole number.
const MAX_EXACT_WHOLE: f64 = 9_007_199_254_740_992.0;

const TEXT: &str = "a text";
const FLAG: &str = "true or false";
const WHOLE: &str = "a whole number, 0 or higher";
const WHOLE_32: &str = "a whole number from 0 to 4294967295";
const POSITIVE_WHOLE: &str = "a whole number, 1 or higher";
const NUMBER: &str = "a number, 0 or higher";
const POSITIVE_NUMBER: &str = "a number over 0";
const MILLISECONDS: &str = "whole milliseconds, 0 or more";
const POSITIVE_MILLISECONDS: &str = "whole milliseconds, 1 or more";
const SECONDS: &str = "seconds, 0 or more";
const ADDRESS: &str = "an IP number and a port such as 10.0.0.4:8080";
const IP_NUMBER: &str = "an IP number such as 10.0.0.4";

/// A text, empty ones too.
pub(crate) fn text(value: &Value) -> Result<String, FaultKind> {
    borrowed_text(value).map(str::to_owned)
}

/// A text with at least one character.
pub(crate) fn name(value: &Value) -> Result<String, FaultKind> {
    let text = borrowed_text(value)?;
    if text.is_empty() {
        return Err(FaultKind::Empty);
    }
    Ok(text.to_owned())
}

/// True or false.
pub(crate) fn flag(value: &Value) -> Result<bool, FaultKind> {
    value.as_bool().ok_or(FaultKind::WrongType { wanted: FLAG })
}

/// A whole number, also if it is written as 3.0.
pub(crate) fn whole(value: &Value) -> Result<u64, FaultKind> {
    whole_wanted(value, WHOLE)
}

/// A whole number over 0.
pub(crate) fn positive_whole(value: &Value) -> Result<u64, FaultKind> {
    let number = whole_wanted(value, POSITIVE_WHOLE)?;
    if number > 0 { Ok(number) } else { Err(FaultKind::OutOfRange { wanted: POSITIVE_WHOLE }) }
}

/// A whole number of 32 bits.
pub(crate) fn whole_32(value: &Value) -> Result<u32, FaultKind> {
    let number = whole_wanted(value, WHOLE_32)?;
    u32::try_from(number).map_err(|_| FaultKind::OutOfRange { wanted: WHOLE_32 })
}

/// A finite number that is not negative.
pub(crate) fn number(value: &Value) -> Result<f64, FaultKind> {
    number_wanted(value, NUMBER)
}

/// A finite number over 0.
pub(crate) fn positive_number(value: &Value) -> Result<f64, FaultKind> {
    let number = number_wanted(value, POSITIVE_NUMBER)?;
    if number > 0.0 { Ok(number) } else { Err(FaultKind::OutOfRange { wanted: POSITIVE_NUMBER }) }
}

/// Milliseconds.
pub(crate) fn milliseconds(value: &Value) -> Result<u64, FaultKind> {
    let time = whole_wanted(value, MILLISECONDS)?;
    if time > MAX_DURATION_MS {
        return Err(FaultKind::OutOfRange { wanted: MILLISECONDS });
    }
    Ok(time)
}

/// Milliseconds, at least one.
pub(crate) fn positive_milliseconds(value: &Value) -> Result<u64, FaultKind> {
    let time = whole_wanted(value, POSITIVE_MILLISECONDS)?;
    if time == 0 || time > MAX_DURATION_MS {
        return Err(FaultKind::OutOfRange { wanted: POSITIVE_MILLISECONDS });
    }
    Ok(time)
}

/// Seconds, with a fraction or not, as milliseconds.
pub(crate) fn seconds(value: &Value) -> Result<u64, FaultKind> {
    let time = (number_wanted(value, SECONDS)? * MILLISECONDS_PER_SECOND).round();
    if time > MAX_DURATION_MS as f64 {
        return Err(FaultKind::OutOfRange { wanted: SECONDS });
    }
    Ok(time as u64)
}

/// `ip:port`.
pub(crate) fn address(value: &Value) -> Result<SocketAddr, FaultKind> {
    let text = value.as_str().ok_or(FaultKind::WrongType { wanted: ADDRESS })?;
    text.parse().map_err(|_| FaultKind::NotAnAddress)
}

/// An IP number.
pub(crate) fn ip_number(value: &Value) -> Result<IpAddr, FaultKind> {
    let text = value.as_str().ok_or(FaultKind::WrongType { wanted: IP_NUMBER })?;
    text.parse().map_err(|_| FaultKind::NotAnIpNumber)
}

fn borrowed_text(value: &Value) -> Result<&str, FaultKind> {
    value.as_str().ok_or(FaultKind::WrongType { wanted: TEXT })
}

fn whole_wanted(value: &Value, wanted: &'static str) -> Result<u64, FaultKind> {
    if let Some(number) = value.as_u64() {
        return Ok(number);
    }
    let number = number_wanted(value, wanted)?;
    if number.fract() != 0.0 || number >= MAX_EXACT_WHOLE {
        return Err(FaultKind::OutOfRange { wanted });
    }
    Ok(number as u64)
}

fn number_wanted(value: &Value, wanted: &'static str) -> Result<f64, FaultKind> {
    let number = value.as_f64().ok_or(FaultKind::WrongType { wanted })?;
    if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(FaultKind::OutOfRange { wanted }) }
}
