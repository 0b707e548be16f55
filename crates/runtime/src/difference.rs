//! What is new in a configuration's body against an earlier one. Pure: no I/O, no clock.
//!
//! Bodies are cut where the objects of the document begin. Whatever stands in both is named by its place in the earlier
//! body, so that a change of one route among thousands takes little more than that route.

use std::collections::HashMap;

use ruddervalve_protocol::{Blob, BodyPart};

/// Objects begin with it.
const CUT: u8 = b'{';

/// The parts that make up `body`, by reference to `base` where they stand there.
pub fn difference(base: &[u8], body: &[u8]) -> Vec<BodyPart> {
    let mut places = HashMap::new();
    for (start, segment) in segments(base) {
        places.entry(segment).or_insert(start);
    }
    let mut parts = Parts::default();
    for (_, segment) in segments(body) {
        let next =
            parts.kept_end().filter(|end| base.get(*end..).is_some_and(|rest| rest.starts_with(segment)));
        match next.or_else(|| places.get(segment).copied()) {
            Some(start) => parts.keep(start, segment.len()),
            None => parts.add(segment),
        }
    }
    parts.finish()
}

/// The body that [`difference`] was taken from; none if the parts do not belong to this base.
pub fn restored(base: &[u8], parts: &[BodyPart]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    for part in parts {
        match part {
            BodyPart::Kept { start, length } => {
                let start = usize::try_from(*start).ok()?;
                let end = start.checked_add(usize::try_from(*length).ok()?)?;
                body.extend_from_slice(base.get(start..end)?);
            }
            BodyPart::New(bytes) => body.extend_from_slice(bytes.as_slice()),
        }
    }
    Some(body)
}

/// The stretches from one [`CUT`] to the next, each with where it begins.
fn segments(body: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = body.get(start..).filter(|rest| !rest.is_empty())?;
        let cut = rest.iter().skip(1).position(|byte| *byte == CUT);
        let length = cut.map_or(rest.len(), |position| position + 1);
        let segment = (start, &rest[..length]);
        start += length;
        Some(segment)
    })
}

/// Parts that are being put together; neighbours are joined.
#[derive(Default)]
struct Parts {
    parts: Vec<BodyPart>,
    /// Bytes that do not stand in the base, after all parts.
    new: Vec<u8>,
    /// The stretch of the base that is kept, after all parts.
    kept: Option<(usize, usize)>,
}

impl Parts {
    /// Where the stretch ends that is kept last.
    fn kept_end(&self) -> Option<usize> {
        self.kept.map(|(start, length)| start + length)
    }

    fn keep(&mut self, start: usize, length: usize) {
        self.end_new();
        match &mut self.kept {
            Some((known, known_length)) if *known + *known_length == start => *known_length += length,
            _ => {
                self.end_kept();
                self.kept = Some((start, length));
            }
        }
    }

    fn add(&mut self, bytes: &[u8]) {
        self.end_kept();
        self.new.extend_from_slice(bytes);
    }

    fn end_new(&mut self) {
        if !self.new.is_empty() {
            self.parts.push(BodyPart::New(Blob::from(std::mem::take(&mut self.new))));
        }
    }

    fn end_kept(&mut self) {
        if let Some((start, length)) = self.kept.take() {
            self.parts.push(BodyPart::Kept { start: start as u64, length: length as u64 });
        }
    }

    fn finish(mut self) -> Vec<BodyPart> {
        self.end_new();
        self.end_kept();
        self.parts
    }
}
