//! A file system in memory that loses what is not synced, for tests and simulations only.
//!
//! Each changing call has a number, from 1. A [`Faults`] value lets the process die at one of
//! them, or lets one sync fail. [`MemoryFileSystem::restart`] then leaves what a machine would
//! find: what was synced, and a seeded part of what was not.

mod disk;

use crate::file_system::{File, FileSystem, Lock, ReadableFile};
use disk::{Disk, FileId};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What is to go wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The process dies at this call: it may be done in part, and all later ones fail until the
    /// restart.
    pub crash_at: Option<u64>,
    /// From this call on syncs of files fail, without making anything durable.
    pub fail_syncs_from: Option<u64>,
    /// The disk is full: appended bytes fit in part, and the call is refused.
    pub full: bool,
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
    /// Counts restarts: files opened and locks taken before one are void.
    boot: u64,
}

/// What a changing call may do.
enum Permission {
    /// All of it.
    Whole,
    /// The process dies in it.
    Crash,
}

impl MemoryFileSystem {
    /// An empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what is to go wrong; call numbers count from the last restart.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Changing calls since the last restart.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Whether the process has died: crash tests distinguish that from a disk that is damaged.
    pub fn is_crashed(&self) -> bool {
        self.state().crashed
    }

    /// Loses power, if it has not yet, and starts the machine: what was synced stays, and of the
    /// rest a part that depends on `seed`. Faults are cleared.
    pub fn restart(&self, seed: u64) {
        let mut state = self.state();
        state.disk.lose_unsynced(seed);
        state.faults = Faults::default();
        state.calls = 0;
        state.crashed = false;
        state.locks.clear();
        state.boot += 1;
    }

    /// Replaces the disk by an empty one. Files that are open write to the lost one.
    pub fn lose_disk(&self) {
        let mut state = self.state();
        state.disk = Disk::default();
        state.locks.clear();
        state.boot += 1;
    }

    /// Changes bytes of a file that is durable, as a failing disk would.
    ///
    /// # Errors
    /// `NotFound` when there is no such file.
    pub fn damage(&self, path: &Path, change: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        self.state().disk.damage(path, change)
    }

    fn state(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Counts a changing call, and decides what it may do.
    fn begin_call(&mut self) -> io::Result<Permission> {
        self.check_alive()?;
        self.calls += 1;
        if self.faults.crash_at == Some(self.calls) {
            self.crashed = true;
            return Ok(Permission::Crash);
        }
        Ok(Permission::Whole)
    }

    fn check_alive(&self) -> io::Result<()> {
        if self.crashed {
            return Err(crashed());
        }
        Ok(())
    }

    /// A change that is done whole, and is done or not when the process dies in it; whether it
    /// outlives the crash is decided by the restart in either case.
    fn change<T>(&mut self, change: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let permission = self.begin_call()?;
        let result = change(&mut self.disk);
        match permission {
            Permission::Whole => result,
            Permission::Crash => Err(crashed()),
        }
    }

    /// A sync: nothing becomes durable when the process dies in it.
    fn sync(&mut self, sync: impl FnOnce(&mut Disk) -> io::Result<()>) -> io::Result<()> {
        match self.begin_call()? {
            Permission::Whole => sync(&mut self.disk),
            Permission::Crash => Err(crashed()),
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
        if state.faults.full {
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
