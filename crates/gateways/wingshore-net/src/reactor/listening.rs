//! Listening sockets of the reactor, and accepting their connections.

use super::{FIRST_LISTENER_TOKEN, Reactor};
use crate::caller::{CallerBuffers, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use crate::event::{ListenSnafu, NetError, NetEvent, SystemSnafu};
use crate::id::ListenerId;
use mio::net::TcpListener;
use mio::{Interest, Token};
use snafu::ResultExt;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Connections accepted from one listener in one poll. Others stay in the kernel's queue until the
/// next one.
const MAX_ACCEPTS_PER_POLL: usize = 16;

/// A listening socket, with the limits for the connections that it accepts.
pub(super) struct Listener {
    socket: TcpListener,
    unacknowledged_limit: Duration,
    max_connections: usize,
    /// Whether its connections are those of callers, whose buffers are in the account.
    serves_callers: bool,
    /// Whether connections may be waiting that were not accepted in the last poll.
    pub(super) is_accept_pending: bool,
    /// Whether the system could not hand one out, for want of a descriptor as a rule.
    has_accept_failed: bool,
}

impl Reactor {
    /// Listens on `address`. New connections are closed at once when the reactor already has
    /// `max_connections` connections, counted over all listeners and outgoing connections.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_connections: usize,
    ) -> Result<ListenerId, NetError> {
        self.add_listener(address, unacknowledged_limit, max_connections, false)
    }

    /// Listens on `address` for callers, whose buffers are counted in the account. While there are
    /// `max_callers` of them, or a few more, new connections wait in the kernel's queue: the process
    /// is to close some.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn listen_for_callers(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_callers: usize,
    ) -> Result<ListenerId, NetError> {
        let id = self.add_listener(address, unacknowledged_limit, max_callers, true)?;
        // Without sizes of their own the buffers grow by themselves, beyond what the account counts.
        // A system that lacks the options still works correctly.
        let socket = SockRef::from(&self.listeners[id.0].socket);
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
        Ok(id)
    }

    fn add_listener(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_connections: usize,
        serves_callers: bool,
    ) -> Result<ListenerId, NetError> {
        let mut socket = TcpListener::bind(address).context(ListenSnafu { address })?;
        let id = ListenerId(self.listeners.len());
        let token = Token(FIRST_LISTENER_TOKEN + id.0);
        self.poll
            .registry()
            .register(&mut socket, token, Interest::READABLE)
            .context(SystemSnafu {
                action: "register a listener",
            })?;
        self.listeners.push(Listener {
            socket,
            unacknowledged_limit,
            max_connections,
            serves_callers,
            is_accept_pending: false,
            has_accept_failed: false,
        });
        Ok(id)
    }

    /// Returns the address of a listener.
    pub fn local_address(&self, listener: ListenerId) -> Option<SocketAddr> {
        self.listeners.get(listener.0)?.socket.local_addr().ok()
    }

    /// Returns whether a listener has connections that were not accepted yet and may be now.
    pub(super) fn may_accept(&self) -> bool {
        let mut listeners = self.listeners.iter();
        listeners.any(|listener| {
            let is_waiting = listener.is_accept_pending && !listener.has_accept_failed;
            is_waiting && self.has_room(listener)
        })
    }

    /// Returns whether a connection of a listener may be accepted.
    fn has_room(&self, listener: &Listener) -> bool {
        // Each listener may exceed the limit by its share of a poll, so that a crowd at one does not
        // keep callers of the others out.
        let surplus = MAX_ACCEPTS_PER_POLL * self.listeners.len();
        !listener.serves_callers || self.caller_count < listener.max_connections + surplus
    }

    /// Accepts connections of a listener, as many as one poll may.
    pub(super) fn accept(&mut self, listener: ListenerId, out: &mut Vec<NetEvent>) {
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            let Some(entry) = self.listeners.get(listener.0) else {
                return;
            };
            if !self.has_room(entry) {
                return;
            }
            let stream = match entry.socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // This connection was reset before it was accepted; others may still be waiting.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(error) => return self.on_accept_error(listener, &error),
            };
            let limit = entry.unacknowledged_limit;
            let serves_callers = entry.serves_callers;
            if !serves_callers && self.connections.len() >= entry.max_connections {
                continue;
            }
            let caller = serves_callers.then(|| CallerBuffers::new(&self.account));
            let registry = self.poll.registry();
            let Some(connection) = self.connections.add(registry, stream, false, limit, caller)
            else {
                continue;
            };
            self.caller_count += usize::from(serves_callers);
            out.push(NetEvent::Accepted {
                listener,
                connection,
            });
        }
    }

    /// Handles the end of the connections that a listener can accept now.
    fn on_accept_error(&mut self, listener: ListenerId, error: &io::Error) {
        let is_empty = error.kind() == ErrorKind::WouldBlock;
        if let Some(listener) = self.listeners.get_mut(listener.0) {
            // Without a descriptor each later poll tries again, and none of them is hurried.
            listener.is_accept_pending = !is_empty;
            listener.has_accept_failed = !is_empty;
        }
    }
}
