//! Negotiation of the message format with peers that introduce themselves, and refusal of peers
//! without a common format.

use super::{Coordinator, Role};
use slog::warn;
use std::net::SocketAddr;
use wingshore_coordination::{FormatRange, with_own_formats};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

impl Coordinator {
    /// Returns whether a peer shares a message format with this build, and records the format of
    /// the link; `rest` holds the bytes after its hello message. A peer that shares none is
    /// counted, and logged unless it already was.
    pub(super) fn shares_format(
        &mut self,
        connection: ConnectionId,
        peer: SocketAddr,
        rest: &[u8],
    ) -> bool {
        let refusal = match self.refused_peers.negotiate(peer, rest) {
            Ok(format) => {
                if let Some(Role::Link(link)) = self.roles.get_mut(&connection) {
                    link.format = Some(format);
                }
                return true;
            }
            Err(refusal) => refusal,
        };
        self.metrics.peer_refused();
        if refusal.is_first {
            warn!(self.logger, "peer refused: no common format";
                "address" => %peer, "peer_formats" => %refusal,
                "own_formats" => %FormatRange::OWN);
        }
        false
    }

    /// Closes the link of a gateway without a common format, after sending it the formats of this
    /// build.
    pub(super) fn refuse_gateway(&mut self, now: Instant, connection: ConnectionId) {
        let alive = self.alive_message(None);
        self.send_frame(connection, &with_own_formats(&alive));
        self.close_refused(now, connection);
    }

    /// Closes the link of a coordinator without a common format. If the coordinator opened the
    /// connection, it is first sent a hello, since it does not know the formats of this build yet.
    pub(super) fn refuse_coordinator(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(Role::Link(_)) = self.roles.get(&connection) {
            self.send_hello(connection);
        }
        self.close_refused(now, connection);
    }

    /// Closes a refused connection once its output is sent; further input on it is ignored.
    fn close_refused(&mut self, now: Instant, connection: ConnectionId) {
        self.reactor.close_when_flushed(connection);
        self.remove_connection(now, connection);
    }
}
