//! Storage errors. All of them except a full disk are fatal to the group that they concern.

use snafu::Snafu;
use std::io;
use std::path::{Path, PathBuf};

/// The reason why storage could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The file system failed. After a failed sync, unsynced data is in an unknown state.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Durable data differs from what was written.
    #[snafu(display(
        "{} is damaged at byte {offset}: {reason}; remove this replica from its groups, empty its \
         data folder and let it join again as a new member",
        path.display()
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// An earlier write failed; the store rejects further writes.
    #[snafu(display("an earlier write to {} failed; restart the process", directory.display()))]
    Poisoned {
        /// The store's directory.
        directory: PathBuf,
    },
    /// A batch is not contiguous with the log.
    #[snafu(display("a write to {} does not continue the log: {reason}", directory.display()))]
    InvalidBatch {
        /// The store's directory.
        directory: PathBuf,
        /// The mismatch between the batch and the log.
        reason: String,
    },
    /// The folder to format is not empty.
    #[snafu(display(
        "{} is not empty (it holds `{found}`); only an empty folder can be formatted",
        path.display()
    ))]
    NotEmpty {
        /// The folder.
        path: PathBuf,
        /// The name of one entry in the folder.
        found: String,
    },
    /// The folder belongs to another site.
    #[snafu(display(
        "{} belongs to site `{found}`, not to `{expected}`; use another folder",
        path.display()
    ))]
    WrongSite {
        /// The folder.
        path: PathBuf,
        /// The requested site.
        expected: String,
        /// The site that the folder belongs to.
        found: String,
    },
    /// The folder holds data but no identity.
    #[snafu(display(
        "{} holds `{found}` and no identity; the owner of the data is unknown, so use an empty \
         folder",
        path.display()
    ))]
    NoIdentity {
        /// The folder.
        path: PathBuf,
        /// The name of one entry in the folder.
        found: String,
    },
    /// The folder is in use by another process.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
}

/// Adds the operation and the path to an I/O error.
pub(crate) trait IoContext<T> {
    /// Converts the error to a [`StorageError::Io`] with this operation and path.
    fn during(self, operation: &'static str, path: &Path) -> Result<T, StorageError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn during(self, operation: &'static str, path: &Path) -> Result<T, StorageError> {
        self.map_err(|source| StorageError::Io {
            operation,
            path: path.to_owned(),
            source,
        })
    }
}

/// Builds a [`StorageError::Damaged`].
pub(crate) fn damaged(path: &Path, offset: u64, reason: impl Into<String>) -> StorageError {
    StorageError::Damaged {
        path: path.to_owned(),
        offset,
        reason: reason.into(),
    }
}

impl StorageError {
    /// Returns whether a write failed because the disk or the quota is full.
    pub fn is_disk_full(&self) -> bool {
        let Self::Io { source, .. } = self else {
            return false;
        };
        matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        )
    }
}
