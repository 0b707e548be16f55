//! The folder that fails.

use std::io::{self, ErrorKind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use super::volume::{FileId, Volume};
use crate::folder::{DataFile, Folder};

/// A folder in memory. Unlike a file system it keeps a name only by [`Folder::sync`], never by a file's own sync. Each call
/// that may change something is an operation, counted from 1. Clones share the files.
#[derive(Debug, Clone, Default)]
pub struct FaultyFolder {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    disk: Mutex<Disk>,
    running: Condvar,
}

/// The volume and its troubles.
#[derive(Debug, Clone, Default)]
struct Disk {
    volume: Volume,
    operations: u64,
    syncs: u64,
    /// The operation at which the power goes.
    power_loss_at: Option<u64>,
    failure: Option<Failure>,
    capacity: Option<u64>,
    stalled: bool,
    dead: bool,
    /// Rises with each end of a process; files opened before are closed.
    life: u64,
}

/// An operation that will fail.
#[derive(Debug, Clone, Copy)]
struct Failure {
    operation: u64,
    kind: ErrorKind,
}

/// What becomes of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    /// The power goes during it.
    Interrupted,
    Failed(ErrorKind),
}

impl Disk {
    fn begin(&mut self) -> io::Result<Outcome> {
        if self.dead {
            return Err(power_gone());
        }
        self.operations += 1;
        if self.power_loss_at == Some(self.operations) {
            self.dead = true;
            return Ok(Outcome::Interrupted);
        }
        let failure = self.failure.filter(|failure| failure.operation == self.operations);
        Ok(failure.map_or(Outcome::Done, |failure| Outcome::Failed(failure.kind)))
    }

    /// Changes the volume and gives the outcome; a change that is cut short may yet be there after the loss of power.
    fn change<T>(&mut self, apply: impl FnOnce(&mut Volume) -> T) -> io::Result<T> {
        match self.begin()? {
            Outcome::Done => Ok(apply(&mut self.volume)),
            Outcome::Interrupted => {
                apply(&mut self.volume);
                Err(power_gone())
            }
            Outcome::Failed(kind) => Err(kind.into()),
        }
    }

    /// Syncs; one that is cut short covers nothing.
    fn sync(&mut self, apply: impl FnOnce(&mut Volume)) -> io::Result<()> {
        match self.begin()? {
            Outcome::Done => {
                self.syncs += 1;
                apply(&mut self.volume);
                Ok(())
            }
            Outcome::Interrupted => Err(power_gone()),
            Outcome::Failed(kind) => Err(kind.into()),
        }
    }

    fn append(&mut self, file: FileId, bytes: &[u8]) -> io::Result<()> {
        let room = self.capacity.map(|capacity| capacity.saturating_sub(self.volume.bytes()));
        let fitting = room.and_then(|room| bytes.get(..usize::try_from(room).unwrap_or(usize::MAX)));
        let whole = fitting.is_none_or(|part| part.len() == bytes.len());
        self.change(|volume| volume.append(file, fitting.unwrap_or(bytes)))?;
        if whole { Ok(()) } else { Err(ErrorKind::StorageFull.into()) }
    }

    fn check_life(&self, life: u64) -> io::Result<()> {
        if self.life == life {
            Ok(())
        } else {
            Err(io::Error::other("the process that opened the file ended"))
        }
    }
}

fn power_gone() -> io::Error {
    io::Error::other("the power is gone")
}

fn found(there: bool) -> io::Result<()> {
    if there { Ok(()) } else { Err(ErrorKind::NotFound.into()) }
}

