//! The real file system, with injectable sync failures.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use wingshore_storage::{File, FileSystem, Lock, ReadableFile, RealFileSystem};

/// A file system whose file syncs fail after [`FailingDisk::fail_syncs`] was called.
#[derive(Clone, Default)]
pub struct FailingDisk {
    sync_fails: Arc<AtomicBool>,
}

struct FailingFile {
    file: Box<dyn File>,
    sync_fails: Arc<AtomicBool>,
}

impl FailingDisk {
    pub fn fail_syncs(&self) {
        self.sync_fails.store(true, Ordering::SeqCst);
    }

    fn wrap(&self, file: io::Result<Box<dyn File>>) -> io::Result<Box<dyn File>> {
        let sync_fails = Arc::clone(&self.sync_fails);
        file.map(|file| Box::new(FailingFile { file, sync_fails }) as _)
    }
}

impl File for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.sync_fails.load(Ordering::SeqCst) {
            return Err(io::Error::other("injected sync failure"));
        }
        self.file.sync()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
}

impl FileSystem for FailingDisk {
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>> {
        self.wrap(RealFileSystem.create(path))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        self.wrap(RealFileSystem.open(path))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        RealFileSystem.read(path)
    }

    fn open_to_read(&self, path: &Path) -> io::Result<Arc<dyn ReadableFile>> {
        RealFileSystem.open_to_read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        RealFileSystem.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        RealFileSystem.remove(path)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        RealFileSystem.list(directory)
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        RealFileSystem.create_directory(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        RealFileSystem.sync_directory(path)
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn Lock>> {
        RealFileSystem.lock(path)
    }
}
