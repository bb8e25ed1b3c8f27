//! Encoding of large values without excess memory.

use serde::Serialize;

/// Encodes a value into a vector that is preallocated with the exact size. A growing vector would
/// take up to three times as much memory while it is reallocated.
///
/// # Errors
/// Returns the errors of the codec.
pub fn encode_exactly<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    let size = postcard::experimental::serialized_size(value)?;
    postcard::to_extend(value, Vec::with_capacity(size))
}
