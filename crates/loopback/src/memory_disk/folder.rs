//! The disk of a process, as the process sees it.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

use ruddervalve_disk::{DataFile, Folder};

use super::message::{DiskAnswer, DiskCall, receive, send};

/// The variable that tells a process where its disk is: an address, a slash and the machine's name.
pub(crate) const VARIABLE: &str = "RUDDERVALVE_MEMORY_DISK";

/// A folder in the rig's memory.
#[derive(Debug, Clone)]
pub struct MemoryFolder {
    stream: Arc<Mutex<TcpStream>>,
}

impl MemoryFolder {
    /// The disk of a machine.
    ///
    /// # Errors
    /// Nobody serves disks there.
    pub fn connect(address: SocketAddr, machine: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let folder = Self { stream: Arc::new(Mutex::new(stream)) };
        folder.call(&DiskCall::Use { machine: machine.to_owned() })?;
        Ok(folder)
    }

    /// The disk that the environment of this process names; none where it names none.
    ///
    /// # Errors
    /// The variable is faulty, or nobody serves disks there.
    pub fn of_this_process() -> io::Result<Option<Self>> {
        let Ok(value) = std::env::var(VARIABLE) else { return Ok(None) };
        let faulty = || io::Error::new(ErrorKind::InvalidInput, format!("{VARIABLE} is not ADDRESS/MACHINE"));
        let (address, machine) = value.split_once('/').ok_or_else(faulty)?;
        let address = address.parse().map_err(|_| faulty())?;
        Self::connect(address, machine).map(Some)
    }

    fn call(&self, call: &DiskCall) -> io::Result<DiskAnswer> {
        let mut stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
        send(&mut *stream, call)?;
        match receive(&mut *stream)? {
            DiskAnswer::NotFound => Err(ErrorKind::NotFound.into()),
            DiskAnswer::Refused(reason) => Err(io::Error::other(reason)),
            answer => Ok(answer),
        }
    }

    fn open(&self, call: &DiskCall) -> io::Result<Box<dyn DataFile>> {
        match self.call(call)? {
            DiskAnswer::File(number) => Ok(Box::new(MemoryFile { folder: self.clone(), number })),
            other => Err(unexpected(&other)),
        }
    }

    fn read_up_to(&self, name: &str, length: u64) -> io::Result<Option<Vec<u8>>> {
        match self.call(&DiskCall::Read { name: name.to_owned(), length }) {
            Ok(DiskAnswer::Bytes(bytes)) => Ok(Some(bytes)),
            Ok(other) => Err(unexpected(&other)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }
}

impl Folder for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        match self.call(&DiskCall::List)? {
            DiskAnswer::Names(names) => Ok(names),
            other => Err(unexpected(&other)),
        }
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.read_up_to(name, u64::MAX)
    }

    fn read_start(&self, name: &str, length: usize) -> io::Result<Option<Vec<u8>>> {
        self.read_up_to(name, length as u64)
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        self.open(&DiskCall::Create { name: name.to_owned() })
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        self.open(&DiskCall::OpenAppend { name: name.to_owned() })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.call(&DiskCall::Remove { name: name.to_owned() }).map(drop)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.call(&DiskCall::Rename { from: from.to_owned(), to: to.to_owned() }).map(drop)
    }

    /// What was answered is in the rig, which outlives the process.
    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A file that is open.
struct MemoryFile {
    folder: MemoryFolder,
    number: u64,
}

impl DataFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.folder.call(&DiskCall::Append { file: self.number, bytes: bytes.to_vec() }).map(drop)
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.folder.call(&DiskCall::SetLength { file: self.number, length }).map(drop)
    }
}

impl Drop for MemoryFile {
    fn drop(&mut self) {
        let _ = self.folder.call(&DiskCall::Close { file: self.number });
    }
}

fn unexpected(answer: &DiskAnswer) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, format!("an answer about a disk does not fit: {answer:?}"))
}
