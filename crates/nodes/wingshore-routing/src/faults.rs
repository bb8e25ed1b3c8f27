//! Deliberate faults, switched on only by tests that prove that a checker notices them.

/// Each field breaks one promise; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Retries requests that must not be repeated although they may have run.
    pub retry_on_may_have_run: bool,
    /// Sends new work to servers that are leaving.
    pub ignore_draining: bool,
    /// Sends rollouts to engines whose version is unknown.
    pub ignore_unknown_version: bool,
    /// Lets either class take every slot.
    pub no_share_guarantee: bool,
}
