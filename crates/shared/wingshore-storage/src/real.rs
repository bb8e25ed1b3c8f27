//! The file system of the machine.

use crate::file_system::{File, FileSystem, Lock, ReadableFile};
use std::fs;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// The file system of the machine, accessed through the standard library.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealFileSystem;

struct RealFile(fs::File);

struct RealLock {
    /// Closing the file releases the lock.
    _file: fs::File,
}

/// A file with a shared read position, which each read sets under the mutex.
struct RealReadableFile(Mutex<fs::File>);

impl ReadableFile for RealReadableFile {
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        file.seek(SeekFrom::Start(offset))?;
        file.read(buffer)
    }
}

impl Lock for RealLock {}

impl File for RealFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }
}

impl FileSystem for RealFileSystem {
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>> {
        fs::File::create(path)?;
        self.open(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let file = fs::OpenOptions::new().append(true).open(path)?;
        Ok(Box::new(RealFile(file)))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn open_to_read(&self, path: &Path) -> io::Result<Arc<dyn ReadableFile>> {
        Ok(Arc::new(RealReadableFile(Mutex::new(fs::File::open(
            path,
        )?))))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(directory)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        fs::File::open(path)?.sync_all()
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn Lock>> {
        let file = fs::OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.try_lock()?;
        Ok(Box::new(RealLock { _file: file }))
    }
}
