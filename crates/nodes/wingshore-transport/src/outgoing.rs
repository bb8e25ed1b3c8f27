//! An outgoing connection.

use crate::connection::{ConnectionHandle, FrameHandler, prepare_frames, prepare_handshake};
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
    /// The site both sides must belong to.
    pub site: String,
    /// This process's identity, when it is a replica.
    pub replica: Option<ReplicaId>,
    /// The replica that must listen there; `None` takes any process of the site.
    pub expected: Option<ReplicaId>,
    /// Longest time until the TCP connection stands, and longest silence during the handshake.
    pub timeout: Duration,
}

impl ConnectOptions {
    /// Options of a process that is no replica and takes any process of the site.
    pub fn new(site: &str, timeout: Duration) -> Self {
        Self {
            site: site.to_owned(),
            replica: None,
            expected: None,
            timeout,
        }
    }
}

/// An outgoing connection. Dropping it closes it and waits for its threads, except when that
/// happens on one of those threads.
#[derive(Debug)]
pub struct Connection {
    handle: ConnectionHandle,
    thread: Option<JoinHandle<()>>,
}

impl Connection {
    /// Connects and does the handshake; frames then go to `handler`.
    ///
    /// # Errors
    /// When nobody answers, or one side refuses the other.
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
        let peer =
            handshake::open(&mut stream, &hello).map_err(|error| describe(address, error))?;
        check_replica(address, options.expected, peer.replica)?;
        prepare_frames(&stream).context(ConnectSnafu { address })?;
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

    /// The handle, to keep or hand on.
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
            // A handler that panicked has ended its connection, which is closed here anyway.
            let _ = thread.join();
        }
    }
}

fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let stream = TcpStream::connect_timeout(&address, timeout).context(ConnectSnafu { address })?;
    let local = stream.local_addr().context(ConnectSnafu { address })?;
    // On loopback, connecting to a free port can meet itself.
    ensure!(local != address, SelfConnectSnafu { address });
    prepare_handshake(&stream, timeout).context(ConnectSnafu { address })?;
    Ok(stream)
}

fn describe(address: SocketAddr, error: HandshakeError) -> ConnectError {
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
