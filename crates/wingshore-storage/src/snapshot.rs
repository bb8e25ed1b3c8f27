//! The snapshot file: one, replaced as a whole.

use crate::error::{IoContext, StorageError, damaged};
use crate::file_system::FileSystem;
use crate::frame::{self, Scan};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::path::Path;
use wingshore_types::codec::encode_exactly;

/// Name of the snapshot of a group.
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// Added to the name of a file that is being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";
/// Salt of the frames of files that are written as a whole.
const WHOLE_FILE_SALT: u64 = u64::MAX;

/// Writes `value` aside, syncs it, renames it to `name` and syncs the directory.
pub(crate) fn write_whole<T: Serialize>(
    fs: &dyn FileSystem,
    directory: &Path,
    name: &str,
    value: &T,
) -> Result<(), StorageError> {
    let path = directory.join(name);
    let aside = directory.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let payload = encode_exactly(value)
        .map_err(io::Error::other)
        .during("encode", &path)?;
    if payload.len() > frame::MOST_PAYLOAD_BYTES {
        return Err(io::Error::from(io::ErrorKind::FileTooLarge)).during("encode", &path);
    }
    let header = frame::header(WHOLE_FILE_SALT, 0, &payload);
    let mut file = fs.create(&aside).during("create", &aside)?;
    file.append(&header).during("write", &aside)?;
    file.append(&payload).during("write", &aside)?;
    file.sync().during("sync", &aside)?;
    fs.rename(&aside, &path).during("rename", &aside)?;
    fs.sync_directory(directory)
        .during("sync directory", directory)
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
