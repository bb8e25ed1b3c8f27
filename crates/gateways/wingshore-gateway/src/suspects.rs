//! Decision: may a request be the cause of the ends of servers, and may another server run it?
//!
//! No I/O; `now` is passed in. The leader weighs the evidence of all gateways; this module says what
//! one gateway does with what it was sent and what it has seen itself.
//!
//! **Inputs.** The view's suspects (several servers ended under each), the endings seen here that the
//! leader has not announced, whether there is a leader, and how long an attempt ran.
//!
//! **Rule.** A rejected request is sent to no server. A suspect is not repeated: one attempt sends it to
//! one server. Without a leader a gateway rejects by what it knows, from as many endings on as the leader
//! does. An attempt that ended within 2 ms of its sending, or after a second of events, was not the
//! cause.
//!
//! **Why.** A request that ends its server would go on to the next one, attempt by attempt, until none
//! is left. docs/design/0010-requests-that-end-servers.md has what was weighed.
//!
//! **Old or missing inputs.** A view that lags lets an attempt through that the leader has rejected; one
//! more ending is then reported. Before the site's key is known no request can be named: none is
//! suspect.

use crate::crashes::CrashWatch;
use crate::view::View;
use std::time::Duration;
use wingshore_coordination::{InstanceId, REJECTION_THRESHOLD, RequestFingerprint};
use wingshore_types::Instant;

/// An attempt that has brought events for this long is not what ends its server: such a request does
/// that as it begins to run, far sooner than this.
const CLEARED_AFTER: Duration = Duration::from_secs(1);
/// A request that was sent less than this long before the connection was lost did not bring it on:
/// where several servers end at once, it was sent to the next one while word of its end was on
/// the way. Request and reset alone need as long as this between two zones of one region.
const POSSIBLE_CAUSE_AFTER: Duration = Duration::from_millis(2);

/// Whether an attempt that has brought events since `first_event` is not what ends its server.
pub(crate) fn is_cleared(now: Instant, first_event: Instant) -> bool {
    now.since(first_event) >= CLEARED_AFTER
}

/// Whether a request that was sent at `sent_at` may have brought on the end of its connection.
pub(crate) fn is_possible_cause(now: Instant, sent_at: Instant) -> bool {
    now.since(sent_at) >= POSSIBLE_CAUSE_AFTER
}

/// What a gateway knows of requests under which servers have ended.
#[derive(Clone, Copy)]
pub(crate) struct Suspicions<'a> {
    pub(crate) view: &'a View,
    pub(crate) crashes: &'a CrashWatch,
    pub(crate) has_leader: bool,
}

impl Suspicions<'_> {
    /// Incarnations of servers that ended under a request, by the leader's word and by what was seen
    /// here.
    pub(crate) fn ended_under(self, request: RequestFingerprint) -> Vec<InstanceId> {
        let announced = self.view.suspect(request);
        let mut ended = announced.map_or_else(Vec::new, |suspect| suspect.ended.clone());
        let unreported = self.crashes.unreported();
        let unreported = unreported.filter(|evidence| evidence.fingerprint == request);
        for evidence in unreported {
            if !ended.contains(&evidence.instance) {
                ended.push(evidence.instance.clone());
            }
        }
        ended
    }

    /// Whether no other server is to run a request. The leader decides that, who knows more; where
    /// there is none now, what was announced and what was seen here must do.
    pub(crate) fn is_rejected(self, request: RequestFingerprint) -> bool {
        let announced = self.view.suspect(request);
        announced.is_some_and(|suspect| suspect.rejected)
            || (!self.has_leader && self.ended_under(request).len() >= REJECTION_THRESHOLD)
    }

    /// Whether so many servers have ended under a request that one attempt sends it to one server
    /// only: if it is the cause, each more would end the next one before the leader could announce
    /// it.
    pub(crate) fn is_suspect(self, request: RequestFingerprint) -> bool {
        self.view.suspect(request).is_some()
    }
}
