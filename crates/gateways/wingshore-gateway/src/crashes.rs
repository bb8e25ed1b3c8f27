//! Decision: has a server crashed, and which requests was it running, as far as this gateway knows?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** Connections that were lost while a server ran a request, attempts that the gateway
//! itself ended before an answer, connections that were refused, incarnations that are registered,
//! signs of life of servers, and the leader's announcements.
//!
//! **Rule.** A lost connection alone is no evidence: it may have been reset or cut off, or the
//! answer may have been lost. It counts against the requests on it only once the server itself is
//! known to have ended, because nothing listens at its address any more or another incarnation is
//! there. To find out, the gateway opens a few connections. A request whose attempt the gateway
//! ended may still be running: if the server ends before it has shown that it outlived the
//! request, that is a possible crash under the request, a weaker kind of evidence.
//!
//! **Why.** Many requests may be running on a server that crashes. Which of them is the cause
//! becomes clear only when more servers crash while running it, and an innocent request must not be
//! rejected because of resets and network partitions.
//!
//! **Stale or missing inputs.** An end without an answer that is not explained within 8 s is
//! forgotten.
//! Evidence that the leader may not know is reported to each new leader for one minute.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{CrashEvidence, InstanceId, ObservedCrash, RequestFingerprint};
use wingshore_types::Instant;

/// A server is presumed not to have crashed if no crash is detected within this time after a lost
/// connection: a crashed server is back, or its heartbeats are missed, within 6 s.
const LOST_CONNECTION_LIFETIME: Duration = Duration::from_secs(8);
/// Evidence is reported to each new leader for this long. A site without a leader for longer has
/// lost more than this evidence.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of pieces of evidence kept for reporting again; one takes 60 bytes.
const MAX_RECORDED_EVIDENCE: usize = 512;
/// Maximum number of connections opened to find out whether a server has crashed. The first one may
/// still find the port open and then be lost as well.
const MAX_PROBES: u32 = 3;
/// Maximum number of requests recorded for one server, of either kind; a server runs fewer at once.
const MAX_REQUESTS_PER_SERVER: usize = 64;

/// What is known of one incarnation at which attempts ended without an answer.
#[derive(Debug)]
struct WatchedServer {
    address: SocketAddr,
    /// Requests that were running when their connections were lost.
    lost: Vec<RequestFingerprint>,
    /// Requests that may still be running although the gateway ended their attempts.
    unfinished: Vec<UnfinishedRequest>,
    /// When the first connection was lost; if the server turns out to have crashed, this is taken
    /// as the time of the crash.
    first_lost_at: Option<Instant>,
    /// When the last request was recorded.
    last_recorded_at: Instant,
    /// Number of connections opened to probe the server.
    probes: u32,
}

/// A request that a server may still be running although the gateway ended the attempt.
#[derive(Clone, Copy, Debug)]
struct UnfinishedRequest {
    request: RequestFingerprint,
    /// Until when the server may be running the request.
    runs_until: Instant,
}

/// How sure it is that a server was running a request when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    /// The request was running: its connection was lost with the server.
    Running,
    /// The gateway had ended the attempt; the request may have been running.
    Possible,
}

#[derive(Debug)]
struct RecordedEvidence {
    evidence: CrashEvidence,
    certainty: Certainty,
    /// When the server crashed.
    crashed_at: Instant,
}

/// Detects server crashes and records which requests the servers were running.
///
/// Invariant: no piece of evidence is recorded twice, and none for a server that is not known to
/// have ended.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Attempts that ended without an answer and without a known cause, by the incarnation of the
    /// server.
    watched: BTreeMap<InstanceId, WatchedServer>,
    /// Incarnations that are known to have ended, and when they ended.
    ended_at: BTreeMap<InstanceId, Instant>,
    /// Evidence that the leader has not announced to all gateways, oldest first.
    recorded: Vec<RecordedEvidence>,
    /// Possible crashes that were found and not taken for reporting yet.
    new_possible: Vec<ObservedCrash>,
}

impl CrashDetector {
    /// Records a connection that was lost while a server ran a request. Returns evidence if the
    /// server is known to have ended.
    pub fn connection_lost(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        address: SocketAddr,
        request: RequestFingerprint,
    ) -> Option<ObservedCrash> {
        if let Some(at) = self.ended_at.get(instance).copied() {
            return self.record_evidence(now, at, request, instance, Certainty::Running);
        }
        let watched = self.watch(now, instance, address);
        watched.first_lost_at.get_or_insert(now);
        let has_room = watched.lost.len() < MAX_REQUESTS_PER_SERVER;
        if has_room && !watched.lost.contains(&request) {
            watched.lost.push(request);
        }
        None
    }

