//! What the events of each connection mean, by its role.

use super::{Coordinator, Link, Role};
use crate::control::ControlConnection;
use wingshore_net::{ConnectionId, ListenerId, NetEvent};
use wingshore_types::Instant;

impl Coordinator {
    /// Something has happened on a socket.
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
            NetEvent::EndOfInput(connection) => self.on_end_of_input(now, connection),
            NetEvent::Broken(connection) | NetEvent::Refused(connection) => {
                self.on_ended(now, connection);
            }
        }
    }

    fn on_received(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_received(now, &mut self.reactor, connection);
            return self.take_call_events(event);
        }
        match self.roles.get(&connection) {
            Some(Role::Control(_)) => self.on_control_input(now, connection),
            Some(Role::Metrics(_)) => self.on_metrics_input(connection),
            Some(Role::Link(_) | Role::Dialed(_)) => self.on_link_input(now, connection),
            None => {}
        }
    }

    /// A connection has ended, or is to end at once.
    pub(super) fn on_ended(&mut self, now: Instant, connection: ConnectionId) {
        if self.calls.owns(connection) {
            let event = self.calls.on_ended(&mut self.reactor, connection);
            return self.take_call_events(event);
        }
        self.reactor.close(connection);
        self.forget(now, connection);
    }

    /// Ends what a link or a dialled connection was for.
    pub(super) fn forget(&mut self, now: Instant, connection: ConnectionId) {
        self.view_feed.leave(connection);
        match self.roles.remove(&connection) {
            Some(Role::Link(Link {
                gateway: Some(gateway),
                ..
            })) => self.on_gateway_ended(now, gateway, connection),
            Some(Role::Dialed(address)) => self.dials.disconnected(now, address),
            _ => {}
        }
        self.on_coordinator_ended(now, connection);
    }

    /// The role of a connection that was accepted.
    fn accepted_role(&self, now: Instant, listener: ListenerId) -> Role {
        if listener == self.listeners.internal {
            Role::Link(Link::default())
        } else if Some(listener) == self.listeners.metrics {
            Role::Metrics(ControlConnection::new(now))
        } else {
            Role::Control(ControlConnection::new(now))
        }
    }

    /// The peer will send no more. A caller that has ended its side still waits for its answer.
    fn on_end_of_input(&mut self, now: Instant, connection: ConnectionId) {
        match self.roles.get_mut(&connection) {
            Some(Role::Control(control)) if control.pending_target.is_some() => {
                control.close_after = true;
            }
            _ => self.on_ended(now, connection),
        }
    }
}
