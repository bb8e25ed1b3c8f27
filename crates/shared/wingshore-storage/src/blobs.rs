//! Storage of write-once blobs beside a group's log, removed file by file.
//!
//! Each blob is durable before it is returned. [`crate::blob_index`] decides when a file may be
//! removed.

use crate::blob_index::FileIndex;
use crate::error::{IoContext, StorageError};
use crate::file_system::{File, FileSystem, ReadableFile};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use wingshore_types::blob::{Blob, BlobPlace};

/// Size at which a file is closed and a new one is created, in bytes. It is a small part of a disk
/// because a file is only removed as a whole.
const DEFAULT_FILE_BYTES: u64 = 8 << 20;
/// Prefix of the names of blob files.
const PREFIX: &str = "blobs-";

/// The blob files in one directory. Clones share them.
#[derive(Clone)]
pub struct BlobFiles {
    shared: Arc<Shared>,
}

struct Shared {
    fs: Arc<dyn FileSystem>,
    directory: PathBuf,
    index: Mutex<FileIndex<BlobFile>>,
}

/// An open blob file. Dropping it releases the file.
struct BlobFile {
    number: u64,
    reader: Arc<dyn ReadableFile>,
    shared: Arc<Shared>,
}

impl Drop for BlobFile {
    fn drop(&mut self) {
        self.shared.index().release(self.number);
    }
}

/// A blob on disk.
#[derive(Clone)]
pub struct StoredBlob {
    file: Arc<BlobFile>,
    place: BlobPlace,
}

impl Blob for StoredBlob {
    fn place(&self) -> BlobPlace {
        self.place
    }

    fn read(&self) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; self.place.length as usize];
        let mut filled = 0;
        while filled < bytes.len() {
            let offset = self.place.offset + filled as u64;
            match self.file.reader.read_at(offset, &mut bytes[filled..])? {
                0 => return Err(self.damaged("cut short")),
                count => filled += count,
            }
        }
        if crc32fast::hash(&bytes) != self.place.checksum {
            return Err(self.damaged("checksum mismatch"));
        }
        Ok(bytes)
    }
}

impl StoredBlob {
    fn damaged(&self, what: &str) -> io::Error {
        let path = path_of(&self.file.shared.directory, self.place.file);
        let message = format!("{} at byte {}: {what}", path.display(), self.place.offset);
        io::Error::new(io::ErrorKind::InvalidData, message)
    }
}

impl Shared {
    fn index(&self) -> MutexGuard<'_, FileIndex<BlobFile>> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open_file(self: &Arc<Self>, number: u64) -> io::Result<Arc<BlobFile>> {
        let reader = self.fs.open_to_read(&path_of(&self.directory, number))?;
        let file = Arc::new(BlobFile {
            number,
            reader,
            shared: Arc::clone(self),
        });
        self.index().hold(number, Arc::downgrade(&file));
        Ok(file)
    }
}

