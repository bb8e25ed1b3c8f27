//! Files that received snapshots are written to, so that a state of many megabytes is not in memory
//! beside the one that it replaces.
//!
//! Owns the folder `incoming` of the data folder. Its files do not outlive the process: a file is
//! removed with the last use of its snapshot, and files of an earlier process are removed at the
//! start.

use slog::{Logger, warn};
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use wingshore_storage::{File, FileRange, FileSystem, StorageError};
use wingshore_types::snapshot_data::{FrozenState, SnapshotData, SnapshotState};
use wingshore_types::snapshot_spool::{SnapshotSpool, SpooledSnapshot};

/// Name of the folder within the data folder.
const FOLDER: &str = "incoming";

/// Writes received snapshots to files of its folder, which do not outlive the process.
pub struct FileSpool {
    fs: Arc<dyn FileSystem>,
    folder: PathBuf,
    created: AtomicU64,
    logger: Logger,
}

impl FileSpool {
    /// Opens the folder, and removes the files of an earlier process.
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
        let created = AtomicU64::new(0);
        Ok(Self {
            fs,
            folder,
            created,
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
        let number = self.created.fetch_add(1, Ordering::Relaxed);
        let spool_file = SpoolFile {
            fs: Arc::clone(&self.fs),
            path: self.folder.join(number.to_string()),
            logger: self.logger.clone(),
        };
        let file = spool_file.logged(self.fs.create(&spool_file.path))?;
        Ok(Box::new(PartialSnapshot {
            spool_file,
            file,
            length: 0,
        }))
    }
}

/// File of a snapshot, which is removed on drop.
struct SpoolFile {
    fs: Arc<dyn FileSystem>,
    path: PathBuf,
    logger: Logger,
}

impl SpoolFile {
    /// Returns the result, and logs its error.
    fn logged<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &result {
            warn!(self.logger, "cannot store received snapshot";
                "file" => %self.path.display(), "error" => %error);
        }
        result
    }
}

impl Drop for SpoolFile {
    fn drop(&mut self) {
        if let Err(error) = self.fs.remove(&self.path) {
            warn!(self.logger, "cannot remove received snapshot file"; "error" => %error);
        }
    }
}

/// Snapshot that is being received.
struct PartialSnapshot {
    spool_file: SpoolFile,
    file: Box<dyn File>,
    length: u64,
}

impl Debug for PartialSnapshot {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "Spooled({} bytes)", self.length)
    }
}

impl SpooledSnapshot for PartialSnapshot {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let appended = self.file.append(bytes);
        self.spool_file.logged(appended)?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn finish(self: Box<Self>) -> io::Result<SnapshotData> {
        let opened = self.spool_file.fs.open_to_read(&self.spool_file.path);
        let file = self.spool_file.logged(opened)?;
        let received = ReceivedSnapshot {
            range: Arc::new(FileRange::new(file, 0, self.length)),
            _spool_file: self.spool_file,
        };
        Ok(SnapshotState::Frozen(Arc::new(received)).into())
    }
}

/// Snapshot that was received completely; its file is removed with it.
struct ReceivedSnapshot {
    range: Arc<FileRange>,
    _spool_file: SpoolFile,
}

impl FrozenState for ReceivedSnapshot {
    fn length(&self) -> u64 {
        self.range.length()
    }

    fn reader(self: Arc<Self>) -> io::Result<Box<dyn Read + Send>> {
        Arc::clone(&self.range).reader()
    }
}
