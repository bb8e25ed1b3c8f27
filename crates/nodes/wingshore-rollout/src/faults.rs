//! Deliberate faults, by which tests show that a broken promise is noticed.

/// Faults to switch on; all are off by default, and only tests switch any on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Reports a cut stream as a whole generation.
    pub finish_cut_streams: bool,
    /// Stamps all tokens with the version of the latest chunk.
    pub stamp_latest_version: bool,
}
