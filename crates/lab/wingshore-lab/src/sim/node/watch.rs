//! Keeps the copy of the configuration and its lease up to date, and the router with it.

use super::core::{GroupPurpose, NodeContext};
use crate::sim::client::CallResult;
use std::time::Duration;
use wingshore_request::UpdateOutcome;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, NodeAcknowledgement, WatchRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant};

/// Longest time a watch waits for news.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// A watch waits no longer than this part of the lease.
const LEASE_DIVISOR: u32 = 3;
/// Time for one watch beyond what it asks the other side to wait.
const CALL_MARGIN: Duration = Duration::from_millis(1500);
/// Pause after a watch that failed or was refused.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The long poll for configuration.
pub struct Watch {
    wait: Duration,
    next_at: Option<Instant>,
}

impl Watch {
    /// A watch that begins at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            wait: Duration::ZERO,
            next_at: Some(now),
        }
    }

    /// When [`Watch::on_wake`] is wanted.
    pub fn next_wake(&self) -> Option<Instant> {
        self.next_at
    }

    /// Sends the next watch when it is due.
    pub fn on_wake(&mut self, context: &mut NodeContext<'_>) {
        if self.next_at.is_none_or(|at| at > context.now) {
            return;
        }
        self.next_at = None;
        let position = context.core.view.watch_position();
        let request = WatchRequest {
            have: position.have,
            acknowledgements: vec![NodeAcknowledgement {
                node: context.core.settings.node.clone(),
                boot_id: context.core.boot_id,
                in_force: position.in_force,
            }],
            wait_ms: self.wait.as_millis() as u64,
        };
        let body = GroupRequest::Control(ControlRequest::Watch(request));
        let purpose = GroupPurpose::Watch(context.now);
        context.ask(GroupId::Control, body, self.wait + CALL_MARGIN, purpose);
    }

    /// Takes the answer to the watch that was sent at `sent_at`.
    pub fn on_result(
        &mut self,
        context: &mut NodeContext<'_>,
        sent_at: Instant,
        result: CallResult,
    ) {
        match result {
            Ok(GroupReply::Control(ControlReply::Update { update, lease_ms })) => {
                self.next_at = Some(context.now);
                self.apply(context, sent_at, update, Duration::from_millis(lease_ms));
            }
            Ok(_) | Err(_) => self.next_at = Some(context.now + FAILURE_PAUSE),
        }
    }

    fn apply(
        &mut self,
        context: &mut NodeContext<'_>,
        sent_at: Instant,
        update: ConfigurationUpdate,
        lease: Duration,
    ) {
        self.wait = MAX_WATCH_WAIT.min(lease / LEASE_DIVISOR);
        let outcome = context.core.view.apply(sent_at, update, lease);
        if let UpdateOutcome::Advanced { .. } = outcome {
            let configuration = context.core.configuration();
            let router = &mut context.core.router;
            router.on_configuration(context.now, &configuration);
            context.record_revision();
        }
    }
}