impl BlobFiles {
    /// Opens the blob files in `directory`, creating the directory if it does not exist. Returns
    /// them with their only writer.
    ///
    /// # Errors
    /// Returns an error if the disk fails.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
    ) -> Result<(Self, BlobWriter), StorageError> {
        Self::open_with(fs, directory, DEFAULT_FILE_BYTES)
    }

    /// Like [`BlobFiles::open`], with a file size of `file_bytes`.
    ///
    /// # Errors
    /// Returns the same errors as [`BlobFiles::open`].
    pub fn open_with(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
        file_bytes: u64,
    ) -> Result<(Self, BlobWriter), StorageError> {
        fs.create_directory(directory)
            .during("create directory", directory)?;
        let shared = Arc::new(Shared {
            fs,
            directory: directory.to_owned(),
            index: Mutex::default(),
        });
        let files = Self { shared };
        let last = files.numbers()?.into_iter().max().unwrap_or(0);
        let writer = BlobWriter {
            shared: Arc::clone(&files.shared),
            file_bytes,
            next_number: last + 1,
            active: None,
        };
        Ok((files, writer))
    }

    /// Returns the blob at a `place` that is named in a snapshot.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened.
    pub fn find(&self, place: BlobPlace) -> io::Result<StoredBlob> {
        let held = self.shared.index().held(place.file);
        let file = match held.and_then(|file| file.upgrade()) {
            Some(file) => file,
            None => self.shared.open_file(place.file)?,
        };
        Ok(StoredBlob { file, place })
    }

    /// Records the start of a snapshot of the state that references blobs and returns the
    /// number of the snapshot.
    pub fn begin_snapshot(&self) -> u64 {
        self.shared.index().begin_snapshot()
    }

    /// Records that the snapshot with this number is durable and has replaced the previous one.
    pub fn snapshot_durable(&self, number: u64) {
        self.shared.index().snapshot_durable(number);
    }

    /// Removes the files that may be removed and returns their number.
    ///
    /// # Errors
    /// Returns an error if the disk fails; the file then remains until the next start.
    pub fn remove_released(&self) -> Result<usize, StorageError> {
        let removable = self.shared.index().take_removable();
        self.remove(&removable)
    }

    /// Removes the unreferenced files and returns their number. Must be called right after the
    /// snapshot on disk was restored.
    ///
    /// # Errors
    /// Returns an error if the disk fails.
    pub fn remove_unreferenced(&self) -> Result<usize, StorageError> {
        let mut numbers = self.numbers()?;
        let index = self.shared.index();
        numbers.retain(|number| index.is_unreferenced(*number));
        drop(index);
        self.remove(&numbers)
    }

    fn remove(&self, numbers: &[u64]) -> Result<usize, StorageError> {
        for number in numbers {
            let path = path_of(&self.shared.directory, *number);
            match self.shared.fs.remove(&path) {
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                removed => removed.during("remove", &path)?,
            }
        }
        Ok(numbers.len())
    }

    fn numbers(&self) -> Result<Vec<u64>, StorageError> {
        let directory = &self.shared.directory;
        let names = self.shared.fs.list(directory).during("list", directory)?;
        let numbers = names.iter().filter_map(|name| name.strip_prefix(PREFIX));
        Ok(numbers.filter_map(|number| number.parse().ok()).collect())
    }
}

/// Writes blobs. Owned by a single thread.
pub struct BlobWriter {
    shared: Arc<Shared>,
    file_bytes: u64,
    next_number: u64,
    active: Option<ActiveFile>,
}

struct ActiveFile {
    file: Box<dyn File>,
    readable: Arc<BlobFile>,
    length: u64,
}

impl BlobWriter {
    /// Makes `blobs` durable and returns them in the same order.
    ///
    /// # Errors
    /// Returns an error if the disk fails or is full. No blob is returned then, and the next blobs
    /// are written to a new file, since the content of the last file is unknown.
    pub fn append(&mut self, blobs: &[Arc<[u8]>]) -> Result<Vec<StoredBlob>, StorageError> {
        let mut active = match self.active.take() {
            Some(active) => active,
            None => self.create()?,
        };
        let path = path_of(&self.shared.directory, active.readable.number);
        let stored = self.append_to(&mut active, &path, blobs);
        if stored.is_err() && active.length == 0 {
            // Frees the space of the empty file. If the removal fails, the next start removes it.
            let _ = self.shared.fs.remove(&path);
        } else if stored.is_ok() && active.length < self.file_bytes {
            self.active = Some(active);
        }
        stored
    }

    fn append_to(
        &self,
        active: &mut ActiveFile,
        path: &Path,
        blobs: &[Arc<[u8]>],
    ) -> Result<Vec<StoredBlob>, StorageError> {
        let mut bytes = Vec::new();
        let mut stored = Vec::with_capacity(blobs.len());
        for blob in blobs {
            let place = BlobPlace {
                file: active.readable.number,
                offset: active.length + bytes.len() as u64,
                length: u32::try_from(blob.len())
                    .map_err(|_| io::ErrorKind::FileTooLarge.into())
                    .during("write", path)?,
                checksum: crc32fast::hash(blob),
            };
            bytes.extend_from_slice(blob);
            let file = Arc::clone(&active.readable);
            stored.push(StoredBlob { file, place });
        }
        active.file.append(&bytes).during("write", path)?;
        active.file.sync().during("sync", path)?;
        if active.length == 0 {
            let directory = &self.shared.directory;
            let synced = self.shared.fs.sync_directory(directory);
            synced.during("sync directory", directory)?;
        }
        active.length += bytes.len() as u64;
        Ok(stored)
    }

    fn create(&mut self) -> Result<ActiveFile, StorageError> {
        let number = self.next_number;
        self.next_number += 1;
        let path = path_of(&self.shared.directory, number);
        let file = self.shared.fs.create(&path).during("create", &path)?;
        let readable = self.shared.open_file(number).during("open", &path)?;
        Ok(ActiveFile {
            file,
            readable,
            length: 0,
        })
    }
}

fn path_of(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{PREFIX}{number:020}"))
}
