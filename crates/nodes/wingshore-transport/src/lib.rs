//! Framed `postcard` messages over TCP between wingshore processes.
//!
//! A [`Server`] accepts connections and passes their frames to a [`FrameHandler`]. A [`Connection`]
//! is an outgoing connection; a [`Peer`] keeps one open to a replica for consensus messages. Both
//! sides check wire version and site in the handshake, send [`Frame::KeepAlive`] on idle
//! connections, and close connections that receive nothing, so that a silently partitioned peer is
//! detected.
//!
//! [`Frame::KeepAlive`]: wingshore_types::protocol::wire::Frame::KeepAlive

mod codec;
mod connection;
mod error;
mod handshake;
mod outgoing;
mod peer;
mod queue;
mod server;
mod traffic;

pub use codec::{HEADER_BYTES, MAX_FRAME_BYTES, MAX_HELLO_BYTES, encode, read_frame};
pub use connection::{ConnectionHandle, ConnectionId, FrameHandler, IDLE_LIMIT};
pub use error::{BindError, ConnectError, FrameError, SendError};
pub use outgoing::{ConnectOptions, Connection};
pub use peer::{Peer, PeerOptions};
pub use server::{Server, ServerOptions};
pub use traffic::{Traffic, TrafficCollector};
