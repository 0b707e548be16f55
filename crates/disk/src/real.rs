//! A folder of the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

use crate::folder::{DataFile, Folder};

/// A folder of the file system, which must exist and which no other process writes to.
#[derive(Debug, Clone)]
pub struct RealFolder {
    path: PathBuf,
}

impl RealFolder {
    /// The folder at `path`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }
}

impl Folder for RealFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // Names that are no text are none of this crate's.
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn read_start(&self, name: &str, length: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.take(length as u64).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(self.path.join(name))?;
        Ok(Box::new(RealFile { file }))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let mut file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.seek(SeekFrom::End(0))?;
        Ok(Box::new(RealFile { file }))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// An open file whose cursor is at its end.
struct RealFile {
    file: File,
}

impl DataFile for RealFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)?;
        self.file.seek(SeekFrom::Start(length))?;
        Ok(())
    }
}
