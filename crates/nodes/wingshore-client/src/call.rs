//! Calls to replicated groups: the attempts of a call and the client that makes them.

use crate::error::CallError;
use crate::lock::lock;
use crate::multiplexed::{AttemptOutcome, PendingReply};
use crate::pool::ConnectionPool;
use crate::retry::{Backoff, attempt_timeout};
use crate::route::Route;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, RequestId, Verdict};

/// Attempts of [`GroupClient::call_at`]: the second one replaces a lost connection.
const ATTEMPTS_AT_ONE_ADDRESS: u32 = 2;

/// Calls replicated groups. Clones share their connections and their knowledge of leaders.
#[derive(Clone, Debug)]
pub struct GroupClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    pool: ConnectionPool,
    route: Mutex<Route>,
    generator: Mutex<ChaCha8Rng>,
    closed: Mutex<bool>,
    closing: Condvar,
}

/// Progress of one call: its attempts so far and its backoff.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    attempts: u32,
    may_have_run: bool,
    last: String,
    backoff: Backoff,
    attempts_since_backoff: usize,
}

/// What to do after an attempt.
pub(crate) enum NextStep {
    /// Return this reply to the caller.
    Return(GroupReply),
    /// Return this error to the caller.
    Fail(CallError),
    /// Try another replica at once.
    TryAnother,
    /// Try another replica after a backoff.
    BackOff,
}

