//! Blob storage: blobs are durable once they are returned, and their files are kept while memory or
//! the snapshot on disk may reference them.

use googletest::prelude::*;
use std::path::Path;
use std::sync::Arc;
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{BlobFiles, BlobWriter, FileSystem, StoredBlob};
use wingshore_types::blob::Blob;

const DIRECTORY: &str = "/data/texts";
/// Larger than the size limit of a blob file, in bytes, so that each blob fills a file.
const LARGE: usize = 9 << 20;

fn open(disk: &MemoryFileSystem) -> (BlobFiles, BlobWriter) {
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    BlobFiles::open(fs, Path::new(DIRECTORY)).expect("the directory opens")
}

fn bytes(number: u8, length: usize) -> Arc<[u8]> {
    vec![number; length].into()
}

fn append(writer: &mut BlobWriter, number: u8, length: usize) -> StoredBlob {
    let stored = writer.append(&[bytes(number, length)]);
    stored.expect("the blob is written").remove(0)
}

fn files(disk: &MemoryFileSystem) -> usize {
    disk.list(Path::new(DIRECTORY)).expect("a list").len()
}

#[gtest]
fn returned_blobs_survive_a_power_loss() {
    for seed in 0..20 {
        let disk = MemoryFileSystem::new();
        let (_, mut writer) = open(&disk);
        let places: Vec<_> = (1..=5_u8)
            .map(|number| append(&mut writer, number, 100 * usize::from(number)).place())
            .collect();
        disk.restart(seed);
        let (files, _) = open(&disk);
        for (number, place) in (1_u8..).zip(places) {
            let read = files.find(place).and_then(|blob| blob.read());
            expect_that!(
                read.ok().as_deref(),
                some(eq(&*bytes(number, 100 * usize::from(number))))
            );
        }
    }
}

#[gtest]
fn returned_blobs_survive_a_crash_at_any_call() {
    for crash_at in 1..25 {
        let disk = MemoryFileSystem::new();
        let (_, mut writer) = open(&disk);
        let calls = disk.calls();
        disk.set_faults(Faults {
            crash_at: Some(calls + crash_at),
            ..Faults::default()
        });
        let mut returned = Vec::new();
        for number in 1..=6_u8 {
            let Ok(stored) = writer.append(&[bytes(number, 300)]) else {
                break;
            };
            returned.push((number, stored[0].place()));
        }
        disk.restart(crash_at);
        let (files, mut writer) = open(&disk);
        append(&mut writer, 99, 300);
        for (number, place) in returned {
            let read = files.find(place).and_then(|blob| blob.read());
            expect_that!(read.ok().as_deref(), some(eq(&*bytes(number, 300))));
        }
    }
}

#[gtest]
fn file_is_kept_until_a_snapshot_started_after_its_release_is_durable() {
    let disk = MemoryFileSystem::new();
    let (files, mut writer) = open(&disk);
    let blob = append(&mut writer, 1, LARGE);
    let place = blob.place();
    let snapshot_with_blob = files.begin_snapshot();
    drop(blob);
    files.snapshot_durable(snapshot_with_blob);
    expect_that!(files.remove_released().expect("the disk works"), eq(0));
    expect_that!(files.find(place).is_ok(), eq(true));
    let snapshot_without_blob = files.begin_snapshot();
    files.snapshot_durable(snapshot_without_blob);
    expect_that!(files.remove_released().expect("the disk works"), eq(1));
    expect_that!(self::files(&disk), eq(0));
}

#[gtest]
fn reopened_file_is_not_removed() {
    let disk = MemoryFileSystem::new();
    let (files, mut writer) = open(&disk);
    let place = append(&mut writer, 1, LARGE).place();
    let found = files.find(place).expect("the file is there");
    let snapshot = files.begin_snapshot();
    files.snapshot_durable(snapshot);
    expect_that!(files.remove_released().expect("the disk works"), eq(0));
    expect_that!(found.read().is_ok(), eq(true));
}

#[gtest]
fn startup_removes_files_that_the_snapshot_does_not_reference() {
    let disk = MemoryFileSystem::new();
    let (_, mut writer) = open(&disk);
    let place = append(&mut writer, 1, LARGE).place();
    append(&mut writer, 2, LARGE);
    append(&mut writer, 3, LARGE);
    disk.restart(1);
    let (files, _) = open(&disk);
    let kept = files.find(place).expect("the file is there");
    expect_that!(files.remove_unreferenced().expect("the disk works"), eq(2));
    expect_that!(kept.read().is_ok(), eq(true));
}

#[gtest]
fn full_disk_loses_no_blob_and_leaves_no_empty_file() {
    let disk = MemoryFileSystem::new();
    let (_, mut writer) = open(&disk);
    disk.set_faults(Faults {
        disk_full: true,
        ..Faults::default()
    });
    for _ in 0..3 {
        let refused = writer.append(&[bytes(1, 1000)]);
        expect_that!(refused.is_err_and(|error| error.is_disk_full()), eq(true));
    }
    expect_that!(files(&disk), eq(0));
    disk.set_faults(Faults::default());
    let blob = append(&mut writer, 1, 1000);
    expect_that!(blob.read().ok().as_deref(), some(eq(&*bytes(1, 1000))));
}

#[gtest]
fn damaged_blob_error_names_the_file() {
    let disk = MemoryFileSystem::new();
    let (_, mut writer) = open(&disk);
    let blob = append(&mut writer, 1, 1000);
    let name = disk.list(Path::new(DIRECTORY)).expect("a list").remove(0);
    let path = Path::new(DIRECTORY).join(&name);
    disk.damage(&path, |bytes| bytes[500] ^= 1)
        .expect("the file is there");
    let error = blob.read().expect_err("damaged bytes");
    expect_that!(error.to_string(), contains_substring(name));
}

#[gtest]
fn reopened_file_is_kept_for_snapshots_started_during_its_use() {
    let disk = MemoryFileSystem::new();
    let (files, mut writer) = open(&disk);
    let place = append(&mut writer, 1, LARGE).place();
    let found = files.find(place).expect("the file is there");
    let snapshot_with_blob = files.begin_snapshot();
    drop(found);
    files.snapshot_durable(snapshot_with_blob);
    expect_that!(files.remove_released().expect("the disk works"), eq(0));
}
