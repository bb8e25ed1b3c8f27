//! Connections of operators, trainers, servers, clients and monitoring, with one request at a time
//! on each.

use wingshore_net::http::{HttpAnswer, RequestReader};
use wingshore_types::Instant;

/// Largest head of a request, in bytes; larger than any head that the platform sends.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Largest body of a request to the control listener, in bytes: an operator's document.
pub(crate) const MAX_BODY_BYTES: usize = 48 * 1024 * 1024;
/// Largest body in bytes of a request to a listener none of whose requests needs one.
pub(crate) const MAX_UNUSED_BODY_BYTES: usize = 16 * 1024;

/// One HTTP connection to this process.
pub(crate) struct ControlConnection {
    pub(crate) reader: RequestReader,
    /// Target of the request that is not answered yet.
    pub(crate) pending_target: Option<String>,
    /// Whether to close the connection after the answer.
    pub(crate) close_after: bool,
    /// When a request last arrived or was answered.
    pub(crate) last_used_at: Instant,
    /// Whether a request is being handled that was read in this moment.
    pub(crate) is_reading: bool,
    /// Largest body of its requests, in bytes.
    pub(crate) max_body: usize,
}

impl ControlConnection {
    /// Creates a connection without a pending request, whose requests have bodies of at most
    /// `max_body` bytes.
    pub(crate) fn new(now: Instant, max_body: usize) -> Self {
        Self {
            reader: RequestReader::default(),
            pending_target: None,
            close_after: false,
            last_used_at: now,
            is_reading: false,
            max_body,
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
