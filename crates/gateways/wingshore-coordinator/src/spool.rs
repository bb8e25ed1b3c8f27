//! Snapshots that are received gather in a file: a state of many megabytes need not be in memory
//! beside the one that it replaces.
//!
//! Owns the folder `incoming` of the data folder. Nothing there survives the process: a file is removed
//! with the last use of its snapshot, and what an earlier process left is removed at the start.

use slog::{Logger, warn};
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use wingshore_storage::{File, FileRange, FileSystem, StorageError};
use wingshore_types::snapshot_data::{FrozenState, SnapshotData, SnapshotState};
use wingshore_types::snapshot_spool::{SnapshotSpool, SpooledSnapshot};

/// Name of the folder in the data folder.
const FOLDER: &str = "incoming";

/// Gathers snapshots in files of its folder. Nothing there survives the process.
pub struct FileSpool {
    fs: Arc<dyn FileSystem>,
    folder: PathBuf,
    begun: AtomicU64,
    logger: Logger,
}

impl FileSpool {
    /// Opens the folder and removes what an earlier process left there.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        data: &Path,
        logger: Logger,
    ) -> Result<Self, StorageError> {
        let folder = data.join(FOLDER);
        let failed = |operation, source| StorageError::Io {
            operation,
            path: folder.clone(),
            source,
        };
        fs.create_directory(&folder)
            .map_err(|source| failed("create directory", source))?;
        let names = fs.list(&folder).map_err(|source| failed("list", source))?;
        for name in names {
            fs.remove(&folder.join(name))
                .map_err(|source| failed("remove from", source))?;
        }
        let begun = AtomicU64::new(0);
        Ok(Self {
            fs,
            folder,
            begun,
            logger,
        })
    }
}

impl Debug for FileSpool {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "FileSpool({})", self.folder.display())
    }
}

impl SnapshotSpool for FileSpool {
    fn begin(&self) -> io::Result<Box<dyn SpooledSnapshot>> {
        let number = self.begun.fetch_add(1, Ordering::Relaxed);
        let spool_file = SpoolFile {
            fs: Arc::clone(&self.fs),
            path: self.folder.join(number.to_string()),
            logger: self.logger.clone(),
        };
        let file = spool_file.logged(self.fs.create(&spool_file.path))?;
        Ok(Box::new(Spooled {
            spool_file,
            file,
            length: 0,
        }))
    }
}

/// A file that goes when nothing needs it any more.
struct SpoolFile {
    fs: Arc<dyn FileSystem>,
    path: PathBuf,
    logger: Logger,
}

impl SpoolFile {
    /// Passes a result on, and logs an error.
    fn logged<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &result {
            warn!(self.logger, "a received state cannot be gathered";
                "file" => %self.path.display(), "error" => %error);
        }
        result
    }
}

impl Drop for SpoolFile {
    fn drop(&mut self) {
        if let Err(error) = self.fs.remove(&self.path) {
            warn!(self.logger, "a received state is not removed"; "error" => %error);
        }
    }
}

/// A snapshot that is being received.
struct Spooled {
    spool_file: SpoolFile,
    file: Box<dyn File>,
    length: u64,
}

impl Debug for Spooled {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "Spooled({} bytes)", self.length)
    }
}

impl SpooledSnapshot for Spooled {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let appended = self.file.append(bytes);
        self.spool_file.logged(appended)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn finish(self: Box<Self>) -> io::Result<SnapshotData> {
        let opened = self.spool_file.fs.open_to_read(&self.spool_file.path);
        let file = self.spool_file.logged(opened)?;
        let received = Received {
            range: Arc::new(FileRange::new(file, 0, self.length)),
            _spool_file: self.spool_file,
        };
        Ok(SnapshotState::Frozen(Arc::new(received)).into())
    }
}

/// A snapshot that was received whole; its file goes with it.
struct Received {
    range: Arc<FileRange>,
    _spool_file: SpoolFile,
}

impl FrozenState for Received {
    fn length(&self) -> u64 {
        self.range.length()
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        Arc::clone(&self.range).reader()
    }
}
