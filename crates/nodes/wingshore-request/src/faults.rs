//! Deliberate faults: each breaks one promise, so that tests can show that it would be caught.

/// Deliberate faults, all off by default; only tests switch them on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Sends a request that must not be repeated again although it may have run.
    pub retry_on_may_have_run: bool,
    /// Sends a keyed request before its key is claimed.
    pub send_before_claim: bool,
    /// Gives an answer whose body was cut short as if it were whole.
    pub accept_short_body: bool,
    /// Says of each request that failed that it did not run.
    pub deny_having_run: bool,
}
