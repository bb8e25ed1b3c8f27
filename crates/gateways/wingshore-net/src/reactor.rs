//! Reactor: waits for events of all sockets on one thread, and reads and writes their buffers.
//!
//! Owns the system's readiness API, the listeners and, in [`ConnectionTable`], the connections.
//! Sockets are edge-triggered, so a socket that was not drained in one poll is recorded and read in
//! the next one. Independent of any protocol.

use crate::account::Account;
use crate::caller::{CallerBuffers, RECEIVE_BUFFER_BYTES, update_charges};
use crate::connection::{Connection, ReadEnd, read_available, write_queued};
use crate::connection_table::ConnectionTable;
use crate::event::{ConnectOptions, ListenSnafu, NetError, NetEvent, SystemSnafu};
use crate::id::{ConnectionId, ListenerId};
use crate::ready::Ready;
use bytes::{Bytes, BytesMut};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use snafu::ResultExt;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of events taken from the kernel in one poll; the rest is taken in the next one.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Bytes read from callers in one poll, over all of them: so much may come on top of the account before
/// the process can send anyone away, and for so long its timers and its other connections wait.
pub const MAX_CALLER_BYTES_PER_POLL: usize = 1024 * 1024;
/// Bytes read from servers and from the site's own processes in one poll.
const MAX_OTHER_BYTES_PER_POLL: usize = 2 * 1024 * 1024;
/// Connections accepted from one listener in one poll. Others stay in the kernel's queue until the
/// next one.
const MAX_ACCEPTS_PER_POLL: usize = 16;
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

/// Bytes that may still be read in one poll.
struct ReadBudget {
    /// From callers, over all of them.
    callers: usize,
    /// From all other connections.
    others: usize,
}

impl Default for ReadBudget {
    fn default() -> Self {
        Self {
            callers: MAX_CALLER_BYTES_PER_POLL,
            others: MAX_OTHER_BYTES_PER_POLL,
        }
    }
}

impl ReadBudget {
    /// Returns what is left for callers or for all other connections.
    fn left(&mut self, is_caller: bool) -> &mut usize {
        if is_caller {
            &mut self.callers
        } else {
            &mut self.others
        }
    }
}

