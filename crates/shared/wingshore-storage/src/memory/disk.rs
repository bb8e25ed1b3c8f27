//! The simulated disk: the content that programs see and the content that survives a power loss.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Identifies the content of a file independently of its name, like an inode number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FileId(u64);

#[derive(Clone, Debug, Default)]
struct Content {
    /// The bytes that programs read.
    current: Vec<u8>,
    /// The bytes that are durable.
    synced: Vec<u8>,
}

/// A directory change that is not yet synced.
#[derive(Clone, Debug)]
enum NameChange {
    Link {
        name: String,
        file: FileId,
    },
    Unlink {
        name: String,
    },
    Rename {
        from: String,
        to: String,
        file: FileId,
    },
}

type Names = BTreeMap<String, FileId>;

#[derive(Clone, Debug, Default)]
struct Directory {
    current: Names,
    synced: Names,
    pending: Vec<NameChange>,
}

/// A simulated disk. Directories are durable at once; the file names in them are not.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    contents: BTreeMap<FileId, Content>,
    directories: BTreeMap<PathBuf, Directory>,
    next_file: u64,
}

impl Disk {
    pub(super) fn create(&mut self, path: &Path) -> io::Result<FileId> {
        if let Ok(existing) = self.find(path) {
            self.truncate(existing, 0)?;
            return Ok(existing);
        }
        let (directory, name) = split(path)?;
        let id = FileId(self.next_file);
        self.next_file += 1;
        self.directory_mut(directory)?
            .apply(NameChange::Link { name, file: id });
        self.contents.insert(id, Content::default());
        Ok(id)
    }

    pub(super) fn find(&self, path: &Path) -> io::Result<FileId> {
        let (directory, name) = split(path)?;
        let names = &self.directory(directory)?.current;
        names.get(&name).copied().ok_or_else(not_found)
    }

    pub(super) fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let id = self.find(path)?;
        let content = self.contents.get(&id).ok_or_else(not_found)?;
        Ok(content.current.clone())
    }

    pub(super) fn read_at(&self, id: FileId, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let content = self.contents.get(&id).ok_or_else(not_found)?;
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = content.current.get(offset..).unwrap_or_default();
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }

    pub(super) fn append(&mut self, id: FileId, bytes: &[u8]) -> io::Result<()> {
        self.content_mut(id)?.current.extend_from_slice(bytes);
        Ok(())
    }

    pub(super) fn truncate(&mut self, id: FileId, length: u64) -> io::Result<()> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        self.content_mut(id)?.current.truncate(length);
        Ok(())
    }

    pub(super) fn sync(&mut self, id: FileId) -> io::Result<()> {
        let content = self.content_mut(id)?;
        content.synced.clone_from(&content.current);
        Ok(())
    }

    pub(super) fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let file = self.find(from)?;
        let (directory, from) = split(from)?;
        let (to_directory, to) = split(to)?;
        if directory != to_directory {
            return Err(io::ErrorKind::Unsupported.into());
        }
        self.directory_mut(directory)?
            .apply(NameChange::Rename { from, to, file });
        Ok(())
    }

    pub(super) fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.find(path)?;
        let (directory, name) = split(path)?;
        self.directory_mut(directory)?
            .apply(NameChange::Unlink { name });
        Ok(())
    }

    /// Returns the names of files and of subdirectories, sorted.
    pub(super) fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let files = self.directory(directory)?.current.keys().cloned();
        let inner = self
            .directories
            .keys()
            .filter(|path| path.parent() == Some(directory))
            .filter_map(|path| path.file_name());
        let mut names: Vec<String> = inner
            .map(|name| name.to_string_lossy().into_owned())
            .chain(files)
            .collect();
        names.sort();
        Ok(names)
    }

    pub(super) fn create_directory(&mut self, path: &Path) {
        for ancestor in path.ancestors() {
            self.directories.entry(ancestor.to_owned()).or_default();
        }
    }

    pub(super) fn sync_directory(&mut self, path: &Path) -> io::Result<()> {
        let directory = self.directory_mut(path)?;
        directory.synced.clone_from(&directory.current);
        directory.pending.clear();
        Ok(())
    }

    pub(super) fn damage(
        &mut self,
        path: &Path,
        change: impl FnOnce(&mut Vec<u8>),
    ) -> io::Result<()> {
        let id = self.find(path)?;
        let content = self.content_mut(id)?;
        change(&mut content.current);
        content.synced.clone_from(&content.current);
        Ok(())
    }

    /// Keeps the synced data and a part of the unsynced data that depends on `seed`.
    pub(super) fn drop_unsynced(&mut self, seed: u64) {
        let mut random = SplitMix64(seed);
        for content in self.contents.values_mut() {
            content.drop_unsynced(&mut random);
        }
        for directory in self.directories.values_mut() {
            directory.drop_unsynced(&mut random);
        }
        let directories = &self.directories;
        self.contents.retain(|id, _| {
            directories
                .values()
                .any(|directory| directory.current.values().any(|linked| linked == id))
        });
    }

    fn directory(&self, path: &Path) -> io::Result<&Directory> {
        self.directories.get(path).ok_or_else(not_found)
    }

    fn directory_mut(&mut self, path: &Path) -> io::Result<&mut Directory> {
        self.directories.get_mut(path).ok_or_else(not_found)
    }

    fn content_mut(&mut self, id: FileId) -> io::Result<&mut Content> {
        self.contents.get_mut(&id).ok_or_else(not_found)
    }
}

