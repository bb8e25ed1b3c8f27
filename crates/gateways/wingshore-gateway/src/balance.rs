//! Decision: which server of a service gets a live request?
//!
//! No I/O; `now` is passed in. What is remembered of each server stands here too.
//!
//! **Inputs.** The servers that the view names, without those that the request was sent to; of each, the
//! requests of this gateway that it has, its own word about its load, the latency of its answers in
//! milliseconds, the failures in a row, and whether it stands in the gateway's zone.
//!
//! **Rule.** The server of the lowest cost: the latency that is expected, times one plus twice the part of
//! its slots that is taken, times 1.15 if it stands in another zone. A server that did not take a request
//! or broke off is ejected for 0.3 s, twice as long for each failure in a row, 4 s at the most: it
//! is chosen only where all others are ejected too.
//!
//! **Why.** Gateways do not know each other's requests, so that a server's own word counts while it is
//! fresh. A measured latency counts less the older it is: without that a server that was slow once
//! would get nothing more while others do better.
//!
//! **Old or missing inputs.** A load that was reported more than a second ago does not count; a server that
//! has not answered yet has a latency of 20 ms. A server that the view does not name any more is
//! forgotten once it has no request.

use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::{InstanceId, ServerRecord};
use wingshore_types::{Instant, doubled_backoff};

/// Latency of a server that has not answered yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// Weight of the newest latency in the average, of 1.
const LATENCY_WEIGHT: f64 = 0.3;
/// After this time a measured latency counts half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);
/// How long a server's own word about its load counts.
const LOAD_FRESH: Duration = Duration::from_millis(1000);
/// An ejected server gets nothing for this long at first, and twice as long each time.
const INITIAL_EJECTION: Duration = Duration::from_millis(300);
/// The longest such time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// How many times as much a server costs whose slots are all taken, less one.
const LOAD_COST_FACTOR: f64 = 2.0;
/// How many times as much a server of another zone costs; bytes between zones have a price, and a
/// round trip takes longer.
const CROSS_ZONE_COST_FACTOR: f64 = 1.15;
/// Added to the cost of an ejected server, in milliseconds: more than any other cost.
const EJECTED_COST: f64 = 1e9;

/// What is remembered of one server.
#[derive(Clone, Debug)]
struct Server {
    in_flight: u32,
    latency_ms: f64,
    reported_busy: u32,
    reported_at: Option<Instant>,
    /// Failures in a row.
    failures: u32,
    ejected_until: Instant,
    /// When it last answered, or was last too slow.
    known_at: Instant,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            in_flight: 0,
            latency_ms: INITIAL_LATENCY_MS,
            reported_busy: 0,
            reported_at: None,
            failures: 0,
            ejected_until: Instant::ZERO,
            known_at: Instant::ZERO,
        }
    }
}

impl Server {
    /// The latency that is expected. What was measured counts less the older it is, so that a
    /// server that was slow once is chosen again.
    fn expected_latency(&self, now: Instant) -> f64 {
        let age = now.since(self.known_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(age);
        INITIAL_LATENCY_MS + (self.latency_ms - INITIAL_LATENCY_MS) * weight
    }
}

/// What is remembered of all servers.
#[derive(Default)]
pub struct Balancer {
    servers: HashMap<InstanceId, Server>,
}

impl Balancer {
    /// The best of `candidates` besides those in `avoid`. Ejected servers are taken only where there
    /// is no other.
    pub fn choose<'a>(
        &self,
        now: Instant,
        zone: &str,
        candidates: impl Iterator<Item = &'a ServerRecord>,
        avoid: &[InstanceId],
    ) -> Option<&'a ServerRecord> {
        candidates
            .filter(|server| !avoid.contains(&server.instance))
            .map(|server| (self.cost(now, zone, server), server))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, server)| server)
    }

    fn cost(&self, now: Instant, zone: &str, record: &ServerRecord) -> f64 {
        let fresh = Server::default();
        let server = self.servers.get(&record.instance).unwrap_or(&fresh);
        let is_fresh = server
            .reported_at
            .is_some_and(|at| now.since(at) <= LOAD_FRESH);
        let busy = if is_fresh { server.reported_busy } else { 0 };
        let load = f64::from(server.in_flight.max(busy));
        let slots = f64::from(record.slots.max(1));
        let distance = if record.zone == zone {
            1.0
        } else {
            CROSS_ZONE_COST_FACTOR
        };
        let ejection = if now < server.ejected_until {
            EJECTED_COST
        } else {
            0.0
        };
        ejection + server.expected_latency(now) * (1.0 + load / slots * LOAD_COST_FACTOR) * distance
    }

    /// A request is sent.
    pub fn started(&mut self, instance: &InstanceId) {
        self.entry(instance).in_flight += 1;
    }

    /// A request is over, however it ended.
    pub fn ended(&mut self, instance: &InstanceId) {
        let server = self.entry(instance);
        server.in_flight = server.in_flight.saturating_sub(1);
    }

    /// A request was answered after `latency`.
    pub fn answered(&mut self, now: Instant, instance: &InstanceId, latency: Duration) {
        let server = self.entry(instance);
        server.known_at = now;
        server.failures = 0;
        server.ejected_until = Instant::ZERO;
        let newest = latency.as_secs_f64() * 1000.0;
        server.latency_ms += (newest - server.latency_ms) * LATENCY_WEIGHT;
    }

    /// A request was given up after `latency` without an answer: it would have taken longer.
    pub fn too_slow(&mut self, now: Instant, instance: &InstanceId, latency: Duration) {
        let server = self.entry(instance);
        server.known_at = now;
        let newest = latency.as_secs_f64() * 1000.0;
        server.latency_ms = server.latency_ms.max(newest);
    }

    /// A server has reported its load: requests that run or wait there.
    pub fn reported(&mut self, now: Instant, instance: &InstanceId, busy: u32) {
        let server = self.entry(instance);
        server.reported_busy = busy;
        server.reported_at = Some(now);
    }

    /// A server did not take a request, or broke off.
    pub fn failed(&mut self, now: Instant, instance: &InstanceId) {
        let server = self.entry(instance);
        if now < server.ejected_until {
            return;
        }
        let ejection = doubled_backoff(INITIAL_EJECTION, server.failures, MAX_EJECTION);
        server.ejected_until = now + ejection;
        server.failures += 1;
    }

    /// Forgets servers that `is_known` does not hold any more.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.servers
            .retain(|instance, server| server.in_flight > 0 || is_known(instance));
    }

    fn entry(&mut self, instance: &InstanceId) -> &mut Server {
        self.servers.entry(instance.clone()).or_default()
    }
}