    /// Records an attempt that the gateway ended before its answer; the server may be running the
    /// request until `runs_until`. If the server is known to have ended, the possible crash is to be
    /// taken at once by [`Self::take_possible`].
    pub fn attempt_unfinished(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        address: SocketAddr,
        request: RequestFingerprint,
        runs_until: Instant,
    ) {
        if let Some(at) = self.ended_at.get(instance).copied() {
            return self.record_possible(now, at, request, instance);
        }
        let unfinished = &mut self.watch(now, instance, address).unfinished;
        unfinished.retain(|known| known.request != request);
        if unfinished.len() < MAX_REQUESTS_PER_SERVER {
            let unfinished_request = UnfinishedRequest {
                request,
                runs_until,
            };
            unfinished.push(unfinished_request);
        }
    }

    fn watch(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> &mut WatchedServer {
        let watched = self.watched.entry(instance.clone());
        let watched = watched.or_insert_with(|| WatchedServer {
            address,
            lost: Vec::new(),
            unfinished: Vec::new(),
            first_lost_at: None,
            last_recorded_at: now,
            probes: 0,
        });
        watched.last_recorded_at = now;
        watched
    }

    /// Records a connection without a request that was lost: the server may have ended.
    pub fn idle_connection_lost(&mut self, now: Instant, instance: &InstanceId) {
        if let Some(watched) = self.watched.get_mut(instance) {
            watched.first_lost_at.get_or_insert(now);
        }
    }

    /// Records a sign of life of a server: it has outlived the requests that cannot be running any
    /// more, and the loss of a connection without a request had another cause.
    pub fn seen_alive(&mut self, now: Instant, instance: &InstanceId) {
        let Some(watched) = self.watched.get_mut(instance) else {
            return;
        };
        watched.unfinished.retain(|known| now < known.runs_until);
        if !watched.lost.is_empty() {
            return;
        }
        watched.first_lost_at = None;
        watched.probes = 0;
        if watched.unfinished.is_empty() {
            self.watched.remove(instance);
        }
    }

    /// Returns the address to probe in order to find out whether a server has crashed; `None` if no
    /// probe is due.
    pub fn next_probe(&mut self, instance: &InstanceId) -> Option<SocketAddr> {
        let watched = self.watched.get_mut(instance)?;
        watched.first_lost_at?;
        watched.probes += 1;
        (watched.probes <= MAX_PROBES).then_some(watched.address)
    }

    /// Records that an incarnation of a server has ended. Returns the resulting evidence of a
    /// crash; possible crashes are kept for [`Self::take_possible`].
    pub fn server_ended(&mut self, now: Instant, instance: &InstanceId) -> Vec<ObservedCrash> {
        let watched = self.watched.remove(instance);
        let lost_at = watched.as_ref().and_then(|watched| watched.first_lost_at);
        let at = lost_at.unwrap_or(now);
        self.ended_at.entry(instance.clone()).or_insert(at);
        let Some(watched) = watched else {
            return Vec::new();
        };
        // Without a lost connection the server may have ended at any time since it was last seen.
        let may_have_run =
            |unfinished: &UnfinishedRequest| lost_at.is_none_or(|at| at <= unfinished.runs_until);
        for unfinished in watched.unfinished.into_iter().filter(may_have_run) {
            self.record_possible(now, at, unfinished.request, instance);
        }
        let lost = watched.lost.into_iter();
        lost.filter_map(|request| {
            self.record_evidence(now, at, request, instance, Certainty::Running)
        })
        .collect()
    }

    /// Records that an incarnation is registered at an address: any other incarnation there has
    /// ended. Returns the resulting evidence of crashes.
    pub fn registered(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Vec<ObservedCrash> {
        let is_predecessor = |(other, watched): &(&InstanceId, &WatchedServer)| {
            watched.address == address && *other != instance
        };
        let predecessors = self.watched.iter().filter(is_predecessor);
        let predecessors: Vec<InstanceId> = predecessors.map(|(other, _)| other.clone()).collect();
        let predecessors = predecessors.iter();
        predecessors
            .flat_map(|instance| self.server_ended(now, instance))
            .collect()
    }

    /// Returns the possible crashes that were found since the last call.
    pub fn take_possible(&mut self) -> Vec<ObservedCrash> {
        std::mem::take(&mut self.new_possible)
    }

    /// Records the leader's announcement of the servers that crashed while running a request:
    /// evidence of these crashes need not be reported again.
    pub fn announced(&mut self, request: RequestFingerprint, crashed: &[InstanceId]) {
        self.recorded.retain(|recorded| {
            let evidence = &recorded.evidence;
            evidence.fingerprint != request || !crashed.contains(&evidence.instance)
        });
    }

    /// Discards the evidence against a request that was cleared of suspicion.
    pub fn cleared(&mut self, request: RequestFingerprint) {
        self.recorded
            .retain(|recorded| recorded.evidence.fingerprint != request);
    }

    /// Returns the evidence that the leader may not know, without possible crashes.
    pub fn unannounced(&self) -> impl Iterator<Item = &CrashEvidence> {
        let recorded = self.recorded_with(Certainty::Running);
        recorded.map(|recorded| &recorded.evidence)
    }

    /// Whether there is evidence of either kind that the leader may not know.
    pub fn has_unannounced(&self) -> bool {
        !self.recorded.is_empty()
    }

    /// Returns the number of servers that crashed while they may have been running a request, as far
    /// as the leader has not announced them.
    pub fn possible_count(&self, request: RequestFingerprint) -> usize {
        let recorded = self.recorded_with(Certainty::Possible);
        recorded
            .filter(|recorded| recorded.evidence.fingerprint == request)
            .count()
    }

    /// Returns the evidence that the leader may not know, with the age of each crash, without
    /// possible crashes.
    pub fn to_report(&self, now: Instant) -> Vec<ObservedCrash> {
        let recorded = self.recorded_with(Certainty::Running);
        recorded
            .map(|recorded| recorded.to_observed_crash(now))
            .collect()
    }

    /// Returns the possible crashes that the leader may not know, with the age of each.
    pub fn possible_to_report(&self, now: Instant) -> Vec<ObservedCrash> {
        let recorded = self.recorded_with(Certainty::Possible);
        recorded
            .map(|recorded| recorded.to_observed_crash(now))
            .collect()
    }

    fn recorded_with(&self, certainty: Certainty) -> impl Iterator<Item = &RecordedEvidence> {
        let recorded = self.recorded.iter();
        recorded.filter(move |recorded| recorded.certainty == certainty)
    }

    /// Forgets lost connections, ended incarnations and evidence that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.watched.retain(|_, watched| {
            let since = watched.first_lost_at.unwrap_or(watched.last_recorded_at);
            now.since(since) < LOST_CONNECTION_LIFETIME
        });
        self.ended_at
            .retain(|_, at| now.since(*at) < LOST_CONNECTION_LIFETIME);
        self.recorded
            .retain(|recorded| now.since(recorded.crashed_at) < REPORT_LIFETIME);
    }

    fn record_possible(
        &mut self,
        now: Instant,
        crashed_at: Instant,
        request: RequestFingerprint,
        instance: &InstanceId,
    ) {
        let found = self.record_evidence(now, crashed_at, request, instance, Certainty::Possible);
        self.new_possible.extend(found);
    }

    fn record_evidence(
        &mut self,
        now: Instant,
        crashed_at: Instant,
        fingerprint: RequestFingerprint,
        instance: &InstanceId,
        certainty: Certainty,
    ) -> Option<ObservedCrash> {
        let evidence = CrashEvidence {
            fingerprint,
            instance: instance.clone(),
        };
        let mut known = self.recorded.iter();
        if known.any(|known| known.evidence == evidence && known.certainty == certainty) {
            return None;
        }
        if self.recorded.len() >= MAX_RECORDED_EVIDENCE {
            self.recorded.remove(0);
        }
        let recorded = RecordedEvidence {
            evidence,
            certainty,
            crashed_at,
        };
        let observed_crash = recorded.to_observed_crash(now);
        self.recorded.push(recorded);
        Some(observed_crash)
    }
}

impl RecordedEvidence {
    fn to_observed_crash(&self, now: Instant) -> ObservedCrash {
        ObservedCrash {
            evidence: self.evidence.clone(),
            ago: now.since(self.crashed_at),
        }
    }
}
