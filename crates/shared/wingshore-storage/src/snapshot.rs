//! Files that are replaced atomically: the snapshot of a group and the identity of a folder.
//!
//! The new content is written to a temporary file, synced and renamed over the old file, so that a
//! crash leaves either the old or the new content.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::{File, FileRange, FileReader, FileSystem, READ_BYTES, ReadableFile};
use crate::frame::{self, ParsedFrame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::Path;
use std::sync::Arc;
use wingshore_types::LogIndex;
use wingshore_types::codec::encode_exactly;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::snapshot_data::SnapshotState;

/// Name of the snapshot file of a group.
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// Suffix of the name of a temporary file.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";
/// Size of the write buffer for a file that is replaced atomically, in bytes.
const WRITE_BYTES: usize = 256 << 10;
/// Maximum length of the encoded index, term and data length of a snapshot, in bytes.
const MAX_HEAD_BYTES: u64 = 32;
/// Checksum salt of the frames in files that are replaced atomically.
const ATOMIC_FILE_SALT: u64 = u64::MAX;

/// Replaces the file `name` with `value`: writes and syncs a temporary file, renames it to `name`
/// and syncs the directory.
pub(crate) fn write_atomically<T: Serialize>(
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

/// Like [`write_atomically`], for a snapshot, which is encoded while it is written.
pub(crate) fn write_snapshot(
    fs: &dyn FileSystem,
    directory: &Path,
    snapshot: &StoredSnapshot,
) -> Result<(), StorageError> {
    let data = snapshot.data.for_local_disk();
    // The codec encodes a byte sequence as its length followed by the bytes.
    let head = encode_exactly(&(snapshot.index, snapshot.term, data.length()))
        .map_err(io::Error::other)
        .during("encode", &directory.join(SNAPSHOT_FILE))?;
    let length = usize::try_from(data.length()).unwrap_or(usize::MAX);
    let length = length.saturating_add(head.len());
    write_payload(fs, directory, SNAPSHOT_FILE, length, &|out| {
        out.write_all(&head)?;
        data.write_to(out)
    })?;
    snapshot.data.on_durable();
    Ok(())
}

/// Opens the snapshot written by [`write_snapshot`] and verifies its checksum; `None` if there is
/// no snapshot. Its data stays on disk and is read on demand.
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
            "the length of the snapshot does not match its header",
        ));
    }
    let state = FileRange::new(file, payload + skipped, data_length);
    let data = SnapshotState::Frozen(Arc::new(state)).into();
    Ok(Some(StoredSnapshot { index, term, data }))
}

/// Verifies the only frame of a file without loading it into memory and returns the length of its
/// payload in bytes.
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
    let mut checksum = frame::Checksum::new(ATOMIC_FILE_SALT, 0, length);
    let mut payload = BufReader::with_capacity(READ_BYTES, reader).take(length as u64);
    let read = io::copy(&mut payload, &mut checksum).during("read", path)?;
    if read < length as u64 {
        return Err(damaged(path, 0, frame::TRUNCATED_PAYLOAD));
    }
    if checksum.finish() != expected {
        return Err(damaged(path, 0, frame::WRONG_CHECKSUM));
    }
    Ok(read)
}

/// Replaces a file with a payload of `length` bytes as one frame. Calls `produce` twice, since the
/// checksum precedes the payload.
fn write_payload(
    fs: &dyn FileSystem,
    directory: &Path,
    name: &str,
    length: usize,
    produce: &dyn Fn(&mut dyn Write) -> io::Result<()>,
) -> Result<(), StorageError> {
    let path = directory.join(name);
    let temporary = directory.join(format!("{name}{TEMPORARY_SUFFIX}"));
    if length > frame::MAX_PAYLOAD_BYTES {
        return Err(io::Error::from(io::ErrorKind::FileTooLarge)).during("encode", &path);
    }
    let mut checksum = frame::Checksum::new(ATOMIC_FILE_SALT, 0, length);
    produce(&mut checksum).during("encode", &path)?;
    let header = frame::header(length, checksum.finish());
    let mut file = fs.create(&temporary).during("create", &temporary)?;
    file.append(&header).during("write", &temporary)?;
    let mut writer = BufWriter::with_capacity(WRITE_BYTES, FileWriter(file.as_mut()));
    produce(&mut writer).during("write", &temporary)?;
    writer.flush().during("write", &temporary)?;
    drop(writer);
    file.sync().during("sync", &temporary)?;
    fs.rename(&temporary, &path).during("rename", &temporary)?;
    fs.sync_directory(directory)
        .during("sync directory", directory)
}

/// Adapts a [`File`] to [`Write`].
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

/// Reads a value written by [`write_atomically`]; `None` if the file does not exist.
pub(crate) fn read_if_exists<T: DeserializeOwned>(
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
    let payload = match frame::parse_frame(ATOMIC_FILE_SALT, 0, &bytes) {
        ParsedFrame::Frame { payload } => payload,
        ParsedFrame::End => return Err(damaged(&path, 0, "the file is empty")),
        ParsedFrame::Invalid(reason) => return Err(damaged(&path, 0, reason)),
    };
    postcard::from_bytes(payload)
        .map(Some)
        .map_err(|error| damaged(&path, 0, format!("unreadable content: {error}")))
}
