//! Sockets, their buffers, and what becomes ready on them: one wait for all of them on one thread.
//!
//! Owns the system's readiness facility, the listeners and, in [`ConnectionTable`], the connections.
//! Sockets are edge-triggered: what was not read to its end in a turn is noted here and read in the
//! next one. Knows no protocol.

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

/// Events taken from the kernel at a time; what is more comes with the next poll.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Bytes read from a socket at a time.
const READ_CHUNK: usize = 16 * 1024;
/// The token of the waker; connections and listeners count from 0.
const WAKER_TOKEN: Token = Token(usize::MAX - 1);
/// Tokens from here on are listeners.
const LISTENER_BASE: usize = 1 << 40;

/// Wakes a reactor from another thread.
#[derive(Clone, Debug)]
pub struct ReactorWaker(Arc<Waker>);

impl ReactorWaker {
    /// Ends the wait that is under way, or the next one.
    pub fn wake(&self) {
        // It fails only when the reactor is gone.
        let _ = self.0.wake();
    }
}

struct Listener {
    socket: TcpListener,
    unacknowledged_limit: Duration,
    max_connections: usize,
}

/// All sockets of a process, and the wait for any of them.
///
/// Invariant: a [`ConnectionId`] refers to a live connection or to none; after
/// [`NetEvent::Broken`], [`NetEvent::Refused`] or [`Reactor::close`] nothing more is reported for it.
pub struct Reactor {
    poll: Poll,
    events: Events,
    waker: Arc<Waker>,
    connections: ConnectionTable,
    listeners: Vec<Listener>,
    needs_flush: Vec<ConnectionId>,
    unread: Vec<ConnectionId>,
    /// Connections that were refused before they had a socket, and are not reported yet.
    refused: Vec<ConnectionId>,
    scratch: Box<[u8]>,
    ready: Vec<Ready>,
}

impl Reactor {
    /// A reactor without sockets.
    ///
    /// # Errors
    /// When the system gives no readiness facility.
    pub fn new() -> Result<Self, NetError> {
        let poll = Poll::new().context(SystemSnafu { action: "poll" })?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN);
        let waker = waker.context(SystemSnafu {
            action: "make a waker",
        })?;
        Ok(Self {
            poll,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            waker: Arc::new(waker),
            connections: ConnectionTable::default(),
            listeners: Vec::new(),
            needs_flush: Vec::new(),
            unread: Vec::new(),
            refused: Vec::new(),
            scratch: vec![0; READ_CHUNK].into_boxed_slice(),
            ready: Vec::new(),
        })
    }

    /// Wakes this reactor from other threads.
    pub fn waker(&self) -> ReactorWaker {
        ReactorWaker(Arc::clone(&self.waker))
    }

    /// Listens on `address`. Beyond `max_connections` over all listeners, new ones are closed.
    ///
    /// # Errors
    /// When the address cannot be used.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_connections: usize,
    ) -> Result<ListenerId, NetError> {
        let mut socket = TcpListener::bind(address).context(ListenSnafu { address })?;
        let id = ListenerId(self.listeners.len());
        let token = Token(LISTENER_BASE + id.0);
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

    /// Where a listener listens.
    pub fn local_address(&self, listener: ListenerId) -> Option<SocketAddr> {
        self.listeners.get(listener.0)?.socket.local_addr().ok()
    }

    /// Begins to connect. [`NetEvent::Connected`], [`NetEvent::Broken`] or [`NetEvent::Refused`]
    /// follows; `None` when the system has no socket for it.
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
            // No descriptor or port is left: the caller does without a connection.
            Err(_) => None,
        }
    }

    /// Waits until something happens, `timeout` at most, and pushes what did.
    ///
    /// # Errors
    /// When the readiness facility fails.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<NetEvent>) -> Result<(), NetError> {
        self.flush(out);
        out.extend(self.refused.drain(..).map(NetEvent::Refused));
        let timeout = if self.unread.is_empty() && out.is_empty() {
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
        for id in std::mem::take(&mut self.unread) {
            self.read(id, out);
        }
        Ok(())
    }

    fn on_ready(&mut self, event: Ready, out: &mut Vec<NetEvent>) {
        if event.token == WAKER_TOKEN {
            return;
        }
        if event.token.0 >= LISTENER_BASE {
            self.accept(ListenerId(event.token.0 - LISTENER_BASE), out);
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
                return self.break_off(id, out);
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
                // A connection that was reset before it was taken leaves the others to take.
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
            ReadEnd::MoreLater => self.schedule_read(id),
            ReadEnd::EndOfInput => {
                if let Some(connection) = self.connections.get_mut(id) {
                    connection.input_ended = true;
                }
                out.push(NetEvent::EndOfInput(id));
            }
            ReadEnd::Broken => self.break_off(id, out),
        }
    }

    fn schedule_read(&mut self, id: ConnectionId) {
        if let Some(connection) = self
            .connections
            .get_mut(id)
            .filter(|connection| !connection.read_pending)
        {
            connection.read_pending = true;
            self.unread.push(id);
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

    /// Queues bytes; they leave at the next [`Reactor::poll`].
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.output.push(bytes);
            self.schedule_flush(id);
        }
    }

    /// Queues bytes that many connections are sent: long ones are held once, not copied for each.
    pub fn send_shared(&mut self, id: ConnectionId, bytes: &Bytes) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.output.push_shared(bytes);
            self.schedule_flush(id);
        }
    }

    /// Closes once all queued bytes have left; what the peer sends meanwhile is read and dropped.
    pub fn close_when_flushed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.close_when_flushed = true;
            self.schedule_flush(id);
        }
    }

    /// Closes at once; queued bytes are dropped.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(mut connection) = self.connections.remove(id) {
            // Both only free what the system frees at the close anyway.
            let _ = self.poll.registry().deregister(&mut connection.stream);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Received bytes that were not taken yet.
    pub fn input(&mut self, id: ConnectionId) -> Option<&mut BytesMut> {
        self.connections
            .get_mut(id)
            .map(|connection| &mut connection.input)
    }

    /// Bytes that wait to leave.
    pub fn queued(&self, id: ConnectionId) -> usize {
        self.connections
            .get(id)
            .map_or(0, |connection| connection.output.len())
    }

    /// Whether the connection is there.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some()
    }

    /// Connections that are open, on their way up or being flushed.
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
                    self.end_output(id);
                }
                Ok(()) => {}
                Err(_) => self.break_off(id, out),
            }
        }
    }

    /// All is sent: closes. Unread input would turn the close into a reset, which may overtake
    /// the last bytes, so that the peer gets an orderly end first.
    fn end_output(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let _ = connection.stream.shutdown(Shutdown::Write);
        self.close(id);
    }

    fn break_off(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        self.close(id);
        out.push(NetEvent::Broken(id));
    }
}
