//! Outgoing connections.

use crate::connection::{
    ConnectionHandle, FrameHandler, configure_after_handshake, configure_for_handshake,
};
use crate::error::{
    ConnectError, ConnectSnafu, HandshakeSnafu, RefusedSnafu, SelfConnectSnafu, ThreadSnafu,
    WrongReplicaSnafu,
};
use crate::handshake::{self, HandshakeError};
use snafu::{IntoError, ResultExt, ensure};
use std::net::{SocketAddr, TcpStream};
use std::ops::Deref;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::wire::{Hello, WIRE_VERSION};

/// How to open a connection.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// Site that both processes must belong to.
    pub site: String,
    /// Replica id of this process, if it is a replica.
    pub replica: Option<ReplicaId>,
    /// Replica expected at the address; `None` accepts any process of the site.
    pub expected: Option<ReplicaId>,
    /// Timeout for connecting, and for each read and write of the handshake.
    pub timeout: Duration,
}

impl ConnectOptions {
    /// Returns options for a process that is not a replica and accepts any process of the site.
    pub fn new(site: &str, timeout: Duration) -> Self {
        Self {
            site: site.to_owned(),
            replica: None,
            expected: None,
            timeout,
        }
    }
}

/// An outgoing connection. Dropping it closes it and waits for its threads, unless it is dropped on
/// its own reader thread.
#[derive(Debug)]
pub struct Connection {
    handle: ConnectionHandle,
    thread: Option<JoinHandle<()>>,
}

impl Connection {
    /// Connects and performs the handshake; received frames are passed to `handler`.
    ///
    /// # Errors
    /// When the connection or the handshake fails, one of the two processes refuses the connection,
    /// another replica than the expected one answers, or a thread cannot be started.
    pub fn open(
        address: SocketAddr,
        options: &ConnectOptions,
        handler: Arc<dyn FrameHandler>,
    ) -> Result<Self, ConnectError> {
        let mut stream = connect(address, options.timeout)?;
        let hello = Hello {
            version: WIRE_VERSION,
            site: options.site.clone(),
            replica: options.replica,
        };
        let peer = handshake::open(&mut stream, &hello)
            .map_err(|error| to_connect_error(address, error))?;
        check_replica(address, options.expected, peer.replica)?;
        configure_after_handshake(&stream).context(ConnectSnafu { address })?;
        let handle = ConnectionHandle::new(stream, peer);
        let running = handle.clone();
        let thread = thread::Builder::new()
            .name("frame-reader".to_owned())
            .spawn(move || running.run(handler.as_ref()))
            .context(ThreadSnafu)?;
        Ok(Self {
            handle,
            thread: Some(thread),
        })
    }

    /// Returns the handle, which can be cloned and outlives the connection.
    pub fn handle(&self) -> &ConnectionHandle {
        &self.handle
    }
}

impl Deref for Connection {
    type Target = ConnectionHandle;

    fn deref(&self) -> &ConnectionHandle {
        &self.handle
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.close();
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.thread().id() != thread::current().id() {
            // A panic of the handler ended the reader thread; the connection is closed in any case.
            let _ = thread.join();
        }
    }
}

fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let stream = TcpStream::connect_timeout(&address, timeout).context(ConnectSnafu { address })?;
    let local = stream.local_addr().context(ConnectSnafu { address })?;
    // On loopback, a connection to an unused port can connect to itself.
    ensure!(local != address, SelfConnectSnafu { address });
    configure_for_handshake(&stream, timeout).context(ConnectSnafu { address })?;
    Ok(stream)
}

fn to_connect_error(address: SocketAddr, error: HandshakeError) -> ConnectError {
    match error {
        HandshakeError::Frame(source) => HandshakeSnafu { address }.into_error(source),
        HandshakeError::Refused(refusal) => RefusedSnafu { address, refusal }.build(),
    }
}

fn check_replica(
    address: SocketAddr,
    expected: Option<ReplicaId>,
    found: Option<ReplicaId>,
) -> Result<(), ConnectError> {
    match expected {
        Some(expected) if found != Some(expected) => WrongReplicaSnafu {
            address,
            expected,
            found,
        }
        .fail(),
        _ => Ok(()),
    }
}
