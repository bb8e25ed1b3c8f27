//! Files that are replaced as a whole: the snapshot of a group, and the identity of a folder.
//!
//! A new one is written beside the old one, synced, and renamed to its place, so that a crash leaves
//! one of the two.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::{File, FileRange, FileReader, FileSystem, READ_BYTES, ReadableFile};
use crate::frame::{self, Scan};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::Path;
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::codec::encode_exactly;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::snapshot_data::SnapshotState;

/// Name of the snapshot of a group.
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// Added to the name of a file that is being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";
/// Bytes that are collected for one write to a file that is replaced as a whole.
const WRITE_BYTES: usize = 256 << 10;
/// Maximal bytes of index, term and length before a snapshot's data.
const MAX_HEAD_BYTES: u64 = 32;
/// Salt of the frames of files that are replaced as a whole.
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
    let data = snapshot.data.for_own_disk();
    // The codec writes bytes as their length and themselves.
    let head = encode_exactly(&(snapshot.index, snapshot.term, data.length()))
        .map_err(io::Error::other)
        .during("encode", &directory.join(SNAPSHOT_FILE))?;
    let length = usize::try_from(data.length()).unwrap_or(usize::MAX);
    let length = length.saturating_add(head.len());
    write_payload(fs, directory, SNAPSHOT_FILE, length, &|out| {
        out.write_all(&head)?;
        data.write_to(out)
    })?;
    snapshot.data.written();
    Ok(())
}

/// Opens the snapshot that [`write_snapshot`] wrote, and checks all of it; `None` when it never did.
/// Its bytes stay on disk until they are needed.
pub(crate) fn open_snapshot(
    fs: &dyn FileSystem,
    directory: &Path,
) -> Result<Option<StoredSnapshot>, StorageError> {
    let path = directory.join(SNAPSHOT_FILE);
    let file = match fs.open_to_read(&path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).during("open", &path),
    };
    let length = check_frame(&path, &file)?;
    let payload = frame::HEADER_BYTES as u64;
    let mut head = Vec::new();
    FileReader::new(Arc::clone(&file), payload)
        .take(length.min(MAX_HEAD_BYTES))
        .read_to_end(&mut head)
        .during("read", &path)?;
    let unreadable = |error| damaged(&path, 0, format!("unreadable content: {error}"));
    let ((index, term, data_length), rest): ((LogIndex, u64, u64), &[u8]) =
        postcard::take_from_bytes(&head).map_err(unreadable)?;
    let skipped = (head.len() - rest.len()) as u64;
    if skipped + data_length != length {
        return Err(damaged(
            &path,
            0,
            "the snapshot has another length than it says",
        ));
    }
    let state = FileRange::new(file, payload + skipped, data_length);
    let data = SnapshotState::Frozen(Arc::new(state)).into();
    Ok(Some(StoredSnapshot { index, term, data }))
}

/// Checks the only frame of a file piece by piece; gives the length of its payload.
fn check_frame(path: &Path, file: &Arc<dyn ReadableFile>) -> Result<u64, StorageError> {
    let mut reader = FileReader::new(Arc::clone(file), 0);
    let mut header = Vec::new();
    reader
        .by_ref()
        .take(frame::HEADER_BYTES as u64)
        .read_to_end(&mut header)
        .during("read", path)?;
    if header.is_empty() {
        return Err(damaged(path, 0, "the file is empty"));
    }
    let (length, expected) =
        frame::read_header(&header).map_err(|reason| damaged(path, 0, reason))?;
    let mut checksum = frame::Checksum::new(WHOLE_FILE_SALT, 0, length);
    let mut payload = BufReader::with_capacity(READ_BYTES, reader).take(length as u64);
    let read = io::copy(&mut payload, &mut checksum).during("read", path)?;
    if read < length as u64 {
        return Err(damaged(path, 0, frame::CUT_PAYLOAD));
    }
    if checksum.finish() != expected {
        return Err(damaged(path, 0, frame::WRONG_CHECKSUM));
    }
    Ok(read)
}

/// Writes a payload of `length` bytes as one frame. It is produced twice: its checksum comes before it.
fn write_payload(
    fs: &dyn FileSystem,
    directory: &Path,
    name: &str,
    length: usize,
    produce: &dyn Fn(&mut dyn Write) -> io::Result<()>,
) -> Result<(), StorageError> {
    let path = directory.join(name);
    let aside = directory.join(format!("{name}{TEMPORARY_SUFFIX}"));
    if length > frame::MAX_PAYLOAD_BYTES {
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
        Scan::Frame { payload } => payload,
        Scan::End => return Err(damaged(&path, 0, "the file is empty")),
        Scan::Bad(reason) => return Err(damaged(&path, 0, reason)),
    };
    postcard::from_bytes(payload)
        .map(Some)
        .map_err(|error| damaged(&path, 0, format!("unreadable content: {error}")))
}
