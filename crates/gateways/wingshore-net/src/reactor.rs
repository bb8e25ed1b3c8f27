//! Reactor: waits for events of all sockets on one thread, and reads and writes their buffers.
//!
//! Owns the system's readiness API, the listeners and, in [`ConnectionTable`], the connections.
//! Sockets are edge-triggered, so a socket that was not drained in one poll is recorded and read in
//! the next one. Independent of any protocol.

use crate::connection::{ReadEnd, read_available, write_queued};
use crate::connection_table::ConnectionTable;
use crate::event::{ConnectOptions, ListenSnafu, NetError, NetEvent, SystemSnafu};
use crate::id::{ConnectionId, ListenerId};
use crate::ready::Ready;
use bytes::{Bytes, BytesMut};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use snafu::ResultExt;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of events taken from the kernel in one poll; the rest is taken in the next one.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Maximum bytes read from a socket in one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Token of the waker, above the tokens of all connections and listeners.
const WAKER_TOKEN: Token = Token(usize::MAX - 1);
/// Token of the first listener. The tokens of connections, which are their slots, are below it.
const FIRST_LISTENER_TOKEN: usize = 1 << 40;

/// Wakes a reactor from another thread.
#[derive(Clone, Debug)]
pub struct ReactorWaker(Arc<Waker>);

impl ReactorWaker {
    /// Makes the current call of [`Reactor::poll`] return, or else the next one.
    pub fn wake(&self) {
        // The call fails only after the reactor was dropped.
        let _ = self.0.wake();
    }
}

/// A listening socket, with the limits for the connections that it accepts.
struct Listener {
    socket: TcpListener,
    unacknowledged_limit: Duration,
    max_connections: usize,
}

/// The sockets of a process, and the wait for events on any of them.
///
/// Invariant: a [`ConnectionId`] refers to an open connection or to none. After
/// [`NetEvent::Broken`], [`NetEvent::Refused`] or [`Reactor::close`] no further event is reported
/// for it.
pub struct Reactor {
    poll: Poll,
    events: Events,
    waker: Arc<Waker>,
    connections: ConnectionTable,
    listeners: Vec<Listener>,
    /// Connections to flush in the next poll.
    needs_flush: Vec<ConnectionId>,
    /// Connections that were not drained and are read again in the next poll.
    pending_reads: Vec<ConnectionId>,
    /// Connections that were refused before they had a socket and are not reported yet.
    refused: Vec<ConnectionId>,
    scratch: Box<[u8]>,
    ready: Vec<Ready>,
}

