//! The lines of a runner's stream.

use bytes::{Bytes, BytesMut};
use ruddervalve::Outcome;
use serde::Deserialize;

use super::exchange::AttemptEnd;
use crate::load_report::{Fields, read_fields};

/// What a line tells.
pub(super) enum StreamEvent {
    /// The request has started to run.
    Started,
    /// So much of it is done, from 0 to 1.
    Progress(f64),
    /// The attempt has ended.
    End(AttemptEnd),
    /// An empty line.
    Empty,
    /// Torn, garbled, unknown, or of another request or runner.
    Unreadable,
}

/// A line as runners write it.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    from: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    state: std::borrow::Cow<'a, str>,
    share: Option<f64>,
    result: Option<String>,
    load: Option<Fields>,
}

/// Takes the first whole line off what was read.
pub(super) fn next_line(lines: &mut BytesMut) -> Option<BytesMut> {
    let end = lines.iter().position(|byte| *byte == b'\n')?;
    Some(lines.split_to(end + 1))
}

/// One line of a runner's stream about a request.
pub(super) fn read_line(line: &[u8], id: &str, runner: &str) -> StreamEvent {
    if line.iter().all(u8::is_ascii_whitespace) {
        return StreamEvent::Empty;
    }
    let Ok(line) = serde_json::from_slice::<Line<'_>>(line) else { return StreamEvent::Unreadable };
    if line.id != id || line.from != runner {
        return StreamEvent::Unreadable;
    }
    let load = line.load.as_ref().map(read_fields);
    let end = |outcome, result| StreamEvent::End(AttemptEnd { outcome, result, load });
    match (line.state.as_ref(), line.result) {
        ("started", _) => StreamEvent::Started,
        ("running", _) => StreamEvent::Progress(line.share.unwrap_or(0.0)),
        ("done", Some(result)) => end(Outcome::Served, Some(Bytes::from(result))),
        ("failed", _) => end(Outcome::Error, None),
        ("returned", _) => end(Outcome::Full, None),
        ("lost", _) => end(Outcome::Reset, None),
        // Without a result there is nothing to serve.
        _ => StreamEvent::Unreadable,
    }
}
