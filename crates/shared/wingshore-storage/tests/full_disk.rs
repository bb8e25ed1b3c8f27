//! A disk that is full for some time: acknowledged writes are kept, and waiting writes are retried.

use googletest::prelude::*;
use std::path::Path;
use std::sync::Arc;
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{FileSystem, RetryingStore, StorageError};
use wingshore_types::LogIndex;
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot, WriteBatch};

const DIRECTORY: &str = "/data/group";

fn open(disk: &MemoryFileSystem) -> (RetryingStore, RecoveredLog) {
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    RetryingStore::open(fs, Path::new(DIRECTORY), &mut |_| ()).expect("the store opens")
}

fn record(index: u64) -> LogRecord {
    LogRecord {
        index: LogIndex(index),
        term: 1,
        data: vec![index as u8; 100],
    }
}

fn append(indexes: std::ops::RangeInclusive<u64>) -> WriteBatch {
    WriteBatch {
        append: indexes.map(record).collect(),
        ..WriteBatch::default()
    }
}

fn set_disk_full(disk: &MemoryFileSystem, is_full: bool) {
    disk.set_faults(Faults {
        disk_full: is_full,
        ..Faults::default()
    });
}

/// Writes while the disk is full for `refusals` attempts; returns the number of failed attempts.
fn write_with_refusals(
    disk: &MemoryFileSystem,
    store: &mut RetryingStore,
    batch: &WriteBatch,
    refusals: u32,
) -> u32 {
    set_disk_full(disk, refusals > 0);
    let mut count = 0;
    store
        .write(batch, &mut |_| {
            count += 1;
            set_disk_full(disk, count < refusals);
        })
        .expect("the batch is written eventually");
    count
}

fn indexes(log: &RecoveredLog) -> Vec<u64> {
    log.records.iter().map(|record| record.index.0).collect()
}

#[gtest]
fn failed_batch_is_retried_until_there_is_space() {
    let disk = MemoryFileSystem::new();
    let (mut store, _) = open(&disk);
    write_with_refusals(&disk, &mut store, &append(1..=3), 0);
    let refused = write_with_refusals(&disk, &mut store, &append(4..=5), 3);
    expect_that!(refused, eq(3));
    write_with_refusals(&disk, &mut store, &append(6..=6), 0);
    disk.restart(1);
    let (_, log) = open(&disk);
    expect_that!(indexes(&log), container_eq([1, 2, 3, 4, 5, 6]));
}

#[gtest]
fn power_loss_on_a_full_disk_keeps_acknowledged_writes() {
    for seed in 0..50 {
        let disk = MemoryFileSystem::new();
        let (mut store, _) = open(&disk);
        write_with_refusals(&disk, &mut store, &append(1..=3), 0);
        set_disk_full(&disk, true);
        // The disk has space after the restart, so the waiting write is completed.
        store
            .write(&append(4..=5), &mut |_| disk.restart(seed))
            .expect("the batch is written after the restart");
        disk.restart(seed + 1);
        let (_, log) = open(&disk);
        expect_that!(indexes(&log), container_eq([1, 2, 3, 4, 5]), "seed {seed}");
    }
}

#[gtest]
fn failed_snapshot_and_later_entries_are_retried_until_there_is_space() {
    let disk = MemoryFileSystem::new();
    let (mut store, _) = open(&disk);
    write_with_refusals(&disk, &mut store, &append(1..=3), 0);
    let batch = WriteBatch {
        snapshot: Some(Arc::new(StoredSnapshot {
            index: LogIndex(3),
            term: 1,
            data: vec![7; 1000].into(),
        })),
        append: vec![record(4)],
        discard_through: Some(LogIndex(3)),
        ..WriteBatch::default()
    };
    write_with_refusals(&disk, &mut store, &batch, 2);
    disk.restart(2);
    let (_, log) = open(&disk);
    expect_that!(indexes(&log), container_eq([4]));
    expect_that!(
        log.snapshot.map(|snapshot| snapshot.index),
        some(eq(LogIndex(3)))
    );
}

#[gtest]
fn other_disk_errors_are_fatal() {
    let disk = MemoryFileSystem::new();
    let (mut store, _) = open(&disk);
    disk.set_faults(Faults {
        fail_syncs_from: Some(1),
        ..Faults::default()
    });
    let result = store.write(&append(1..=1), &mut |_| panic!("no wait for other errors"));
    expect_that!(result, err(matches_pattern!(StorageError::Io { .. })));
}
