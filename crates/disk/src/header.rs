//! The first bytes of each file: what it is, and whose.

use ruddervalve_protocol::ReplicaId;

use crate::error::{Damage, DiskError};

/// The format of all files; one that is written otherwise needs another number.
const FORMAT_VERSION: u32 = 1;
/// Magic, version, generation, identity, length of the previous log, checksum of these.
pub(crate) const HEADER_LENGTH: usize = 8 + 4 + 8 + 8 + 8 + 4;
/// Where the checksum is.
const CHECKSUM_OFFSET: usize = HEADER_LENGTH - 4;

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// Records in the order in which they were made.
    Log,
    /// A whole state.
    Slot,
}

impl FileKind {
    fn magic(self) -> [u8; 8] {
        match self {
            Self::Log => *b"rvd log\n",
            Self::Slot => *b"rvd slot",
        }
    }
}

/// The header of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    /// What the file holds.
    pub(crate) kind: FileKind,
    /// The log's generation, or that of the first log which the slot does not cover. It only grows in a folder.
    pub(crate) generation: u64,
    /// Whose file it is.
    pub(crate) identity: ReplicaId,
    /// How long the log of the generation before was at its end, in bytes; 0 if there was none, and in slots.
    pub(crate) previous_length: u64,
}

impl Header {
    /// The header's bytes.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_LENGTH);
        bytes.extend_from_slice(&self.kind.magic());
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.identity.0.to_le_bytes());
        bytes.extend_from_slice(&self.previous_length.to_le_bytes());
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads the header of `file`; `Ok(Err(..))` tells damage, `Err` a whole header of another format.
    pub(crate) fn read(file: &str, kind: FileKind, bytes: &[u8]) -> Result<Result<Self, Damage>, DiskError> {
        let Some(header) = bytes.get(..HEADER_LENGTH) else { return Ok(Err(Damage::Header)) };
        let Some((covered, checksum)) = header.split_at_checked(CHECKSUM_OFFSET) else {
            return Ok(Err(Damage::Header));
        };
        if checksum != crc32fast::hash(covered).to_le_bytes() {
            return Ok(Err(Damage::Header));
        }
        let mut reader = Reader { bytes: covered };
        let Some(fields) = reader.fields() else { return Ok(Err(Damage::Header)) };
        if fields.magic != kind.magic() {
            return Ok(Err(Damage::Header));
        }
        if fields.version != FORMAT_VERSION {
            return Err(DiskError::Version {
                file: file.to_owned(),
                found: fields.version,
                known: FORMAT_VERSION,
            });
        }
        let Fields { generation, identity, previous_length, .. } = fields;
        Ok(Ok(Self { kind, generation, identity: ReplicaId(identity), previous_length }))
    }
}

/// The header's fields as they are stored.
struct Fields {
    magic: [u8; 8],
    version: u32,
    generation: u64,
    identity: u64,
    previous_length: u64,
}

/// Takes numbers from the front of bytes.
struct Reader<'a> {
    bytes: &'a [u8],
}

impl Reader<'_> {
    fn fields(&mut self) -> Option<Fields> {
        Some(Fields {
            magic: self.take()?,
            version: u32::from_le_bytes(self.take()?),
            generation: u64::from_le_bytes(self.take()?),
            identity: u64::from_le_bytes(self.take()?),
            previous_length: u64::from_le_bytes(self.take()?),
        })
    }

    fn take<const LENGTH: usize>(&mut self) -> Option<[u8; LENGTH]> {
        let (taken, rest) = self.bytes.split_first_chunk::<LENGTH>()?;
        self.bytes = rest;
        Some(*taken)
    }
}
