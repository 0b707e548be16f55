//! Follows a body in chunks to its end, without decoding it.

use super::refusal::Refusal;

/// The most hexadecimal digits of a size: more would not fit 64 bits.
const MOST_SIZE_DIGITS: u8 = 15;
/// The most bytes of extensions and trailers of a body together, in bytes. They mean nothing here, so that whoever sends
/// many only costs time.
const MOST_IGNORED: usize = 4 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Digits of a size.
    Size,
    /// What follows a semicolon after a size.
    Extension,
    /// The line feed after a size.
    SizeEnd,
    /// The bytes of a chunk.
    Data,
    /// The carriage return after the bytes.
    DataReturn,
    /// The line feed after the bytes.
    DataEnd,
    /// The first byte of a line after the last chunk.
    TrailerStart,
    /// A trailer.
    Trailer,
    /// The line feed after a trailer.
    TrailerEnd,
    /// The line feed of the empty line.
    LastEnd,
}

/// Where in a body in chunks the bytes are.
#[derive(Debug)]
pub(super) struct ChunkFollower {
    place: Place,
    digits: u8,
    left: u64,
    ignored: usize,
    data: u64,
}

impl ChunkFollower {
    /// At the first size.
    pub(super) fn new() -> Self {
        Self { place: Place::Size, digits: 0, left: 0, ignored: 0, data: 0 }
    }

    /// Takes a piece; returns after how many of its bytes the body ends, or nothing if it goes on. Refuses a body of more
    /// than `most` bytes as soon as a size says so.
    pub(super) fn follow(&mut self, piece: &[u8], most: u64) -> Result<Option<usize>, Refusal> {
        let mut consumed = 0;
        while let Some(byte) = piece.get(consumed).copied() {
            if self.place == Place::Data {
                consumed += self.skip_data(piece.len() - consumed);
                continue;
            }
            consumed += 1;
            if self.step(byte, most)? {
                return Ok(Some(consumed));
            }
        }
        Ok(None)
    }

    fn skip_data(&mut self, available: usize) -> usize {
        let available = u64::try_from(available).unwrap_or(u64::MAX);
        let skipped = available.min(self.left);
        self.left -= skipped;
        if self.left == 0 {
            self.place = Place::DataReturn;
        }
        usize::try_from(skipped).unwrap_or(usize::MAX)
    }

    /// Takes one byte outside the data; true at the end of the body.
    fn step(&mut self, byte: u8, most: u64) -> Result<bool, Refusal> {
        self.place = match (self.place, byte) {
            (Place::Size, b'\r') if self.digits > 0 => Place::SizeEnd,
            (Place::Size, b';') if self.digits > 0 => Place::Extension,
            (Place::Size, _) => self.size_digit(byte)?,
            (Place::Extension, b'\r') => Place::SizeEnd,
            (Place::Extension, _) => self.ignore(byte, Place::Extension)?,
            (Place::SizeEnd, b'\n') => self.size_known(most)?,
            (Place::DataReturn, b'\r') => Place::DataEnd,
            (Place::DataEnd, b'\n') => Place::Size,
            (Place::TrailerStart, b'\r') => Place::LastEnd,
            (Place::Trailer, b'\r') => Place::TrailerEnd,
            (Place::TrailerStart | Place::Trailer, _) => self.ignore(byte, Place::Trailer)?,
            (Place::TrailerEnd, b'\n') => Place::TrailerStart,
            (Place::LastEnd, b'\n') => return Ok(true),
            _ => return Err(Refusal::BadChunk),
        };
        Ok(false)
    }

    fn size_digit(&mut self, byte: u8) -> Result<Place, Refusal> {
        let Some(digit) = char::from(byte).to_digit(16) else { return Err(Refusal::BadChunk) };
        if self.digits >= MOST_SIZE_DIGITS {
            return Err(Refusal::BadChunk);
        }
        self.digits += 1;
        self.left = self.left * 16 + u64::from(digit);
        Ok(Place::Size)
    }

    fn size_known(&mut self, most: u64) -> Result<Place, Refusal> {
        self.digits = 0;
        if self.left == 0 {
            return Ok(Place::TrailerStart);
        }
        self.data = self.data.saturating_add(self.left);
        if self.data > most {
            return Err(Refusal::BodyTooLarge);
        }
        Ok(Place::Data)
    }

    fn ignore(&mut self, byte: u8, place: Place) -> Result<Place, Refusal> {
        self.ignored += 1;
        if byte == b'\n' || byte == 0 || self.ignored > MOST_IGNORED {
            return Err(Refusal::BadChunk);
        }
        Ok(place)
    }
}
