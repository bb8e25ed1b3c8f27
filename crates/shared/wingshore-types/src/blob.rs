//! Blobs, stored on the local disk beside a replicated log, and the trait that replicated states
//! reference them by.

use serde::{Deserialize, Serialize};
use std::io;

/// Location of a blob on the local disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlobPlace {
    /// Number of the file that holds the blob.
    pub file: u64,
    /// Offset of the blob in the file, in bytes.
    pub offset: u64,
    /// Length of the blob, in bytes.
    pub length: u32,
    /// CRC-32 of the content.
    pub checksum: u32,
}

/// A reference to a durable blob on the local disk; the blob is kept while a reference exists.
pub trait Blob: Send + Sync {
    /// Returns the location of the blob.
    fn place(&self) -> BlobPlace;

    /// Reads the content.
    ///
    /// # Errors
    /// Returns an error if the disk fails or the content is damaged.
    fn read(&self) -> io::Result<Vec<u8>>;
}
