//! What storage asks of a file system. Only what is synced survives a crash: bytes by
//! [`File::sync`], names in a directory by [`FileSystem::sync_directory`].

use std::io::{self, BufReader, Read};
use std::path::Path;
use std::sync::Arc;
use wingshore_types::snapshot_data::FrozenState;

/// Bytes of large files that are read at a time.
pub(crate) const READ_BYTES: usize = 256 << 10;

/// A file opened for appending.
pub trait File: Send {
    /// Adds bytes at the end.
    ///
    /// # Errors
    /// Any error of the disk; an unknown part of the bytes may have been added.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes, and the length, durable.
    ///
    /// # Errors
    /// Any error of the disk; what was unsynced may then be lost for good, also when a later
    /// sync succeeds, so that the caller must not go on.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file down to `length` bytes; durable with the next [`File::sync`].
    ///
    /// # Errors
    /// Any error of the disk.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// A file opened for reading.
pub trait ReadableFile: Send + Sync {
    /// Reads bytes from `offset` on; gives how many, 0 at the end of the file.
    ///
    /// # Errors
    /// Any error of the disk.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
}

/// Reads a file from an offset on, one piece after the other.
pub struct FileReader {
    file: Arc<dyn ReadableFile>,
    position: u64,
}

impl FileReader {
    /// Of `file`, from `position` on.
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

/// A part of a file, read when it is needed. The file stays readable also once it is replaced.
pub struct FileRange {
    file: Arc<dyn ReadableFile>,
    offset: u64,
    length: u64,
}

impl FileRange {
    /// `length` bytes of `file` from `offset` on.
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

/// Keeps other processes out of a folder until it is dropped.
pub trait Lock: Send + Sync {}

/// A file system. All methods may be called from any thread.
pub trait FileSystem: Send + Sync {
    /// Creates an empty file; one of that name is emptied.
    ///
    /// # Errors
    /// Any error of the disk.
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>>;

    /// Opens a file that exists.
    ///
    /// # Errors
    /// `NotFound` when it does not exist; any error of the disk.
    fn open(&self, path: &Path) -> io::Result<Box<dyn File>>;

    /// The whole content of a file.
    ///
    /// # Errors
    /// `NotFound` when it does not exist; any error of the disk.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Opens a file that exists for reading.
    ///
    /// # Errors
    /// `NotFound` when it does not exist; any error of the disk.
    fn open_to_read(&self, path: &Path) -> io::Result<Arc<dyn ReadableFile>>;

    /// Renames a file within its directory, replacing one of the new name, in one step.
    ///
    /// # Errors
    /// Any error of the disk.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Any error of the disk.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Names in a directory, sorted.
    ///
    /// # Errors
    /// `NotFound` when it does not exist; any error of the disk.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;

    /// Creates a directory and those above it; one that exists is left as it is.
    ///
    /// # Errors
    /// Any error of the disk.
    fn create_directory(&self, path: &Path) -> io::Result<()>;

    /// Makes the names in a directory durable.
    ///
    /// # Errors
    /// Any error of the disk.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;

    /// Takes the lock file at `path`, creating it where needed.
    ///
    /// # Errors
    /// `WouldBlock` when another process, or another holder in this one, has it.
    fn lock(&self, path: &Path) -> io::Result<Box<dyn Lock>>;
}
