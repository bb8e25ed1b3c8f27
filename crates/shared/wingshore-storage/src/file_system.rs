//! The file system interface that storage depends on. Only synced data survives a crash: file
//! contents are synced by [`File::sync`], directory entries by [`FileSystem::sync_directory`].

use std::io::{self, BufReader, Read};
use std::path::Path;
use std::sync::Arc;
use wingshore_types::snapshot_data::FrozenState;

/// Size of the read buffer for large files, in bytes.
pub(crate) const READ_BYTES: usize = 256 << 10;

/// A file opened for appending.
pub trait File: Send {
    /// Appends bytes.
    ///
    /// # Errors
    /// Returns any I/O error; an unknown part of the bytes may have been appended.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content and the length of the file durable.
    ///
    /// # Errors
    /// Returns any I/O error. Unsynced data may then be lost even if a later sync succeeds, so
    /// the caller must stop writing.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes; durable after the next [`File::sync`].
    ///
    /// # Errors
    /// Returns any I/O error.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// A file opened for reading.
pub trait ReadableFile: Send + Sync {
    /// Reads bytes from `offset` on and returns their number; 0 at the end of the file.
    ///
    /// # Errors
    /// Returns any I/O error.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
}

/// Reads a file sequentially from an offset on.
pub struct FileReader {
    file: Arc<dyn ReadableFile>,
    position: u64,
}

impl FileReader {
    /// Creates a reader of `file` that starts at `position`, in bytes.
    pub fn new(file: Arc<dyn ReadableFile>, position: u64) -> Self {
        Self { file, position }
    }
}

impl Read for FileReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.file.read_at(self.position, buffer)?;
        self.position += count as u64;
        Ok(count)
    }
}

/// A byte range of a file that is read on demand. The file stays readable after it is replaced.
pub struct FileRange {
    file: Arc<dyn ReadableFile>,
    offset: u64,
    length: u64,
}

impl FileRange {
    /// Creates a range of `length` bytes of `file`, starting at `offset`.
    pub fn new(file: Arc<dyn ReadableFile>, offset: u64, length: u64) -> Self {
        Self {
            file,
            offset,
            length,
        }
    }
}

impl FrozenState for FileRange {
    fn length(&self) -> u64 {
        self.length
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        let reader = FileReader::new(Arc::clone(&self.file), self.offset);
        let reader = BufReader::with_capacity(READ_BYTES, reader);
        Ok(Box::new(reader.take(self.length)))
    }
}

/// An exclusive lock on a folder, held until it is dropped.
pub trait Lock: Send + Sync {}

/// A file system. All its methods may be called from any thread.
pub trait FileSystem: Send + Sync {
    /// Creates an empty file; an existing file of that name is truncated.
    ///
    /// # Errors
    /// Returns any I/O error.
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    /// Returns `NotFound` if it does not exist, or any other I/O error.
    fn open(&self, path: &Path) -> io::Result<Box<dyn File>>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// Returns `NotFound` if it does not exist, or any other I/O error.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Opens an existing file for reading.
    ///
    /// # Errors
    /// Returns `NotFound` if it does not exist, or any other I/O error.
    fn open_to_read(&self, path: &Path) -> io::Result<Arc<dyn ReadableFile>>;

    /// Renames a file within its directory atomically, replacing a file of the new name.
    ///
    /// # Errors
    /// Returns any I/O error.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns any I/O error.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Returns the names in a directory, sorted.
    ///
    /// # Errors
    /// Returns `NotFound` if it does not exist, or any other I/O error.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;

    /// Creates a directory and its missing parents; an existing directory is left unchanged.
    ///
    /// # Errors
    /// Returns any I/O error.
    fn create_directory(&self, path: &Path) -> io::Result<()>;

    /// Makes the entries of a directory durable.
    ///
    /// # Errors
    /// Returns any I/O error.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;

    /// Locks the file at `path`, creating it if it does not exist.
    ///
    /// # Errors
    /// Returns `WouldBlock` if another process, or another holder in this process, has the lock.
    fn lock(&self, path: &Path) -> io::Result<Box<dyn Lock>>;
}
