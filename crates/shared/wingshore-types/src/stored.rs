//! Strict decoding of stored and replicated values: commands and records of states.
//!
//! Trailing bytes after such a value are a field that another build appended and this build does
//! not know. A build that ignored the field would diverge from the state of the build that wrote
//! it. So trailing bytes are accepted in frames but not in stored values.

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// The reason why a stored value cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoredError {
    /// The bytes are not a valid encoding.
    #[snafu(display("{source}"))]
    Damaged {
        /// The error of the codec.
        source: postcard::Error,
    },
    /// Bytes follow the end of the value.
    #[snafu(display("{left} bytes are left after the end of kind {kind}"))]
    TrailingBytes {
        /// The variant number of the value, which is its first byte.
        kind: u8,
        /// Number of trailing bytes.
        left: usize,
    },
}

/// Decodes a value that must span all of `bytes`.
///
/// # Errors
/// Returns an error if the bytes are not a valid encoding or continue after the value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoredError> {
    let (value, rest) = postcard::take_from_bytes(bytes).context(DamagedSnafu)?;
    let kind = bytes.first().copied().unwrap_or_default();
    let left = rest.len();
    ensure!(rest.is_empty(), TrailingBytesSnafu { kind, left });
    Ok(value)
}
