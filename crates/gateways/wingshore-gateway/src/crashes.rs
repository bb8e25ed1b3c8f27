//! Decision: has a server crashed, and which requests was it running, as far as this gateway knows?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** Connections that were lost while a server ran a request, connections that were
//! refused, incarnations that are registered, and the leader's announcements.
//!
//! **Rule.** A lost connection alone is no evidence: it may have been reset or cut off, or the
//! answer may have been lost. It counts against the requests on it only once the server itself is
//! known to have ended, because nothing listens at its address any more or another incarnation is
//! there. To find out, the gateway opens a few connections.
//!
//! **Why.** Many requests may be running on a server that crashes. Which of them is the cause
//! becomes clear only when more servers crash while running it, and an innocent request must not be
//! rejected because of resets and network partitions.
//!
//! **Stale or missing inputs.** A lost connection that is not explained within 8 s is forgotten.
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
/// Maximum number of requests recorded for one server whose connections were lost; a server runs
/// fewer at once.
const MAX_REQUESTS_PER_SERVER: usize = 64;

/// Lost connections to one server, and the requests on them.
#[derive(Debug)]
struct LostConnections {
    address: SocketAddr,
    requests: Vec<RequestFingerprint>,
    /// When the first connection was lost; if the server turns out to have crashed, this is taken
    /// as the time of the crash.
    first_lost_at: Instant,
    /// Number of connections opened to probe the server.
    probes: u32,
}

#[derive(Debug)]
struct RecordedEvidence {
    evidence: CrashEvidence,
    /// When the server crashed.
    crashed_at: Instant,
}

/// Detects server crashes and records which requests the servers were running.
///
/// Invariant: no piece of evidence is recorded twice, and none for a server that is not known to
/// have ended.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Lost connections without a known cause, by the incarnation of the server.
    lost: BTreeMap<InstanceId, LostConnections>,
    /// Incarnations that are known to have ended, and when they ended.
    ended_at: BTreeMap<InstanceId, Instant>,
    /// Evidence that the leader has not announced to all gateways, oldest first.
    recorded: Vec<RecordedEvidence>,
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
            return self.record_evidence(now, at, request, instance);
        }
        let lost = self.lost.entry(instance.clone());
        let lost = lost.or_insert_with(|| LostConnections {
            address,
            requests: Vec::new(),
            first_lost_at: now,
            probes: 0,
        });
        let has_room = lost.requests.len() < MAX_REQUESTS_PER_SERVER;
        if has_room && !lost.requests.contains(&request) {
            lost.requests.push(request);
        }
        None
    }

    /// Returns the address to probe in order to find out whether a server has crashed; `None` if no
    /// probe is due.
    pub fn next_probe(&mut self, instance: &InstanceId) -> Option<SocketAddr> {
        let lost = self.lost.get_mut(instance)?;
        lost.probes += 1;
        (lost.probes <= MAX_PROBES).then_some(lost.address)
    }

    /// Records that an incarnation of a server has ended. Returns the resulting evidence of a
    /// crash.
    pub fn server_ended(&mut self, now: Instant, instance: &InstanceId) -> Vec<ObservedCrash> {
        let lost = self.lost.remove(instance);
        let at = lost.as_ref().map_or(now, |lost| lost.first_lost_at);
        self.ended_at.entry(instance.clone()).or_insert(at);
        let requests = lost.map(|lost| lost.requests);
        let requests = requests.unwrap_or_default().into_iter();
        requests
            .filter_map(|request| self.record_evidence(now, at, request, instance))
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
        let is_predecessor = |(other, lost): &(&InstanceId, &LostConnections)| {
            lost.address == address && *other != instance
        };
        let predecessors = self.lost.iter().filter(is_predecessor);
        let predecessors: Vec<InstanceId> = predecessors.map(|(other, _)| other.clone()).collect();
        let predecessors = predecessors.iter();
        predecessors
            .flat_map(|instance| self.server_ended(now, instance))
            .collect()
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

    /// Returns the evidence that the leader may not know.
    pub fn unannounced(&self) -> impl Iterator<Item = &CrashEvidence> {
        self.recorded.iter().map(|recorded| &recorded.evidence)
    }

    /// Returns the evidence that the leader may not know, with the age of each crash.
    pub fn to_report(&self, now: Instant) -> Vec<ObservedCrash> {
        let recorded = self.recorded.iter();
        recorded
            .map(|recorded| recorded.to_observed_crash(now))
            .collect()
    }

    /// Forgets lost connections, ended incarnations and evidence that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.lost
            .retain(|_, lost| now.since(lost.first_lost_at) < LOST_CONNECTION_LIFETIME);
        self.ended_at
            .retain(|_, at| now.since(*at) < LOST_CONNECTION_LIFETIME);
        self.recorded
            .retain(|recorded| now.since(recorded.crashed_at) < REPORT_LIFETIME);
    }

    fn record_evidence(
        &mut self,
        now: Instant,
        crashed_at: Instant,
        fingerprint: RequestFingerprint,
        instance: &InstanceId,
    ) -> Option<ObservedCrash> {
        let evidence = CrashEvidence {
            fingerprint,
            instance: instance.clone(),
        };
        if self
            .recorded
            .iter()
            .any(|recorded| recorded.evidence == evidence)
        {
            return None;
        }
        if self.recorded.len() >= MAX_RECORDED_EVIDENCE {
            self.recorded.remove(0);
        }
        let recorded = RecordedEvidence {
            evidence,
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
