//! Fault injection for tests that verify that a checker detects a violation.

/// Faults to inject. Each field violates one invariant; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Retries requests that must not be repeated although they may have run.
    pub retry_on_may_have_run: bool,
    /// Sends new requests to servers that are leaving.
    pub ignore_draining: bool,
    /// Sends rollouts to engines whose version is unknown.
    pub ignore_unknown_version: bool,
    /// Lets each class take all slots, regardless of the guarantee of the other class.
    pub no_share_guarantee: bool,
}
