//! Connections of operators, trainers, servers, clients and monitoring, with one request at a time
//! on each.

use wingshore_net::account::Account;
use wingshore_net::callers::{CallerState, Stage};
use wingshore_net::http::{HttpAnswer, RequestReader};
use wingshore_net::{ConnectionId, OutputProgress, Reactor};
use wingshore_types::Instant;

/// Largest head of a request, in bytes; larger than any head that the platform sends.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Largest body of a request to the control listener, in bytes: an operator's document.
pub(crate) const MAX_BODY_BYTES: usize = 48 * 1024 * 1024;
/// Largest body in bytes of a request to a listener none of whose requests needs one.
pub(crate) const MAX_UNUSED_BODY_BYTES: usize = 16 * 1024;
/// Bytes of answers in a caller's output queue with which its next request is not read yet.
pub(crate) const MAX_UNSENT_BYTES: usize = 16 * 1024;

/// One HTTP connection to this process.
pub(crate) struct ControlConnection {
    pub(crate) reader: RequestReader,
    /// Target of the request that is not answered yet.
    pub(crate) pending_target: Option<String>,
    /// Whether to close the connection after the answer.
    pub(crate) close_after: bool,
    /// When bytes last arrived or a request was answered.
    pub(crate) last_used_at: Instant,
    /// Largest body of its requests, in bytes.
    pub(crate) max_body: usize,
    /// When the first bytes of the incomplete request arrived; `None` if there are none.
    pub(crate) started_at: Option<Instant>,
    /// Whether a request is being handled that was read in this moment.
    pub(crate) is_reading: bool,
    /// Whether a request of this connection was answered.
    pub(crate) was_served: bool,
    pub(crate) output: OutputProgress,
}

impl ControlConnection {
    /// Creates a connection without a pending request, whose requests have bodies of at most
    /// `max_body` bytes.
    pub(crate) fn new(now: Instant, account: &Account, max_body: usize) -> Self {
        Self {
            reader: RequestReader::new(account),
            pending_target: None,
            close_after: false,
            last_used_at: now,
            max_body,
            started_at: None,
            is_reading: false,
            was_served: false,
            output: OutputProgress::new(now),
        }
    }

    /// Returns what the connection does and holds.
    pub(crate) fn state(
        &mut self,
        now: Instant,
        reactor: &Reactor,
        connection: ConnectionId,
    ) -> CallerState {
        let stage = if self.pending_target.is_some() {
            Stage::Waiting
        } else if self.started_at.is_some() {
            Stage::Receiving
        } else {
            Stage::Idle {
                was_served: self.was_served,
            }
        };
        CallerState {
            connection,
            stage,
            body: self.reader.body_bytes(),
            input: reactor.input_bytes(connection),
            unsent: reactor.queued(connection),
            received_at: self.last_used_at,
            sent_at: self.output.update(now, reactor, connection),
        }
    }
}

/// Encodes an answer; `close` adds the header `Connection: close`.
pub(crate) fn encode(answer: &HttpAnswer, close: bool) -> Vec<u8> {
    let mut writer = answer.head();
    if close {
        writer = writer.header("Connection", "close");
    }
    writer.body(&answer.body)
}
