//! Fault injection: tests use it to show that a violated guarantee is detected.

/// Injected faults. All are off by default; only tests enable them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Grants a key whose request is in flight or has an unknown outcome.
    pub grant_taken: bool,
}
