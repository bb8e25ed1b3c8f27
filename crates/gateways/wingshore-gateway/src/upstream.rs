//! Connections to servers: each carries one request at a time and is reused for the next one.

use crate::answer_matching::{ExpectedAnswer, MatchedAnswer, MatchingReader};
use crate::encode::EncodedRequest;
use crate::event_stream::EventReader;
use crate::ids::ExchangeId;
use crate::runtime::Runtime;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{AssignmentId, InstanceId};
use wingshore_net::http::AnswerHead;
use wingshore_net::{ConnectOptions, ConnectionId};
use wingshore_types::Instant;
use wingshore_types::verdict::Verdict;

/// A connection is closed when sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a server is assumed to keep an idle connection if it does not state a time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// A connection is not reused in this last part of the server's keep-alive time, so that a request
/// does not race with the server's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Bytes of incomplete answers that all connections together hold; at least those of one answer.
const MAX_HELD_BYTES: usize = 64 << 20;
/// Number of requests that a connection remembers. A repeated answer takes the place of the next one
/// as a rule; the margin covers some that come later.
const MAX_REMEMBERED_REQUESTS: usize = 16;

/// The user of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Task {
    /// A request of a client or of a scoring.
    Exchange(ExchangeId),
    /// An attempt at a batch item.
    Item(AssignmentId),
}

/// How a connection to a server ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// It was lost after it was established: a request sent on it may have run.
    Lost,
    /// It was established, and the gateway closed it because the server was silent for too long.
    TimedOut,
    /// It could not be established.
    ConnectFailed,
    /// It was refused because nothing listens at the address: the server process has ended.
    Refused,
    /// The gateway closed it because an answer arrived on it that belongs to no known request.
    Unidentified,
    /// The gateway closed it because there is no memory for the rest of the answer.
    Dropped,
}

impl ConnectionEnd {
    /// Returns the reason shown in logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Lost => "connection ended",
            Self::TimedOut => "too slow",
            Self::ConnectFailed => "no connection",
            Self::Refused => "connection refused",
            Self::Unidentified => "not the answer",
            Self::Dropped => "no memory for the answer",
        }
    }

    /// Returns whether a request sent on the connection may have run.
    pub(crate) fn verdict(self) -> Verdict {
        match self {
            Self::Lost | Self::TimedOut | Self::Unidentified | Self::Dropped => Verdict::MayHaveRun,
            Self::ConnectFailed | Self::Refused => Verdict::NotRun,
        }
    }

    /// Whether the gateway closed the connection although the server was answering: it may go on with
    /// the request.
    pub(crate) fn is_own_close(self) -> bool {
        matches!(self, Self::Unidentified | Self::Dropped)
    }

    /// Whether the server is ejected from load balancing for a while.
    pub(crate) fn ejects_server(self) -> bool {
        !self.is_own_close()
    }
}

/// A request whose connection ended without a complete answer.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    /// The connection that ended.
    pub(crate) connection: ConnectionId,
    /// The incarnation of the server.
    pub(crate) instance: InstanceId,
    /// When the request was sent.
    pub(crate) sent_at: Instant,
    /// How the connection ended.
    pub(crate) end: ConnectionEnd,
}

/// A request as it is sent to a server.
pub(crate) struct ServerRequest<'a> {
    /// The incarnation of the server.
    pub(crate) instance: &'a InstanceId,
    /// The address of the server.
    pub(crate) address: SocketAddr,
    /// The user of the connection.
    pub(crate) task: Task,
    /// What identifies the answer.
    pub(crate) expected: ExpectedAnswer,
    /// The encoded request.
    pub(crate) encoded: EncodedRequest,
}

/// A complete answer.
pub(crate) struct CompletedAnswer {
    pub(crate) answer: MatchedAnswer,
    /// Whether the answer does not end inside an event of a stream.
    pub(crate) ends_at_event_boundary: bool,
}

/// One connection to a server.
pub(crate) struct Upstream {
    pub(crate) instance: InstanceId,
    /// Whether the connection is established: bytes may have been sent from then on.
    pub(crate) is_connected: bool,
    /// The current user; `None` while the connection is idle.
    pub(crate) task: Option<Task>,
    /// Reads the answer for the current user; `None` while the connection is idle.
    pub(crate) reader: Option<MatchingReader>,
    /// Parses the events of the answer, if it is an event stream.
    pub(crate) events: Option<EventReader>,
    /// The last answers that were expected on the connection, the newest last.
    recent: VecDeque<ExpectedAnswer>,
    /// When the current task started.
    pub(crate) task_started_at: Instant,
    /// Bytes of the incomplete answer that were held after the last read.
    held_bytes: usize,
    /// Until when the connection may be reused, while it is idle.
    idle_until: Instant,
    /// How long the server keeps the connection open while it is idle.
    keep_alive: Duration,
}

