//! The snapshot file: one, replaced as a whole.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::{File, FileSystem};
use crate::frame::{self, Scan};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use wingshore_types::codec::encode_exactly;
use wingshore_types::log::StoredSnapshot;

/// Name of the snapshot of a group.
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// Added to the name of a file that is being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";
/// Bytes of a file that are written as a whole which are collected for one write.
const WRITE_BYTES: usize = 256 << 10;
/// Salt of the frames of files that are written as a whole.
const WHOLE_FILE_SALT: u64 = u64::MAX;

/// Writes `value` aside, syncs it, renames it to `name` and syncs the directory.
pub(crate) fn write_whole<T: Serialize>(
    fs: &dyn FileSystem,
    directory: &Path,
    name: &str,
    value: &T,
) -> Result<(), StorageError> {
    let payload = encode_exactly(value)
        .map_err(io::Error::other)
        .during("encode", &directory.join(name))?;
    write_payload(fs, directory, name, payload.len(), &|out| {
        out.write_all(&payload)
    })
}

/// As [`write_whole`] with a snapshot, which is encoded while it is written.
pub(crate) fn write_snapshot(
    fs: &dyn FileSystem,
    directory: &Path,
    snapshot: &StoredSnapshot,
) -> Result<(), StorageError> {
    // The codec writes bytes as their length and themselves.
    let head = encode_exactly(&(snapshot.index, snapshot.term, snapshot.data.length()))
        .map_err(io::Error::other)
        .during("encode", &directory.join(SNAPSHOT_FILE))?;
    let length = usize::try_from(snapshot.data.length()).unwrap_or(usize::MAX);
    let length = length.saturating_add(head.len());
    write_payload(fs, directory, SNAPSHOT_FILE, length, &|out| {
        out.write_all(&head)?;
        snapshot.data.write_to(out)
    })
}

/// Writes a payload of `length` bytes as one frame. It is produced twice: its checksum stands before it.
fn write_payload(
    fs: &dyn FileSystem,
    directory: &Path,
    name: &str,
    length: usize,
    produce: &dyn Fn(&mut dyn Write) -> io::Result<()>,
) -> Result<(), StorageError> {
    let path = directory.join(name);
    let aside = directory.join(format!("{name}{TEMPORARY_SUFFIX}"));
    if length > frame::MOST_PAYLOAD_BYTES {
        return Err(io::Error::from(io::ErrorKind::FileTooLarge)).during("encode", &path);
    }
    let mut checksum = frame::Checksum::new(WHOLE_FILE_SALT, 0, length);
    produce(&mut checksum).during("encode", &path)?;
    let header = frame::header(length, checksum.finish());
    let mut file = fs.create(&aside).during("create", &aside)?;
    file.append(&header).during("write", &aside)?;
    let mut writer = BufWriter::with_capacity(WRITE_BYTES, FileWriter(file.as_mut()));
    produce(&mut writer).during("write", &aside)?;
    writer.flush().during("write", &aside)?;
    drop(writer);
    file.sync().during("sync", &aside)?;
    fs.rename(&aside, &path).during("rename", &aside)?;
    fs.sync_directory(directory)
        .during("sync directory", directory)
}

/// A file as a target of encoders.
struct FileWriter<'a>(&'a mut dyn File);

impl Write for FileWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads what [`write_whole`] wrote; `None` when it never did.
pub(crate) fn read_whole<T: DeserializeOwned>(
    fs: &dyn FileSystem,
    directory: &Path,
    name: &str,
) -> Result<Option<T>, StorageError> {
    let path = directory.join(name);
    let bytes = match fs.read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).during("read", &path),
    };
    let payload = match frame::scan(WHOLE_FILE_SALT, 0, &bytes) {
        Scan::Frame { payload, .. } => payload,
        Scan::End => return Err(damaged(&path, 0, "the file is empty")),
        Scan::Bad(reason) => return Err(damaged(&path, 0, reason)),
    };
    postcard::from_bytes(payload)
        .map(Some)
        .map_err(|error| damaged(&path, 0, format!("unreadable content: {error}")))
}