impl Reactor {
    /// Creates a reactor without sockets.
    ///
    /// # Errors
    /// When the readiness API of the system is not available.
    pub fn new() -> Result<Self, NetError> {
        let poll = Poll::new().context(SystemSnafu { action: "poll" })?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN);
        let waker = waker.context(SystemSnafu {
            action: "create a waker",
        })?;
        Ok(Self {
            poll,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            waker: Arc::new(waker),
            connections: ConnectionTable::default(),
            listeners: Vec::new(),
            needs_flush: Vec::new(),
            pending_reads: Vec::new(),
            refused: Vec::new(),
            scratch: vec![0; READ_CHUNK_BYTES].into_boxed_slice(),
            ready: Vec::new(),
        })
    }

    /// Returns a handle that wakes this reactor from other threads.
    pub fn waker(&self) -> ReactorWaker {
        ReactorWaker(Arc::clone(&self.waker))
    }

    /// Listens on `address`. New connections are closed at once when the reactor already has
    /// `max_connections` connections, counted over all listeners and outgoing connections.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_connections: usize,
    ) -> Result<ListenerId, NetError> {
        let mut socket = TcpListener::bind(address).context(ListenSnafu { address })?;
        let id = ListenerId(self.listeners.len());
        let token = Token(FIRST_LISTENER_TOKEN + id.0);
        self.poll
            .registry()
            .register(&mut socket, token, Interest::READABLE)
            .context(SystemSnafu {
                action: "register a listener",
            })?;
        self.listeners.push(Listener {
            socket,
            unacknowledged_limit,
            max_connections,
        });
        Ok(id)
    }

    /// Returns the address of a listener.
    pub fn local_address(&self, listener: ListenerId) -> Option<SocketAddr> {
        self.listeners.get(listener.0)?.socket.local_addr().ok()
    }

    /// Starts to connect to `address`. [`NetEvent::Connected`], [`NetEvent::Broken`] or
    /// [`NetEvent::Refused`] follows. Returns `None` when the system cannot provide a socket.
    pub fn connect(
        &mut self,
        address: SocketAddr,
        options: ConnectOptions,
    ) -> Option<ConnectionId> {
        match TcpStream::connect(address) {
            Ok(stream) => {
                let limit = options.unacknowledged_limit;
                self.connections
                    .add(self.poll.registry(), stream, true, limit)
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                let id = self.connections.id_without_socket();
                self.refused.push(id);
                Some(id)
            }
            // The system has no file descriptor or local port left.
            Err(_) => None,
        }
    }

    /// Flushes queued output, waits for events for at most `timeout`, and appends them to `out`.
    ///
    /// # Errors
    /// When the readiness API of the system fails.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<NetEvent>) -> Result<(), NetError> {
        self.flush(out);
        out.extend(self.refused.drain(..).map(NetEvent::Refused));
        let timeout = if self.pending_reads.is_empty() && out.is_empty() {
            timeout
        } else {
            Duration::ZERO
        };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(error) if error.kind() != ErrorKind::Interrupted => {
                return Err(error).context(SystemSnafu {
                    action: "wait for sockets",
                });
            }
            _ => {}
        }
        let mut ready = std::mem::take(&mut self.ready);
        ready.extend(self.events.iter().map(Ready::from));
        for event in ready.drain(..) {
            self.on_ready(event, out);
        }
        self.ready = ready;
        for id in std::mem::take(&mut self.pending_reads) {
            self.read(id, out);
        }
        Ok(())
    }

    /// Handles one event of the kernel.
    fn on_ready(&mut self, event: Ready, out: &mut Vec<NetEvent>) {
        if event.token == WAKER_TOKEN {
            return;
        }
        if event.token.0 >= FIRST_LISTENER_TOKEN {
            self.accept(ListenerId(event.token.0 - FIRST_LISTENER_TOKEN), out);
            return;
        }
        let Some((id, connection)) = self.connections.in_slot(event.token.0) else {
            return;
        };
        if connection.connecting && (event.writable || event.failed) {
            let error = connection.stream.take_error();
            let refused = |error: &io::Error| error.kind() == ErrorKind::ConnectionRefused;
            if matches!(&error, Ok(Some(error)) if refused(error)) {
                self.close(id);
                return out.push(NetEvent::Refused(id));
            }
            let failed = event.failed
                || !matches!(error, Ok(None))
                || connection.stream.peer_addr().is_err();
            if failed {
                return self.fail(id, out);
            }
            connection.connecting = false;
            out.push(NetEvent::Connected(id));
        }
        connection.end_signalled |= event.ended || event.failed;
        if event.writable {
            connection.writable = true;
            self.schedule_flush(id);
        }
        if event.readable || event.ended || event.failed {
            self.read(id, out);
        }
    }

    fn accept(&mut self, listener: ListenerId, out: &mut Vec<NetEvent>) {
        loop {
            let Some(entry) = self.listeners.get(listener.0) else {
                return;
            };
            let stream = match entry.socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // This connection was reset before it was accepted; others may still be waiting.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return,
            };
            let limit = entry.unacknowledged_limit;
            if self.connections.len() >= entry.max_connections {
                continue;
            }
            let registry = self.poll.registry();
            let Some(connection) = self.connections.add(registry, stream, false, limit) else {
                continue;
            };
            out.push(NetEvent::Accepted {
                listener,
                connection,
            });
        }
    }

    fn read(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        let mut scratch = std::mem::take(&mut self.scratch);
        let outcome = match self.connections.get_mut(id) {
            Some(connection) if !connection.input_ended => {
                connection.read_pending = false;
                read_available(connection, &mut scratch)
            }
            _ => {
                self.scratch = scratch;
                return;
            }
        };
        self.scratch = scratch;
        if outcome.received > 0 {
            out.push(NetEvent::Received(id));
        }
        match outcome.end {
            ReadEnd::Drained => {}
            ReadEnd::LimitReached => self.schedule_read(id),
            ReadEnd::EndOfInput => {
                if let Some(connection) = self.connections.get_mut(id) {
                    connection.input_ended = true;
                }
                out.push(NetEvent::EndOfInput(id));
            }
            ReadEnd::Broken => self.fail(id, out),
        }
    }

    fn schedule_read(&mut self, id: ConnectionId) {
        if let Some(connection) = self
            .connections
            .get_mut(id)
            .filter(|connection| !connection.read_pending)
        {
            connection.read_pending = true;
            self.pending_reads.push(id);
        }
    }

    fn schedule_flush(&mut self, id: ConnectionId) {
        if let Some(connection) = self
            .connections
            .get_mut(id)
            .filter(|connection| !connection.needs_flush)
        {
            connection.needs_flush = true;
            self.needs_flush.push(id);
        }
    }

    /// Queues bytes, which the next [`Reactor::poll`] starts to send.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.output.push(bytes);
            self.schedule_flush(id);
        }
    }

    /// Queues bytes that are sent to many connections: long ones are shared rather than copied.
    pub fn send_shared(&mut self, id: ConnectionId, bytes: &Bytes) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.output.push_shared(bytes);
            self.schedule_flush(id);
        }
    }

    /// Closes the connection once all queued bytes are sent. Bytes that the peer sends until then
    /// are read and dropped.
    pub fn close_when_flushed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.close_when_flushed = true;
            self.schedule_flush(id);
        }
    }

    /// Closes the connection at once and drops its queued bytes.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(mut connection) = self.connections.remove(id) {
            // Errors are ignored: closing the socket releases the same resources.
            let _ = self.poll.registry().deregister(&mut connection.stream);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the buffer of received bytes, from which the caller removes what it has handled;
    /// `None` if the connection was closed.
    pub fn input(&mut self, id: ConnectionId) -> Option<&mut BytesMut> {
        self.connections
            .get_mut(id)
            .map(|connection| &mut connection.input)
    }

    /// Returns the number of bytes that are queued and not sent yet.
    pub fn queued(&self, id: ConnectionId) -> usize {
        self.connections
            .get(id)
            .map_or(0, |connection| connection.output.len())
    }

    /// Returns whether the connection exists, which it does until it is closed or fails.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some()
    }

    /// Returns the number of connections that are open, connecting or being flushed.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    fn flush(&mut self, out: &mut Vec<NetEvent>) {
        for id in std::mem::take(&mut self.needs_flush) {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            connection.needs_flush = false;
            if connection.connecting {
                continue;
            }
            match write_queued(connection) {
                Ok(()) if connection.output.is_empty() && connection.close_when_flushed => {
                    self.close_flushed(id);
                }
                Ok(()) => {}
                Err(_) => self.fail(id, out),
            }
        }
    }

    /// Closes a connection whose output is all sent. Its write side is shut down first, so that the
    /// peer gets an orderly end: with unread input the close alone would send a reset, which may
    /// overtake the last bytes.
    fn close_flushed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let _ = connection.stream.shutdown(Shutdown::Write);
        self.close(id);
    }

    /// Closes a connection that failed and reports it as broken.
    fn fail(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        self.close(id);
        out.push(NetEvent::Broken(id));
    }
}
