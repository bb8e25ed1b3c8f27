//! Events and errors of a reactor, and options for outgoing connections.

use crate::id::{ConnectionId, ListenerId};
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A change of a connection that [`Reactor::poll`](crate::Reactor::poll) reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetEvent {
    /// A connection was accepted.
    Accepted {
        /// The listener that accepted it.
        listener: ListenerId,
        /// The new connection.
        connection: ConnectionId,
    },
    /// An outgoing connection was established.
    Connected(ConnectionId),
    /// Bytes were appended to the connection's input buffer.
    Received(ConnectionId),
    /// All bytes that were queued for a caller have been sent, as asked for with
    /// [`Reactor::report_sent`](crate::Reactor::report_sent).
    Sent(ConnectionId),
    /// The peer has ended its side of the connection; all that it sent is in the input buffer. The
    /// connection stays open until [`Reactor::close`](crate::Reactor::close).
    EndOfInput(ConnectionId),
    /// The connection failed or could not be established; its input buffer was dropped.
    Broken(ConnectionId),
    /// An outgoing connection was refused: nothing listens at the address.
    Refused(ConnectionId),
}

/// Why the reactor or one of its listeners cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// A call of the system's readiness API (epoll or similar) failed.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        /// The action that failed.
        action: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

/// Options of an outgoing connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Longest time that sent bytes may stay unacknowledged before the connection fails (the TCP
    /// user timeout).
    pub unacknowledged_limit: Duration,
}
