//! Connections of operators, trainers, servers, clients and monitoring: one request at a time on each.

use wingshore_net::http::{HttpAnswer, RequestReader};
use wingshore_types::Instant;

/// Bytes of a request's head at most; larger than any head of the platform.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of a request's body at most: a batch job or an operator's document.
pub(crate) const MAX_BODY_BYTES: usize = 48 * 1024 * 1024;

/// One HTTP connection to this process.
pub(crate) struct ControlConnection {
    pub(crate) reader: RequestReader,
    /// The target of the request that waits for its answer.
    pub(crate) pending_target: Option<String>,
    /// Whether to close after the answer.
    pub(crate) close_after: bool,
    /// When a request last arrived or was answered.
    pub(crate) last_used_at: Instant,
}

impl ControlConnection {
    /// A new connection.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            reader: RequestReader::default(),
            pending_target: None,
            close_after: false,
            last_used_at: now,
        }
    }
}

/// The bytes of an answer.
pub(crate) fn encode(answer: &HttpAnswer, close: bool) -> Vec<u8> {
    let mut writer = answer.head();
    if close {
        writer = writer.header("Connection", "close");
    }
    writer.body(&answer.body)
}
