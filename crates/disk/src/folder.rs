//! The disk as this crate uses it.

use std::io;

/// One folder of files without sub-folders. Names are plain file names. A change of a name (a file made, renamed or removed)
/// lasts only once [`Folder::sync`] has returned. A write without room for it must fail with
/// [`io::ErrorKind::StorageFull`] or [`io::ErrorKind::QuotaExceeded`].
pub trait Folder: Send + Sync + 'static {
    /// The names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;

    /// All bytes of a file; `None` if there is none of that name.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// The first bytes of a file, `length` or as many as there are; `None` if there is none of that name.
    fn read_start(&self, name: &str, length: usize) -> io::Result<Option<Vec<u8>>> {
        let bytes = self.read(name)?;
        Ok(bytes.map(|mut bytes| {
            bytes.truncate(length);
            bytes
        }))
    }

    /// Makes a file, or empties the one there is, and opens it for appending.
    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>>;

    /// Opens a file for appending at its end; [`io::ErrorKind::NotFound`] if there is none.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn DataFile>>;

    /// Removes a file; [`io::ErrorKind::NotFound`] if there is none.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of the file that may have had it.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Makes all changes of names durable that came before.
    fn sync(&self) -> io::Result<()>;
}

/// A file opened for appending.
pub trait DataFile: Send {
    /// Writes all bytes at the end, in one call of the system if that takes them all. After an error any part of them may
    /// have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the file's bytes and length durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file to a length in bytes; the next append follows there.
    fn set_len(&mut self, length: u64) -> io::Result<()>;
}
