//! Decoding of what is stored and replicated: commands and the records of states.
//!
//! Bytes after the end of such a value are a field that another build has appended and this one does not
//! know: it would go on with another state than the one that wrote it. Frames may carry more; stored values
//! may not.

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// A stored value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoredError {
    /// It does not decode.
    #[snafu(display("{source}"))]
    Damaged {
        /// From the codec.
        source: postcard::Error,
    },
    /// It goes on after its end.
    #[snafu(display("{left} bytes are left after the end of kind {kind}"))]
    GoesOn {
        /// The number of its variant, which is its first byte.
        kind: u8,
        /// Bytes after its end.
        left: usize,
    },
}

/// Decodes a value that ends with `bytes`.
///
/// # Errors
/// When the bytes do not decode, or go on after the value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoredError> {
    let (value, rest) = postcard::take_from_bytes(bytes).context(DamagedSnafu)?;
    let kind = bytes.first().copied().unwrap_or_default();
    let left = rest.len();
    ensure!(rest.is_empty(), GoesOnSnafu { kind, left });
    Ok(value)
}
