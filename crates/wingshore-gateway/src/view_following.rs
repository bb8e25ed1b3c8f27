//! The view of the site: where it is followed, and what follows from its changes.

use crate::process::Gateway;
use crate::view::UpdateVerdict;
use slog::info;
use std::net::SocketAddr;
use wingshore_coordination::{GatewayMessage, IncomingFrame, ViewContent, ViewUpdate};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// The view is followed at another coordinator from now on.
pub(crate) struct ViewSourceChange {
    /// The link to the one before, if it is still up.
    pub(crate) before: Option<ConnectionId>,
    pub(crate) address: SocketAddr,
    pub(crate) connection: ConnectionId,
}

impl Gateway {
    /// Follows the view where it is best told.
    pub(crate) fn follow_view(&mut self, now: Instant) {
        let place = (self.site.zone.as_str(), self.id.0);
        let since = self.site.view.revision();
        let change = self.site.coordinators.choose_view_source(now, place, since);
        let Some(change) = change else {
            return;
        };
        info!(self.runtime.logger, "view followed"; "address" => %change.address,
            "revision" => since.map(|since| since.0));
        if let Some(before) = change.before {
            let message = GatewayMessage::LeaveView;
            self.send_frame(before, &IncomingFrame::FromGateway(message));
        }
        self.ask_for_view(change.connection);
    }

    fn ask_for_view(&mut self, connection: ConnectionId) {
        let since = self.site.view.revision();
        let message = GatewayMessage::FollowView { since };
        self.send_frame(connection, &IncomingFrame::FromGateway(message));
    }

    /// A coordinator has told the view, or changes of it.
    pub(crate) fn on_view(&mut self, now: Instant, connection: ConnectionId, update: ViewUpdate) {
        let version = self.site.view.version();
        let changes = match &update.content {
            ViewContent::Whole(_) => None,
            ViewContent::Changes { changes, .. } => Some(changes.clone()),
        };
        match self.site.view.update(update) {
            UpdateVerdict::Taken => {}
            UpdateVerdict::Old => return,
            UpdateVerdict::Gap => return self.ask_for_view(connection),
        }
        match changes {
            Some(changes) => {
                for change in &changes {
                    self.note_change(now, change);
                }
            }
            None => {
                self.servers_registered(now);
                self.start_scorings(now);
            }
        }
        self.view_changed(version);
    }

    /// Something in the view is new.
    fn view_changed(&mut self, version_before: u64) {
        if self.site.view.version() != version_before {
            info!(self.runtime.logger, "configuration"; "version" => self.site.view.version(),
                "before" => version_before);
            self.tell_status();
        }
    }
}
