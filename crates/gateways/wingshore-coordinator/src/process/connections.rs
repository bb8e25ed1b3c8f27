//! Dispatches socket events by the role of their connection.

use super::{Coordinator, Link, Role};
use crate::control::{ControlConnection, MAX_BODY_BYTES, MAX_UNUSED_BODY_BYTES};
use wingshore_net::{ConnectionId, ListenerId, NetEvent};
use wingshore_types::Instant;

impl Coordinator {
    /// Handles one event of the reactor.
    pub(super) fn on_net_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Accepted {
                listener,
                connection,
            } => {
                let role = self.accepted_role(now, listener);
                self.roles.insert(connection, role);
            }
            NetEvent::Connected(connection) => self.on_connected(connection),
            NetEvent::Received(connection) => self.on_received(now, connection),
            // The next request of the caller may be waiting for that.
            NetEvent::Sent(connection) => self.on_control_input(now, connection),
            NetEvent::EndOfInput(connection) => self.on_end_of_input(now, connection),
            NetEvent::Broken(connection) | NetEvent::Refused(connection) => {
                self.close_connection(now, connection);
            }
        }
    }

    fn on_received(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_received(&mut self.reactor, connection);
            return self.take_call_events(event);
        }
        match self.roles.get(&connection) {
            Some(Role::Control(_)) => self.on_control_input(now, connection),
            Some(Role::Metrics(_)) => self.on_metrics_input(now, connection),
            Some(Role::Link(_) | Role::Dialed(_)) => self.on_link_input(now, connection),
            None => {}
        }
    }

    /// Closes a connection that has ended or is to end, and drops all that refers to it.
    pub(super) fn close_connection(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_ended(&mut self.reactor, connection);
            return self.take_call_events(event);
        }
        self.reactor.close(connection);
        self.remove_connection(now, connection);
    }

    /// Removes a connection's role, and marks its gateway or coordinator as disconnected.
    pub(super) fn remove_connection(&mut self, now: Instant, connection: ConnectionId) {
        self.view_feed.leave(connection);
        self.gateway_feed.leave(connection);
        match self.roles.remove(&connection) {
            Some(Role::Link(Link {
                gateway: Some(gateway),
                ..
            })) => self.on_gateway_disconnected(now, gateway, connection),
            Some(Role::Dialed(address)) => self.dials.disconnected(now, address),
            _ => {}
        }
        self.on_coordinator_disconnected(now, connection);
    }

    /// Returns the role of an accepted connection, by its listener.
    fn accepted_role(&self, now: Instant, listener: ListenerId) -> Role {
        if listener == self.listeners.internal {
            Role::Link(Link::new(now))
        } else {
            self.caller_role(now, listener)
        }
    }

    /// Returns the role of a caller's connection, by its listener.
    fn caller_role(&self, now: Instant, listener: ListenerId) -> Role {
        let account = self.reactor.account();
        let with_bodies = |max_body| ControlConnection::new(now, account, max_body);
        if Some(listener) == self.listeners.metrics {
            Role::Metrics(with_bodies(MAX_UNUSED_BODY_BYTES))
        } else if Some(listener) == self.listeners.directory {
            Role::Control(with_bodies(MAX_UNUSED_BODY_BYTES))
        } else {
            let largest = self.settings.callers.largest_body;
            Role::Control(with_bodies(largest.min(MAX_BODY_BYTES)))
        }
    }

    /// Handles the end of a peer's input. A caller that shut down its side of the connection may
    /// still wait for an answer, so its connection is closed only after the answer.
    fn on_end_of_input(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_end_of_input(&mut self.reactor, connection);
            return self.take_call_events(event);
        }
        match self.roles.get_mut(&connection) {
            Some(Role::Control(control)) if control.pending_target.is_some() => {
                control.close_after = true;
            }
            _ => self.close_connection(now, connection),
        }
    }
}
