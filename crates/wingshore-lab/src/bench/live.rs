//! Live completions: when they arrive and what becomes of them.

use super::random::exponential;
use super::settings::LiveSettings;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_routing::{Class, RouteRequest, Ticket};
use wingshore_types::configuration::Service;
use wingshore_types::platform::EngineCompletionRequest;
use wingshore_types::{Instant, ServerId, Token};

/// Priority of live requests on engines; rollouts have 0.
const PRIORITY: i32 = 10;
/// Seeds of live requests lie above those of samples.
const FIRST_SEED: u64 = 1 << 62;

/// Arrivals at one node: Poisson, with bursts.
#[derive(Debug)]
pub struct Arrivals {
    generator: ChaCha8Rng,
    is_burst: bool,
    changes_at: Instant,
    flood: bool,
}

impl Arrivals {
    /// Calm at the beginning, or a flood all the time.
    pub fn new(mut generator: ChaCha8Rng, settings: &LiveSettings, flood: bool) -> Self {
        let calm = exponential(&mut generator, settings.mean_calm);
        Self {
            generator,
            is_burst: false,
            changes_at: Instant::ZERO + calm,
            flood,
        }
    }

    /// When the next request arrives.
    pub fn next(&mut self, now: Instant, settings: &LiveSettings) -> Instant {
        let mut at = now;
        loop {
            let mean = Duration::from_secs_f64(1.0 / self.rate(settings));
            let next = at + exponential(&mut self.generator, mean);
            if next < self.changes_at {
                return next;
            }
            at = self.changes_at;
            self.is_burst = !self.is_burst;
            let mean = match self.is_burst {
                true => settings.mean_burst,
                false => settings.mean_calm,
            };
            self.changes_at = at + exponential(&mut self.generator, mean);
        }
    }

    fn rate(&self, settings: &LiveSettings) -> f64 {
        match (self.flood, self.is_burst) {
            (true, _) => settings.flood_requests_per_second,
            (false, true) => settings.burst_requests_per_second,
            (false, false) => settings.requests_per_second,
        }
    }
}

/// One live request under way.
#[derive(Clone, Debug)]
pub struct LiveCall {
    /// Index of its node.
    pub node: usize,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first tokens came.
    pub first: Option<Instant>,
    /// Counts its attempts.
    pub attempt: u32,
    /// The slot of the attempt under way.
    pub ticket: Option<Ticket>,
    /// When the attempt under way began.
    pub started: Instant,
    /// Engines that failed it.
    pub failed_on: Vec<ServerId>,
    /// The engine of the attempt under way.
    pub server: Option<ServerId>,
}

/// All live requests under way.
#[derive(Debug, Default)]
pub struct LiveCalls {
    /// By number.
    pub calls: HashMap<u64, LiveCall>,
    next: u64,
}

impl LiveCalls {
    /// A request arrives.
    pub fn arrive(&mut self, now: Instant, node: usize) -> u64 {
        self.next += 1;
        let call = LiveCall {
            node,
            arrived: now,
            first: None,
            attempt: 0,
            ticket: None,
            started: now,
            failed_on: Vec::new(),
            server: None,
        };
        self.calls.insert(self.next, call);
        self.next
    }
}

/// What the router is asked.
pub fn route_request(call: &LiveCall, service: &Service, settings: &LiveSettings) -> RouteRequest {
    RouteRequest {
        service: service.id.clone(),
        class: Class::Live,
        prefix_hash: None,
        tokens_estimate: settings.prompt_tokens as u32,
        deadline: call.arrived + settings.deadline,
        no_repeat: false,
        excluded: call.failed_on.clone(),
        oldest_useful: None,
    }
}

/// What the engine is asked.
pub fn engine_request(
    number: u64,
    call: &LiveCall,
    model: &str,
    settings: &LiveSettings,
    now: Instant,
) -> EngineCompletionRequest {
    let left = (call.arrived + settings.deadline).since(now);
    EngineCompletionRequest {
        request_id: format!("live-{number}-{}", call.attempt),
        model: model.to_owned(),
        adapter: None,
        prompt: prompt(number, settings.prompt_tokens),
        resume: Vec::new(),
        max_tokens: settings.max_tokens,
        priority: PRIORITY,
        stream: true,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        seed: FIRST_SEED + number,
    }
}

/// No two live prompts share a prefix.
fn prompt(number: u64, tokens: usize) -> Vec<Token> {
    let first = (number as Token).wrapping_mul(7919);
    (0..tokens as Token)
        .map(|position| first.wrapping_add(position))
        .collect()
}
