//! Byte vectors, and shared ones, encoded as one piece rather than byte by byte:
//! `#[serde(with = "byte_vector")]`.
//!
//! In `postcard` both forms are the same bytes; this one is only faster.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};
use std::fmt;

/// Space reserved before the bytes have come, whatever length is claimed.
const LARGEST_RESERVE: usize = 64 << 10;

/// Writes the bytes as one piece.
///
/// # Errors
/// As the serializer's.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Reads bytes, written as one piece or one by one.
///
/// # Errors
/// As the deserializer's.
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
        let mut bytes = Vec::with_capacity(claimed.min(LARGEST_RESERVE));
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
