//! Decision: has a server ended, and under which requests, as far as this gateway has seen it?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** Connections that were lost while a server ran a request; connections that were refused;
//! incarnations that are registered; what the leader has announced.
//!
//! **Rule.** A lost connection says little: it may have been reset, cut, or its answer lost. It counts
//! against the requests on it only once the server itself is seen to have ended: nobody listens at
//! its address any more, or another incarnation is there. So a few connections are opened to find
//! out.
//!
//! **Why.** Many requests may stand on a server that ends; which of them is the cause shows only when
//! more servers end under it, and a request that is not the cause must not be rejected for resets and
//! cuts.
//!
//! **Old or missing inputs.** A connection whose loss is not explained within 8 s is forgotten. What
//! the leader may not know is reported to each new one for a minute.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{CrashEvidence, InstanceId, ObservedCrash, RequestFingerprint};
use wingshore_types::Instant;

/// A server that is not seen to have ended within this time after a connection was lost had not:
/// a server that crashed is back, or missed by its heartbeats, within 6 s.
const EXPLAINED_WITHIN: Duration = Duration::from_secs(8);
/// Evidence is reported to each new leader for this long: a site without one for longer has lost
/// more.
const REPORTED_FOR: Duration = Duration::from_secs(60);
/// Most pieces of evidence that are kept to be reported again; a piece has 60 bytes.
const MAX_FOUND: usize = 512;
/// Connections that are opened to find out whether one server has ended: the first one may still
/// find its port open, and break with it.
const MAX_PROBES: u32 = 3;
/// Most requests that are remembered for one server whose connections were lost: more than it runs
/// at once.
const MAX_REQUESTS_OF_A_SERVER: usize = 64;

/// Requests whose connections to one server were lost.
#[derive(Debug)]
struct LostConnections {
    address: SocketAddr,
    requests: Vec<RequestFingerprint>,
    /// When the first connection was lost: the server ended then, if it did.
    since: Instant,
    /// Connections that were opened to find out.
    probes: u32,
}

#[derive(Debug)]
struct Found {
    evidence: CrashEvidence,
    /// When the server ended.
    at: Instant,
}

/// What this gateway has seen.
///
/// Invariant: no piece of evidence is found twice, and none about a server that was not seen to
/// have ended.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// Lost connections that are not explained yet, by the incarnation of the server.
    lost: BTreeMap<InstanceId, LostConnections>,
    /// Incarnations that were seen to have ended, and when they did.
    ended: BTreeMap<InstanceId, Instant>,
    /// Evidence that the leader has not announced to all gateways, the oldest first.
    found: Vec<Found>,
}

impl CrashWatch {
    /// A connection was lost while a server ran a request. Gives the evidence, if the server is
    /// known to have ended.
    pub fn connection_lost(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        address: SocketAddr,
        request: RequestFingerprint,
    ) -> Option<ObservedCrash> {
        if let Some(at) = self.ended.get(instance).copied() {
            return self.find(now, at, request, instance);
        }
        let lost = self.lost.entry(instance.clone());
        let lost = lost.or_insert_with(|| LostConnections {
            address,
            requests: Vec::new(),
            since: now,
            probes: 0,
        });
        let has_room = lost.requests.len() < MAX_REQUESTS_OF_A_SERVER;
        if has_room && !lost.requests.contains(&request) {
            lost.requests.push(request);
        }
        None
    }

    /// Where to open a connection to find out whether a server has ended, if one is to be opened.
    pub fn probe(&mut self, instance: &InstanceId) -> Option<SocketAddr> {
        let lost = self.lost.get_mut(instance)?;
        lost.probes += 1;
        (lost.probes <= MAX_PROBES).then_some(lost.address)
    }

    /// An incarnation of a server is seen to have ended. Gives the evidence that follows.
    pub fn server_ended(&mut self, now: Instant, instance: &InstanceId) -> Vec<ObservedCrash> {
        let lost = self.lost.remove(instance);
        let at = lost.as_ref().map_or(now, |lost| lost.since);
        self.ended.entry(instance.clone()).or_insert(at);
        let requests = lost.map(|lost| lost.requests);
        let requests = requests.unwrap_or_default().into_iter();
        requests
            .filter_map(|request| self.find(now, at, request, instance))
            .collect()
    }

    /// An incarnation is registered at an address: the one before it has ended.
    pub fn registered(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Vec<ObservedCrash> {
        let is_before = |(other, lost): &(&InstanceId, &LostConnections)| {
            lost.address == address && *other != instance
        };
        let before = self.lost.iter().filter(is_before);
        let before: Vec<InstanceId> = before.map(|(other, _)| other.clone()).collect();
        let ended = before.iter();
        ended
            .flat_map(|instance| self.server_ended(now, instance))
            .collect()
    }

    /// The leader has announced which servers ended under a request: what is among them need not be
    /// reported again.
    pub fn announced(&mut self, request: RequestFingerprint, ended: &[InstanceId]) {
        self.found.retain(|found| {
            let evidence = &found.evidence;
            evidence.fingerprint != request || !ended.contains(&evidence.instance)
        });
    }

    /// A request is no suspect any more.
    pub fn cleared(&mut self, request: RequestFingerprint) {
        self.found
            .retain(|found| found.evidence.fingerprint != request);
    }

    /// Evidence that the leader may not know.
    pub fn unreported(&self) -> impl Iterator<Item = &CrashEvidence> {
        self.found.iter().map(|found| &found.evidence)
    }

    /// The same, as it is reported to a leader.
    pub fn to_report(&self, now: Instant) -> Vec<ObservedCrash> {
        let found = self.found.iter();
        found.map(|found| found.seen(now)).collect()
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.lost
            .retain(|_, lost| now.since(lost.since) < EXPLAINED_WITHIN);
        self.ended.retain(|_, at| now.since(*at) < EXPLAINED_WITHIN);
        self.found
            .retain(|found| now.since(found.at) < REPORTED_FOR);
    }

    fn find(
        &mut self,
        now: Instant,
        at: Instant,
        fingerprint: RequestFingerprint,
        instance: &InstanceId,
    ) -> Option<ObservedCrash> {
        let evidence = CrashEvidence {
            fingerprint,
            instance: instance.clone(),
        };
        if self.found.iter().any(|found| found.evidence == evidence) {
            return None;
        }
        if self.found.len() >= MAX_FOUND {
            self.found.remove(0);
        }
        let found = Found { evidence, at };
        let seen = found.seen(now);
        self.found.push(found);
        Some(seen)
    }
}

impl Found {
    fn seen(&self, now: Instant) -> ObservedCrash {
        ObservedCrash {
            evidence: self.evidence.clone(),
            ago: now.since(self.at),
        }
    }
}
