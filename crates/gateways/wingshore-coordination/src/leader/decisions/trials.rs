//! Decides which runs of suspect requests are permitted.
//!
//! Inputs: the replicated evidence against a request, evidence that waits for evaluation, the
//! permits that were granted and how their runs ended, heartbeats of the servers that ran them, and
//! the time.
//!
//! Rule: a request under which several servers crashed runs only on trial: a gateway asks for a
//! permit for one run at one server. In the whole site one such run is open at a time for each
//! request, and one at each server. Before a permit is granted, the run is committed as a crash of that server. It stays one unless the run is
//! known to have ended well, which clears the request, or not to have happened, or the server is
//! heard of [`SIGN_OF_LIFE_AFTER`] after the run: then the evidence is as it was before. A run of
//! unknown result at a server that survived pauses further trials of the request, each time twice
//! as long, and so does a crash from the second one on.
//!
//! Rationale: the number of runs after the first crashes is bounded by the permits, whatever
//! evidence of crashes is lost: by a client that leaves, a gateway that is killed, a leader that
//! changes. An innocent request proves itself by one run, so a coincidence of crashes costs it one
//! question to the leader.
//!
//! Stale or missing inputs: a new leader grants nothing until gateways have had the time to report
//! their open trials, and begins with a pause for requests with many crashes. A trial that nobody reports stays committed as a crash.

use crate::fingerprint::RequestFingerprint;
use crate::ids::{GatewayId, InstanceId};
use crate::messages::{OpenTrial, TrialRequest};
use crate::state::{
    CoordinationState, MAX_CRASHES_PER_REQUEST, REJECTION_THRESHOLD, REPORTING_THRESHOLD,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wingshore_types::Instant;

/// Time after the end of a run from which a heartbeat shows that the server has survived it.
/// Heartbeats that other coordinators answered are reported within a second.
const SIGN_OF_LIFE_AFTER: Duration = Duration::from_secs(2);
/// Time after a run of unknown result after which its server is presumed to have crashed. A server
/// that lives is heard of, or leaves the registry, before.
const SIGN_OF_LIFE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for reports of a run's end, and of a crash of its server, to arrive and be evaluated.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// First pause of the trials of a request: longer than a crashed server takes to come back.
const FIRST_PAUSE: Duration = Duration::from_secs(10);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// Maximum number of gateways' requests that wait to run one suspect request; callers repeat one
/// request a few times at once.
const MAX_WAITING: usize = 32;

/// Whether a heartbeat that arrived at `heard_at` shows that a server lived on after `time`.
pub(crate) fn is_sign_of_life(heard_at: Instant, time: Instant) -> bool {
    heard_at >= time + SIGN_OF_LIFE_AFTER
}

/// What a decision about a trial depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrialContext {
    /// Whether gateways may not have reported their open trials to this leader yet.
    pub(crate) is_report_time: bool,
    /// Whether a trial of the request is open.
    pub(crate) is_open: bool,
    /// Whether a trial of another request is open at the server: if it crashes, nobody could tell
    /// which of them is the cause.
    pub(crate) is_server_on_trial: bool,
    /// Whether evidence against the request, or its rejection, is not committed yet.
    pub(crate) is_evidence_pending: bool,
    /// Whether trials of the request pause.
    pub(crate) is_paused: bool,
    /// Whether the request is rejected.
    pub(crate) is_rejected: bool,
    /// Number of servers that crashed under the request.
    pub(crate) crash_count: usize,
}

/// The decision about a gateway that asks for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialStep {
    /// The request must not run now.
    Refuse,
    /// The request is not suspect.
    LetRun,
    /// Another event decides first.
    Wait,
    /// The trial may start.
    Grant,
}

/// Decides about a gateway that asks to run a request.
pub(crate) fn next_step(context: TrialContext) -> TrialStep {
    if context.is_rejected {
        return TrialStep::Refuse;
    }
    if context.is_report_time || context.is_open || context.is_evidence_pending {
        return TrialStep::Wait;
    }
    if context.crash_count < REPORTING_THRESHOLD {
        return TrialStep::LetRun;
    }
    if context.crash_count >= MAX_CRASHES_PER_REQUEST {
        return TrialStep::Wait;
    }
    if context.is_paused {
        return TrialStep::Refuse;
    }
    if context.is_server_on_trial {
        return TrialStep::Wait;
    }
    TrialStep::Grant
}

