//! Bytes of all files that storage writes, and compatibility with folders of an earlier release.
//!
//! The golden file has one line for each file: its name and its bytes in hexadecimal digits. It was
//! written by a release that is in use. Its lines must never change, since data folders are read by
//! later releases.

use googletest::prelude::*;
use std::path::Path;
use std::sync::Arc;
use wingshore_storage::memory::MemoryFileSystem;
use wingshore_storage::{BlobFiles, DataFolder, FileSystem, GroupStore, Identity};
use wingshore_types::blob::{Blob, BlobPlace};
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot, WriteBatch};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::{LogIndex, ReplicaId};

const FOUNDER: &str = "/data/founder";
const JOINED: &str = "/data/joined";
const GROUP: &str = "/data/founder/group";
const BLOBS: &str = "/data/founder/texts";
/// Segment size in bytes, so small that the first batch fills a segment.
const SEGMENT_BYTES: u64 = 64;

fn golden() -> impl Iterator<Item = (&'static str, &'static str)> {
    let lines = include_str!("golden/files.txt").lines();
    lines.map(|line| line.split_once(' ').unwrap())
}

fn membership() -> Membership {
    let member = |id| Member {
        id: ReplicaId(id),
        address: ([10, 2, 3, 4], 7000).into(),
    };
    Membership {
        voters: vec![member(1), member(2)],
        learners: vec![member(5_000_000_000)],
    }
}

fn record(index: u64) -> LogRecord {
    LogRecord {
        index: LogIndex(index),
        term: 7,
        data: vec![1, 2, 200],
    }
}

fn snapshot() -> StoredSnapshot {
    StoredSnapshot {
        index: LogIndex(2),
        term: 7,
        data: vec![9, 8, 7].into(),
    }
}

/// Returns batches that contain each kind of record.
fn batches() -> Vec<WriteBatch> {
    vec![
        WriteBatch {
            hard_state: Some(vec![1, 7, 0, 1]),
            append: vec![record(1), record(2), record(3), record(4)],
            ..WriteBatch::default()
        },
        WriteBatch {
            hard_state: Some(vec![1, 8, 1, 1, 1]),
            snapshot: Some(Arc::new(snapshot())),
            truncate_from: Some(LogIndex(4)),
            append: vec![record(4)],
            discard_through: Some(LogIndex(1)),
        },
    ]
}

fn blobs() -> [Arc<[u8]>; 2] {
    [Arc::from([1, 2, 200]), Arc::from([9; 300])]
}

/// Returns a disk with a file of each kind, and the locations of the blobs.
fn populated_disk() -> (MemoryFileSystem, Vec<BlobPlace>) {
    let disk = MemoryFileSystem::new();
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    DataFolder::format(
        &fs,
        Path::new(FOUNDER),
        "site-1",
        ReplicaId(2),
        membership(),
    )
    .unwrap();
    DataFolder::open_or_join(&fs, Path::new(JOINED), "site-1", 0x0123_4567_89ab_cdef).unwrap();
    let opened = GroupStore::open_with(Arc::clone(&fs), Path::new(GROUP), SEGMENT_BYTES);
    let (mut store, _) = opened.unwrap();
    for batch in batches() {
        store.write(&batch).unwrap();
    }
    let (_, mut writer) = BlobFiles::open(fs, Path::new(BLOBS)).unwrap();
    let stored = writer.append(&blobs()).unwrap();
    let places = stored.iter().map(Blob::place).collect();
    (disk, places)
}

/// Returns the path and the content of each file in the data folders.
fn files(disk: &MemoryFileSystem) -> Vec<(String, Vec<u8>)> {
    let folders = [FOUNDER, JOINED, GROUP, BLOBS];
    let paths = folders.iter().flat_map(|folder| {
        let names = disk.list(Path::new(folder)).unwrap();
        names
            .into_iter()
            .map(move |name| format!("{folder}/{name}"))
    });
    paths
        .filter_map(|path| {
            let bytes = disk.read(Path::new(&path)).ok()?;
            Some((path, bytes))
        })
        .collect()
}

#[gtest]
fn file_names_and_bytes_are_stable() {
    let (disk, _) = populated_disk();
    let lines = files(&disk).into_iter().map(|(path, bytes)| {
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{path} {digits}")
    });
    let stored: Vec<String> = golden()
        .map(|(path, digits)| format!("{path} {digits}"))
        .collect();
    expect_that!(stored, eq(&lines.collect::<Vec<_>>()));
}

/// Returns a disk that holds only the golden files.
fn golden_disk() -> MemoryFileSystem {
    let disk = MemoryFileSystem::new();
    for (path, digits) in golden() {
        let path = Path::new(path);
        let folder = path.parent().unwrap();
        disk.create_directory(folder).unwrap();
        let mut file = disk.create(path).unwrap();
        let pairs = (0..digits.len()).step_by(2);
        let bytes = pairs.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
        file.append(&bytes.collect::<Vec<u8>>()).unwrap();
        file.sync().unwrap();
        disk.sync_directory(folder).unwrap();
    }
    disk
}

#[gtest]
fn folder_of_an_earlier_release_is_readable() {
    let fs: Arc<dyn FileSystem> = Arc::new(golden_disk());
    let founder = DataFolder::open_or_join(&fs, Path::new(FOUNDER), "site-1", 1).unwrap();
    let expected = Identity {
        site: "site-1".to_owned(),
        replica: ReplicaId(2),
        founding: Some(membership()),
    };
    expect_that!(founder.identity(), eq(&expected));
    let joined = DataFolder::open_or_join(&fs, Path::new(JOINED), "site-1", 1).unwrap();
    expect_that!(joined.identity().founding, none());

    let (_, recovered) = GroupStore::open(Arc::clone(&fs), Path::new(GROUP)).unwrap();
    let expected = RecoveredLog {
        hard_state: Some(vec![1, 8, 1, 1, 1]),
        snapshot: Some(snapshot()),
        records: vec![record(2), record(3), record(4)],
    };
    expect_that!(recovered, eq(&expected));

    let (_, places) = populated_disk();
    let (files, _) = BlobFiles::open(fs, Path::new(BLOBS)).unwrap();
    for (place, blob) in places.into_iter().zip(blobs()) {
        let read = files.find(place).and_then(|found| found.read());
        expect_that!(read.ok().as_deref(), some(eq(&*blob)));
    }
}
