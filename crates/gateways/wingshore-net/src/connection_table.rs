//! All connections of a reactor, by identities that are never used twice.
//!
//! Owns the sockets and their buffers. A slot is used again for another connection; the generation in
//! the identity distinguishes the two, so that what refers to a connection that is gone finds nothing.

use crate::connection::Connection;
use crate::id::ConnectionId;
use crate::output::OutputQueue;
use bytes::BytesMut;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::time::Duration;

/// The connections.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    slots: Slab<Connection>,
    generation: u64,
}

impl ConnectionTable {
    /// Adds a socket and registers it under its slot; `None` when the system does not take it.
    pub(crate) fn add(
        &mut self,
        registry: &Registry,
        mut stream: TcpStream,
        connecting: bool,
        unacknowledged_limit: Duration,
    ) -> Option<ConnectionId> {
        // Neither option is needed for correctness on systems that lack it.
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
            writable: !connecting,
            needs_flush: false,
            read_pending: false,
        });
        Some(ConnectionId { slot, generation })
    }

    /// The identity of a connection that never had a socket.
    pub(crate) fn id_without_socket(&mut self) -> ConnectionId {
        self.generation += 1;
        ConnectionId {
            slot: usize::MAX,
            generation: self.generation,
        }
    }

    /// The connection in a slot, with its identity.
    pub(crate) fn in_slot(&mut self, slot: usize) -> Option<(ConnectionId, &mut Connection)> {
        let connection = self.slots.get_mut(slot)?;
        let generation = connection.generation;
        Some((ConnectionId { slot, generation }, connection))
    }

    /// A connection that is there.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        let connection = self.slots.get(id.slot)?;
        (connection.generation == id.generation).then_some(connection)
    }

    /// As [`ConnectionTable::get`], to change it.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let connection = self.slots.get_mut(id.slot)?;
        (connection.generation == id.generation).then_some(connection)
    }

    /// Takes a connection out.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.get(id)?;
        Some(self.slots.remove(id.slot))
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }
}
