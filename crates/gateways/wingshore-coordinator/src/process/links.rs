//! Frames on links between the site's processes: decoding, dispatch and sending.

use super::{Coordinator, Link, ReplyTarget, Role};
use bytes::Bytes;
use slog::warn;
use std::time::Duration;
use wingshore_coordination::{CoordinatorFrame, CoordinatorMessage, Event, IncomingFrame, Request};
use wingshore_group::HostInput;
use wingshore_net::{ConnectionId, frame};
use wingshore_types::Instant;

/// Longest hello in bytes. A peer that has not sent one may not make this process keep more.
const MAX_HELLO_BYTES: usize = 64 * 1024;
/// Time within which a peer has to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

impl Coordinator {
    /// Handles all complete frames that have arrived on a link; closes the link at an invalid one.
    pub(super) fn on_link_input(&mut self, now: Instant, connection: ConnectionId) {
        loop {
            let role = self.roles.get(&connection);
            let is_unknown = matches!(role, Some(Role::Link(link)) if link.is_unknown());
            let Some(input) = self.reactor.input(connection) else {
                return;
            };
            let announced = frame::announced_length(input);
            if is_unknown && announced.is_some_and(|length| length > MAX_HELLO_BYTES) {
                warn!(self.logger, "link closed"; "error" => "its hello is too long",
                    "announced_bytes" => announced);
                return self.close_connection(now, connection);
            }
            match frame::decode_with_rest::<IncomingFrame>(input) {
                Ok(Some((frame, rest))) => self.on_frame(now, connection, frame, &rest),
                Ok(None) => return,
                Err(error) => {
                    warn!(self.logger, "link closed"; "error" => %error);
                    return self.close_connection(now, connection);
                }
            }
        }
    }

    /// Handles one frame. `rest` holds the bytes after the message, which newer builds may append.
    fn on_frame(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        frame: IncomingFrame,
        rest: &[u8],
    ) {
        match frame {
            IncomingFrame::Gateway(hello) => {
                if self.shares_format(connection, hello.front, rest) {
                    self.on_gateway_hello(now, connection, hello);
                } else {
                    self.refuse_gateway(now, connection);
                }
            }
            IncomingFrame::FromGateway(message) => {
                if let Some(Role::Link(Link {
                    gateway: Some(gateway),
                    ..
                })) = self.roles.get(&connection)
                {
                    let gateway = *gateway;
                    self.on_gateway_message(now, connection, gateway, message);
                }
            }
            IncomingFrame::Coordinator(frame) => {
                self.on_coordinator_frame(now, connection, frame, rest);
            }
        }
    }

    /// Closes accepted links whose peer has not sent its hello in time.
    pub(super) fn close_unknown_links(&mut self, now: Instant) {
        let roles = self.roles.iter();
        let unknown = roles.filter(|(_, role)| match role {
            Role::Link(link) => link.is_unknown() && now.since(link.accepted_at) >= HELLO_TIMEOUT,
            _ => false,
        });
        let unknown: Vec<ConnectionId> = unknown.map(|(connection, _)| *connection).collect();
        for connection in unknown {
            warn!(self.logger, "link closed"; "error" => "no hello in time");
            self.close_connection(now, connection);
        }
    }

    fn on_coordinator_frame(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        frame: CoordinatorFrame,
        rest: &[u8],
    ) {
        match frame {
            CoordinatorFrame::Hello(hello) => {
                if self.shares_format(connection, hello.internal, rest) {
                    self.on_coordinator_hello(now, connection, hello);
                } else {
                    self.refuse_coordinator(now, connection);
                }
            }
            CoordinatorFrame::Heard(servers) => {
                if let Some(from) = self.peers.peer_of(connection) {
                    let event = Event::ServersReported { from, servers };
                    self.inputs.push(HostInput::Event(event));
                }
            }
            CoordinatorFrame::UnknownServers(instances) => self.heartbeats.forget(&instances),
            CoordinatorFrame::Heartbeat { id, heartbeat } => {
                let reply_target = ReplyTarget::Coordinator(connection, id);
                self.submit(Request::Heartbeat(heartbeat), reply_target);
            }
            CoordinatorFrame::HeartbeatReply { id, answer } => {
                self.on_heartbeat_reply(now, id, answer);
            }
            CoordinatorFrame::Consensus(message) => {
                if let Some(from) = self.peers.peer_of(connection) {
                    self.peers.record_message(now, from);
                    self.inputs.push(HostInput::Consensus { from, message });
                }
            }
        }
    }

    /// Queues a frame on a link. A long one, as of a snapshot, is queued without a copy.
    pub(super) fn send_frame<M: serde::Serialize>(
        &mut self,
        connection: ConnectionId,
        message: &M,
    ) {
        match frame::encode(message) {
            Ok(bytes) => self.reactor.send_shared(connection, &Bytes::from(bytes)),
            Err(error) => warn!(self.logger, "cannot encode frame"; "error" => %error),
        }
    }

    /// Queues a frame for each connected gateway.
    pub(super) fn send_to_all_gateways(&mut self, message: &CoordinatorMessage) {
        match frame::encode(message) {
            Ok(bytes) => {
                for gateway in self.directory.iter() {
                    self.reactor.send(gateway.connection, &bytes);
                }
            }
            Err(error) => warn!(self.logger, "cannot encode frame"; "error" => %error),
        }
    }
}
