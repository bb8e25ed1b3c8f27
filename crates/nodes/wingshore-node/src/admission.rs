//! Whether the node may take new work, and act on its copy of the configuration.
//!
//! Question: may a request be admitted, or its next attempt be sent, now?
//! Inputs: whether a planned stop has begun, the copy of the configuration with its lease, and the
//! present time.
//! Rule: a node that stops admits nothing. A node that never received a configuration neither
//! admits nor sends. A node whose lease has run out does so only if its settings say that it serves
//! without one.
//! Why: the control group acts on the end of a lease as on a node that no longer uses the servers
//! of an older configuration; work sent later could reach a server that is leaving.
//! Old or missing inputs: a copy is as good as its lease, however old; without one it is refused.

use crate::http::EdgeError;
use std::time::Duration;
use wingshore_request::{ConfigurationView, NotAdmitted};
use wingshore_types::Instant;

/// Retry-after of a node that has no configuration or no lease.
const RETRY_AFTER_NO_CONFIGURATION: Duration = Duration::from_millis(500);
/// Retry-after of a node that stops: its successor needs a moment to start.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(2);

/// Whether new work may be taken at `now`.
///
/// # Errors
/// The refusal for the caller.
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

/// Whether the configuration may be acted on at `now`.
///
/// # Errors
/// The refusal for the caller.
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
