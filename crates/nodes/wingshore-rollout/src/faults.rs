//! Fault injection: tests use it to verify that violated guarantees are detected.

/// Injected faults. All are off by default; only tests enable them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Reports the tokens of an interrupted stream as a complete generation.
    pub finish_interrupted_streams: bool,
    /// Attributes all tokens to the weight version of the latest chunk.
    pub stamp_latest_version: bool,
}
