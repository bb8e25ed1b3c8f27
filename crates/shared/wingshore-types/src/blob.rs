//! Blobs: bytes on a machine's own disk beside a replicated log, and the trait by which states hold them.

use serde::{Deserialize, Serialize};
use std::io;

/// Place of a blob on this machine's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlobPlace {
    /// Number of its file.
    pub file: u64,
    /// Where it begins there, in bytes.
    pub offset: u64,
    /// Its bytes.
    pub length: u32,
    /// CRC-32 of them.
    pub checksum: u32,
}

/// Bytes that are durable on this machine's disk, and stay there while something holds this.
pub trait Blob: Send + Sync {
    /// Their place.
    fn place(&self) -> BlobPlace;

    /// The bytes.
    ///
    /// # Errors
    /// When the disk fails, or the bytes are damaged.
    fn read(&self) -> io::Result<Vec<u8>>;
}
