//! Torn tails are truncated; the store does not open if durable data is damaged.

use googletest::prelude::*;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{FileSystem, GroupStore, RealFileSystem, StorageError};
use wingshore_types::LogIndex;
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot, WriteBatch};

const DIRECTORY: &str = "/data/control";
const SMALL_SEGMENT: u64 = 200;
const RECORDS: u64 = 10;

fn record(index: u64) -> LogRecord {
    LogRecord {
        index: LogIndex(index),
        term: 1,
        data: vec![index as u8; 40],
    }
}

fn append(index: u64) -> WriteBatch {
    WriteBatch {
        append: vec![record(index)],
        ..WriteBatch::default()
    }
}

fn snapshot(index: u64) -> WriteBatch {
    WriteBatch {
        snapshot: Some(Arc::new(StoredSnapshot {
            index: LogIndex(index),
            term: 1,
            data: vec![7; 100].into(),
        })),
        discard_through: Some(LogIndex(index)),
        ..WriteBatch::default()
    }
}

fn memory() -> (MemoryFileSystem, Arc<dyn FileSystem>) {
    let disk = MemoryFileSystem::new();
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    (disk, fs)
}

fn open(
    fs: &Arc<dyn FileSystem>,
    segment_bytes: u64,
) -> std::result::Result<(GroupStore, RecoveredLog), StorageError> {
    GroupStore::open_with(Arc::clone(fs), Path::new(DIRECTORY), segment_bytes)
}

fn store_with_records(segment_bytes: u64) -> Result<(MemoryFileSystem, Arc<dyn FileSystem>)> {
    let (disk, fs) = memory();
    let (mut store, _) = open(&fs, segment_bytes).or_fail()?;
    for index in 1..=RECORDS {
        store.write(&append(index)).or_fail()?;
    }
    Ok((disk, fs))
}

fn segments(fs: &Arc<dyn FileSystem>) -> Result<Vec<PathBuf>> {
    let names = fs.list(Path::new(DIRECTORY)).or_fail()?;
    Ok(names
        .into_iter()
        .filter(|name| name.starts_with("log-"))
        .map(|name| Path::new(DIRECTORY).join(name))
        .collect())
}

fn message<T>(result: std::result::Result<T, StorageError>) -> String {
    result
        .err()
        .map_or("no error".to_owned(), |error| error.to_string())
}

#[gtest]
fn truncated_last_frame_is_a_torn_tail() -> Result<()> {
    let (disk, fs) = store_with_records(u64::MAX)?;
    let path = segments(&fs)?.remove(0);
    let whole = fs.read(&path).or_fail()?;
    let frame = whole.len() - last_frame_start(&whole);
    for lost in 1..=frame {
        disk.damage(&path, |bytes| bytes.truncate(whole.len() - lost))
            .or_fail()?;
        let (mut store, recovered) = open(&fs, u64::MAX).or_fail()?;
        expect_that!(recovered.records, len(eq(RECORDS as usize - 1)));
        store.write(&append(RECORDS)).or_fail()?;
        drop(store);
        expect_that!(fs.read(&path).or_fail()?, eq(&whole));
    }
    Ok(())
}

#[gtest]
fn corrupted_byte_before_the_last_frame_is_damage() -> Result<()> {
    let (disk, fs) = store_with_records(u64::MAX)?;
    let path = segments(&fs)?.remove(0);
    let whole = fs.read(&path).or_fail()?;
    for place in 0..last_frame_start(&whole) {
        disk.damage(&path, |bytes| bytes[place] ^= 0x10).or_fail()?;
        let refused = message(open(&fs, u64::MAX));
        expect_that!(refused, contains_substring("is damaged at byte"));
        expect_that!(refused, contains_substring(path.to_string_lossy()));
        disk.damage(&path, |bytes| bytes.clone_from(&whole))
            .or_fail()?;
    }
    expect_that!(open(&fs, u64::MAX).is_ok(), eq(true));
    Ok(())
}

#[gtest]
fn damaged_closed_segment_is_an_error() -> Result<()> {
    type Change = fn(&mut Vec<u8>);
    let changes: [Change; 3] = [
        |bytes| bytes.truncate(bytes.len() - 1),
        |bytes| bytes.clear(),
        |bytes| bytes.extend_from_slice(b"more"),
    ];
    for change in changes {
        let (disk, fs) = store_with_records(SMALL_SEGMENT)?;
        let path = segments(&fs)?.remove(1);
        disk.damage(&path, change).or_fail()?;
        let refused = message(open(&fs, SMALL_SEGMENT));
        expect_that!(refused, contains_substring("is damaged"));
    }
    Ok(())
}

#[gtest]
fn missing_segment_is_an_error() -> Result<()> {
    for place in [0, 1] {
        let (_, fs) = store_with_records(SMALL_SEGMENT)?;
        fs.remove(&segments(&fs)?[place]).or_fail()?;
        let refused = message(open(&fs, SMALL_SEGMENT));
        expect_that!(refused, contains_substring("is damaged"));
    }
    Ok(())
}

