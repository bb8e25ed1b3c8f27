//! The connections of a reactor, by identifiers that are never reused.
//!
//! The table owns the sockets and their buffers. Its slots are reused; the generation in an
//! identifier distinguishes the connections of one slot, so that a stale identifier finds no
//! connection.

use crate::caller::CallerBuffers;
use crate::connection::Connection;
use crate::id::ConnectionId;
use crate::output::OutputQueue;
use bytes::BytesMut;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::time::Duration;

/// The connections of a reactor by [`ConnectionId`].
#[derive(Default)]
pub(crate) struct ConnectionTable {
    slots: Slab<Connection>,
    generation: u64,
}

impl ConnectionTable {
    /// Adds a socket and registers it with its slot as the token; `None` when the registration
    /// fails.
    pub(crate) fn add(
        &mut self,
        registry: &Registry,
        mut stream: TcpStream,
        connecting: bool,
        unacknowledged_limit: Duration,
        caller: Option<CallerBuffers>,
    ) -> Option<ConnectionId> {
        // Both options are optional: systems that lack them still work correctly.
        let _ = stream.set_nodelay(true);
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(unacknowledged_limit));
        self.generation += 1;
        let generation = self.generation;
        let entry = self.slots.vacant_entry();
        let slot = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, Token(slot), interest).ok()?;
        entry.insert(Connection {
            stream,
            generation,
            input: BytesMut::new(),
            output: OutputQueue::default(),
            connecting,
            input_ended: false,
            end_signalled: false,
            close_when_flushed: false,
            awaits_end: false,
            writable: !connecting,
            needs_flush: false,
            read_pending: false,
            is_touched: false,
            sent: 0,
            caller,
        });
        Some(ConnectionId { slot, generation })
    }

    /// Returns a new identifier for a connection that never gets a socket.
    pub(crate) fn id_without_socket(&mut self) -> ConnectionId {
        self.generation += 1;
        ConnectionId {
            slot: usize::MAX,
            generation: self.generation,
        }
    }

    /// Returns the connection in a slot, with its identifier.
    pub(crate) fn in_slot(&mut self, slot: usize) -> Option<(ConnectionId, &mut Connection)> {
        let connection = self.slots.get_mut(slot)?;
        let generation = connection.generation;
        Some((ConnectionId { slot, generation }, connection))
    }

    /// Returns a connection; `None` if it was removed.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        let connection = self.slots.get(id.slot)?;
        (connection.generation == id.generation).then_some(connection)
    }

    /// Returns a mutable reference to a connection; `None` if it was removed.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let connection = self.slots.get_mut(id.slot)?;
        (connection.generation == id.generation).then_some(connection)
    }

    /// Removes and returns a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.get(id)?;
        Some(self.slots.remove(id.slot))
    }

    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }
}
