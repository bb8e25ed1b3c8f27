//! Bytes beside a group's log that are written once and removed file by file.
//!
//! Each blob is durable when it is handed out. A file goes when nothing in memory holds a blob of it
//! any more *and* a snapshot is durable that was taken after that: until then the snapshot on disk
//! may still refer to it.

use crate::error::{IoContext, StorageError};
use crate::file_system::{File, FileSystem, ReadableFile};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use wingshore_types::blob::{Blob, BlobPlace};

/// Size from which on a file is closed and a new one begun, in bytes: a small part of what a disk
/// has, since a file goes only as a whole.
const DEFAULT_FILE_BYTES: u64 = 8 << 20;
/// Start of the names of files.
const PREFIX: &str = "blobs-";

/// The files of blobs in one directory. Clones share them.
#[derive(Clone)]
pub struct BlobFiles {
    shared: Arc<Shared>,
}

struct Shared {
    fs: Arc<dyn FileSystem>,
    directory: PathBuf,
    book: Mutex<Book>,
}

/// Which files are held, and which may go.
#[derive(Default)]
struct Book {
    held: BTreeMap<u64, Weak<BlobFile>>,
    /// Snapshots begun so far.
    snapshots: u64,
    /// Files that nothing holds any more, with the snapshots begun before that.
    released: Vec<(u64, u64)>,
    removable: Vec<u64>,
}

/// One file. Dropping it releases it.
struct BlobFile {
    number: u64,
    reader: Arc<dyn ReadableFile>,
    shared: Arc<Shared>,
}

impl Drop for BlobFile {
    fn drop(&mut self) {
        let mut book = self.shared.book();
        let is_open_again = |file: &Weak<Self>| file.strong_count() > 0;
        if book.held.get(&self.number).is_some_and(is_open_again) {
            return;
        }
        let begun = book.snapshots;
        book.held.remove(&self.number);
        book.released.push((begun, self.number));
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
            return Err(self.damaged("not what was written"));
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
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open_file(self: &Arc<Self>, number: u64) -> io::Result<Arc<BlobFile>> {
        let reader = self.fs.open_to_read(&path_of(&self.directory, number))?;
        let file = Arc::new(BlobFile {
            number,
            reader,
            shared: Arc::clone(self),
        });
        let mut book = self.book();
        book.held.insert(number, Arc::downgrade(&file));
        // A file that is in use again is not released any more.
        book.released.retain(|(_, released)| *released != number);
        drop(book);
        Ok(file)
    }
}

impl BlobFiles {
    /// Opens, or begins, the files in `directory`; their one writer comes with them.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
    ) -> Result<(Self, BlobWriter), StorageError> {
        Self::open_with(fs, directory, DEFAULT_FILE_BYTES)
    }

    /// As [`BlobFiles::open`], with files of another size.
    ///
    /// # Errors
    /// As [`BlobFiles::open`].
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
            book: Mutex::default(),
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

    /// The blob at `place`, as a snapshot names it.
    ///
    /// # Errors
    /// When its file cannot be opened.
    pub fn find(&self, place: BlobPlace) -> io::Result<StoredBlob> {
        let held = self.shared.book().held.get(&place.file).cloned();
        let file = match held.and_then(|file| file.upgrade()) {
            Some(file) => file,
            None => self.shared.open_file(place.file)?,
        };
        Ok(StoredBlob { file, place })
    }

    /// A snapshot is taken of what holds blobs; gives its number.
    pub fn begin_snapshot(&self) -> u64 {
        let mut book = self.shared.book();
        book.snapshots += 1;
        book.snapshots
    }

    /// The snapshot of this number is durable, in the place of the one before.
    pub fn snapshot_durable(&self, number: u64) {
        let mut book = self.shared.book();
        let released = std::mem::take(&mut book.released);
        let (removable, kept) = released.into_iter().partition(|(begun, _)| *begun < number);
        book.released = kept;
        let removable: Vec<(u64, u64)> = removable;
        book.removable
            .extend(removable.iter().map(|(_, file)| file));
    }

    /// Removes the files that may go; gives how many.
    ///
    /// # Errors
    /// When the disk fails; the file stays, and goes at the next start.
    pub fn remove_released(&self) -> Result<usize, StorageError> {
        let mut book = self.shared.book();
        let mut removable = std::mem::take(&mut book.removable);
        removable.retain(|number| !book.held.contains_key(number));
        drop(book);
        self.remove(&removable)
    }

    /// Removes the files that nothing holds, right after the snapshot on disk was restored; gives
    /// how many.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn remove_unreferenced(&self) -> Result<usize, StorageError> {
        let mut numbers = self.numbers()?;
        let book = self.shared.book();
        numbers.retain(|number| !book.held.contains_key(number));
        numbers.retain(|number| !book.released.iter().any(|(_, file)| file == number));
        drop(book);
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

/// Writes blobs; one thread owns it.
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
    /// Makes `blobs` durable; they come back in their order.
    ///
    /// # Errors
    /// When the disk fails or is full. None of them is then handed out, and the next ones go to a
    /// new file: what the last one holds is not known.
    pub fn append(&mut self, blobs: &[Arc<[u8]>]) -> Result<Vec<StoredBlob>, StorageError> {
        let mut active = match self.active.take() {
            Some(active) => active,
            None => self.create()?,
        };
        let path = path_of(&self.shared.directory, active.readable.number);
        let stored = self.append_to(&mut active, &path, blobs);
        if stored.is_err() && active.length == 0 {
            // Its space may be what is wanted. Where it stays, it goes at the next start.
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
