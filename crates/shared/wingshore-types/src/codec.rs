//! Encoding of large values without waste.

use serde::Serialize;

/// Encodes a value into a vector that is as large as needed from the start: one that grows holds
/// up to three times as much on the way.
///
/// # Errors
/// As the codec reports them.
pub fn encode_exactly<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    let size = postcard::experimental::serialized_size(value)?;
    postcard::to_extend(value, Vec::with_capacity(size))
}
