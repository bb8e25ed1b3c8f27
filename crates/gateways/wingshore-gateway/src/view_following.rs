//! Updates of the site's view: selects the coordinator that sends them, and applies them.
//!
//! Owns the choice of the coordinator that is followed; relies on the links for candidates, and on
//! [`View`] for which updates are applied.

use crate::coordinators::{Coordinators, send};
use crate::runtime::Runtime;
use crate::view::{UpdateOutcome, View};
use crate::view_source::{ChoiceInputs, ViewSource};
use slog::info;
use std::net::SocketAddr;
use wingshore_coordination::{GatewayMessage, ViewChange, ViewContent, ViewUpdate};
use wingshore_net::ConnectionId;

/// Content of an update that was applied.
pub(crate) enum AppliedUpdate {
    /// The whole view.
    Whole,
    /// These changes.
    Changes(Vec<ViewChange>),
}

/// Follows the view at one coordinator at a time.
pub(crate) struct ViewFollower {
    source: ViewSource,
    /// Spreads the gateways of a site over equally suitable coordinators.
    salt: u64,
}

impl ViewFollower {
    /// Starts without a coordinator to follow.
    pub(crate) fn new(salt: u64) -> Self {
        Self {
            source: ViewSource::default(),
            salt,
        }
    }

    /// Handles the end of the link to a coordinator.
    pub(crate) fn link_ended(&mut self, address: SocketAddr) {
        self.source.link_ended(address);
    }

    /// Selects the best coordinator for a gateway in `zone`, and follows the view there if it is a
    /// new one. Returns the new one.
    pub(crate) fn follow(
        &mut self,
        runtime: &mut Runtime,
        coordinators: &Coordinators,
        view: &View,
        zone: &str,
    ) -> Option<SocketAddr> {
        let now = runtime.now;
        let candidates = coordinators.view_candidates(now, zone);
        let choice = ChoiceInputs {
            candidates: &candidates,
            known: view.revision(),
            salt: self.salt,
        };
        let previous = self.source.current();
        let address = self.source.choose(now, &choice)?;
        let connection = coordinators.connection(address)?;
        info!(runtime.logger, "view followed"; "address" => %address,
            "revision" => view.revision().map(|since| since.0));
        let previous = previous.and_then(|previous| coordinators.connection(previous));
        if let Some(previous) = previous {
            send(runtime, previous, GatewayMessage::LeaveView);
        }
        ask_for_view(runtime, connection, view);
        Some(address)
    }
}

/// Asks a coordinator for the view from the revision of `view` on.
fn ask_for_view(runtime: &mut Runtime, connection: ConnectionId, view: &View) {
    let since = view.revision();
    send(runtime, connection, GatewayMessage::FollowView { since });
}

/// Applies an update of the view that arrived on `connection`; `None` if nothing was applied.
pub(crate) fn apply_update(
    runtime: &mut Runtime,
    view: &mut View,
    connection: ConnectionId,
    update: ViewUpdate,
) -> Option<AppliedUpdate> {
    let applied = match &update.content {
        ViewContent::Whole(_) => AppliedUpdate::Whole,
        ViewContent::Changes { changes, .. } => AppliedUpdate::Changes(changes.clone()),
    };
    match view.update(update) {
        UpdateOutcome::Applied => Some(applied),
        UpdateOutcome::Stale => None,
        UpdateOutcome::Gap => {
            ask_for_view(runtime, connection, view);
            None
        }
    }
}
