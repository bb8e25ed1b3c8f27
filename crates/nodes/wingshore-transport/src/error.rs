//! Errors of the transport.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::wire::ConnectionRefusal;

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FrameError {
    /// The peer closed the connection between two frames.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// The bytes end inside a frame.
    #[snafu(display("the connection ended inside a frame"))]
    Truncated,
    /// Nothing came for longer than the idle limit.
    #[snafu(display("the peer was silent for too long"))]
    Idle,
    /// The bytes are not a frame of wingshore.
    #[snafu(display("not a wingshore frame: it begins with {found:02x?}"))]
    BadMagic {
        /// The first bytes.
        found: [u8; 4],
    },
    /// The peer speaks another format.
    #[snafu(display("the peer speaks wire version {theirs}, this process {ours}"))]
    WrongVersion {
        /// This process's version.
        ours: u16,
        /// The peer's version.
        theirs: u16,
    },
    /// The frame is larger than allowed.
    #[snafu(display("a frame of {length} bytes is larger than the allowed {limit}"))]
    TooLarge {
        /// Its length in bytes.
        length: u64,
        /// The most that is allowed here, in bytes.
        limit: u32,
    },
    /// The body does not match its checksum.
    #[snafu(display("frame checksum is {found:08x}, its header says {expected:08x}"))]
    BadChecksum {
        /// From the header.
        expected: u32,
        /// Of the bytes.
        found: u32,
    },
    /// The body is not a message of this format version.
    #[snafu(display("malformed frame body: {source}"))]
    Malformed {
        /// From the codec.
        source: postcard::Error,
    },
    /// The body goes on after its message.
    #[snafu(display("{count} bytes follow the message in a frame body"))]
    TrailingBytes {
        /// How many.
        count: usize,
    },
    /// The socket failed.
    #[snafu(display("socket: {source}"))]
    Io {
        /// From the system.
        source: io::Error,
    },
}

/// Why a frame was not queued; no byte of it left.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SendError {
    /// The connection is closed or closing.
    #[snafu(display("the connection is closed"))]
    NotConnected,
    /// The peer reads more slowly than frames are sent to it.
    #[snafu(display("the connection's outgoing queue is full"))]
    QueueFull,
    /// The frame cannot be encoded.
    #[snafu(display("cannot encode the frame: {source}"))]
    Encode {
        /// Why.
        source: FrameError,
    },
}

/// Why a connection was not opened; nothing but the handshake was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ConnectError {
    /// No connection.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// From the system.
        source: io::Error,
    },
    /// The connection ended up at its own socket, because nobody listens there.
    #[snafu(display("nobody listens at {address}"))]
    SelfConnect {
        /// Where to.
        address: SocketAddr,
    },
    /// The handshake failed.
    #[snafu(display("handshake with {address}: {source}"))]
    Handshake {
        /// With whom.
        address: SocketAddr,
        /// Why.
        source: FrameError,
    },
    /// One side refused the other.
    #[snafu(display("connection with {address} refused: {}", explain(refusal)))]
    Refused {
        /// With whom.
        address: SocketAddr,
        /// Why.
        refusal: ConnectionRefusal,
    },
    /// Another replica listens there than the one that was expected.
    #[snafu(display("{address} is replica {found:?}, expected replica {expected}"))]
    WrongReplica {
        /// With whom.
        address: SocketAddr,
        /// Who was expected.
        expected: ReplicaId,
        /// Who is there.
        found: Option<ReplicaId>,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a connection thread: {source}"))]
    Thread {
        /// From the system.
        source: io::Error,
    },
}

/// Why a server could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum BindError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: SocketAddr,
        /// From the system.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start the accepting thread: {source}"))]
    Accept {
        /// From the system.
        source: io::Error,
    },
}

fn explain(refusal: &ConnectionRefusal) -> String {
    match refusal {
        ConnectionRefusal::WrongVersion { ours, theirs } => {
            format!("the refusing side speaks wire version {ours}, the other side {theirs}")
        }
        ConnectionRefusal::WrongSite { ours, theirs } => {
            format!("the refusing side belongs to site `{ours}`, the other side to `{theirs}`")
        }
        ConnectionRefusal::TooManyConnections { limit } => {
            format!("it holds all {limit} connections it may")
        }
        ConnectionRefusal::NoHello => "the first frame was not a hello".to_owned(),
    }
}