/// A listening socket, with the limits for the connections that it accepts.
struct Listener {
    socket: TcpListener,
    unacknowledged_limit: Duration,
    max_connections: usize,
    /// Whether its connections are those of callers, whose buffers are in the account.
    serves_callers: bool,
    /// Whether connections may be waiting that were not accepted in the last poll.
    is_accept_pending: bool,
    /// Whether the system could not hand one out, for want of a descriptor as a rule.
    has_accept_failed: bool,
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
    /// Connections of callers whose charges are to be updated.
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
        self.add_listener(address, unacknowledged_limit, max_connections, false)
    }

    /// Listens on `address` for callers, whose buffers are counted in the account. While there are
    /// `max_callers` of them, or a few more, new connections wait in the kernel's queue: the process
    /// is to close some.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn listen_for_callers(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_callers: usize,
    ) -> Result<ListenerId, NetError> {
        let id = self.add_listener(address, unacknowledged_limit, max_callers, true)?;
        // Without a size of its own the buffer grows by itself, beyond what the account counts.
        // A system that lacks the option still works correctly.
        let socket = SockRef::from(&self.listeners[id.0].socket);
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        Ok(id)
    }

    fn add_listener(
        &mut self,
        address: SocketAddr,
        unacknowledged_limit: Duration,
        max_connections: usize,
        serves_callers: bool,
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
            serves_callers,
            is_accept_pending: false,
            has_accept_failed: false,
        });
        Ok(id)
    }

    /// Returns the account of what callers hold.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the number of connections of callers.
    pub fn caller_count(&self) -> usize {
        self.caller_count
    }

    /// Brings the account up to date with the buffers of callers' connections.
    pub fn update_account(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            if let Some(connection) = self.connections.get_mut(id) {
                update_charges(connection);
            }
        }
    }

    /// Records that the buffers of a connection may have changed.
    fn touch(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(id);
        let caller = connection.and_then(|connection| connection.caller.as_mut());
        if let Some(caller) = caller.filter(|caller| !caller.is_touched) {
            caller.is_touched = true;
            self.touched.push(id);
        }
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

    /// Schedules reads of the callers whose bytes have been handled since.
    fn resume_reads(&mut self) {
        for id in std::mem::take(&mut self.read_ahead) {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            if connection.is_read_ahead() {
                self.read_ahead.push(id);
                continue;
            }
            if let Some(caller) = &mut connection.caller {
                caller.is_paused = false;
            }
            self.touch(id);
            self.schedule_read(id);
        }
    }

    /// Returns whether a listener has connections that were not accepted yet and may be now.
    fn may_accept(&self) -> bool {
        let mut listeners = self.listeners.iter();
        listeners.any(|listener| {
            let is_waiting = listener.is_accept_pending && !listener.has_accept_failed;
            is_waiting && self.has_room(listener)
        })
    }

    /// Returns whether a connection of a listener may be accepted.
    fn has_room(&self, listener: &Listener) -> bool {
        // Each listener may exceed the limit by its share of a poll, so that a crowd at one does not
        // keep callers of the others out.
        let surplus = MAX_ACCEPTS_PER_POLL * self.listeners.len();
        !listener.serves_callers || self.caller_count < listener.max_connections + surplus
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

    fn accept(&mut self, listener: ListenerId, out: &mut Vec<NetEvent>) {
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            let Some(entry) = self.listeners.get(listener.0) else {
                return;
            };
            if !self.has_room(entry) {
                return;
            }
            let stream = match entry.socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // This connection was reset before it was accepted; others may still be waiting.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
                Err(error) => return self.on_accept_error(listener, &error),
            };
            let limit = entry.unacknowledged_limit;
            let serves_callers = entry.serves_callers;
            if !serves_callers && self.connections.len() >= entry.max_connections {
                continue;
            }
            let caller = serves_callers.then(|| CallerBuffers::new(&self.account));
            let registry = self.poll.registry();
            let Some(connection) = self.connections.add(registry, stream, false, limit, caller)
            else {
                continue;
            };
            self.caller_count += usize::from(serves_callers);
            out.push(NetEvent::Accepted {
                listener,
                connection,
            });
        }
    }

    /// Handles the end of the connections that a listener can accept now.
    fn on_accept_error(&mut self, listener: ListenerId, error: &io::Error) {
        let is_empty = error.kind() == ErrorKind::WouldBlock;
        if let Some(listener) = self.listeners.get_mut(listener.0) {
            // Without a descriptor each later poll tries again, and none of them is hurried.
            listener.is_accept_pending = !is_empty;
            listener.has_accept_failed = !is_empty;
        }
    }

    fn read(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.read_pending = false;
        if connection.input_ended {
            return;
        }
        let is_caller = connection.caller.is_some();
        if connection.is_read_ahead() {
            return self.pause_reads(id, out);
        }
        let left = self.read_budget.left(is_caller);
        if *left == 0 {
            return self.schedule_read(id);
        }
        let outcome = read_available(connection, &mut self.scratch);
        *left = left.saturating_sub(outcome.received);
        self.touch(id);
        if outcome.received > 0 {
            out.push(NetEvent::Received(id));
        }
        match outcome.end {
            ReadEnd::Drained => {}
            ReadEnd::LimitReached => self.schedule_read(id),
            ReadEnd::EndOfInput => self.end_input(id, out),
            ReadEnd::Broken => self.fail(id, out),
        }
    }

    /// Handles the end of a peer's input: closes a connection that only waits for it, and reports that
    /// of any other.
    fn end_input(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.input_ended = true;
        if connection.awaits_end && connection.output.is_empty() {
            return self.close(id);
        }
        out.push(NetEvent::EndOfInput(id));
    }

    /// Reads no more from a caller until the process has handled what was read. The end of its input
    /// is reported all the same: nobody may be left who waits for an answer.
    fn pause_reads(&mut self, id: ConnectionId, out: &mut Vec<NetEvent>) {
        self.touch(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.end_signalled {
            connection.input_ended = true;
            return out.push(NetEvent::EndOfInput(id));
        }
        let caller = connection.caller.as_mut();
        if let Some(caller) = caller.filter(|caller| !caller.is_paused) {
            caller.is_paused = true;
            self.read_ahead.push(id);
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
