//! The data folder of one replica and the identity that is bound to the folder.

use crate::error::{IoContext, StorageError};
use crate::file_system::{FileSystem, Lock};
use crate::snapshot::{TEMPORARY_SUFFIX, read_if_exists, write_atomically};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{GroupId, ReplicaId};

/// Name of the identity file.
const IDENTITY_FILE: &str = "identity";
/// Name of the lock file.
const LOCK_FILE: &str = "lock";
/// Directory that log rings are dumped to. It does not identify the owner of the folder.
const LOGS_DIRECTORY: &str = "logs";
/// Highest replica id that an operator may choose; joining members draw random ids above it.
const MAX_FORMATTED_ID: u64 = u32::MAX as u64;

/// The owner of a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The site.
    pub site: String,
    /// The replica, bound permanently to the folder.
    pub replica: ReplicaId,
    /// The founding members, if the folder was formatted as one of them; `None` for a member that
    /// joined later.
    pub founding: Option<Membership>,
}

/// A data folder that is locked by this process.
pub struct DataFolder {
    path: PathBuf,
    identity: Identity,
    /// Excludes other processes.
    _lock: Box<dyn Lock>,
}

impl DataFolder {
    /// Initializes an empty folder for a founding member.
    ///
    /// A member is formatted only once. After the loss of its disk, a replica joins again as a
    /// new member with [`DataFolder::open_or_join`]: formatting it under its old identity would
    /// let it vote twice in the same term.
    ///
    /// # Errors
    /// Returns an error if the folder is not empty or is in use, or if the disk fails.
    pub fn format(
        fs: &Arc<dyn FileSystem>,
        folder: &Path,
        site: &str,
        replica: ReplicaId,
        founding: Membership,
    ) -> Result<Self, StorageError> {
        let lock = create_and_lock(fs.as_ref(), folder)?;
        if let Some(found) = first_entry(fs.as_ref(), folder)? {
            return Err(StorageError::NotEmpty {
                path: folder.to_owned(),
                found,
            });
        }
        let identity = Identity {
            site: site.to_owned(),
            replica,
            founding: Some(founding),
        };
        Self::create(fs.as_ref(), folder, identity, lock)
    }

    /// Opens a folder. An empty folder is initialized for a new member, whose identity is derived
    /// from `random` and is durable before the function returns.
    ///
    /// # Errors
    /// Returns an error if the folder belongs to another site, holds data without an identity, is
    /// damaged or in use, or if the disk fails.
    pub fn open_or_join(
        fs: &Arc<dyn FileSystem>,
        folder: &Path,
        site: &str,
        random: u64,
    ) -> Result<Self, StorageError> {
        let lock = create_and_lock(fs.as_ref(), folder)?;
        let known: Option<Identity> = read_if_exists(fs.as_ref(), folder, IDENTITY_FILE)?;
        if let Some(identity) = known {
            return Self::reopen(folder, site, identity, lock);
        }
        if let Some(found) = first_entry(fs.as_ref(), folder)? {
            return Err(StorageError::NoIdentity {
                path: folder.to_owned(),
                found,
            });
        }
        let identity = Identity {
            site: site.to_owned(),
            replica: joining_replica_id(random),
            founding: None,
        };
        Self::create(fs.as_ref(), folder, identity, lock)
    }

    fn reopen(
        folder: &Path,
        site: &str,
        identity: Identity,
        lock: Box<dyn Lock>,
    ) -> Result<Self, StorageError> {
        if identity.site != site {
            return Err(StorageError::WrongSite {
                path: folder.to_owned(),
                expected: site.to_owned(),
                found: identity.site,
            });
        }
        Ok(Self {
            path: folder.to_owned(),
            identity,
            _lock: lock,
        })
    }

    fn create(
        fs: &dyn FileSystem,
        folder: &Path,
        identity: Identity,
        lock: Box<dyn Lock>,
    ) -> Result<Self, StorageError> {
        write_atomically(fs, folder, IDENTITY_FILE, &identity)?;
        Ok(Self {
            path: folder.to_owned(),
            identity,
            _lock: lock,
        })
    }

    /// Returns the owner of the folder.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the directory of a group's store.
    pub fn group_directory(&self, group: GroupId) -> PathBuf {
        self.path.join(group.to_string())
    }
}

/// Creates the folder if it does not exist and locks it.
fn create_and_lock(fs: &dyn FileSystem, folder: &Path) -> Result<Box<dyn Lock>, StorageError> {
    fs.create_directory(folder)
        .during("create directory", folder)?;
    if let Some(parent) = folder.parent().filter(|parent| parent.is_absolute()) {
        fs.sync_directory(parent).during("sync directory", parent)?;
    }
    let path = folder.join(LOCK_FILE);
    match fs.lock(&path) {
        Ok(lock) => Ok(lock),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(StorageError::Locked {
            path: folder.to_owned(),
        }),
        Err(error) => Err(error).during("lock", &path),
    }
}

/// Returns the name of one entry in the folder, ignoring the lock file, dumped logs and an identity
/// file whose write was interrupted.
fn first_entry(fs: &dyn FileSystem, folder: &Path) -> Result<Option<String>, StorageError> {
    let unfinished = format!("{IDENTITY_FILE}{TEMPORARY_SUFFIX}");
    let ignored = [LOCK_FILE, LOGS_DIRECTORY, unfinished.as_str()];
    let names = fs.list(folder).during("list", folder)?;
    Ok(names
        .into_iter()
        .find(|name| !ignored.contains(&name.as_str())))
}

/// Returns a replica id above the range that operators choose from.
fn joining_replica_id(random: u64) -> ReplicaId {
    if random > MAX_FORMATTED_ID {
        return ReplicaId(random);
    }
    ReplicaId(random + MAX_FORMATTED_ID + 1)
}
