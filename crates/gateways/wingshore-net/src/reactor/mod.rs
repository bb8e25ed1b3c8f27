//! Reactor: waits for events of all sockets on one thread, and reads and writes their buffers.
//!
//! Owns the system's readiness API, the listeners and, in [`ConnectionTable`], the connections.
//! Sockets are edge-triggered, so a socket that was not drained in one poll is recorded and read in
//! the next one. Independent of any protocol. [`listening`] accepts connections, [`reading`] reads
//! them and keeps the account of what callers hold.

mod listening;
mod reading;

pub use reading::MAX_CALLER_BYTES_PER_POLL;

use crate::account::Account;
use crate::connection::{Connection, write_queued};
use crate::connection_table::ConnectionTable;
use crate::event::{ConnectOptions, NetError, NetEvent, SystemSnafu};
use crate::http::MessageBody;
use crate::id::{ConnectionId, ListenerId};
use crate::ready::Ready;
use bytes::{Bytes, BytesMut};
use listening::Listener;
use mio::net::TcpStream;
use mio::{Events, Poll, Token, Waker};
use reading::ReadBudget;
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
    /// What the connections of callers hold.
    account: Account,
    /// Connections whose buffers may have changed since the account was brought up to date.
    touched: Vec<ConnectionId>,
    /// Connections of callers that are not read until the process has handled what was read.
    read_ahead: Vec<ConnectionId>,
    /// Number of connections of callers.
    caller_count: usize,
    /// Bytes that may still be read in this poll.
    read_budget: ReadBudget,
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
            account: Account::default(),
            touched: Vec::new(),
            read_ahead: Vec::new(),
            caller_count: 0,
            read_budget: ReadBudget::default(),
            scratch: vec![0; READ_CHUNK_BYTES].into_boxed_slice(),
            ready: Vec::new(),
        })
    }

    /// Returns a handle that wakes this reactor from other threads.
    pub fn waker(&self) -> ReactorWaker {
        ReactorWaker(Arc::clone(&self.waker))
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
                    .add(self.poll.registry(), stream, true, limit, None)
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
        self.resume_reads();
        let has_work = !self.pending_reads.is_empty() || !out.is_empty() || self.may_accept();
        let timeout = if has_work { Duration::ZERO } else { timeout };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(error) if error.kind() != ErrorKind::Interrupted => {
                return Err(error).context(SystemSnafu {
                    action: "wait for sockets",
                });
            }
            _ => {}
        }
        self.read_budget = ReadBudget::default();
        // Those that have waited since the last poll come before those that are ready now.
        for id in std::mem::take(&mut self.pending_reads) {
            self.read(id, out);
        }
        let mut ready = std::mem::take(&mut self.ready);
        ready.extend(self.events.iter().map(Ready::from));
        for event in ready.drain(..) {
            self.on_ready(event, out);
        }
        self.ready = ready;
        for listener in 0..self.listeners.len() {
            if self.listeners[listener].is_accept_pending {
                self.accept(ListenerId(listener), out);
            }
        }
        Ok(())
    }

    /// Handles one event of the kernel.
    fn on_ready(&mut self, event: Ready, out: &mut Vec<NetEvent>) {
        if event.token == WAKER_TOKEN {
            return;
        }
        if event.token.0 >= FIRST_LISTENER_TOKEN {
            let listener = event.token.0 - FIRST_LISTENER_TOKEN;
            if let Some(listener) = self.listeners.get_mut(listener) {
                listener.is_accept_pending = true;
            }
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
            self.touch(id);
        }
    }

    /// Queues bytes that are sent to many connections: long ones are shared rather than copied.
    pub fn send_shared(&mut self, id: ConnectionId, bytes: &Bytes) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.output.push_shared(bytes);
            self.schedule_flush(id);
            self.touch(id);
        }
    }

    /// Queues a body, whose pieces are shared rather than copied.
    pub fn send_body(&mut self, id: ConnectionId, body: &MessageBody) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        for piece in body.pieces() {
            if body.is_counted() {
                connection.output.push_counted(piece);
            } else {
                connection.output.push_shared(piece);
            }
        }
        self.schedule_flush(id);
        self.touch(id);
    }

    /// Has [`NetEvent::Sent`] reported once all bytes that are queued for a caller have been sent.
    pub fn report_sent(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(id);
        if let Some(caller) = connection.and_then(|connection| connection.caller.as_mut()) {
            caller.reports_sent = true;
            self.schedule_flush(id);
        }
    }

    /// Returns the number of bytes that the connection's socket has taken so far.
    pub fn sent(&self, id: ConnectionId) -> u64 {
        self.connections
            .get(id)
            .map_or(0, |connection| connection.sent)
    }

    /// Closes the connection once all queued bytes are sent. Bytes that the peer sends until then
    /// are read and dropped.
    pub fn close_when_flushed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.close_when_flushed = true;
            self.schedule_flush(id);
        }
    }

    /// Does the same as [`Reactor::close_when_flushed`] for a caller whose request was not read to its
    /// end: what still arrives is read and dropped until the caller ends its side as well, since a
    /// reset would destroy the answer on its way. The process closes a caller that does not end it.
    pub fn close_when_answered(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.awaits_end = true;
        }
        self.close_when_flushed(id);
    }

    /// Closes the connection at once and drops its queued bytes.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(mut connection) = self.connections.remove(id) {
            self.caller_count -= usize::from(connection.caller.is_some());
            // Errors are ignored: closing the socket releases the same resources.
            let _ = self.poll.registry().deregister(&mut connection.stream);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the buffer of received bytes, from which the caller removes what it has handled;
    /// `None` if the connection was closed.
    pub fn input(&mut self, id: ConnectionId) -> Option<&mut BytesMut> {
        self.touch(id);
        self.connections
            .get_mut(id)
            .map(|connection| &mut connection.input)
    }

    /// Returns the number of received bytes that the process has not removed.
    pub fn input_bytes(&self, id: ConnectionId) -> usize {
        self.connections
            .get(id)
            .map_or(0, |connection| connection.input.len())
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
            let result = write_queued(connection);
            let is_sent = connection.output.is_empty();
            match result {
                Ok(()) if is_sent && connection.close_when_flushed => self.close_flushed(id),
                Ok(()) if is_sent && takes_sent_report(connection) => out.push(NetEvent::Sent(id)),
                Ok(()) => {}
                Err(_) => self.fail(id, out),
            }
            self.touch(id);
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
        if !connection.awaits_end || connection.input_ended {
            self.close(id);
        }
    }

    /// Closes a connection that failed and reports it as broken.
    fn fail(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        self.close(id);
        out.push(NetEvent::Broken(id));
    }
}

/// Returns whether the end of a connection's output is to be reported, which it is once.
fn takes_sent_report(connection: &mut Connection) -> bool {
    let caller = connection.caller.as_mut();
    caller.is_some_and(|caller| std::mem::take(&mut caller.reports_sent))
}
