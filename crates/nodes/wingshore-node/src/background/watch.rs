//! Keeps the copy of the configuration and its lease up to date.
//!
//! Relies on the watcher's thread, which calls it for each watch and each answer. A lease counts
//! from the sending of the watch whose answer carried it.

use crate::state::NodeState;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use wingshore_client::WatchHandler;
use wingshore_clock::BootTime;
use wingshore_request::UpdateOutcome;
use wingshore_types::protocol::control::{ConfigurationUpdate, NodeAcknowledgement, WatchRequest};

/// Longest time a watch waits for news.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// A watch waits no longer than this part of the lease, so that waiting never costs it. Without
/// this bound a node with a lease shorter than [`MAX_WATCH_WAIT`] had none between two watches.
const LEASE_DIVISOR: u32 = 3;

/// Applies what the watch of the configuration brings.
pub struct NodeWatch {
    node: Arc<NodeState>,
    wait: Duration,
}

impl NodeWatch {
    /// A handler for `node`.
    pub fn new(node: Arc<NodeState>) -> Self {
        Self {
            node,
            wait: Duration::ZERO,
        }
    }
}

impl WatchHandler for NodeWatch {
    /// Without a lease the watch waits for nothing: its answer brings one, also without news.
    fn next_watch(&mut self) -> WatchRequest {
        let view = self.node.view();
        let position = view.watch_position();
        let wait = match view.holds_lease(self.node.clock.now()) {
            true => self.wait,
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
            wait_ms: wait.as_millis() as u64,
        }
    }

    /// The router has the new configuration before it is acknowledged, and before the lease that
    /// came with it counts: both happen under the lock of the view.
    fn on_update(&mut self, sent_at: BootTime, update: ConfigurationUpdate, lease_ms: u64) {
        let lease = Duration::from_millis(lease_ms);
        self.wait = MAX_WATCH_WAIT.min(lease / LEASE_DIVISOR);
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
                    "configuration update does not fit; asking for the whole"
                );
            }
        }
    }

    fn on_failure(&mut self, reason: &str) {
        warn!(self.node.diagnostics.logger(), "configuration watch failed";
            "reason" => reason.to_owned());
    }
}
