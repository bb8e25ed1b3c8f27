//! The store of result texts keeps within its budget, whatever the disk does, and received
//! snapshots are kept on disk.

use googletest::prelude::*;
use slog::{Discard, Logger, o};
use std::io::{self, Read};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use wingshore_coordination::{ResultText, TextPlace, TextStore};
use wingshore_coordinator::{FileSpool, TextArchive};
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{File, FileSystem, Lock, ReadableFile};
use wingshore_types::snapshot_spool::SnapshotSpool;

const DATA: &str = "/data";
const BUDGET: usize = 100_000;
/// Longest time to wait for the thread that moves texts.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn archive(disk: &MemoryFileSystem) -> TextArchive {
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    TextArchive::open(fs, Path::new(DATA), BUDGET, logger()).expect("the archive opens")
}

/// Returns a text that compresses badly.
fn text(number: usize) -> String {
    let numbers = (0..1000_usize).map(|place| (place * 7919 + number * 104_729) ^ (place * place));
    numbers.map(|value| format!("{value:x}")).collect()
}

fn hold(archive: &TextArchive, number: usize) -> ResultText {
    let packed = ResultText::pack(&text(number));
    archive.track(packed.packed());
    packed
}

fn is_on_disk(text: &ResultText) -> bool {
    matches!(text.packed().place(), TextPlace::Disk(_))
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !is_so() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[gtest]
fn the_oldest_texts_move_to_disk_and_read_the_same() {
    let disk = MemoryFileSystem::new();
    let archive = archive(&disk);
    let texts: Vec<ResultText> = (0..300).map(|number| hold(&archive, number)).collect();
    wait_until("the budget is kept", || archive.bytes_in_memory() <= BUDGET);
    expect_that!(is_on_disk(&texts[0]), eq(true));
    expect_that!(is_on_disk(&texts[299]), eq(false));
    let in_memory: usize = texts.iter().map(ResultText::bytes_in_memory).sum();
    expect_that!(in_memory, le(BUDGET));
    for (number, packed) in texts.iter().enumerate() {
        expect_that!(packed.unpack(), ok(eq(&text(number))));
    }
}

#[gtest]
fn released_texts_free_memory_without_a_write() {
    let disk = MemoryFileSystem::new();
    let archive = archive(&disk);
    let calls = disk.calls();
    for number in 0..300 {
        drop(hold(&archive, number));
    }
    wait_until("the budget is kept", || archive.bytes_in_memory() <= BUDGET);
    let kept = hold(&archive, 1);
    expect_that!(is_on_disk(&kept), eq(false));
    // A text may be taken for a move in the moment before it is released.
    expect_that!(disk.calls() - calls, le(300));
}

#[gtest]
fn a_full_disk_leaves_texts_in_memory_until_there_is_space() {
    let disk = MemoryFileSystem::new();
    let archive = archive(&disk);
    let full = Faults {
        disk_full: true,
        ..Faults::default()
    };
    disk.set_faults(full);
    let texts: Vec<ResultText> = (0..100).map(|number| hold(&archive, number)).collect();
    archive.wait_for_memory();
    expect_that!(texts.iter().any(is_on_disk), eq(false));
    disk.set_faults(Faults::default());
    wait_until("the budget is kept", || archive.bytes_in_memory() <= BUDGET);
    for (number, packed) in texts.iter().enumerate() {
        expect_that!(packed.unpack(), ok(eq(&text(number))));
    }
}

/// Disk whose files accept no bytes while it hangs.
#[derive(Clone)]
struct HangingDisk {
    disk: MemoryFileSystem,
    hangs: Arc<AtomicBool>,
}

struct HangingFile {
    file: Box<dyn File>,
    hangs: Arc<AtomicBool>,
}

impl File for HangingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        while self.hangs.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
}

impl FileSystem for HangingDisk {
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let file = self.disk.create(path)?;
        let hangs = Arc::clone(&self.hangs);
        Ok(Box::new(HangingFile { file, hangs }))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        self.disk.open(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.disk.read(path)
    }

    fn open_to_read(&self, path: &Path) -> io::Result<Arc<dyn ReadableFile>> {
        self.disk.open_to_read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.disk.remove(path)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        self.disk.list(directory)
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        self.disk.create_directory(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        self.disk.sync_directory(path)
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn Lock>> {
        self.disk.lock(path)
    }
}

/// Guards against a leader that waits for its own hanging disk with each result, although the other
/// members make the results durable: each text beyond the budget waited 20 ms. The fault was found
/// in review.
#[gtest]
fn a_hanging_disk_blocks_no_caller() {
    let hanging = HangingDisk {
        disk: MemoryFileSystem::new(),
        hangs: Arc::new(AtomicBool::new(true)),
    };
    let fs: Arc<dyn FileSystem> = Arc::new(hanging.clone());
    let archive = TextArchive::open(fs, Path::new(DATA), BUDGET, logger());
    let archive = archive.expect("the archive opens");
    let texts: Vec<ResultText> = (0..400)
        .map(|number| ResultText::pack(&text(number)))
        .collect();
    let started_at = Instant::now();
    for text in &texts {
        archive.track(text.packed());
    }
    expect_that!(started_at.elapsed(), le(Duration::from_secs(2)));
    hanging.hangs.store(false, Ordering::SeqCst);
    wait_until("the budget is kept", || archive.bytes_in_memory() <= BUDGET);
}

fn incoming_files(disk: &MemoryFileSystem) -> usize {
    let folder = Path::new(DATA).join("incoming");
    disk.list(&folder).expect("a list").len()
}

fn spool(disk: &MemoryFileSystem) -> FileSpool {
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    FileSpool::open(fs, Path::new(DATA), logger()).expect("the spool opens")
}

#[gtest]
fn a_received_snapshot_stays_on_disk_while_it_is_used() {
    let disk = MemoryFileSystem::new();
    let spool = spool(&disk);
    let mut snapshot = spool.begin().expect("there is space");
    snapshot.append(b"first, ").expect("there is space");
    snapshot.append(b"second").expect("there is space");
    let data = snapshot.finish().expect("there is space");
    for _ in 0..2 {
        let mut read = String::new();
        let mut reader = data.reader().expect("the file is there");
        reader.read_to_string(&mut read).expect("the file is read");
        expect_that!(read, eq("first, second"));
    }
    expect_that!(incoming_files(&disk), eq(1));
    drop(data);
    expect_that!(incoming_files(&disk), eq(0));
}

#[gtest]
fn files_of_an_earlier_process_are_removed() {
    let disk = MemoryFileSystem::new();
    let first = spool(&disk);
    let mut snapshot = first.begin().expect("there is space");
    snapshot.append(b"half").expect("there is space");
    // Like a killed process, which does not clean up.
    std::mem::forget(snapshot);
    spool(&disk);
    expect_that!(incoming_files(&disk), eq(0));
}
