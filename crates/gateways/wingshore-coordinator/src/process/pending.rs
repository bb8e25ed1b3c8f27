//! Calls to the group that wait for its answer, and who gets that answer.

use std::collections::HashMap;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;
use wingshore_types::machine::RequestTag;

/// Who waits for the group's answer.
pub(super) enum Waiting {
    /// An operator, trainer or server.
    Caller(ConnectionId),
    /// A gateway, with the number of its call.
    Gateway(ConnectionId, u64),
    /// A coordinator that has forwarded a heartbeat.
    Coordinator(ConnectionId, u64),
    /// The change of members that is under way.
    Planner,
    /// The process itself, which asks again if it does not come about.
    Nobody,
}

/// A call that waits for the group's answer.
pub(super) struct PendingCall {
    pub(super) waiting: Waiting,
    /// Kind of the call, as logs and metrics name it.
    pub(super) call: &'static str,
    /// What it is about; only of calls whose answers are logged each.
    pub(super) subject: Option<String>,
    /// When it was made.
    pub(super) since: Instant,
}

/// Calls that wait for the group's answer, by the tag that it answers with.
#[derive(Default)]
pub(super) struct PendingCalls {
    by_tag: HashMap<RequestTag, PendingCall>,
    next_tag: u64,
}

impl PendingCalls {
    /// A call is made; gives its tag.
    pub(super) fn add(&mut self, call: PendingCall) -> RequestTag {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        self.by_tag.insert(tag, call);
        tag
    }

    /// A call is answered.
    pub(super) fn take(&mut self, tag: RequestTag) -> Option<PendingCall> {
        self.by_tag.remove(&tag)
    }
}
