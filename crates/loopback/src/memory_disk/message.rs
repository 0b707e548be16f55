//! What a process and the rig say to each other about a disk. The enums are public in a private module, as the derivation of
//! their encoding asks for it.

use std::io::{self, ErrorKind, Read, Write};

use nanoserde::{DeBin, SerBin};

/// The longest message, in bytes: well above a checkpoint of a test.
const MAX_MESSAGE_BYTES: u32 = 256 * 1_024 * 1_024;

/// A call of a process. The first on a connection is [`DiskCall::Use`].
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum DiskCall {
    /// All further calls are about the disk of this machine.
    Use {
        machine: String,
    },
    List,
    /// The first bytes of a file, `length` or as many as there are.
    Read {
        name: String,
        length: u64,
    },
    Create {
        name: String,
    },
    OpenAppend {
        name: String,
    },
    Remove {
        name: String,
    },
    Rename {
        from: String,
        to: String,
    },
    Append {
        file: u64,
        bytes: Vec<u8>,
    },
    SetLength {
        file: u64,
        length: u64,
    },
    Close {
        file: u64,
    },
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum DiskAnswer {
    Done,
    Names(Vec<String>),
    Bytes(Vec<u8>),
    /// The number of the file that is open now.
    File(u64),
    NotFound,
    /// The call makes no sense.
    Refused(String),
}

/// Sends a message behind its length.
pub(super) fn send(output: &mut impl Write, message: &impl SerBin) -> io::Result<()> {
    let bytes = message.serialize_bin();
    let length = u32::try_from(bytes.len()).map_err(|_| too_long())?;
    let mut frame = length.to_le_bytes().to_vec();
    frame.extend(bytes);
    output.write_all(&frame)
}

/// Receives a message.
pub(super) fn receive<T: DeBin>(input: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    input.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length);
    if length > MAX_MESSAGE_BYTES {
        return Err(too_long());
    }
    let mut bytes = vec![0; usize::try_from(length).map_err(|_| too_long())?];
    input.read_exact(&mut bytes)?;
    T::deserialize_bin(&bytes).map_err(|error| io::Error::new(ErrorKind::InvalidData, error.to_string()))
}

fn too_long() -> io::Error {
    io::Error::new(ErrorKind::InvalidData, "a message about a disk is too long")
}
