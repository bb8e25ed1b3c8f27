//! Connections to servers: one request at a time on each, kept for the next one.

use crate::event_stream::EventReader;
use crate::ids::ExchangeId;
use crate::runtime::Runtime;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{AssignmentId, InstanceId};
use wingshore_net::http::{AnswerHead, AnswerReader, WholeAnswer};
use wingshore_net::{ConnectOptions, ConnectionId};
use wingshore_types::Instant;

/// Sent bytes may stay unacknowledged this long.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);
/// Idle connections are kept this long where the server does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// A connection is not used in the last part of the time that the server keeps it: a request must
/// not meet its close.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// Who uses a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Task {
    /// A request of a client, or a scoring's.
    Exchange(ExchangeId),
    /// An attempt at an item.
    Item(AssignmentId),
}

/// How a connection to a server ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// It was up: what was sent on it may have run.
    Lost,
    /// It was up, and was closed here since the server was silent for too long.
    TimedOut,
    /// It never came up.
    ConnectFailed,
    /// It never came up, since nobody listens at the address: the server's process has ended.
    Refused,
}

impl ConnectionEnd {
    /// In words, for logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Lost => "connection ended",
            Self::TimedOut => "too slow",
            Self::ConnectFailed => "no connection",
            Self::Refused => "connection refused",
        }
    }
}

/// A send whose connection ended without a whole answer.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    /// The incarnation of the server.
    pub(crate) instance: InstanceId,
    /// When it was sent.
    pub(crate) sent_at: Instant,
    /// How the connection ended.
    pub(crate) end: ConnectionEnd,
}

/// An answer that has come whole.
pub(crate) struct Finished {
    /// The incarnation of the server.
    pub(crate) instance: InstanceId,
    pub(crate) answer: WholeAnswer,
    /// Whether no part of an event of a stream is left over.
    pub(crate) ends_at_event_boundary: bool,
}

/// One connection to a server.
pub(crate) struct Upstream {
    pub(crate) instance: InstanceId,
    /// Whether it has come up: from then on bytes may have left.
    pub(crate) is_connected: bool,
    /// Who uses it now; nobody while it is idle.
    pub(crate) task: Option<Task>,
    pub(crate) reader: AnswerReader,
    /// Reads the answer's events, where that is a stream of them.
    pub(crate) events: Option<EventReader>,
    /// When the task began.
    pub(crate) task_started_at: Instant,
    /// Until when it may be used again, while it is idle.
    idle_until: Instant,
    /// How long the server keeps it while it is idle.
    keep: Duration,
}

/// All connections to servers.
#[derive(Default)]
pub(crate) struct Upstreams {
    all: HashMap<ConnectionId, Upstream>,
    /// Those that wait for their next use, by the server that they lead to.
    idle: HashMap<InstanceId, Vec<ConnectionId>>,
}

impl Upstreams {
    /// Sends a request on an idle connection, or a new one; `None` when the system refuses one.
    pub(crate) fn send(
        &mut self,
        runtime: &mut Runtime,
        instance: &InstanceId,
        address: SocketAddr,
        task: Task,
        bytes: &[u8],
    ) -> Option<ConnectionId> {
        let now = runtime.now;
        let connection = match self.take_idle(runtime, instance) {
            Some(connection) => connection,
            None => self.connect(runtime, instance, address)?,
        };
        let upstream = self.all.get_mut(&connection)?;
        upstream.task = Some(task);
        upstream.task_started_at = now;
        upstream.reader = AnswerReader::new(false);
        upstream.events = None;
        runtime.reactor.send(connection, bytes);
        Some(connection)
    }

    /// Opens a connection for whatever comes next; it is kept once it is up.
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
            upstream.idle_until = now + DEFAULT_KEEP;
        }
    }

    /// A connection has come up; gives what it is used for. One that was opened for whatever comes next
    /// is kept for that.
    pub(crate) fn on_connected(&mut self, now: Instant, connection: ConnectionId) -> Option<Task> {
        let upstream = self.all.get_mut(&connection)?;
        upstream.is_connected = true;
        if upstream.task.is_none() {
            self.keep_idle(now, connection);
            return None;
        }
        upstream.task
    }

    /// A connection waits for its next use.
    fn keep_idle(&mut self, now: Instant, connection: ConnectionId) {
        if let Some(upstream) = self.all.get_mut(&connection) {
            upstream.idle_until = now + upstream.keep.saturating_sub(KEEP_MARGIN);
            let idle = self.idle.entry(upstream.instance.clone()).or_default();
            idle.push(connection);
        }
    }

    /// The answer on a connection is whole; `is_all_read` when nothing came behind it. The connection
    /// waits for its next use, or closes.
    pub(crate) fn finish(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        is_all_read: bool,
    ) -> Option<Finished> {
        let now = runtime.now;
        let upstream = self.all.get_mut(&connection)?;
        let reader = std::mem::replace(&mut upstream.reader, AnswerReader::new(false));
        let is_within_event = upstream
            .events
            .as_ref()
            .is_some_and(EventReader::is_within_event);
        let answer = reader.into_answer(is_all_read)?;
        let instance = upstream.instance.clone();
        if answer.reusable {
            upstream.task = None;
            upstream.keep = keep_time(&answer.head).unwrap_or(upstream.keep);
            self.keep_idle(now, connection);
        } else {
            self.close(runtime, connection);
        }
        Some(Finished {
            instance,
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
            unacknowledged_limit: UNACKNOWLEDGED_LIMIT,
        };
        let connection = runtime.reactor.connect(address, options)?;
        let upstream = Upstream {
            instance: instance.clone(),
            is_connected: false,
            task: None,
            reader: AnswerReader::new(false),
            events: None,
            task_started_at: now,
            idle_until: now,
            keep: DEFAULT_KEEP,
        };
        self.all.insert(connection, upstream);
        Some(connection)
    }

    fn take_idle(&mut self, runtime: &mut Runtime, instance: &InstanceId) -> Option<ConnectionId> {
        let now = runtime.now;
        let idle = self.idle.get_mut(instance)?;
        while let Some(connection) = idle.pop() {
            let is_kept = self
                .all
                .get(&connection)
                .is_some_and(|upstream| now < upstream.idle_until);
            if is_kept && runtime.reactor.is_open(connection) {
                return Some(connection);
            }
            runtime.reactor.close(connection);
            self.all.remove(&connection);
        }
        None
    }

    /// A connection and its use.
    pub(crate) fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut Upstream> {
        self.all.get_mut(&connection)
    }

    /// A connection and its use.
    pub(crate) fn get(&self, connection: ConnectionId) -> Option<&Upstream> {
        self.all.get(&connection)
    }

    /// Whether a connection leads to a server.
    pub(crate) fn owns(&self, connection: ConnectionId) -> bool {
        self.all.contains_key(&connection)
    }

    /// The connection is of no more use.
    pub(crate) fn close(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
    ) -> Option<Upstream> {
        runtime.reactor.close(connection);
        let upstream = self.all.remove(&connection)?;
        if let Some(idle) = self.idle.get_mut(&upstream.instance) {
            idle.retain(|other| *other != connection);
        }
        Some(upstream)
    }

    /// Closes connections that have been idle for too long, or whose server is not known any more.
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

/// How long a server keeps an idle connection, as its answer says.
fn keep_time(head: &AnswerHead) -> Option<Duration> {
    let text = head.headers.text("keep-alive")?;
    let seconds = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|value| value.parse().ok())?;
    Some(Duration::from_secs(seconds))
}
