//! Decision: may a request be crashing servers, and may another server run it?
//!
//! No I/O; `now` is passed in. The leader weighs the evidence of all gateways; this module decides
//! what one gateway does with the leader's announcements and its own evidence.
//!
//! **Inputs.** The suspects in the view (requests during which several servers crashed), the
//! crashes detected here that the leader has not announced, whether there is a leader, and how long
//! an attempt ran.
//!
//! **Rule.** A rejected request is sent to no server. A suspect runs only on trial, with a permit
//! of the leader ([`trials`](crate::trials)), and is not retried once it may have run. Without a
//! leader a gateway rejects requests by its own knowledge, from the same number of crashes on as the
//! leader. An attempt was hardly the cause if its connection was lost within 2 ms after sending, and
//! not the cause after it had streamed events for one second. Items of batch jobs and their scorings
//! are judged by none of this: they run whatever crashed under them. Their crashes are evidence all
//! the same, for live requests with the same content and for those that ran on the same servers.
//!
//! **Why.** A request that crashes its server would otherwise go on to the next one, attempt by
//! attempt, until no server is left. See docs/design/0010-requests-that-end-servers.md for the
//! alternatives considered.
//!
//! **Stale or missing inputs.** With a stale view, an attempt may pass that the leader has already
//! rejected; one more crash is then reported. A leader of a build without trials is asked nothing:
//! suspects run once for each attempt of a caller. Before the site's fingerprint key is known,
//! requests have no fingerprint and none is a suspect.

use crate::crashes::CrashDetector;
use crate::view::View;
use std::time::Duration;
use wingshore_coordination::{
    InstanceId, REJECTION_THRESHOLD, REPORTING_THRESHOLD, RequestFingerprint,
};
use wingshore_types::Instant;

/// An attempt that has streamed events for this long does not crash its server: a request that does
/// so crashes it when it starts to run, far sooner than this.
const CLEARED_AFTER: Duration = Duration::from_secs(1);
/// A request that was sent less than this long before its connection was lost is not the cause: if
/// several servers crash at once, it was sent to the next one while the reset was still on its way.
/// A round trip of request and reset between two zones of one region takes at least this long.
const POSSIBLE_CAUSE_AFTER: Duration = Duration::from_millis(2);

/// Whether an attempt that has streamed events since `first_event` is cleared of suspicion.
pub(crate) fn is_cleared(now: Instant, first_event: Instant) -> bool {
    now.since(first_event) >= CLEARED_AFTER
}

/// Whether a request that was sent at `sent_at` may have caused the loss of its connection now.
pub(crate) fn is_possible_cause(now: Instant, sent_at: Instant) -> bool {
    now.since(sent_at) >= POSSIBLE_CAUSE_AFTER
}

/// What a gateway knows about requests that may crash servers.
#[derive(Clone, Copy)]
pub(crate) struct Suspicions<'a> {
    pub(crate) view: &'a View,
    pub(crate) crashes: &'a CrashDetector,
    pub(crate) has_leader: bool,
}

impl Suspicions<'_> {
    /// Returns the server incarnations that crashed while running a request, as announced by the
    /// leader or detected by this gateway.
    pub(crate) fn crashed_instances(self, request: RequestFingerprint) -> Vec<InstanceId> {
        let announced = self.view.suspect(request);
        let mut crashed = announced.map_or_else(Vec::new, |suspect| suspect.ended.clone());
        let unannounced = self.crashes.unannounced();
        let unannounced = unannounced.filter(|evidence| evidence.fingerprint == request);
        for evidence in unannounced {
            if !crashed.contains(&evidence.instance) {
                crashed.push(evidence.instance.clone());
            }
        }
        crashed
    }

    /// Whether a request runs only on trial: several servers crashed, or possibly crashed, while
    /// running it.
    pub(crate) fn needs_trial(self, request: RequestFingerprint) -> bool {
        let crashed = self.crashed_instances(request).len();
        let possible = self.crashes.possible_count(request);
        self.is_suspect(request) || crashed + possible >= REPORTING_THRESHOLD
    }

    /// Whether a request is rejected. The leader decides this, because it knows more; without a
    /// leader the announced crashes and those detected here decide.
    pub(crate) fn is_rejected(self, request: RequestFingerprint) -> bool {
        let announced = self.view.suspect(request);
        announced.is_some_and(|suspect| suspect.rejected)
            || (!self.has_leader && self.crashed_instances(request).len() >= REJECTION_THRESHOLD)
    }

    /// Whether a request is a suspect, which must not be retried once it may have run: if it is the
    /// cause, each retry would crash another server before the leader could announce the crash.
    pub(crate) fn is_suspect(self, request: RequestFingerprint) -> bool {
        self.view.suspect(request).is_some()
    }
}