impl Upstream {
    /// Returns whether the answer for the current user is complete if the server ends the connection
    /// in an orderly way now.
    pub(crate) fn is_whole_at_close(&self) -> bool {
        let reader = self.reader.as_ref();
        reader.is_some_and(MatchingReader::is_whole_at_close)
    }

    /// Records the answer that is expected next on the connection.
    fn remember(&mut self, expected: &ExpectedAnswer) {
        if self.recent.len() == MAX_REMEMBERED_REQUESTS {
            self.recent.pop_front();
        }
        self.recent.push_back(expected.clone());
    }
}

/// All connections to servers.
#[derive(Default)]
pub(crate) struct Upstreams {
    all: HashMap<ConnectionId, Upstream>,
    /// Idle connections, by server.
    idle: HashMap<InstanceId, Vec<ConnectionId>>,
    /// Bytes of incomplete answers that all connections hold.
    held_bytes: usize,
}

impl Upstreams {
    /// Sends a request on an idle connection or a new one; returns `None` if the operating system
    /// refuses a new connection.
    pub(crate) fn send(
        &mut self,
        runtime: &mut Runtime,
        request: ServerRequest<'_>,
    ) -> Option<ConnectionId> {
        let now = runtime.now;
        let connection = match self.take_idle(runtime, request.instance, &request.expected) {
            Some(connection) => connection,
            None => self.connect(runtime, request.instance, request.address)?,
        };
        let upstream = self.all.get_mut(&connection)?;
        upstream.task = Some(request.task);
        upstream.task_started_at = now;
        upstream.remember(&request.expected);
        upstream.reader = Some(MatchingReader::new(
            request.expected,
            runtime.reactor.account(),
        ));
        upstream.events = None;
        let reactor = &mut runtime.reactor;
        reactor.send(connection, &request.encoded.head);
        reactor.send_body(connection, &request.encoded.body);
        Some(connection)
    }

    /// Opens a connection without a task; it is idle once established.
    pub(crate) fn open(
        &mut self,
        runtime: &mut Runtime,
        instance: &InstanceId,
        address: SocketAddr,
    ) {
        let now = runtime.now;
        let connection = self.connect(runtime, instance, address);
        let upstream = connection.and_then(|connection| self.all.get_mut(&connection));
        if let Some(upstream) = upstream {
            upstream.idle_until = now + DEFAULT_KEEP_ALIVE;
        }
    }

    /// Handles an established connection and returns its task. A connection without a task becomes
    /// idle.
    pub(crate) fn on_connected(&mut self, now: Instant, connection: ConnectionId) -> Option<Task> {
        let upstream = self.all.get_mut(&connection)?;
        upstream.is_connected = true;
        if upstream.task.is_none() {
            self.keep_idle(now, connection);
            return None;
        }
        upstream.task
    }

    /// Makes a connection idle, for reuse by the next request.
    fn keep_idle(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(upstream) = self.all.get_mut(&connection) {
            upstream.idle_until = now + upstream.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
            let idle = self.idle.entry(upstream.instance.clone()).or_default();
            idle.push(connection);
        }
    }

    /// Handles a complete answer: the connection becomes idle or is closed. `is_all_read` says that
    /// no bytes followed the answer.
    pub(crate) fn finish(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        is_all_read: bool,
    ) -> Option<CompletedAnswer> {
        let now = runtime.now;
        let upstream = self.all.get_mut(&connection)?;
        let reader = upstream.reader.take()?;
        self.held_bytes -= std::mem::take(&mut upstream.held_bytes);
        let is_within_event = upstream
            .events
            .as_ref()
            .is_some_and(EventReader::is_within_event);
        let answer = reader.into_answer(is_all_read)?;
        if answer.is_connection_reusable() {
            upstream.task = None;
            upstream.keep_alive = keep_alive_timeout(answer.head()).unwrap_or(upstream.keep_alive);
            self.keep_idle(now, connection);
        } else {
            self.close(runtime, connection);
        }
        Some(CompletedAnswer {
            answer,
            ends_at_event_boundary: !is_within_event,
        })
    }

