//! Decision: which server of a service gets a live request?
//!
//! No I/O; `now` is passed in. This module also holds the statistics of each server.
//!
//! **Inputs.** The servers in the view, without those that the request was sent to already. For
//! each server: the requests that this gateway has in flight there, its own load report, its
//! latency in milliseconds, its consecutive failures, and whether it is in the gateway's zone.
//!
//! **Rule.** The server of the lowest cost is chosen. The cost is the expected latency, times one
//! plus twice the fraction of its slots in use, times 1.15 if it is in another zone. A server has a
//! free slot if fewer requests than slots are known and it is not ejected. A server that does not
//! accept a request or loses the connection is ejected for 0.3 s; the time doubles with
//! each consecutive failure, up to 4 s. An ejected server is chosen only if all others are ejected
//! too.
//!
//! **Why.** Gateways do not know each other's requests, so a server's own load report counts while
//! it is fresh. A measured latency loses weight with age: otherwise a server that was slow once
//! would get no requests while others do better.
//!
//! **Stale or missing inputs.** A load report older than one second does not count. A server that
//! has not answered yet is assumed to have a latency of 20 ms. A server that left the view is
//! forgotten once it has no request in flight.

use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::{InstanceId, ServerRecord};
use wingshore_types::{Instant, doubled_backoff};

/// Assumed latency of a server that has not answered yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// Weight of the newest latency in the moving average, between 0 and 1.
const LATENCY_WEIGHT: f64 = 0.3;
/// The age at which a measured latency counts half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);
/// How long a load report of a server counts.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(1000);
/// Duration of the first ejection; it doubles with each consecutive failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(300);
/// Upper bound of the ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Relative increase of the cost of a server whose slots are all in use.
const LOAD_COST_FACTOR: f64 = 2.0;
/// Cost factor of a server in another zone: traffic between zones is charged for, and round trips
/// take longer.
const CROSS_ZONE_COST_FACTOR: f64 = 1.15;
/// Added to the cost of an ejected server, in milliseconds; exceeds any other cost.
const EJECTION_COST_MS: f64 = 1e9;

/// Load, latency and failures of one server.
#[derive(Clone, Debug)]
struct ServerStats {
    in_flight: u32,
    latency_ms: f64,
    reported_load: u32,
    reported_at: Option<Instant>,
    /// Consecutive failures.
    failures: u32,
    ejected_until: Instant,
    /// When the latency was last measured, by an answer or a timeout.
    measured_at: Instant,
}

impl Default for ServerStats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            latency_ms: INITIAL_LATENCY_MS,
            reported_load: 0,
            reported_at: None,
            failures: 0,
            ejected_until: Instant::ZERO,
            measured_at: Instant::ZERO,
        }
    }
}

impl ServerStats {
    /// Returns the number of requests that are known to be at the server: those that this gateway
    /// has in flight there or, if that is more, those in a fresh load report.
    fn load(&self, now: Instant) -> u32 {
        let is_fresh = self
            .reported_at
            .is_some_and(|at| now.since(at) <= LOAD_REPORT_LIFETIME);
        let reported = if is_fresh { self.reported_load } else { 0 };
        self.in_flight.max(reported)
    }

    /// Returns the expected latency in milliseconds. A measurement loses weight with age, so that a
    /// server that was slow once is chosen again.
    fn expected_latency(&self, now: Instant) -> f64 {
        let age = now.since(self.measured_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(age);
        INITIAL_LATENCY_MS + (self.latency_ms - INITIAL_LATENCY_MS) * weight
    }
}

/// Selects servers by their load, latency and failures.
#[derive(Default)]
pub struct Balancer {
    servers: HashMap<InstanceId, ServerStats>,
}

impl Balancer {
    /// Returns the candidate of the lowest cost that is not in `excluded`. An ejected server is
    /// chosen only if there is no other.
    pub fn choose<'a>(
        &self,
        now: Instant,
        zone: &str,
        candidates: impl Iterator<Item = &'a ServerRecord>,
        excluded: &[InstanceId],
    ) -> Option<&'a ServerRecord> {
        candidates
            .filter(|server| !excluded.contains(&server.instance))
            .map(|server| (self.cost(now, zone, server), server))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, server)| server)
    }

    fn cost(&self, now: Instant, zone: &str, record: &ServerRecord) -> f64 {
        let fresh = ServerStats::default();
        let server = self.servers.get(&record.instance).unwrap_or(&fresh);
        let load = f64::from(server.load(now));
        let slots = f64::from(record.slots.max(1));
        let distance = if record.zone == zone {
            1.0
        } else {
            CROSS_ZONE_COST_FACTOR
        };
        let ejection = if now < server.ejected_until {
            EJECTION_COST_MS
        } else {
            0.0
        };
        ejection + server.expected_latency(now) * (1.0 + load / slots * LOAD_COST_FACTOR) * distance
    }

    /// Whether a server has a free slot, as far as this gateway knows, and is not ejected.
    pub fn has_free_slot(&self, now: Instant, record: &ServerRecord) -> bool {
        let Some(server) = self.servers.get(&record.instance) else {
            return true;
        };
        now >= server.ejected_until && server.load(now) < record.slots.max(1)
    }

    /// Records that a request was sent to a server.
    pub fn started(&mut self, instance: &InstanceId) {
        self.entry(instance).in_flight += 1;
    }

    /// Records the end of a request, whatever its result.
    pub fn ended(&mut self, instance: &InstanceId) {
        let server = self.entry(instance);
        server.in_flight = server.in_flight.saturating_sub(1);
    }

    /// Records an answer after `latency`; this ends an ejection.
    pub fn answered(&mut self, now: Instant, instance: &InstanceId, latency: Duration) {
        let server = self.entry(instance);
        server.measured_at = now;
        server.failures = 0;
        server.ejected_until = Instant::ZERO;
        let newest = latency.as_secs_f64() * 1000.0;
        server.latency_ms += (newest - server.latency_ms) * LATENCY_WEIGHT;
    }

    /// Records an attempt that was abandoned after `latency`: its answer would have taken longer.
    pub fn timed_out(&mut self, now: Instant, instance: &InstanceId, latency: Duration) {
        let server = self.entry(instance);
        server.measured_at = now;
        let newest = latency.as_secs_f64() * 1000.0;
        server.latency_ms = server.latency_ms.max(newest);
    }

    /// Records a server's report of its load: the requests that run or wait there.
    pub fn load_reported(&mut self, now: Instant, instance: &InstanceId, busy: u32) {
        let server = self.entry(instance);
        server.reported_load = busy;
        server.reported_at = Some(now);
    }

    /// Records that a server did not accept a request or lost the connection, and ejects it.
    pub fn failed(&mut self, now: Instant, instance: &InstanceId) {
        let server = self.entry(instance);
        if now < server.ejected_until {
            return;
        }
        let ejection = doubled_backoff(INITIAL_EJECTION, server.failures, MAX_EJECTION);
        server.ejected_until = now + ejection;
        server.failures += 1;
    }

    /// Forgets servers for which `is_known` is false and that have no request in flight.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.servers
            .retain(|instance, server| server.in_flight > 0 || is_known(instance));
    }

    fn entry(&mut self, instance: &InstanceId) -> &mut ServerStats {
        self.servers.entry(instance.clone()).or_default()
    }
}