impl GroupClient {
    /// Creates a client of the groups that the replicas at `replicas` host. `seed` determines the
    /// first replica to try and the jitter of backoffs.
    pub fn new(site: &str, replicas: Vec<SocketAddr>, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let start = generator.random_range(0..replicas.len().max(1));
        let inner = Inner {
            pool: ConnectionPool::new(site),
            route: Mutex::new(Route::new(replicas, start)),
            generator: Mutex::new(generator),
            closed: Mutex::new(false),
            closing: Condvar::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Calls the leader of `group`. Retries until `timeout` after a lost connection, an attempt
    /// without a reply or [`GroupReply::Unknown`], so the request must be idempotent, as every
    /// [`GroupRequest`] is. Never returns [`GroupReply::NotLeader`] or [`GroupReply::Unknown`].
    ///
    /// # Errors
    /// When no reply arrives in time, no replica is known, the request cannot be sent, or the
    /// client is closed.
    pub fn call(
        &self,
        group: GroupId,
        request: GroupRequest,
        timeout: Duration,
    ) -> Result<GroupReply, CallError> {
        let deadline = Instant::now() + timeout;
        let longest_attempt = attempt_timeout(&request, timeout);
        let mut frame = request_frame(group, request);
        let mut progress = CallProgress::default();
        loop {
            let address = self.next_address(group, &mut progress, deadline)?;
            let attempt_deadline = deadline.min(Instant::now() + longest_attempt);
            let attempt = self.attempt(address, &mut frame, attempt_deadline);
            match self.next_step(&mut progress, group, address, attempt) {
                NextStep::Return(reply) => return Ok(reply),
                NextStep::Fail(error) => return Err(error),
                NextStep::TryAnother => {}
                NextStep::BackOff => self.back_off(&mut progress, deadline),
            }
        }
    }

    /// Calls one process, whatever its role in the group, and returns its reply unchanged.
    /// Reconnects once if the connection turns out to be lost.
    ///
    /// # Errors
    /// When the process does not reply, or the request cannot be sent.
    pub fn call_at(
        &self,
        address: SocketAddr,
        group: GroupId,
        request: GroupRequest,
        timeout: Duration,
    ) -> Result<GroupReply, CallError> {
        let deadline = Instant::now() + timeout;
        let mut frame = request_frame(group, request);
        let mut progress = CallProgress::default();
        for _ in 0..ATTEMPTS_AT_ONE_ADDRESS {
            match self.attempt(address, &mut frame, deadline) {
                AttemptOutcome::Reply(reply) => return Ok(reply),
                AttemptOutcome::Unsendable { reason } => {
                    return Err(CallError::Unsendable { reason });
                }
                failed => progress.record_attempt(&failed),
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(CallError::Unreachable {
            address,
            verdict: progress.verdict(),
            reason: progress.last,
        })
    }

    /// Fails all calls of all clones with [`CallError::Closed`] and closes the connections.
    pub fn close(&self) {
        *lock(&self.inner.closed) = true;
        self.inner.closing.notify_all();
        self.inner.pool.close();
    }

    /// Returns the address of the replica to try next.
    ///
    /// # Errors
    /// When the client is closed, the deadline has passed, or no replica is known.
    pub(crate) fn next_address(
        &self,
        group: GroupId,
        progress: &mut CallProgress,
        deadline: Instant,
    ) -> Result<SocketAddr, CallError> {
        let now = Instant::now();
        if *lock(&self.inner.closed) {
            return Err(progress.closed());
        }
        if now >= deadline {
            return Err(progress.timed_out(group));
        }
        let chosen = self.inner.route().choose(group, now);
        chosen.ok_or(CallError::NoReplicas)
    }

    /// Sends a request to `address` without waiting for its reply.
    ///
    /// # Errors
    /// The outcome of the attempt, if the request was not sent by `deadline`.
    pub(crate) fn send(
        &self,
        address: SocketAddr,
        frame: &mut Frame,
        deadline: Instant,
    ) -> Result<PendingReply, AttemptOutcome> {
        match self.inner.pool.get(address, deadline) {
            Ok(connection) => connection.send(frame),
            Err(reason) => Err(AttemptOutcome::NotSent { reason }),
        }
    }

    fn attempt(&self, address: SocketAddr, frame: &mut Frame, deadline: Instant) -> AttemptOutcome {
        match self.inner.pool.get(address, deadline) {
            Ok(connection) => connection.request(frame, deadline),
            Err(reason) => AttemptOutcome::NotSent { reason },
        }
    }

    /// Updates the route with the outcome of an attempt and returns the next step of the call.
    pub(crate) fn next_step(
        &self,
        progress: &mut CallProgress,
        group: GroupId,
        address: SocketAddr,
        attempt: AttemptOutcome,
    ) -> NextStep {
        progress.record_attempt(&attempt);
        let now = Instant::now();
        let mut route = self.inner.route();
        match attempt {
            AttemptOutcome::Reply(GroupReply::NotLeader { leader }) => {
                route.on_not_leader(group, address, leader, now);
            }
            AttemptOutcome::Reply(GroupReply::Unknown) => {
                route.on_unavailable(group, address);
                return NextStep::BackOff;
            }
            AttemptOutcome::Reply(reply @ GroupReply::Rejected(_)) => {
                route.on_unavailable(group, address);
                return NextStep::Return(reply);
            }
            AttemptOutcome::Reply(reply) => {
                route.on_answer(group, address);
                return NextStep::Return(reply);
            }
            AttemptOutcome::Unsendable { reason } => {
                return NextStep::Fail(CallError::Unsendable { reason });
            }
            AttemptOutcome::NotSent { .. } | AttemptOutcome::Unanswered { .. } => {
                route.on_failure(group, address, now);
            }
        }
        // One attempt per replica without backoff, and one more for a new leader hint.
        if progress.attempts_since_backoff <= route.candidate_count() {
            NextStep::TryAnother
        } else {
            NextStep::BackOff
        }
    }

    /// Waits before the next attempt, at most until `deadline` or until the client is closed.
    pub(crate) fn back_off(&self, progress: &mut CallProgress, deadline: Instant) {
        progress.attempts_since_backoff = 0;
        let backoff = {
            let mut generator = lock(&self.inner.generator);
            progress.backoff.next_delay(&mut generator)
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let closed = lock(&self.inner.closed);
        let waited =
            self.inner
                .closing
                .wait_timeout_while(closed, backoff.min(remaining), |closed| !*closed);
        drop(waited);
    }
}

impl Inner {
    fn route(&self) -> MutexGuard<'_, Route> {
        lock(&self.route)
    }
}

impl CallProgress {
    fn record_attempt(&mut self, attempt: &AttemptOutcome) {
        self.attempts += 1;
        self.attempts_since_backoff += 1;
        self.last = match attempt {
            AttemptOutcome::Reply(GroupReply::NotLeader { .. }) => "not the leader".to_owned(),
            AttemptOutcome::Reply(GroupReply::Unknown) => "leadership was lost".to_owned(),
            AttemptOutcome::Reply(_) => String::new(),
            AttemptOutcome::NotSent { reason }
            | AttemptOutcome::Unanswered { reason }
            | AttemptOutcome::Unsendable { reason } => reason.clone(),
        };
        let unsent = matches!(
            attempt,
            AttemptOutcome::NotSent { .. } | AttemptOutcome::Unsendable { .. }
        );
        self.may_have_run |= !unsent;
    }

    fn verdict(&self) -> Verdict {
        if self.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    fn closed(&self) -> CallError {
        let verdict = self.verdict();
        CallError::Closed { verdict }
    }

    fn timed_out(&mut self, group: GroupId) -> CallError {
        CallError::TimedOut {
            group,
            attempts: self.attempts,
            last: std::mem::take(&mut self.last),
            verdict: self.verdict(),
        }
    }
}

/// Returns a request frame with a placeholder id; each attempt sets its own.
pub(crate) fn request_frame(group: GroupId, body: GroupRequest) -> Frame {
    let id = RequestId(0);
    Frame::Request { id, group, body }
}
