//! Calls to groups from a simulated process: finds the leader and sends again, with the routes,
//! attempt timeouts and backoff of [`wingshore_client`].
//!
//! Owns the calls without a result and the route; its process passes it messages and time.

use crate::process::{Message, ProcessInput, ProcessOutput};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_client::{Backoff, Route, attempt_timeout};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, RequestId, Verdict};

/// How a call ended: the group's answer, or whether the request may have run.
pub type CallResult = Result<GroupReply, Verdict>;

/// The calls to groups of one process. `T` is the caller's own name for a call.
pub struct GroupCalls<T> {
    route: Route,
    generator: ChaCha8Rng,
    /// What the route's clock shows at [`Instant::ZERO`]; only differences matter.
    origin: std::time::Instant,
    next_request: u64,
    calls: BTreeMap<u64, OpenCall<T>>,
    next_call: u64,
    results: Vec<(T, CallResult)>,
}

/// One call that has no result yet.
struct OpenCall<T> {
    tag: T,
    group: GroupId,
    body: GroupRequest,
    deadline: Instant,
    attempt_timeout: Duration,
    phase: Phase,
    backoff: Backoff,
    attempts: u32,
    attempts_since_backoff: usize,
}

/// What a call waits for.
enum Phase {
    /// The answer to an attempt.
    Attempt {
        request: RequestId,
        address: SocketAddr,
        until: Instant,
    },
    /// The end of a backoff.
    Backoff { until: Instant },
}

/// What to do after an attempt.
enum Next {
    Return(GroupReply),
    AskAnother,
    BackOff,
}

impl<T> GroupCalls<T> {
    /// Calls of a process that knows `replicas`. `seed` draws the jitter of backoffs and the replica
    /// to begin with.
    pub fn new(replicas: Vec<SocketAddr>, seed: u64) -> Self {
        let start = (seed % replicas.len().max(1) as u64) as usize;
        Self {
            route: Route::new(replicas, start),
            generator: ChaCha8Rng::seed_from_u64(seed),
            origin: std::time::Instant::now(),
            next_request: 1,
            calls: BTreeMap::new(),
            next_call: 0,
            results: Vec::new(),
        }
    }

    /// Begins a call. Its result comes out of [`GroupCalls::take_results`] under `tag`, at the
    /// latest when `timeout` has passed.
    pub fn call(
        &mut self,
        now: Instant,
        group: GroupId,
        body: GroupRequest,
        timeout: Duration,
        tag: T,
        out: &mut Vec<ProcessOutput>,
    ) {
        let call = OpenCall {
            tag,
            group,
            attempt_timeout: attempt_timeout(&body, timeout),
            body,
            deadline: now + timeout,
            phase: Phase::Backoff { until: now },
            backoff: Backoff::default(),
            attempts: 0,
            attempts_since_backoff: 0,
        };
        let key = self.next_call;
        self.next_call += 1;
        self.calls.insert(key, call);
        self.attempt(now, key, out);
    }

    /// Takes a message; true when it belonged to one of the calls.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: &Message,
        out: &mut Vec<ProcessOutput>,
    ) -> bool {
        let Message::GroupReply { id, body } = message else {
            return false;
        };
        let waiting = self.calls.iter().find(|(_, call)| call.waits_for(*id));
        let Some((&key, call)) = waiting else {
            return false;
        };
        let next = judge(&mut self.route, self.origin, now, call.group, from, body);
        self.go_on(now, key, next, out);
        true
    }

    /// Takes any input of a process that does nothing but call groups.
    pub fn on_input(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        match input {
            ProcessInput::Wake => self.on_wake(now, out),
            ProcessInput::Message { from, message } => {
                self.on_message(now, from, &message, out);
            }
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Fault(_) => {}
        }
    }

    /// Goes on with what is due.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let due = |call: &OpenCall<T>| call.due() <= now;
        let keys: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| due(call))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.on_due(now, key, out);
        }
    }

    /// When [`GroupCalls::on_wake`] is wanted.
    pub fn next_wake(&self) -> Option<Instant> {
        self.calls.values().map(OpenCall::due).min()
    }

    /// The results that have come since the last time.
    pub fn take_results(&mut self) -> Vec<(T, CallResult)> {
        std::mem::take(&mut self.results)
    }

    /// How many calls have no result yet.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    fn on_due(&mut self, now: Instant, key: u64, out: &mut Vec<ProcessOutput>) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if let Phase::Attempt { address, .. } = call.phase {
            let clock = wall(self.origin, now);
            self.route.on_failure(call.group, address, clock);
            return self.go_on(now, key, Next::AskAnother, out);
        }
        self.attempt(now, key, out);
    }

    fn go_on(&mut self, now: Instant, key: u64, next: Next, out: &mut Vec<ProcessOutput>) {
        let candidates = self.route.candidate_count();
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        match next {
            Next::Return(reply) => self.end(key, Ok(reply)),
            // One round over all replicas without backoff, and one more for a fresh hint.
            Next::AskAnother if call.attempts_since_backoff <= candidates => {
                self.attempt(now, key, out);
            }
            Next::AskAnother | Next::BackOff => self.back_off(now, key),
        }
    }

    fn attempt(&mut self, now: Instant, key: u64, out: &mut Vec<ProcessOutput>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let chosen = self.route.choose(call.group, wall(self.origin, now));
        let (true, Some(to)) = (now < call.deadline, chosen) else {
            let verdict = call.verdict();
            return self.end(key, Err(verdict));
        };
        let id = RequestId(self.next_request);
        self.next_request += 1;
        call.attempts += 1;
        call.attempts_since_backoff += 1;
        call.phase = Phase::Attempt {
            request: id,
            address: to,
            until: call.deadline.min(now + call.attempt_timeout),
        };
        let message = Message::GroupRequest {
            id,
            group: call.group,
            body: call.body.clone(),
        };
        out.push(ProcessOutput::Send { to, message });
    }

    fn back_off(&mut self, now: Instant, key: u64) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.attempts_since_backoff = 0;
            let until = now + call.backoff.next_delay(&mut self.generator);
            let until = until.min(call.deadline);
            call.phase = Phase::Backoff { until };
        }
    }

    fn end(&mut self, key: u64, result: CallResult) {
        if let Some(call) = self.calls.remove(&key) {
            self.results.push((call.tag, result));
        }
    }
}

impl<T> OpenCall<T> {
    fn due(&self) -> Instant {
        match self.phase {
            Phase::Attempt { until, .. } | Phase::Backoff { until } => until,
        }
    }

    fn waits_for(&self, id: RequestId) -> bool {
        matches!(self.phase, Phase::Attempt { request, .. } if request == id)
    }

    fn verdict(&self) -> Verdict {
        match self.attempts {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// What an answer says about the route and the call.
fn judge(
    route: &mut Route,
    origin: std::time::Instant,
    now: Instant,
    group: GroupId,
    address: SocketAddr,
    body: &GroupReply,
) -> Next {
    match body {
        GroupReply::NotLeader { leader } => {
            route.on_not_leader(group, address, *leader, wall(origin, now));
            Next::AskAnother
        }
        GroupReply::Unknown => {
            route.on_unavailable(group, address);
            Next::BackOff
        }
        GroupReply::Rejected(_) => {
            route.on_unavailable(group, address);
            Next::Return(body.clone())
        }
        _ => {
            route.on_answer(group, address);
            Next::Return(body.clone())
        }
    }
}

/// Simulated time as the route's clock shows it.
fn wall(origin: std::time::Instant, now: Instant) -> std::time::Instant {
    origin + now.since(Instant::ZERO)
}