/// A gateway that asks for a trial.
#[derive(Clone, Debug)]
pub(crate) struct Asker {
    pub(crate) gateway: GatewayId,
    pub(crate) request: TrialRequest,
    /// When the gateway gives up waiting.
    pub(crate) until: Instant,
}

/// A run that was permitted.
#[derive(Clone, Debug)]
pub(crate) struct Trial {
    pub(crate) gateway: GatewayId,
    /// The gateway's identifier of its request.
    pub(crate) id: u64,
    instance: InstanceId,
    /// The servers that had crashed under the request before.
    crashed_before: Vec<InstanceId>,
    time_limit: Duration,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The run is being committed as a crash.
    Recording,
    /// The gateway may run the request until then.
    Running { until: Instant },
    /// The run ended at that time with unknown result.
    Unknown { since: Instant },
    /// The result is being committed.
    Settling,
}

/// The fate of the server of a run that ended with unknown result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerFate {
    /// It was heard of long enough after the run.
    Survived,
    /// It is presumed to have crashed.
    Crashed,
}

/// What earlier trials of a request have led to.
#[derive(Clone, Copy)]
struct Pause {
    until: Instant,
    /// Length of the pause; zero where a first trial has crashed its server.
    length: Duration,
}

/// All open trials, the gateways that wait for one, and pauses.
#[derive(Default)]
pub(crate) struct Trials {
    open: BTreeMap<RequestFingerprint, Trial>,
    waiting: BTreeMap<RequestFingerprint, VecDeque<Asker>>,
    pauses: BTreeMap<RequestFingerprint, Pause>,
}

impl Trials {
    /// Pauses trials of the requests with many crashes for a new leadership, which does not know how
    /// earlier trials ended.
    pub(crate) fn begin(&mut self, now: Instant, state: &CoordinationState) {
        let suspects = state.evidence().suspects();
        for suspect in suspects.filter(|suspect| suspect.ended.len() >= REJECTION_THRESHOLD) {
            self.pause(now, suspect.fingerprint);
        }
    }

    /// Queues a gateway that asks for a trial; returns false if too many wait.
    pub(crate) fn wait(&mut self, asker: Asker) -> bool {
        let waiting = self.waiting.entry(asker.request.request).or_default();
        let has_room = waiting.len() < MAX_WAITING;
        if has_room {
            waiting.push_back(asker);
        }
        has_room
    }

    /// Removes and returns the gateway that has waited longest to run a request and still waits.
    pub(crate) fn take_waiting(
        &mut self,
        now: Instant,
        request: RequestFingerprint,
    ) -> Option<Asker> {
        let waiting = self.waiting.get_mut(&request)?;
        while let Some(asker) = waiting.pop_front() {
            if now < asker.until {
                return Some(asker);
            }
        }
        self.waiting.remove(&request);
        None
    }

    /// Puts a gateway back to the front of those that wait.
    pub(crate) fn wait_first(&mut self, asker: Asker) {
        let waiting = self.waiting.entry(asker.request.request).or_default();
        waiting.push_front(asker);
    }

    /// Returns the requests for which a gateway waits.
    pub(crate) fn awaited(&self) -> Vec<RequestFingerprint> {
        self.waiting.keys().copied().collect()
    }

    /// Whether a trial of a request is open.
    pub(crate) fn is_open(&self, request: RequestFingerprint) -> bool {
        self.open.contains_key(&request)
    }

    /// Whether a trial of any request is open at a server.
    pub(crate) fn has_trial_at(&self, instance: &InstanceId) -> bool {
        let mut open = self.open.values();
        open.any(|trial| trial.instance == *instance)
    }

    /// Returns the number of open trials.
    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether trials of a request pause.
    pub(crate) fn is_paused(&self, now: Instant, request: RequestFingerprint) -> bool {
        self.pauses
            .get(&request)
            .is_some_and(|pause| now < pause.until)
    }

    /// Opens a trial, which is not granted before it is committed.
    pub(crate) fn open(&mut self, asker: &Asker, crashed_before: Vec<InstanceId>) {
        let trial = Trial {
            gateway: asker.gateway,
            id: asker.request.id,
            instance: asker.request.instance.clone(),
            crashed_before,
            time_limit: asker.request.time_limit,
            phase: Phase::Recording,
        };
        self.open.insert(asker.request.request, trial);
    }

