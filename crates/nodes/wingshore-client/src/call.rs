//! Calls to groups.

use crate::error::CallError;
use crate::lock::lock;
use crate::multiplexed::{Attempt, PendingReply};
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

/// Attempts of a call to one process: a second one where the connection turned out to be lost.
const ATTEMPTS_AT_ONE_ADDRESS: u32 = 2;

/// Calls replicated groups. Clones share their connections and what they know about leaders.
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

/// The attempts of one call so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    attempts: u32,
    may_have_run: bool,
    last: String,
    backoff: Backoff,
    attempts_since_backoff: usize,
}

/// What to do after an attempt.
pub(crate) enum Next {
    /// The call is answered.
    Return(GroupReply),
    /// The call cannot be answered.
    Fail(CallError),
    /// Another replica is asked at once.
    TryAnother,
    /// Another replica is asked after a pause.
    BackOff,
}

impl GroupClient {
    /// A client of the groups that the replicas at `replicas` hold. `seed` draws the replica to
    /// begin with and the jitter of backoffs.
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

    /// Calls the leader of `group`. Sends again on a lost connection, on silence and on
    /// [`GroupReply::Unknown`] until `timeout`, so the request must be safe to repeat, as all of
    /// [`GroupRequest`] are. Never returns [`GroupReply::NotLeader`] or [`GroupReply::Unknown`].
    ///
    /// # Errors
    /// When there is no answer in time, or the client is closed.
    pub fn call(
        &self,
        group: GroupId,
        request: GroupRequest,
        timeout: Duration,
    ) -> Result<GroupReply, CallError> {
        let deadline = Instant::now() + timeout;
        let longest_attempt = attempt_timeout(&request, timeout);
        let mut frame = request_frame(group, request);
        let mut progress = Progress::default();
        loop {
            let address = self.next_address(group, &mut progress, deadline)?;
            let attempt_deadline = deadline.min(Instant::now() + longest_attempt);
            let attempt = self.attempt(address, &mut frame, attempt_deadline);
            match self.judge(&mut progress, group, address, attempt) {
                Next::Return(reply) => return Ok(reply),
                Next::Fail(error) => return Err(error),
                Next::TryAnother => {}
                Next::BackOff => self.back_off(&mut progress, deadline),
            }
        }
    }

    /// Asks one process, whatever its role in the group; returns its answer as it is. A connection
    /// that turns out to be lost is opened again once.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn call_at(
        &self,
        address: SocketAddr,
        group: GroupId,
        request: GroupRequest,
        timeout: Duration,
    ) -> Result<GroupReply, CallError> {
        let deadline = Instant::now() + timeout;
        let mut frame = request_frame(group, request);
        let mut progress = Progress::default();
        for _ in 0..ATTEMPTS_AT_ONE_ADDRESS {
            match self.attempt(address, &mut frame, deadline) {
                Attempt::Reply(reply) => return Ok(reply),
                Attempt::Unsendable { reason } => return Err(CallError::Unsendable { reason }),
                failed => progress.note(&failed),
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

    /// Ends all calls of all clones with [`CallError::Closed`] and closes the connections.
    pub fn close(&self) {
        *lock(&self.inner.closed) = true;
        self.inner.closing.notify_all();
        self.inner.pool.close();
    }

    /// Whom to ask next.
    ///
    /// # Errors
    /// When the client is closed, the time is up, or no replica is known.
    pub(crate) fn next_address(
        &self,
        group: GroupId,
        progress: &mut Progress,
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
    /// The end of the attempt, where it was not sent by `deadline`.
    pub(crate) fn send(
        &self,
        address: SocketAddr,
        frame: &mut Frame,
        deadline: Instant,
    ) -> Result<PendingReply, Attempt> {
        match self.inner.pool.get(address, deadline) {
            Ok(connection) => connection.send(frame),
            Err(reason) => Err(Attempt::NotSent { reason }),
        }
    }

    fn attempt(&self, address: SocketAddr, frame: &mut Frame, deadline: Instant) -> Attempt {
        match self.inner.pool.get(address, deadline) {
            Ok(connection) => connection.request(frame, deadline),
            Err(reason) => Attempt::NotSent { reason },
        }
    }

    /// Learns from an attempt, and says what follows it.
    pub(crate) fn judge(
        &self,
        progress: &mut Progress,
        group: GroupId,
        address: SocketAddr,
        attempt: Attempt,
    ) -> Next {
        progress.note(&attempt);
        let now = Instant::now();
        let mut route = self.inner.route();
        match attempt {
            Attempt::Reply(GroupReply::NotLeader { leader }) => {
                route.on_not_leader(group, address, leader, now);
            }
            Attempt::Reply(GroupReply::Unknown) => {
                route.on_unavailable(group, address);
                return Next::BackOff;
            }
            Attempt::Reply(reply @ GroupReply::Rejected(_)) => {
                route.on_unavailable(group, address);
                return Next::Return(reply);
            }
            Attempt::Reply(reply) => {
                route.on_answer(group, address);
                return Next::Return(reply);
            }
            Attempt::Unsendable { reason } => return Next::Fail(CallError::Unsendable { reason }),
            Attempt::NotSent { .. } | Attempt::Unanswered { .. } => {
                route.on_failure(group, address, now);
            }
        }
        // One round over all replicas without backoff, and one more for a fresh hint.
        if progress.attempts_since_backoff <= route.candidate_count() {
            Next::TryAnother
        } else {
            Next::BackOff
        }
    }

    /// Waits before the next attempt, not beyond `deadline` nor beyond the client's closing.
    pub(crate) fn back_off(&self, progress: &mut Progress, deadline: Instant) {
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

impl Progress {
    fn note(&mut self, attempt: &Attempt) {
        self.attempts += 1;
        self.attempts_since_backoff += 1;
        self.last = match attempt {
            Attempt::Reply(GroupReply::NotLeader { .. }) => "not the leader".to_owned(),
            Attempt::Reply(GroupReply::Unknown) => "leadership was lost".to_owned(),
            Attempt::Reply(_) => String::new(),
            Attempt::NotSent { reason }
            | Attempt::Unanswered { reason }
            | Attempt::Unsendable { reason } => reason.clone(),
        };
        let unsent = matches!(
            attempt,
            Attempt::NotSent { .. } | Attempt::Unsendable { .. }
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

/// A request frame; each attempt sets its own id.
pub(crate) fn request_frame(group: GroupId, body: GroupRequest) -> Frame {
    let id = RequestId(0);
    Frame::Request { id, group, body }
}
