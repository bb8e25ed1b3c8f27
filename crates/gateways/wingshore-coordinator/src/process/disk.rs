//! Opens a coordinator's storage at the start of the process.

use crate::error::{CoordinatorError, StorageSnafu};
use crate::identity;
use crate::settings::CoordinatorSettings;
use crate::spool::FileSpool;
use crate::texts::TextArchive;
use crate::writer::wait_for_space;
use slog::{Logger, info};
use snafu::ResultExt;
use std::sync::Arc;
use wingshore_storage::{
    DataFolder, FileSystem, RealFileSystem, RetryingStore, StorageError, retry_while_full,
};
use wingshore_types::GroupId;
use wingshore_types::log::RecoveredLog;

/// An open data folder and the stores in it.
pub(super) struct OpenedDisk {
    pub(super) folder: DataFolder,
    pub(super) store: RetryingStore,
    pub(super) recovered: RecoveredLog,
    pub(super) texts: Arc<TextArchive>,
    pub(super) spool: FileSpool,
}

/// Opens the data folder and its stores; waits while the disk is full.
///
/// # Errors
/// When an operation on the disk fails, or durable data is damaged.
pub(super) fn open(
    settings: &CoordinatorSettings,
    logger: &Logger,
) -> Result<OpenedDisk, CoordinatorError> {
    let fs: Arc<dyn FileSystem> = Arc::new(RealFileSystem);
    let mut wait = |error: &StorageError| wait_for_space(logger, error);
    let folder = retry_while_full(&mut wait, || identity::open(&fs, settings));
    let folder = folder.context(StorageSnafu)?;
    let texts = retry_while_full(&mut wait, || {
        let (data, budget) = (&settings.data, settings.memory.texts());
        TextArchive::open(Arc::clone(&fs), data, budget, logger.clone())
    });
    let texts = Arc::new(texts.context(StorageSnafu)?);
    let spool = retry_while_full(&mut wait, || {
        FileSpool::open(Arc::clone(&fs), &settings.data, logger.clone())
    });
    let spool = spool.context(StorageSnafu)?;
    let directory = folder.group_directory(GroupId::Control);
    let opened = RetryingStore::open(fs, &directory, &mut wait);
    let (store, recovered) = opened.context(StorageSnafu)?;
    log_recovered(logger, &recovered);
    Ok(OpenedDisk {
        folder,
        store,
        recovered,
        texts,
        spool,
    })
}

/// Logs the size of the snapshot and of the log after it, which a start holds in memory at the same
/// time.
fn log_recovered(logger: &Logger, recovered: &RecoveredLog) {
    let snapshot = recovered.snapshot.as_ref();
    let records = recovered.records.iter();
    let log_bytes: usize = records.map(|record| record.data.len()).sum();
    info!(logger, "data folder read";
        "snapshot_index" => snapshot.map_or(0, |snapshot| snapshot.index.0),
        "snapshot_bytes" => snapshot.map_or(0, |snapshot| snapshot.data.length()),
        "log_entries" => recovered.records.len(), "log_bytes" => log_bytes);
}
