//! The disks, and the threads that serve them.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use super::message::{DiskAnswer, DiskCall, receive, send};

/// The bytes of a file, shared by its name and by all that have it open.
type FileBytes = Arc<Mutex<Vec<u8>>>;
type Files = BTreeMap<String, FileBytes>;

/// Disks in memory, served to processes on loopback until this is dropped.
#[derive(Debug)]
pub struct MemoryDisks {
    address: SocketAddr,
    disks: Arc<Disks>,
    ended: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct Disks {
    by_machine: Mutex<BTreeMap<String, Files>>,
}

impl MemoryDisks {
    /// Serves empty disks.
    ///
    /// # Errors
    /// No address or thread can be had.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
        let address = listener.local_addr()?;
        let (disks, ended) = (Arc::new(Disks::default()), Arc::new(AtomicBool::new(false)));
        let server = Self { address, disks: Arc::clone(&disks), ended: Arc::clone(&ended) };
        thread::Builder::new().name("disks".to_owned()).spawn(move || accept(&listener, &disks, &ended))?;
        Ok(server)
    }

    /// Where they are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Removes all files of a machine.
    pub fn erase(&self, machine: &str) {
        self.disks.lock().remove(machine);
    }
}

impl Drop for MemoryDisks {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

impl Disks {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Files>> {
        self.by_machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_files<T>(&self, machine: &str, work: impl FnOnce(&mut Files) -> T) -> T {
        work(self.lock().entry(machine.to_owned()).or_default())
    }
}

fn accept(listener: &TcpListener, disks: &Arc<Disks>, ended: &AtomicBool) {
    for stream in listener.incoming() {
        if ended.load(Ordering::Acquire) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let disks = Arc::clone(disks);
        // Without a thread the connection is dropped, and the process says why it cannot start.
        let _ = thread::Builder::new().name("disk".to_owned()).spawn(move || {
            let _ = Session { disks, machine: None, open: BTreeMap::new(), opened: 0 }.serve(stream);
        });
    }
}

/// One connection of a process.
struct Session {
    disks: Arc<Disks>,
    machine: Option<String>,
    open: BTreeMap<u64, FileBytes>,
    opened: u64,
}

impl Session {
    fn serve(mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let call = receive(&mut stream)?;
            let answer = self.answer(call);
            send(&mut stream, &answer)?;
        }
    }

    fn answer(&mut self, call: DiskCall) -> DiskAnswer {
        if let DiskCall::Use { machine } = call {
            self.machine = Some(machine);
            return DiskAnswer::Done;
        }
        let Some(machine) = self.machine.clone() else {
            return DiskAnswer::Refused("no machine was named".to_owned());
        };
        match call {
            DiskCall::Append { file, bytes } => self.change(file, |content| content.extend(bytes)),
            DiskCall::SetLength { file, length } => self.change(file, |content| {
                content.resize(usize::try_from(length).unwrap_or(usize::MAX), 0);
            }),
            DiskCall::Close { file } => {
                self.open.remove(&file);
                DiskAnswer::Done
            }
            DiskCall::Create { name } => {
                let content = FileBytes::default();
                self.disks.with_files(&machine, |files| files.insert(name, Arc::clone(&content)));
                self.opened(content)
            }
            DiskCall::OpenAppend { name } => {
                match self.disks.with_files(&machine, |files| files.get(&name).map(Arc::clone)) {
                    Some(content) => self.opened(content),
                    None => DiskAnswer::NotFound,
                }
            }
            names => self.disks.with_files(&machine, |files| answer_by_name(files, names)),
        }
    }

    fn opened(&mut self, content: FileBytes) -> DiskAnswer {
        self.opened += 1;
        self.open.insert(self.opened, content);
        DiskAnswer::File(self.opened)
    }

    fn change(&self, file: u64, change: impl FnOnce(&mut Vec<u8>)) -> DiskAnswer {
        match self.open.get(&file) {
            Some(content) => {
                change(&mut lock(content));
                DiskAnswer::Done
            }
            None => DiskAnswer::Refused(format!("file {file} is not open")),
        }
    }
}

/// Calls that need no open file.
fn answer_by_name(files: &mut Files, call: DiskCall) -> DiskAnswer {
    match call {
        DiskCall::List => DiskAnswer::Names(files.keys().cloned().collect()),
        DiskCall::Read { name, length } => match files.get(&name) {
            Some(content) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                DiskAnswer::Bytes(lock(content).iter().take(length).copied().collect())
            }
            None => DiskAnswer::NotFound,
        },
        DiskCall::Remove { name } => match files.remove(&name) {
            Some(_) => DiskAnswer::Done,
            None => DiskAnswer::NotFound,
        },
        DiskCall::Rename { from, to } => match files.remove(&from) {
            Some(content) => {
                files.insert(to, content);
                DiskAnswer::Done
            }
            None => DiskAnswer::NotFound,
        },
        other => DiskAnswer::Refused(format!("{other:?} does not go by name")),
    }
}

fn lock(content: &FileBytes) -> MutexGuard<'_, Vec<u8>> {
    content.lock().unwrap_or_else(PoisonError::into_inner)
}
