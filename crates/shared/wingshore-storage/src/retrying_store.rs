//! Retries of writes that fail because the disk is full.
//!
//! - Input: the error returned by opening or writing the store.
//! - Rule: while the disk is full, the caller's `wait` is called, the store is reopened and the
//!   write is retried, without limit. Any other error is final, and the store rejects further
//!   writes.
//! - Reason: space is freed over time or by an operator, and a member that waits loses no data.
//!   After a failed sync, unsynced data is in an unknown state.

use crate::error::StorageError;
use crate::file_system::FileSystem;
use crate::store::GroupStore;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::log::{RecoveredLog, WriteBatch};

/// A [`GroupStore`] whose writes are retried while the disk is full.
///
/// A write that fails on a full disk leaves either nothing or a torn tail, which is truncated when
/// the store is reopened; earlier acknowledged writes are unaffected. So the store is reopened and
/// the batch is written again, in an idempotent form that gives the same log whether or not the
/// first attempt was complete.
pub struct RetryingStore {
    fs: Arc<dyn FileSystem>,
    directory: PathBuf,
    store: Option<GroupStore>,
}

impl RetryingStore {
    /// Opens the store in `directory`, creating it if it does not exist. Calls `wait` each time the
    /// disk is full.
    ///
    /// # Errors
    /// Returns the errors of [`GroupStore::open`], except for a full disk.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        directory: &Path,
        wait: &mut dyn FnMut(&StorageError),
    ) -> Result<(Self, RecoveredLog), StorageError> {
        let (store, recovered) =
            retry_while_full(wait, || GroupStore::open(Arc::clone(&fs), directory))?;
        let retrying = Self {
            fs,
            directory: directory.to_owned(),
            store: Some(store),
        };
        Ok((retrying, recovered))
    }

    /// Makes `batch` durable, retrying without limit while the disk is full.
    ///
    /// # Errors
    /// Returns the errors of [`GroupStore::write`], except for a full disk.
    pub fn write(
        &mut self,
        batch: &WriteBatch,
        wait: &mut dyn FnMut(&StorageError),
    ) -> Result<(), StorageError> {
        let mut retried_batch = None;
        loop {
            let attempt = retried_batch.as_ref().unwrap_or(batch);
            match self.write_once(attempt) {
                Err(error) if error.is_disk_full() => {
                    self.store = None;
                    wait(&error);
                    retried_batch.get_or_insert_with(|| idempotent(batch));
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

/// Calls `action` until it succeeds or fails with an error other than a full disk. Calls `wait`
/// each time the disk is full.
///
/// # Errors
/// Returns any error of `action` except for a full disk.
pub fn retry_while_full<T>(
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

/// Returns the batch in an idempotent form: it gives the same log when it is written twice.
fn idempotent(batch: &WriteBatch) -> WriteBatch {
    let mut batch = batch.clone();
    let first = batch.append.first().map(|record| record.index);
    batch.truncate_from = match (batch.truncate_from, first) {
        (Some(from), Some(first)) => Some(LogIndex(from.0.min(first.0))),
        (from, first) => from.or(first),
    };
    batch
}
