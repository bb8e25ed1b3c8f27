//! What becomes of a write that the disk refuses?
//!
//! - Inputs: the error of the write or of the opening.
//! - Rule: while the error is a full disk, the caller's `wait` is called and the store is opened and
//!   written again, without limit; any other error is final, and the store takes no more writes.
//! - Why: a full disk ends by itself or by an operator, and a member that waits loses nothing. After a
//!   failed sync nothing unsynced can be trusted.

use crate::error::StorageError;
use crate::file_system::FileSystem;
use crate::store::GroupStore;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::log::{RecoveredLog, WriteBatch};

/// A [`GroupStore`] whose writes wait for space instead of failing.
///
/// A refused write leaves either nothing or a torn tail, which the next opening cuts off; what was
/// reported as durable before is untouched. So the store is opened again and the batch written
/// again, in a form that gives the same log whether or not the first attempt was whole.
pub struct PatientStore {
    fs: Arc<dyn FileSystem>,
    directory: PathBuf,
    store: Option<GroupStore>,
}

impl PatientStore {
    /// Opens, or begins, the store in `directory`. `wait` is called after each refusal by a full
    /// disk.
    ///
    /// # Errors
    /// As [`GroupStore::open`], except for a full disk.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
        wait: &mut dyn FnMut(&StorageError),
    ) -> Result<(Self, RecoveredLog), StorageError> {
        let (store, recovered) = with_space(wait, || GroupStore::open(Arc::clone(&fs), directory))?;
        let patient = Self {
            fs,
            directory: directory.to_owned(),
            store: Some(store),
        };
        Ok((patient, recovered))
    }

    /// Makes `batch` durable, however long the disk is full.
    ///
    /// # Errors
    /// As [`GroupStore::write`], except for a full disk.
    pub fn write(
        &mut self,
        batch: &WriteBatch,
        wait: &mut dyn FnMut(&StorageError),
    ) -> Result<(), StorageError> {
        let mut again = None;
        loop {
            let attempt = again.as_ref().unwrap_or(batch);
            match self.write_once(attempt) {
                Err(error) if error.is_disk_full() => {
                    self.store = None;
                    wait(&error);
                    again.get_or_insert_with(|| repeatable(batch));
                }
                result => return result,
            }
        }
    }

    fn write_once(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        if self.store.is_none() {
            let (store, _) = GroupStore::open(Arc::clone(&self.fs), &self.directory)?;
            self.store = Some(store);
        }
        match &mut self.store {
            Some(store) => store.write(batch),
            None => Ok(()),
        }
    }
}

/// Does something again until the disk has space for it.
///
/// # Errors
/// Any error but that of a full disk.
pub fn with_space<T>(
    wait: &mut dyn FnMut(&StorageError),
    mut action: impl FnMut() -> Result<T, StorageError>,
) -> Result<T, StorageError> {
    loop {
        match action() {
            Err(error) if error.is_disk_full() => wait(&error),
            result => return result,
        }
    }
}

/// The batch in a form that gives the same log when it is written twice.
fn repeatable(batch: &WriteBatch) -> WriteBatch {
    let mut batch = batch.clone();
    let first = batch.append.first().map(|record| record.index);
    batch.truncate_from = match (batch.truncate_from, first) {
        (Some(from), Some(first)) => Some(LogIndex(from.0.min(first.0))),
        (from, first) => from.or(first),
    };
    batch
}
