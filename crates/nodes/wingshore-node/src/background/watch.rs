//! Keeps the copy of the configuration and its lease up to date.
//!
//! The watcher thread calls the handler for each watch and each answer. A lease starts at the time
//! when the watch was sent whose answer carried the lease.

use crate::state::NodeState;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use wingshore_client::WatchHandler;
use wingshore_clock::BootTime;
use wingshore_request::UpdateOutcome;
use wingshore_types::protocol::control::{ConfigurationUpdate, NodeAcknowledgement, WatchRequest};

/// Maximum time that a watch waits for a new configuration.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Divisor of the lease duration that bounds the wait of a watch, so that the lease does not expire
/// during the wait. Without this bound a node whose lease is shorter than [`MAX_WATCH_WAIT`] would
/// hold no lease between two watches.
const LEASE_DIVISOR: u32 = 3;

/// Applies the updates of the configuration watch.
pub struct NodeWatch {
    node: Arc<NodeState>,
    max_wait: Duration,
}

impl NodeWatch {
    /// Creates the handler for `node`.
    pub fn new(node: Arc<NodeState>) -> Self {
        Self {
            node,
            max_wait: Duration::ZERO,
        }
    }
}

impl WatchHandler for NodeWatch {
    /// Returns the next watch request. Without a lease the watch does not wait, because its answer
    /// carries a lease even if the configuration is unchanged.
    fn next_watch(&mut self) -> WatchRequest {
        let view = self.node.view();
        let position = view.watch_position();
        let max_wait = match view.holds_lease(self.node.clock.now()) {
            true => self.max_wait,
            false => Duration::ZERO,
        };
        drop(view);
        WatchRequest {
            have: position.have,
            acknowledgements: vec![NodeAcknowledgement {
                node: self.node.settings.node.clone(),
                boot_id: self.node.boot_id,
                in_force: position.in_force,
            }],
            wait_ms: max_wait.as_millis() as u64,
        }
    }

    /// Applies an update. The lock of the view is held until the router has the new configuration,
    /// so the router gets it before the node acknowledges it and before the new lease takes effect.
    fn on_update(&mut self, sent_at: BootTime, update: ConfigurationUpdate, lease_ms: u64) {
        let lease = Duration::from_millis(lease_ms);
        self.max_wait = MAX_WATCH_WAIT.min(lease / LEASE_DIVISOR);
        let node = &self.node;
        let sent_at = node.clock.at(sent_at);
        let mut view = node.view();
        let outcome = view.apply(sent_at, update, lease);
        let logger = node.diagnostics.logger();
        match outcome {
            UpdateOutcome::Unchanged => {}
            UpdateOutcome::Advanced { from, to } => {
                let now = node.clock.now();
                node.router().on_configuration(now, view.configuration());
                node.metrics.configuration_revision.set(to.0 as i64);
                info!(logger, "configuration in force"; "from" => from.0, "to" => to.0);
            }
            UpdateOutcome::Older { offered } => {
                warn!(logger, "older configuration ignored"; "offered" => offered.0);
            }
            UpdateOutcome::Inapplicable => {
                warn!(
                    logger,
                    "configuration update is not applicable; requesting the full configuration"
                );
            }
        }
    }

    fn on_failure(&mut self, reason: &str) {
        warn!(self.node.diagnostics.logger(), "configuration watch failed";
            "reason" => reason.to_owned());
    }
}