    fn connect(
        &mut self,
        runtime: &mut Runtime,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Option<ConnectionId> {
        let now = runtime.now;
        let options = ConnectOptions {
            unacknowledged_limit: UNACKNOWLEDGED_TIMEOUT,
        };
        let connection = runtime.reactor.connect(address, options)?;
        let upstream = Upstream {
            instance: instance.clone(),
            is_connected: false,
            task: None,
            reader: None,
            events: None,
            recent: VecDeque::new(),
            task_started_at: now,
            held_bytes: 0,
            idle_until: now,
            keep_alive: DEFAULT_KEEP_ALIVE,
        };
        self.all.insert(connection, upstream);
        Some(connection)
    }

    /// Takes the connection to a server that became idle last, except one that has carried the same
    /// request before: the answer to that may come once more, and has the same ID.
    fn take_idle(
        &mut self,
        runtime: &mut Runtime,
        instance: &InstanceId,
        expected: &ExpectedAnswer,
    ) -> Option<ConnectionId> {
        self.close_expired(runtime, instance);
        let idle = self.idle.get_mut(instance)?;
        let all = &self.all;
        let is_usable = |connection: &ConnectionId| {
            let upstream = all.get(connection);
            upstream.is_some_and(|upstream| !upstream.recent.contains(expected))
        };
        let position = idle.iter().rposition(is_usable)?;
        Some(idle.remove(position))
    }

    /// Closes the idle connections to a server that it may have closed.
    fn close_expired(&mut self, runtime: &mut Runtime, instance: &InstanceId) {
        let now = runtime.now;
        let Some(idle) = self.idle.get_mut(instance) else {
            return;
        };
        let all = &mut self.all;
        idle.retain(|connection| {
            let upstream = all.get(connection);
            let is_kept = upstream.is_some_and(|upstream| now < upstream.idle_until);
            if is_kept && runtime.reactor.is_open(*connection) {
                return true;
            }
            runtime.reactor.close(*connection);
            all.remove(connection);
            false
        });
    }

    /// Returns the state of a connection, for modification.
    pub(crate) fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Upstream> {
        self.all.get_mut(&connection)
    }

    /// Records the bytes that a connection holds of an incomplete answer. Returns the connection that
    /// holds most if all together hold more than [`MAX_HELD_BYTES`].
    pub(crate) fn record_held(&mut self, connection: ConnectionId) -> Option<ConnectionId> {
        let upstream = self.all.get_mut(&connection)?;
        let held = upstream
            .reader
            .as_ref()
            .map_or(0, MatchingReader::held_bytes);
        self.held_bytes = self.held_bytes - upstream.held_bytes + held;
        upstream.held_bytes = held;
        if self.held_bytes <= MAX_HELD_BYTES {
            return None;
        }
        self.largest_held()
    }

    /// Returns the connection that holds most bytes of an incomplete answer; `None` if none holds any.
    pub(crate) fn largest_held(&self) -> Option<ConnectionId> {
        let holding = self.all.iter();
        let holding = holding.filter(|(_, upstream)| upstream.held_bytes > 0);
        let largest = holding.max_by_key(|(_, upstream)| upstream.held_bytes);
        largest.map(|(connection, _)| *connection)
    }

    /// Returns the state of a connection.
    pub(crate) fn get(&self, connection: ConnectionId) -> Option<&Upstream> {
        self.all.get(&connection)
    }

    /// Whether there is a connection to a server, established or not.
    pub(crate) fn has_connection_to(&self, instance: &InstanceId) -> bool {
        self.all
            .values()
            .any(|upstream| upstream.instance == *instance)
    }

    /// Whether this is a connection to a server.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.all.contains_key(&connection)
    }

    /// Closes a connection and returns its last state.
    pub(crate) fn close(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
    ) -> Option<Upstream> {
        runtime.reactor.close(connection);
        let upstream = self.all.remove(&connection)?;
        self.held_bytes -= upstream.held_bytes;
        if let Some(idle) = self.idle.get_mut(&upstream.instance) {
            idle.retain(|other| *other != connection);
        }
        Some(upstream)
    }

    /// Closes connections that have been idle for too long or whose server is no longer known.
    pub(crate) fn close_idle(
        &mut self,
        runtime: &mut Runtime,
        is_known: impl Fn(&InstanceId) -> bool,
    ) {
        let now = runtime.now;
        let old: Vec<ConnectionId> = self
            .all
            .iter()
            .filter(|(_, upstream)| upstream.task.is_none())
            .filter(|(_, upstream)| now >= upstream.idle_until || !is_known(&upstream.instance))
            .map(|(connection, _)| *connection)
            .collect();
        for connection in old {
            self.close(runtime, connection);
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Returns the keep-alive timeout that the head of an answer states.
fn keep_alive_timeout(head: &AnswerHead) -> Option<Duration> {
    let text = head.headers.text("keep-alive")?;
    let seconds = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|value| value.parse().ok())?;
    Some(Duration::from_secs(seconds))
}
