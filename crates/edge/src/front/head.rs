//! Finds the end of a request's head and learns from it how its body is framed. It looks only at what two readers could
//! understand differently; names, values and the method are hyper's to check.

use super::refusal::Refusal;

/// How the body of a request is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// So many bytes; none where no length was given.
    Length(u64),
    /// In chunks.
    Chunked,
}

/// What a piece of a head did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadScan {
    /// The head goes on after this piece.
    Partial,
    /// The head ends after so many bytes of this piece.
    Complete(usize),
}

/// Looks for the empty line, in pieces as they come. A line feed without a carriage return is refused at once: a reader
/// that takes it for a line end would see the head end elsewhere.
#[derive(Debug, Default)]
pub(super) struct HeadScanner {
    /// Bytes of the line so far, with its carriage return.
    line_length: usize,
    /// The last byte of the piece before.
    last: u8,
}

impl HeadScanner {
    /// Takes the next piece.
    pub(super) fn scan(&mut self, piece: &[u8]) -> Result<HeadScan, Refusal> {
        let mut consumed = 0;
        let mut rest = piece;
        while let Some(offset) = rest.iter().position(|byte| *byte == b'\n') {
            let (line, after) = rest.split_at(offset);
            if line.last().copied().unwrap_or(self.last) != b'\r' {
                return Err(Refusal::BareLineEnd);
            }
            consumed += offset + 1;
            if self.line_length + line.len() == 1 {
                return Ok(HeadScan::Complete(consumed));
            }
            self.line_length = 0;
            self.last = b'\n';
            rest = after.get(1..).unwrap_or_default();
        }
        self.line_length += rest.len();
        self.last = rest.last().copied().unwrap_or(self.last);
        Ok(HeadScan::Partial)
    }
}

/// Reads how the body is framed from a whole head.
pub(super) fn framing_of(head: &[u8]) -> Result<BodyFraming, Refusal> {
    let mut lines = head.split(|byte| *byte == b'\n').map(without_carriage_return);
    let request_line = lines.next().unwrap_or_default();
    let version = checked_request_line(request_line)?;
    let mut fields = FramingFields::default();
    for line in lines {
        fields.take(line)?;
    }
    fields.framing(version)
}

fn without_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

fn checked_request_line(line: &[u8]) -> Result<Version, Refusal> {
    let mut words = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Refusal::BadHead);
    };
    if method.is_empty() || method == b"CONNECT" {
        return Err(Refusal::BadHead);
    }
    if target.is_empty() || !target.iter().all(|byte| byte.is_ascii_graphic() && *byte != b'#') {
        return Err(Refusal::BadTarget);
    }
    match version {
        b"HTTP/1.1" => Ok(Version::Http11),
        b"HTTP/1.0" => Ok(Version::Http10),
        _ => Err(Refusal::BadHead),
    }
}

#[derive(Default)]
struct FramingFields {
    length: Option<u64>,
    chunked: bool,
}

impl FramingFields {
    fn take(&mut self, line: &[u8]) -> Result<(), Refusal> {
        if line.is_empty() {
            return Ok(());
        }
        if line.first().is_some_and(u8::is_ascii_whitespace) {
            return Err(Refusal::FoldedHeader);
        }
        if line.contains(&b'\r') || line.contains(&0) {
            return Err(Refusal::BadHead);
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return Err(Refusal::BadHead) };
        let (name, value) = line.split_at(colon);
        if name.last().is_none_or(u8::is_ascii_whitespace) {
            return Err(Refusal::BadHead);
        }
        let value = value.get(1..).unwrap_or_default().trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            return self.take_length(value);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            return self.take_encoding(value);
        }
        Ok(())
    }

    fn take_length(&mut self, value: &[u8]) -> Result<(), Refusal> {
        if value.is_empty() || self.length.is_some() || !value.iter().all(u8::is_ascii_digit) {
            return Err(Refusal::BadLength);
        }
        let digits = std::str::from_utf8(value).map_err(|_| Refusal::BadLength)?;
        self.length = Some(digits.parse().unwrap_or(u64::MAX));
        Ok(())
    }

    fn take_encoding(&mut self, value: &[u8]) -> Result<(), Refusal> {
        if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(Refusal::BadEncoding);
        }
        self.chunked = true;
        Ok(())
    }

    fn framing(&self, version: Version) -> Result<BodyFraming, Refusal> {
        match (self.length, self.chunked) {
            (Some(_), true) => Err(Refusal::LengthAndEncoding),
            (None, true) if version == Version::Http10 => Err(Refusal::BadEncoding),
            (None, true) => Ok(BodyFraming::Chunked),
            (length, false) => Ok(BodyFraming::Length(length.unwrap_or(0))),
        }
    }
}
