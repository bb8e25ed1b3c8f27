//! A node's open calls to back ends and to the platform, with their time limits.

use super::core::UpstreamPurpose;
use crate::process::{Answer, Call, CallId, ProcessOutput};
use crate::wiring::{CallNumbers, Timers, hang_up, send_call};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_request::{AttemptFailure, FailureKind};
use wingshore_types::Instant;
use wingshore_types::platform::EngineStreamEvent;

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A part or the whole of an answer.
    Answer(Answer),
    /// Nothing whole came in time.
    TimedOut,
}

struct OpenCall {
    to: SocketAddr,
    purpose: UpstreamPurpose,
}

/// The open calls.
pub struct Upstream {
    numbers: CallNumbers,
    open: BTreeMap<CallId, OpenCall>,
    limits: Timers<CallId>,
}

impl Upstream {
    /// No calls yet.
    pub fn new(boot_id: u64) -> Self {
        Self {
            numbers: CallNumbers::new(boot_id),
            open: BTreeMap::new(),
            limits: Timers::default(),
        }
    }

    /// Makes a call; what comes of it is told under `purpose`.
    pub fn call(
        &mut self,
        now: Instant,
        to: SocketAddr,
        call: Call,
        timeout: Duration,
        purpose: UpstreamPurpose,
        out: &mut Vec<ProcessOutput>,
    ) -> CallId {
        let id = self.numbers.draw();
        self.open.insert(id, OpenCall { to, purpose });
        self.limits.set(now + timeout, id);
        send_call(to, id, call, out);
        id
    }

    /// Takes an answer; says whose it is. Answers to calls that were closed are dropped.
    pub fn on_answer(&mut self, id: CallId, answer: Answer) -> Option<(UpstreamPurpose, News)> {
        let purpose = self.open.get(&id)?.purpose.clone();
        if !matches!(answer, Answer::Stream(EngineStreamEvent::Chunk { .. })) {
            self.open.remove(&id);
        }
        Some((purpose, News::Answer(answer)))
    }

    /// Takes the earliest call whose time is up.
    pub fn take_timed_out(
        &mut self,
        now: Instant,
        out: &mut Vec<ProcessOutput>,
    ) -> Option<(UpstreamPurpose, News)> {
        while let Some(id) = self.limits.take_due(now) {
            if let Some(open) = self.open.remove(&id) {
                hang_up(open.to, id, out);
                return Some((open.purpose, News::TimedOut));
            }
        }
        None
    }

    /// Gives a call up.
    pub fn close(&mut self, id: CallId, out: &mut Vec<ProcessOutput>) {
        if let Some(open) = self.open.remove(&id) {
            hang_up(open.to, id, out);
        }
    }

    /// When [`Upstream::take_timed_out`] may have something.
    pub fn next_wake(&self) -> Option<Instant> {
        self.limits.next()
    }
}

/// The failure that an unusable answer means, by the rules of the real node: only a refused
/// connection and the server's own word say that the call did not run.
pub fn failure_of(news: &News) -> AttemptFailure {
    let (kind, retry_after) = match news {
        News::TimedOut => (FailureKind::TimedOut, None),
        News::Answer(Answer::Unreachable) => (FailureKind::ConnectFailed, None),
        News::Answer(Answer::Broken) => (FailureKind::ConnectionLost, None),
        News::Answer(Answer::Refused {
            verdict: wingshore_types::Verdict::NotRun,
            retry_after,
            ..
        }) => (FailureKind::RefusedByServer, *retry_after),
        News::Answer(_) => (FailureKind::BadAnswer, None),
    };
    AttemptFailure {
        kind,
        message: format!("{kind:?}"),
        retry_after,
    }
}
