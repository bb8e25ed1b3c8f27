//! Choosing a server for a live request, and what is remembered of each for that.

use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::{InstanceId, ServerRecord};
use wingshore_types::{Instant, doubled_pause};

/// Latency of a server that has not answered yet, in milliseconds.
const FIRST_LATENCY_MS: f64 = 20.0;
/// Weight of the newest latency in the average.
const LATENCY_WEIGHT: f64 = 0.3;
/// After this time a measured latency counts half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);
/// How long a server's own word about its load counts.
const LOAD_FRESH: Duration = Duration::from_millis(1000);
/// A server at fault gets nothing for this long at first, and twice as long each time.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// The longest such time.
const MOST_PAUSE: Duration = Duration::from_secs(4);
/// What a server of another zone counts besides its load.
const FAR_COST: f64 = 1.15;

/// What is remembered of one server.
#[derive(Clone, Debug)]
struct Server {
    in_flight: u32,
    latency_ms: f64,
    reported_busy: u32,
    reported_at: Option<Instant>,
    faults: u32,
    paused_until: Instant,
    /// When it last answered, or was last too slow.
    known_at: Instant,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            in_flight: 0,
            latency_ms: FIRST_LATENCY_MS,
            reported_busy: 0,
            reported_at: None,
            faults: 0,
            paused_until: Instant::ZERO,
            known_at: Instant::ZERO,
        }
    }
}

impl Server {
    /// The latency that is expected. What was measured counts less the older it is, so that a
    /// server that was slow once is tried again.
    fn expected_latency(&self, now: Instant) -> f64 {
        let age = now.since(self.known_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(age);
        FIRST_LATENCY_MS + (self.latency_ms - FIRST_LATENCY_MS) * weight
    }
}

/// What is remembered of all servers.
#[derive(Default)]
pub struct Balancer {
    servers: HashMap<InstanceId, Server>,
}

impl Balancer {
    /// The best of `candidates` besides those in `avoid`. Servers at fault are taken only where
    /// there is no other.
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
        /// Puts servers at fault behind all others.
        const PAUSED: f64 = 1e9;
        let fresh = Server::default();
        let server = self.servers.get(&record.instance).unwrap_or(&fresh);
        let is_fresh = server
            .reported_at
            .is_some_and(|at| now.since(at) <= LOAD_FRESH);
        let busy = if is_fresh { server.reported_busy } else { 0 };
        let load = f64::from(server.in_flight.max(busy));
        let slots = f64::from(record.slots.max(1));
        let distance = if record.zone == zone { 1.0 } else { FAR_COST };
        let paused = if now < server.paused_until {
            PAUSED
        } else {
            0.0
        };
        paused + server.expected_latency(now) * (1.0 + load / slots * 2.0) * distance
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
        server.faults = 0;
        server.paused_until = Instant::ZERO;
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

    /// A server has told its load.
    pub fn reported(&mut self, now: Instant, instance: &InstanceId, busy: u32) {
        let server = self.entry(instance);
        server.reported_busy = busy;
        server.reported_at = Some(now);
    }

    /// A server did not take a request, or broke off.
    pub fn failed(&mut self, now: Instant, instance: &InstanceId) {
        let server = self.entry(instance);
        if now < server.paused_until {
            return;
        }
        server.paused_until = now + doubled_pause(FIRST_PAUSE, server.faults, MOST_PAUSE);
        server.faults += 1;
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