impl Shared {
    /// The disk, whatever its state.
    fn look(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The disk once it does not stall.
    fn work(&self) -> MutexGuard<'_, Disk> {
        let stalled = |disk: &mut Disk| disk.stalled;
        self.running.wait_while(self.look(), stalled).unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultyFolder {
    /// An empty folder without troubles.
    pub fn new() -> Self {
        Self::default()
    }

    /// A folder of its own that is as this one is now, with files that are open nowhere.
    pub fn copy(&self) -> Self {
        let mut disk = self.shared.look().clone();
        disk.life += 1;
        Self { shared: Arc::new(Shared { disk: Mutex::new(disk), running: Condvar::new() }) }
    }

    /// How many operations were begun.
    pub fn operations(&self) -> u64 {
        self.shared.look().operations
    }

    /// How many syncs of files and of the folder have worked.
    pub fn syncs(&self) -> u64 {
        self.shared.look().syncs
    }

    /// Lets the power go at an operation: it and all later calls fail until [`FaultyFolder::lose_power`].
    pub fn lose_power_at(&self, operation: u64) {
        self.shared.look().power_loss_at = Some(operation);
    }

    /// Whether the power went at the operation of [`FaultyFolder::lose_power_at`].
    pub fn power_is_gone(&self) -> bool {
        self.shared.look().dead
    }

    /// The loss of power itself, and its end: durable bytes and names stay. By the seed all others are lost, all kept, or
    /// each by itself is there, missing or torn. Files that were open are closed.
    pub fn lose_power(&self, seed: u64) {
        let mut disk = self.shared.look();
        disk.volume.lose_power(seed);
        disk.restart();
    }

    /// The end of the process: all bytes and names stay, durable or not. Files that were open are closed.
    pub fn kill(&self) {
        self.shared.look().restart();
    }

    /// Lets an operation fail with an error that changes nothing.
    pub fn fail_at(&self, operation: u64, kind: ErrorKind) {
        self.shared.look().failure = Some(Failure { operation, kind });
    }

    /// Sets how many bytes all files together may hold; `None` for no limit. A write without room is done in part and
    /// fails.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.shared.look().capacity = bytes;
    }

    /// How many bytes all files hold.
    pub fn used_bytes(&self) -> u64 {
        self.shared.look().volume.bytes()
    }

    /// Lets all calls of [`Folder`] and [`DataFile`] wait, in their threads, until [`FaultyFolder::unstall`]. A simulation
    /// with one thread asks [`FaultyFolder::is_stalled`] before it calls.
    pub fn stall(&self) {
        self.shared.look().stalled = true;
    }

    /// Ends [`FaultyFolder::stall`].
    pub fn unstall(&self) {
        self.shared.look().stalled = false;
        self.shared.running.notify_all();
    }

    /// Whether calls wait.
    pub fn is_stalled(&self) -> bool {
        self.shared.look().stalled
    }

    /// Flips the bits of `mask` in a byte of a file, durably; `false` if there is no such byte.
    pub fn damage(&self, name: &str, offset: usize, mask: u8) -> bool {
        self.shared.look().volume.damage(name, offset, mask)
    }

    fn open_file(&self, life: u64, file: FileId) -> Box<dyn DataFile> {
        Box::new(FaultyFile { shared: Arc::clone(&self.shared), life, file })
    }
}

impl Disk {
    fn restart(&mut self) {
        self.life += 1;
        self.dead = false;
        self.power_loss_at = None;
    }
}

impl Folder for FaultyFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let disk = self.shared.work();
        if disk.dead { Err(power_gone()) } else { Ok(disk.volume.list()) }
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let disk = self.shared.work();
        if disk.dead { Err(power_gone()) } else { Ok(disk.volume.read(name).map(<[u8]>::to_vec)) }
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let mut disk = self.shared.work();
        let file = disk.change(|volume| volume.create(name))?;
        Ok(self.open_file(disk.life, file))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let disk = self.shared.work();
        if disk.dead {
            return Err(power_gone());
        }
        let file = disk.volume.find(name).ok_or(ErrorKind::NotFound)?;
        Ok(self.open_file(disk.life, file))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.shared.work().change(|volume| volume.remove(name)).and_then(found)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.shared.work().change(|volume| volume.rename(from, to)).and_then(found)
    }

    fn sync(&self) -> io::Result<()> {
        self.shared.work().sync(Volume::sync_names)
    }
}

/// An open file.
struct FaultyFile {
    shared: Arc<Shared>,
    /// The life in which it was opened.
    life: u64,
    file: FileId,
}

impl FaultyFile {
    fn disk(&self) -> io::Result<MutexGuard<'_, Disk>> {
        let disk = self.shared.work();
        disk.check_life(self.life)?;
        Ok(disk)
    }
}

impl DataFile for FaultyFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk()?.append(self.file, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk()?.sync(|volume| volume.sync_file(self.file))
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).map_err(|_| ErrorKind::FileTooLarge)?;
        self.disk()?.change(|volume| volume.set_len(self.file, length))
    }
}
