//! Deterministic hash functions with the same result on every machine and in every run.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Hashes an integer with the finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes a text with FNV-1a.
pub(crate) fn hash_text(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Hasher for standard library maps whose keys are already hashes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MixHasher(u64);

impl Hasher for MixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = mix(self.0 ^ u64::from(*byte));
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = mix(self.0 ^ value);
    }
}
