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
    /// Nothing was received within the read timeout: the idle limit, or the timeout of the
    /// handshake.
    #[snafu(display("the peer sent nothing within the read timeout"))]
    Idle,
    /// The bytes are not a wingshore frame.
    #[snafu(display("not a wingshore frame: it begins with {found:02x?}"))]
    BadMagic {
        /// The first bytes.
        found: [u8; 4],
    },
    /// The peer uses another wire version.
    #[snafu(display("the peer speaks wire version {theirs}, this process {ours}"))]
    WrongVersion {
        /// This process's version.
        ours: u16,
        /// The peer's version.
        theirs: u16,
    },
    /// The frame body is larger than allowed.
    #[snafu(display("a frame of {length} bytes is larger than the allowed {limit}"))]
    TooLarge {
        /// Length of the body, in bytes.
        length: u64,
        /// Maximum length of the body, in bytes.
        limit: u32,
    },
    /// The body does not match its checksum.
    #[snafu(display("frame checksum is {found:08x}, its header says {expected:08x}"))]
    BadChecksum {
        /// Checksum in the header.
        expected: u32,
        /// Checksum of the received body.
        found: u32,
    },
    /// The body is not a message of this format version.
    #[snafu(display("malformed frame body: {source}"))]
    Malformed {
        /// Error of the decoder or encoder.
        source: postcard::Error,
    },
    /// The body contains bytes after its message.
    #[snafu(display("{count} bytes follow the message in a frame body"))]
    TrailingBytes {
        /// Number of extra bytes.
        count: usize,
    },
    /// The socket failed.
    #[snafu(display("socket error: {source}"))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Why a frame was not queued; no byte of it was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SendError {
    /// The connection is closed or closing.
    #[snafu(display("the connection is closed"))]
    NotConnected,
    /// The outgoing queue is full: the peer reads more slowly than frames are sent to it.
    #[snafu(display("the connection's outgoing queue is full"))]
    QueueFull,
    /// The frame cannot be encoded.
    #[snafu(display("cannot encode the frame: {source}"))]
    Encode {
        /// Error of the encoder.
        source: FrameError,
    },
}

/// Why a connection was not opened; nothing except the handshake was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ConnectError {
    /// The TCP connection could not be established.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The socket connected to itself, because no process listens at the address.
    #[snafu(display("nobody listens at {address}"))]
    SelfConnect {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The handshake failed.
    #[snafu(display("handshake with {address} failed: {source}"))]
    Handshake {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the handshake.
        source: FrameError,
    },
    /// One of the two processes refused the connection.
    #[snafu(display("connection with {address} refused: {}", describe_refusal(refusal)))]
    Refused {
        /// Address of the peer.
        address: SocketAddr,
        /// Reason for the refusal.
        refusal: ConnectionRefusal,
    },
    /// The process at the address is not the expected replica.
    #[snafu(display("{address} is replica {found:?}, expected replica {expected}"))]
    WrongReplica {
        /// Address of the peer.
        address: SocketAddr,
        /// The expected replica.
        expected: ReplicaId,
        /// The replica found, or `None` if the process is not a replica.
        found: Option<ReplicaId>,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a connection thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Why a server could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum BindError {
    /// The server could not listen on the address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start the accepting thread: {source}"))]
    Accept {
        /// Error of the operating system.
        source: io::Error,
    },
}

fn describe_refusal(refusal: &ConnectionRefusal) -> String {
    match refusal {
        ConnectionRefusal::WrongVersion { ours, theirs } => {
            format!("the refusing side speaks wire version {ours}, the other side {theirs}")
        }
        ConnectionRefusal::WrongSite { ours, theirs } => {
            format!("the refusing side belongs to site `{ours}`, the other side to `{theirs}`")
        }
        ConnectionRefusal::TooManyConnections { limit } => {
            format!("the refusing side is at its limit of {limit} connections")
        }
        ConnectionRefusal::NoHello => "the first frame was not a hello".to_owned(),
    }
}
