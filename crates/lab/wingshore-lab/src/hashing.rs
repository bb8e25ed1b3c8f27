//! Hash by which answers are compared across logs, from the library that the product uses too.

use fnv::FnvHasher;
use std::hash::Hasher;

/// FNV-1a over bytes.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
