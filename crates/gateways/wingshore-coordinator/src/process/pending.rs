//! Requests to the group that are not answered yet, and the targets of their replies.

use std::collections::HashMap;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;
use wingshore_types::machine::RequestTag;

/// Where the group's reply to a request goes.
pub(super) enum ReplyTarget {
    /// The connection of an operator, trainer or server.
    Caller(ConnectionId),
    /// A gateway's connection, with the number of its call.
    Gateway(ConnectionId, u64),
    /// The connection of a coordinator that forwarded a heartbeat, with the number of its call.
    Coordinator(ConnectionId, u64),
    /// The membership planner of this process, which waits for the reply to its change.
    Planner,
    /// Nobody: this process ignores the reply and repeats the request if it had no effect.
    Nobody,
}

/// A request to the group that is not answered yet.
pub(super) struct PendingCall {
    pub(super) reply_target: ReplyTarget,
    /// Kind of the call, as in logs and metrics.
    pub(super) kind: &'static str,
    /// Subject of the call, for calls whose every answer is logged.
    pub(super) subject: Option<String>,
    /// When the request was submitted.
    pub(super) started_at: Instant,
}

/// Requests to the group that are not answered yet, by the tag that their replies carry.
#[derive(Default)]
pub(super) struct PendingCalls {
    by_tag: HashMap<RequestTag, PendingCall>,
    next_tag: u64,
}

impl PendingCalls {
    /// Adds a call and returns its tag.
    pub(super) fn add(&mut self, call: PendingCall) -> RequestTag {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        self.by_tag.insert(tag, call);
        tag
    }

    /// Removes and returns the call with a tag.
    pub(super) fn take(&mut self, tag: RequestTag) -> Option<PendingCall> {
        self.by_tag.remove(&tag)
    }
}