impl Content {
    /// Keeps the unsynced bytes up to a random offset and may zero a range of them, since a disk
    /// writes pages in any order.
    fn drop_unsynced(&mut self, random: &mut SplitMix64) {
        let common = self
            .synced
            .iter()
            .zip(&self.current)
            .take_while(|(synced, current)| synced == current)
            .count();
        if self.current.len() < self.synced.len() {
            let cut = random.below(2) == 0;
            let kept = if cut { &self.current } else { &self.synced };
            self.synced = kept.clone();
        } else {
            let kept = random.in_range(common, self.current.len());
            let mut found = self.current[..kept].to_vec();
            if random.below(3) == 0 {
                let hole_start = random.in_range(common, kept);
                let hole_end = random.in_range(hole_start, kept);
                found[hole_start..hole_end].fill(0);
            }
            let longer_kept = self.synced.len().saturating_sub(found.len());
            let tail = self.synced.len() - longer_kept;
            found.extend_from_slice(&self.synced[tail..]);
            self.synced = found;
        }
        self.current.clone_from(&self.synced);
    }
}

impl Directory {
    fn apply(&mut self, change: NameChange) {
        change.apply_to(&mut self.current);
        self.pending.push(change);
    }

    /// Keeps a random subset of the unsynced directory changes, since their order is undefined.
    fn drop_unsynced(&mut self, random: &mut SplitMix64) {
        for change in self.pending.drain(..) {
            if random.below(2) == 0 {
                change.apply_to(&mut self.synced);
            }
        }
        self.current.clone_from(&self.synced);
    }
}

impl NameChange {
    fn apply_to(&self, names: &mut Names) {
        match self {
            Self::Link { name, file } => {
                names.insert(name.clone(), *file);
            }
            Self::Unlink { name } => {
                names.remove(name);
            }
            Self::Rename { from, to, file } => {
                if names.get(from) == Some(file) {
                    names.remove(from);
                }
                names.insert(to.clone(), *file);
            }
        }
    }
}

/// A seeded pseudo-random number generator (SplitMix64); equal seeds give equal results.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns a number between `low` and `high`, both inclusive.
    fn in_range(&mut self, low: usize, high: usize) -> usize {
        low + self.below((high - low) as u64 + 1) as usize
    }
}

fn split(path: &Path) -> io::Result<(&Path, String)> {
    match (path.parent(), path.file_name()) {
        (Some(directory), Some(name)) => Ok((directory, name.to_string_lossy().into_owned())),
        _ => Err(io::ErrorKind::InvalidInput.into()),
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}
