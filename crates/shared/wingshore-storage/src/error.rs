//! Errors of storage. All but a full disk are fatal to the group they concern.

use snafu::Snafu;
use std::io;
use std::path::{Path, PathBuf};

/// Why storage could not be opened or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The file system failed. After a failed sync nothing unsynced can be trusted.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file or directory.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Something that was durable is no longer what was written.
    #[snafu(display(
        "{} is damaged at byte {offset}: {reason}; remove this replica from its groups, empty its \
         data folder and let it join again as a new member",
        path.display()
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Where in it, in bytes.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// An earlier write failed; this store takes no more.
    #[snafu(display("an earlier write to {} failed; restart the process", directory.display()))]
    Poisoned {
        /// The store's directory.
        directory: PathBuf,
    },
    /// A batch does not continue the log.
    #[snafu(display("a write to {} does not continue the log: {reason}", directory.display()))]
    InvalidBatch {
        /// The store's directory.
        directory: PathBuf,
        /// What does not fit.
        reason: String,
    },
    /// A folder that is to be formatted holds something already.
    #[snafu(display(
        "{} is not empty (it holds `{found}`); only an empty folder can be formatted",
        path.display()
    ))]
    NotEmpty {
        /// The folder.
        path: PathBuf,
        /// One thing it holds.
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
        /// The site asked for.
        expected: String,
        /// The site it belongs to.
        found: String,
    },
    /// The folder holds data, and no identity.
    #[snafu(display(
        "{} holds `{found}` and no identity; whose data this is cannot be known, so use an empty \
         folder",
        path.display()
    ))]
    NoIdentity {
        /// The folder.
        path: PathBuf,
        /// One thing it holds.
        found: String,
    },
    /// Another process uses the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
}

/// Adds what was tried, on which path, to a system error.
pub(crate) trait IoContext<T> {
    /// Names the operation and the path.
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

/// A [`StorageError::Damaged`].
pub(crate) fn damaged(path: &Path, offset: u64, reason: impl Into<String>) -> StorageError {
    StorageError::Damaged {
        path: path.to_owned(),
        offset,
        reason: reason.into(),
    }
}

impl StorageError {
    /// Whether the disk refused a write because it is full.
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
