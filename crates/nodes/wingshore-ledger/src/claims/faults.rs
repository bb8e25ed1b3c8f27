//! Deliberate faults, by which tests show that a broken promise is noticed.

/// Faults to switch on; all are off by default, and only tests switch any on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Grants a key whose claimant is in flight, or ended without anyone knowing how.
    pub grant_taken: bool,
}
