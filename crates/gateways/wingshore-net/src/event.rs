//! What a reactor reports, and how it is asked to connect.

use crate::id::{ConnectionId, ListenerId};
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetEvent {
    /// A peer has connected.
    Accepted {
        /// At which listener.
        listener: ListenerId,
        /// The new connection.
        connection: ConnectionId,
    },
    /// A connection that was asked for is up.
    Connected(ConnectionId),
    /// Bytes were added to the input buffer.
    Received(ConnectionId),
    /// The peer will send no more; all it sent is in the input buffer. The connection stays
    /// until it is closed.
    EndOfInput(ConnectionId),
    /// The connection broke or never came up; its input buffer is gone.
    Broken(ConnectionId),
    /// The connection never came up: nobody listens at the address.
    Refused(ConnectionId),
}

/// Why a socket cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// The readiness facility of the system failed.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        /// What was tried.
        action: &'static str,
        /// From the system.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// From the system.
        source: io::Error,
    },
}

/// How a connection is made.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// Longest time that sent bytes may stay unacknowledged before the connection counts as broken.
    pub unacknowledged_limit: Duration,
}
