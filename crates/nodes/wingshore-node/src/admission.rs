//! Decides whether the node may admit new work and act on its copy of the configuration.
//!
//! The decision depends on whether a planned stop has begun, on the configuration with its lease
//! and on the current time:
//!
//! * A stopping node admits nothing.
//! * A node that never received a configuration neither admits requests nor sends attempts.
//! * A node whose lease has expired does so only if its settings allow serving without a lease.
//!
//! Once a lease has expired, the control group assumes that the node no longer uses the servers of
//! an older configuration; work sent later could reach a server that is leaving. The age of the
//! configuration itself does not matter while its lease is valid.

use crate::http::EdgeError;
use std::time::Duration;
use wingshore_request::{ConfigurationView, NotAdmitted};
use wingshore_types::Instant;

/// Retry-after sent by a node that has no configuration or no lease.
const RETRY_AFTER_NO_CONFIGURATION: Duration = Duration::from_millis(500);
/// Retry-after sent by a stopping node: its successor needs a moment to start.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(2);

/// Checks whether new work may be admitted at `now`.
///
/// # Errors
/// Returns the refusal to send to the caller.
pub fn may_admit(
    is_stopping: bool,
    view: &ConfigurationView,
    now: Instant,
) -> Result<(), EdgeError> {
    if is_stopping {
        let refusal = EdgeError::not_run(503, "stopping", "this node is being stopped");
        return Err(refusal.retry_after(RETRY_AFTER_STOP));
    }
    may_act_on_configuration(view, now)
}

/// Checks whether the node may act on its configuration at `now`.
///
/// # Errors
/// Returns the refusal to send to the caller.
pub fn may_act_on_configuration(view: &ConfigurationView, now: Instant) -> Result<(), EdgeError> {
    let refusal = match view.may_admit(now) {
        Ok(()) => return Ok(()),
        Err(NotAdmitted::NoConfiguration) => EdgeError::not_run(
            503,
            "no_configuration",
            "this node has not received the configuration yet",
        ),
        Err(NotAdmitted::LeaseExpired) => EdgeError::not_run(
            503,
            "no_lease",
            "this node has lost its configuration lease and refuses by its settings",
        ),
    };
    Err(refusal.retry_after(RETRY_AFTER_NO_CONFIGURATION))
}
