//! A file system in memory that drops unsynced data on a restart, for tests and simulations only.
//!
//! Calls that modify the file system are numbered from 1. A [`Faults`] value makes the process
//! crash at one of them, makes syncs fail, or simulates a full disk. After
//! [`MemoryFileSystem::restart`] the disk holds what a machine would find after a power loss: the
//! synced data and a part of the unsynced data that depends on a seed.

mod disk;

use crate::file_system::{File, FileSystem, Lock, ReadableFile};
use disk::{Disk, FileId};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The process crashes at this call: the call may take partial effect, and all later calls
    /// fail until the restart.
    pub crash_at: Option<u64>,
    /// File syncs fail from this call on, without making anything durable.
    pub fail_syncs_from: Option<u64>,
    /// The disk is full: an append writes a part of its bytes and fails.
    pub disk_full: bool,
}

/// A file system in memory. Clones share one disk.
#[derive(Clone, Default)]
pub struct MemoryFileSystem {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    disk: Disk,
    faults: Faults,
    calls: u64,
    crashed: bool,
    locks: BTreeSet<PathBuf>,
    /// Number of restarts and disk losses; files and locks of an earlier boot are invalid.
    boot: u64,
}

/// Extent to which a modifying call may take effect.
enum CallOutcome {
    /// The call completes.
    Complete,
    /// The process crashes during the call.
    Crash,
}

impl MemoryFileSystem {
    /// Creates an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the faults to inject; call numbers count from the last restart.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns the number of modifying calls since the last restart.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns whether the process has crashed, so that tests can distinguish a crash from damage.
    pub fn is_crashed(&self) -> bool {
        self.state().crashed
    }

    /// Simulates a power loss and a restart: synced data is kept, and a part of the unsynced data
    /// that depends on `seed`. Faults are cleared.
    pub fn restart(&self, seed: u64) {
        let mut state = self.state();
        state.disk.drop_unsynced(seed);
        state.faults = Faults::default();
        state.calls = 0;
        state.crashed = false;
        state.locks.clear();
        state.boot += 1;
    }

    /// Replaces the disk with an empty one. Files that were open fail from then on.
    pub fn lose_disk(&self) {
        let mut state = self.state();
        state.disk = Disk::default();
        state.locks.clear();
        state.boot += 1;
    }

    /// Modifies the durable bytes of a file, like a failing disk.
    ///
    /// # Errors
    /// Returns `NotFound` if the file does not exist.
    pub fn damage(&self, path: &Path, change: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        self.state().disk.damage(path, change)
    }

    fn state(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Counts a modifying call and decides whether it completes.
    fn begin_call(&mut self) -> io::Result<CallOutcome> {
        self.check_alive()?;
        self.calls += 1;
        if self.faults.crash_at == Some(self.calls) {
            self.crashed = true;
            return Ok(CallOutcome::Crash);
        }
        Ok(CallOutcome::Complete)
    }

    fn check_alive(&self) -> io::Result<()> {
        if self.crashed {
            return Err(crashed());
        }
        Ok(())
    }

    /// Applies a change. If the process crashes during the call, the change is applied too: the
    /// restart decides which unsynced changes survive.
    fn change<T>(&mut self, change: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let outcome = self.begin_call()?;
        let result = change(&mut self.disk);
        match outcome {
            CallOutcome::Complete => result,
            CallOutcome::Crash => Err(crashed()),
        }
    }

    /// Performs a sync. Nothing becomes durable if the process crashes during the call.
    fn sync(&mut self, sync: impl FnOnce(&mut Disk) -> io::Result<()>) -> io::Result<()> {
        match self.begin_call()? {
            CallOutcome::Complete => sync(&mut self.disk),
            CallOutcome::Crash => Err(crashed()),
        }
    }

    fn sync_fails(&self) -> bool {
        let from = self.faults.fail_syncs_from;
        from.is_some_and(|from| self.calls + 1 >= from)
    }
}

fn crashed() -> io::Error {
    io::Error::other("the simulated process has crashed")
}

struct MemoryFile {
    system: MemoryFileSystem,
    id: FileId,
    boot: u64,
}

impl MemoryFile {
    fn state(&self) -> io::Result<MutexGuard<'_, Shared>> {
        let state = self.system.state();
        if state.boot != self.boot {
            return Err(crashed());
        }
        Ok(state)
    }
}

impl File for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state()?;
        if state.faults.disk_full {
            let fitting = &bytes[..bytes.len() / 2];
            state.change(|disk| disk.append(self.id, fitting))?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.change(|disk| disk.append(self.id, bytes))
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state()?;
        if state.sync_fails() {
            state.begin_call()?;
            return Err(io::Error::other("the simulated disk failed to sync"));
        }
        state.sync(|disk| disk.sync(self.id))
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.state()?.change(|disk| disk.truncate(self.id, length))
    }
}

impl ReadableFile for MemoryFile {
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let state = self.state()?;
        state.check_alive()?;
        state.disk.read_at(self.id, offset, buffer)
    }
}

struct MemoryLock {
    system: MemoryFileSystem,
    path: PathBuf,
    boot: u64,
}

impl Lock for MemoryLock {}

impl Drop for MemoryLock {
    fn drop(&mut self) {
        let mut state = self.system.state();
        if state.boot == self.boot {
            state.locks.remove(&self.path);
        }
    }
}

impl FileSystem for MemoryFileSystem {
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let mut state = self.state();
        let id = state.change(|disk| disk.create(path))?;
        let boot = state.boot;
        drop(state);
        Ok(Box::new(MemoryFile {
            system: self.clone(),
            id,
            boot,
        }))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let state = self.state();
        state.check_alive()?;
        let id = state.disk.find(path)?;
        let boot = state.boot;
        drop(state);
        Ok(Box::new(MemoryFile {
            system: self.clone(),
            id,
            boot,
        }))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.state();
        state.check_alive()?;
        state.disk.read(path)
    }

    fn open_to_read(&self, path: &Path) -> io::Result<Arc<dyn ReadableFile>> {
        let state = self.state();
        state.check_alive()?;
        let id = state.disk.find(path)?;
        let boot = state.boot;
        drop(state);
        Ok(Arc::new(MemoryFile {
            system: self.clone(),
            id,
            boot,
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.state().change(|disk| disk.rename(from, to))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.state().change(|disk| disk.remove(path))
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let state = self.state();
        state.check_alive()?;
        state.disk.list(directory)
    }

    fn create_directory(&self, path: &Path) -> io::Result<()> {
        self.state().change(|disk| {
            disk.create_directory(path);
            Ok(())
        })
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        self.state().sync(|disk| disk.sync_directory(path))
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn Lock>> {
        let mut state = self.state();
        state.check_alive()?;
        if !state.locks.insert(path.to_owned()) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let boot = state.boot;
        drop(state);
        Ok(Box::new(MemoryLock {
            system: self.clone(),
            path: path.to_owned(),
            boot,
        }))
    }
}
