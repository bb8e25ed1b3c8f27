//! Peers that introduce themselves: whether there is a format that both sides speak, and the refusal
//! of those without.

use super::{Coordinator, Role};
use slog::warn;
use std::net::SocketAddr;
use wingshore_coordination::{FormatRange, with_own_formats};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

impl Coordinator {
    /// Whether a peer can be spoken with; `rest` is what came after its hello. One that cannot is
    /// counted, and named where that is news.
    pub(super) fn speaks_with(&mut self, peer: SocketAddr, rest: &[u8]) -> bool {
        let Err(refusal) = self.refused_peers.negotiate(peer, rest) else {
            return true;
        };
        self.metrics.peer_refused();
        if refusal.is_first {
            warn!(self.logger, "peer refused: no common format";
                "address" => %peer, "peer_formats" => %refusal,
                "own_formats" => %FormatRange::OWN);
        }
        false
    }

    /// Ends the link of a gateway that cannot be spoken with, and tells it which formats are spoken
    /// here.
    pub(super) fn refuse_gateway(&mut self, now: Instant, connection: ConnectionId) {
        let alive = self.alive_message(None);
        self.send_frame(connection, &with_own_formats(&alive));
        self.close_refused(now, connection);
    }

    /// Ends the link of a coordinator that cannot be spoken with. One that dialled does not know yet
    /// which formats are spoken here.
    pub(super) fn refuse_coordinator(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(Role::Link(_)) = self.roles.get(&connection) {
            self.introduce(connection);
        }
        self.close_refused(now, connection);
    }

    /// What still comes on the connection concerns nobody.
    fn close_refused(&mut self, now: Instant, connection: ConnectionId) {
        self.reactor.close_when_flushed(connection);
        self.forget(now, connection);
    }
}
