//! Identifiers of sockets.

/// Identifier of a connection; a reactor never reuses it for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u64,
}

/// Identifier of a reactor's listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub(crate) usize);
