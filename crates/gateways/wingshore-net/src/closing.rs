//! Progress of callers in reading their answers, and connections that close after their last one.

use crate::callers::{CallerState, Stage};
use crate::id::ConnectionId;
use crate::reactor::Reactor;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A caller that takes no byte of its answer for this time is closed. It is longer than what a caller
/// on a slow link needs for the bytes that its own kernel holds.
const UNREAD_LIMIT: Duration = Duration::from_secs(10);
/// How long a refused caller may go on sending after its answer was sent.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

/// How far a caller has taken what was sent to it.
#[derive(Clone, Copy, Debug)]
pub struct OutputProgress {
    sent: u64,
    /// When the socket last took bytes, or had none to take.
    changed_at: Instant,
}

impl OutputProgress {
    /// Creates the progress of a connection on which nothing was sent.
    pub fn new(now: Instant) -> Self {
        Self {
            sent: 0,
            changed_at: now,
        }
    }

    /// Looks at the connection, and returns when its socket last took bytes or had none to take.
    pub fn update(&mut self, now: Instant, reactor: &Reactor, connection: ConnectionId) -> Instant {
        let sent = reactor.sent(connection);
        if sent != self.sent || reactor.queued(connection) == 0 {
            self.sent = sent;
            self.changed_at = now;
        }
        self.changed_at
    }

    /// Looks at the connection, and returns whether its caller does not read its answer.
    pub fn is_stalled(
        &mut self,
        now: Instant,
        reactor: &Reactor,
        connection: ConnectionId,
    ) -> bool {
        now.since(self.update(now, reactor, connection)) >= UNREAD_LIMIT
    }
}

/// A connection that closes.
struct Closing {
    progress: OutputProgress,
    /// When its last byte was sent; `None` before.
    sent_at: Option<Instant>,
}

/// Connections that close once their last answer was sent.
#[derive(Default)]
pub struct ClosingConnections {
    all: HashMap<ConnectionId, Closing>,
}

impl ClosingConnections {
    /// Adds a connection that the reactor was told to close.
    pub fn add(&mut self, now: Instant, connection: ConnectionId) {
        let closing = Closing {
            progress: OutputProgress::new(now),
            sent_at: None,
        };
        self.all.insert(connection, closing);
    }

    /// Forgets connections that have closed, and closes those whose callers do not read their answer
    /// or go on sending for too long after it.
    pub fn expire(&mut self, now: Instant, reactor: &mut Reactor) {
        self.all.retain(|connection, closing| {
            if !reactor.is_open(*connection) {
                return false;
            }
            if reactor.queued(*connection) == 0 {
                closing.sent_at.get_or_insert(now);
            }
            let lingers = closing
                .sent_at
                .is_some_and(|sent_at| now.since(sent_at) >= LINGER_LIMIT);
            if lingers || closing.progress.is_stalled(now, reactor, *connection) {
                reactor.close(*connection);
                return false;
            }
            true
        });
    }

    /// Returns what each connection holds.
    pub fn states<'a>(
        &'a mut self,
        now: Instant,
        reactor: &'a Reactor,
    ) -> impl Iterator<Item = CallerState> + 'a {
        let all = self.all.iter_mut();
        all.map(move |(connection, closing)| CallerState {
            connection: *connection,
            stage: Stage::Idle { was_served: true },
            body: 0,
            input: 0,
            unsent: reactor.queued(*connection),
            received_at: now,
            sent_at: closing.progress.update(now, reactor, *connection),
        })
    }

    /// Whether a connection still has bytes to send.
    pub fn has_unsent(&self, reactor: &Reactor) -> bool {
        let mut connections = self.all.keys();
        connections.any(|connection| reactor.queued(*connection) > 0)
    }

    /// Closes the connections that have nothing left to send, and returns how many.
    pub fn close_sent(&mut self, reactor: &mut Reactor) -> usize {
        let before = self.all.len();
        self.all.retain(|connection, _| {
            let is_sent = reactor.queued(*connection) == 0;
            if is_sent {
                reactor.close(*connection);
            }
            !is_sent
        });
        before - self.all.len()
    }
}