#[gtest]
fn missing_log_with_a_snapshot_is_an_error() -> Result<()> {
    let (_, fs) = store_with_records(u64::MAX)?;
    let (mut store, _) = open(&fs, u64::MAX).or_fail()?;
    store.write(&snapshot(RECORDS)).or_fail()?;
    drop(store);
    fs.remove(&segments(&fs)?[0]).or_fail()?;
    expect_that!(
        message(open(&fs, u64::MAX)),
        contains_substring("is damaged")
    );
    Ok(())
}

#[gtest]
fn damaged_snapshot_is_an_error() -> Result<()> {
    let (disk, fs) = store_with_records(SMALL_SEGMENT)?;
    let (mut store, _) = open(&fs, SMALL_SEGMENT).or_fail()?;
    store.write(&snapshot(5)).or_fail()?;
    drop(store);
    let path = Path::new(DIRECTORY).join("snapshot");
    disk.damage(&path, |bytes| bytes[50] ^= 1).or_fail()?;
    let refused = message(open(&fs, SMALL_SEGMENT));
    expect_that!(refused, contains_substring("snapshot is damaged"));
    Ok(())
}

#[gtest]
fn frames_copied_into_an_entry_are_not_replayed() -> Result<()> {
    let (disk, fs) = store_with_records(u64::MAX)?;
    let path = segments(&fs)?.remove(0);
    let copy = fs.read(&path).or_fail()?;
    let (mut store, _) = open(&fs, u64::MAX).or_fail()?;
    let mut batch = append(RECORDS + 1);
    batch.append[0].data = copy;
    store.write(&batch).or_fail()?;
    drop(store);
    disk.damage(&path, |bytes| bytes.truncate(bytes.len() - 1))
        .or_fail()?;
    let (_, recovered) = open(&fs, u64::MAX).or_fail()?;
    expect_that!(recovered.records, len(eq(RECORDS as usize)));
    Ok(())
}

#[gtest]
fn failed_sync_poisons_the_store() -> Result<()> {
    let (disk, fs) = store_with_records(u64::MAX)?;
    let (mut store, _) = open(&fs, u64::MAX).or_fail()?;
    disk.set_faults(Faults {
        fail_syncs_from: Some(1),
        ..Faults::default()
    });
    let failed = message(store.write(&append(RECORDS + 1)));
    expect_that!(failed, contains_substring("cannot sync"));
    disk.set_faults(Faults::default());
    let poisoned = message(store.write(&append(RECORDS + 1)));
    expect_that!(poisoned, contains_substring("an earlier write"));
    Ok(())
}

#[gtest]
fn non_contiguous_batches_are_rejected() -> Result<()> {
    let gap = append(RECORDS + 2);
    let repeat = append(RECORDS);
    let uncovered = WriteBatch {
        discard_through: Some(LogIndex(3)),
        ..WriteBatch::default()
    };
    for batch in [gap, repeat, uncovered] {
        let (_, fs) = store_with_records(u64::MAX)?;
        let (mut store, _) = open(&fs, u64::MAX).or_fail()?;
        let refused = message(store.write(&batch));
        expect_that!(refused, contains_substring("does not continue the log"));
    }
    Ok(())
}

#[gtest]
fn segments_are_removed_once_a_snapshot_covers_them() -> Result<()> {
    let (_, fs) = store_with_records(SMALL_SEGMENT)?;
    let before = segments(&fs)?.len();
    let (mut store, _) = open(&fs, SMALL_SEGMENT).or_fail()?;
    store.write(&snapshot(RECORDS - 1)).or_fail()?;
    drop(store);
    expect_that!(segments(&fs)?.len(), lt(before));
    let (_, recovered) = open(&fs, SMALL_SEGMENT).or_fail()?;
    expect_that!(recovered.records, eq(&vec![record(RECORDS)]));
    Ok(())
}

#[gtest]
fn store_recovers_on_the_real_file_system() -> Result<()> {
    let directory = tempfile::tempdir()?;
    let fs: Arc<dyn FileSystem> = Arc::new(RealFileSystem);
    let path = directory.path().join("ledger-0");
    let (mut store, _) = GroupStore::open_with(Arc::clone(&fs), &path, SMALL_SEGMENT).or_fail()?;
    for index in 1..=RECORDS {
        store.write(&append(index)).or_fail()?;
    }
    store.write(&snapshot(4)).or_fail()?;
    drop(store);
    let (_, recovered) = GroupStore::open_with(fs, &path, SMALL_SEGMENT).or_fail()?;
    let expected: Vec<LogRecord> = (5..=RECORDS).map(record).collect();
    expect_that!(recovered.records, eq(&expected));
    expect_that!(
        recovered.snapshot.map(|found| found.index),
        some(eq(LogIndex(4)))
    );
    Ok(())
}

/// Returns the offset of the last frame of a segment.
fn last_frame_start(bytes: &[u8]) -> usize {
    const HEADER: usize = 12;
    let mut start = 0;
    loop {
        let length = u32::from_le_bytes([
            bytes[start + 4],
            bytes[start + 5],
            bytes[start + 6],
            bytes[start + 7],
        ]);
        let next = start + HEADER + length as usize;
        if next >= bytes.len() {
            return start;
        }
        start = next;
    }
}