    /// Opens a trial that an earlier leader granted, unless one of the request is open.
    pub(crate) fn adopt(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        reported: OpenTrial,
        crashed_before: Vec<InstanceId>,
    ) {
        self.open.entry(reported.request).or_insert(Trial {
            gateway,
            id: 0,
            instance: reported.instance,
            crashed_before,
            time_limit: reported.time_left,
            phase: Phase::Running {
                until: now + reported.time_left,
            },
        });
    }

    /// Starts a trial that was committed; returns it for the answer to its gateway.
    pub(crate) fn start(&mut self, now: Instant, request: RequestFingerprint) -> Option<&Trial> {
        let trial = self.open.get_mut(&request)?;
        if trial.phase != Phase::Recording {
            return None;
        }
        trial.phase = Phase::Running {
            until: now + trial.time_limit,
        };
        Some(trial)
    }

    /// Whether a trial of a request at a server runs, or its result is unknown.
    pub(crate) fn is_unresolved_at(
        &self,
        request: RequestFingerprint,
        instance: &InstanceId,
    ) -> bool {
        let trial = self.open.get(&request);
        trial.is_some_and(|trial| {
            trial.instance == *instance
                && matches!(trial.phase, Phase::Running { .. } | Phase::Unknown { .. })
        })
    }

    /// Records that a run ended with unknown result.
    pub(crate) fn ended_unknown(&mut self, now: Instant, request: RequestFingerprint) {
        if let Some(trial) = self.open.get_mut(&request) {
            trial.phase = Phase::Unknown { since: now };
        }
    }

    /// Records that the result of a trial is being committed; returns the servers that had crashed
    /// under the request before.
    pub(crate) fn settling(&mut self, request: RequestFingerprint) -> Vec<InstanceId> {
        let Some(trial) = self.open.get_mut(&request) else {
            return Vec::new();
        };
        trial.phase = Phase::Settling;
        trial.crashed_before.clone()
    }

    /// Returns the server of a request's trial.
    pub(crate) fn instance(&self, request: RequestFingerprint) -> Option<InstanceId> {
        let trial = self.open.get(&request)?;
        Some(trial.instance.clone())
    }

    /// Removes the trial of a request.
    pub(crate) fn close(&mut self, request: RequestFingerprint) {
        self.open.remove(&request);
    }

    /// Pauses trials of a request, longer each time.
    pub(crate) fn pause(&mut self, now: Instant, request: RequestFingerprint) {
        let last = self.pauses.get(&request);
        let last = last.map_or(Duration::ZERO, |pause| pause.length);
        let length = (last * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        let until = now + length;
        self.pauses.insert(request, Pause { until, length });
    }

    /// Records that a trial of a request has crashed its server: the second one pauses trials.
    pub(crate) fn crashed(&mut self, now: Instant, request: RequestFingerprint) {
        if self.pauses.contains_key(&request) {
            return self.pause(now, request);
        }
        let first = Pause {
            until: now,
            length: Duration::ZERO,
        };
        self.pauses.insert(request, first);
    }

    /// Forgets the pauses of a request that was cleared.
    pub(crate) fn cleared(&mut self, request: RequestFingerprint) {
        self.pauses.remove(&request);
    }

    /// Returns the runs of unknown result whose server's fate is known now. `is_registered` says
    /// whether a server is registered, `heard_at` when its last heartbeat arrived.
    pub(crate) fn resolved(
        &mut self,
        now: Instant,
        is_registered: impl Fn(&InstanceId) -> bool,
        heard_at: impl Fn(&InstanceId) -> Option<Instant>,
    ) -> Vec<(RequestFingerprint, ServerFate)> {
        let mut resolved = Vec::new();
        for (request, trial) in &mut self.open {
            if let Phase::Running { until } = trial.phase
                && now >= until + REPORT_TIME
            {
                trial.phase = Phase::Unknown { since: until };
            }
            let Phase::Unknown { since } = trial.phase else {
                continue;
            };
            let instance = &trial.instance;
            let is_alive = heard_at(instance).is_some_and(|at| is_sign_of_life(at, since));
            let is_gone = !is_registered(instance) && now >= since + REPORT_TIME;
            if is_gone || now >= since + SIGN_OF_LIFE_TIMEOUT {
                resolved.push((*request, ServerFate::Crashed));
            } else if is_alive {
                resolved.push((*request, ServerFate::Survived));
            }
        }
        resolved
    }
}
