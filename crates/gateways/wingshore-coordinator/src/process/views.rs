//! Sending the view of the site to the gateways that follow it at this coordinator.

use super::Coordinator;
use crate::view_feed::{FeedLinks, FeedSource};
use bytes::Bytes;
use slog::warn;
use wingshore_net::{ConnectionId, Reactor};

impl FeedLinks<ConnectionId> for Reactor {
    fn queued(&self, link: ConnectionId) -> usize {
        Reactor::queued(self, link)
    }

    fn send(&mut self, link: ConnectionId, frame: &Bytes) {
        self.send_shared(link, frame);
    }
}

impl Coordinator {
    /// Sends gateways the changes of the view since the last iteration of the loop.
    pub(super) fn send_view(&mut self) {
        let source = FeedSource {
            state: self.host.state(),
            applied: self.host.applied_index(),
        };
        if let Err(error) = self.view_feed.send_changes(source, &mut self.reactor) {
            warn!(self.logger, "cannot encode view"; "error" => %error);
        }
    }

    /// Sends the current log index to gateways whose view is up to date.
    pub(super) fn send_view_revision(&mut self) {
        let source = FeedSource {
            state: self.host.state(),
            applied: self.host.applied_index(),
        };
        if let Err(error) = self.view_feed.send_revision(source, &mut self.reactor) {
            warn!(self.logger, "cannot encode view"; "error" => %error);
        }
    }
}
