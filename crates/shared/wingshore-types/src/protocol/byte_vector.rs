//! Serde support for byte containers that are encoded as one byte string instead of a sequence of
//! bytes: `#[serde(with = "byte_vector")]`.
//!
//! `postcard` encodes both forms identically; the byte string is only faster.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};
use std::fmt;

/// Maximum preallocation for a sequence, in bytes. The claimed length is not trusted.
const MAX_PREALLOCATION: usize = 64 << 10;

/// Serializes bytes as one byte string.
///
/// # Errors
/// Returns the errors of the serializer.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes from a byte string or from a sequence of bytes.
///
/// # Errors
/// Returns the errors of the deserializer.
pub fn deserialize<'de, D, B>(deserializer: D) -> Result<B, D::Error>
where
    D: Deserializer<'de>,
    B: From<Vec<u8>>,
{
    let bytes = deserializer.deserialize_byte_buf(BytesVisitor)?;
    Ok(B::from(bytes))
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<u8>, A::Error> {
        let claimed = sequence.size_hint().unwrap_or(0);
        let mut bytes = Vec::with_capacity(claimed.min(MAX_PREALLOCATION));
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
