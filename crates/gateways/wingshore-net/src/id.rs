//! Identities of sockets.

/// One connection in the life of one reactor; never used for a second connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    pub(crate) slot: usize,
    pub(crate) generation: u64,
}

/// One listening socket of a reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub(crate) usize);
