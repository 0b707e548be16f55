//! Tells requests apart on a connection. It does no I/O and reads no clock.

use super::chunked::ChunkFollower;
use super::head::{BodyFraming, HeadScan, HeadScanner, framing_of};
use super::limits::FrontLimits;
use super::refusal::Refusal;

/// Where in a request the bytes are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of the next request has come.
    Idle,
    /// Within a head.
    Head,
    /// Within a body.
    Body,
    /// The request was read whole, and its answer has not been written.
    Serving,
}

#[derive(Debug)]
enum Body {
    Length(u64),
    Chunked(ChunkFollower),
}

/// Follows the bytes of a connection, one request at a time.
#[derive(Debug)]
pub(super) struct Framing {
    phase: Phase,
    limits: FrontLimits,
    scanner: HeadScanner,
    head_length: usize,
    /// The head so far, where it comes in pieces.
    partial: Vec<u8>,
    body: Body,
}

impl Framing {
    /// Before the first request.
    pub(super) fn new(limits: FrontLimits) -> Self {
        Self {
            phase: Phase::Idle,
            limits,
            scanner: HeadScanner::default(),
            head_length: 0,
            partial: Vec::new(),
            body: Body::Length(0),
        }
    }

    /// Where the bytes are.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// The answer has been written: the next request may begin.
    pub(super) fn answered(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Before a request begins: the bounds that it has to keep.
    pub(super) fn bound(&mut self, limits: FrontLimits) {
        self.limits = limits;
    }

    /// Takes bytes; returns how many of them belong to the present request. Those after them belong to the next one.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Result<usize, Refusal> {
        let mut consumed = 0;
        while let Some(rest) = bytes.get(consumed..).filter(|rest| !rest.is_empty()) {
            consumed += match self.phase {
                Phase::Idle => self.take_empty_lines(rest),
                Phase::Head => self.take_head(rest)?,
                Phase::Body => self.take_body(rest)?,
                Phase::Serving => break,
            };
        }
        Ok(consumed)
    }

    /// Empty lines ahead of a request are skipped, as hyper does.
    fn take_empty_lines(&mut self, bytes: &[u8]) -> usize {
        let first = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n'));
        if first.is_some() {
            self.phase = Phase::Head;
            self.scanner = HeadScanner::default();
            self.head_length = 0;
            self.partial.clear();
        }
        first.unwrap_or(bytes.len())
    }

    fn take_head(&mut self, bytes: &[u8]) -> Result<usize, Refusal> {
        let scan = self.scanner.scan(bytes)?;
        let consumed = match scan {
            HeadScan::Partial => bytes.len(),
            HeadScan::Complete(end) => end,
        };
        self.head_length += consumed;
        if self.head_length > self.limits.max_header_bytes {
            return Err(Refusal::HeadTooLarge);
        }
        let piece = bytes.get(..consumed).unwrap_or_default();
        if scan == HeadScan::Partial {
            self.partial.extend_from_slice(piece);
            return Ok(consumed);
        }
        let framing = if self.partial.is_empty() {
            framing_of(piece)?
        } else {
            self.partial.extend_from_slice(piece);
            let framing = framing_of(&self.partial);
            self.partial = Vec::new();
            framing?
        };
        self.begin_body(framing)?;
        Ok(consumed)
    }

    fn begin_body(&mut self, framing: BodyFraming) -> Result<(), Refusal> {
        match framing {
            BodyFraming::Length(0) => self.phase = Phase::Serving,
            BodyFraming::Length(length) if length > self.most_body() => return Err(Refusal::BodyTooLarge),
            BodyFraming::Length(length) => {
                self.phase = Phase::Body;
                self.body = Body::Length(length);
            }
            BodyFraming::Chunked => {
                self.phase = Phase::Body;
                self.body = Body::Chunked(ChunkFollower::new());
            }
        }
        Ok(())
    }

    fn most_body(&self) -> u64 {
        u64::try_from(self.limits.max_body_bytes).unwrap_or(u64::MAX)
    }

    fn take_body(&mut self, bytes: &[u8]) -> Result<usize, Refusal> {
        let most = self.most_body();
        match &mut self.body {
            Body::Length(left) => {
                let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                let taken = available.min(*left);
                *left -= taken;
                if *left == 0 {
                    self.phase = Phase::Serving;
                }
                Ok(usize::try_from(taken).unwrap_or(bytes.len()))
            }
            Body::Chunked(follower) => {
                let end = follower.follow(bytes, most)?;
                if end.is_some() {
                    self.phase = Phase::Serving;
                }
                Ok(end.unwrap_or(bytes.len()))
            }
        }
    }
}
