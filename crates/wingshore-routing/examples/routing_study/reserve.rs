//! What part of the live guarantee rollouts should leave free for bursts.
//!
//! Rollouts ask all the time and run for 20 s on average; live requests run for 100 ms on average
//! and come in bursts: 2 s of heavy load, 8 s of light load.

use crate::random::Random;
use crate::site::{MILLISECOND, SECOND, request, site};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use wingshore_routing::{AttemptOutcome, Class, Router, RouterSettings, Ticket};
use wingshore_types::configuration::{Configuration, Permille};
use wingshore_types::platform::EngineState;
use wingshore_types::{Instant, WeightVersion, ZoneId};

const SERVERS: usize = 9;
const SLOTS: u32 = 16;
const MEAN_ROLLOUT: f64 = 20.0 * SECOND as f64;
const MEAN_LIVE: f64 = 100.0 * MILLISECOND as f64;
/// Mean live requests in flight within and between bursts, were none refused; 72 are guaranteed.
const BURST: f64 = 50.0;
const QUIET: f64 = 5.0;
const PERIOD: u64 = 10 * SECOND;
const BURST_LENGTH: u64 = 2 * SECOND;
const LENGTH: u64 = 600 * SECOND;
const TICK: u64 = 100 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Live,
    End(Ticket, Class),
    Tick,
}

#[derive(Default)]
struct Outcome {
    live: u32,
    live_refused: u32,
    rollout_time: u64,
    cancelled: u32,
}

struct Simulation {
    random: Random,
    router: Router,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rollouts: Vec<(Ticket, wingshore_types::ServerId)>,
    cancels: bool,
    configuration: Configuration,
    outcome: Outcome,
}

impl Simulation {
    fn new(reserve: u16, memory: u64, cancels: bool) -> Self {
        let settings = RouterSettings {
            live_reserve: Permille(reserve),
            burst_memory: Duration::from_secs(memory),
            ..RouterSettings::default()
        };
        let configuration = site(SERVERS, SLOTS, 500);
        let mut router = Router::new(settings, ZoneId::new("zone"), 1);
        router.on_configuration(Instant(0), &configuration);
        Self {
            random: Random::new(1),
            router,
            events: BinaryHeap::new(),
            sequence: 0,
            rollouts: Vec::new(),
            cancels,
            configuration,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn run(mut self) -> Outcome {
        self.schedule(0, Event::Tick);
        self.schedule(0, Event::Live);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > LENGTH {
                break;
            }
            match event {
                Event::Live => self.on_live(now),
                Event::End(ticket, class) => self.on_end(now, ticket, class),
                Event::Tick => self.on_tick(now),
            }
        }
        self.outcome
    }

    fn on_live(&mut self, now: u64) {
        let is_burst = now % PERIOD < BURST_LENGTH;
        let in_flight = if is_burst { BURST } else { QUIET };
        let next = now + self.random.exponential(MEAN_LIVE / in_flight);
        self.schedule(next, Event::Live);
        self.outcome.live += 1;
        match self.router.admit(Instant(now), &request(Class::Live)) {
            Ok(admitted) => {
                let end = now + self.random.exponential(MEAN_LIVE);
                self.schedule(end, Event::End(admitted.ticket, Class::Live));
            }
            Err(_) => self.outcome.live_refused += 1,
        }
    }

    fn on_end(&mut self, now: u64, ticket: Ticket, class: Class) {
        let latency = Duration::from_millis(100);
        self.router
            .on_finished(Instant(now), ticket, AttemptOutcome::Success { latency });
        if class == Class::Rollout {
            self.rollouts.retain(|(running, _)| *running != ticket);
        }
    }

    /// Cancels what is asked back, begins rollouts wherever they fit, counts those that run.
    fn on_tick(&mut self, now: u64) {
        self.schedule(now + TICK, Event::Tick);
        self.report_versions(now);
        if self.cancels {
            self.cancel_borrowed(now);
        }
        while let Ok(admitted) = self.router.admit(Instant(now), &request(Class::Rollout)) {
            let end = now + self.random.exponential(MEAN_ROLLOUT);
            self.schedule(end, Event::End(admitted.ticket, Class::Rollout));
            self.rollouts.push((admitted.ticket, admitted.server));
        }
        self.outcome.rollout_time += TICK * self.rollouts.len() as u64;
    }

    fn cancel_borrowed(&mut self, now: u64) {
        for over in self.router.over_guarantee(Instant(now), Class::Rollout) {
            for _ in 0..over.wanted_back {
                let newest = self.rollouts.iter().rposition(|(_, on)| *on == over.server);
                let Some(position) = newest else { break };
                let (ticket, _) = self.rollouts.remove(position);
                self.router
                    .on_finished(Instant(now), ticket, AttemptOutcome::Cancelled);
                self.outcome.cancelled += 1;
            }
        }
    }

    fn report_versions(&mut self, now: u64) {
        for server in self.configuration.servers.keys() {
            let state = EngineState {
                boot_id: 1,
                role: "rollout".to_owned(),
                models: Vec::new(),
                weight_version: Some(WeightVersion(1)),
                loading: None,
                last_order: None,
                draining: false,
                in_flight: 0,
                queue: 0,
                kv_free: 0,
            };
            self.router.on_engine_state(Instant(now), server, &state);
        }
    }
}

/// Prints the table.
pub fn run() {
    println!();
    println!(
        "bursts of live requests: {SERVERS} servers of {SLOTS} slots, half guaranteed to live"
    );
    println!("reserve  memory s  cancels  live refused %  rollouts running  cancelled");
    for memory in [0, 60] {
        for reserve in [0, 125, 250, 500, 1000] {
            print_row(reserve, memory, false);
            print_row(reserve, memory, true);
        }
    }
}

fn print_row(reserve: u16, memory: u64, cancels: bool) {
    let outcome = Simulation::new(reserve, memory, cancels).run();
    let refused = 100.0 * f64::from(outcome.live_refused) / f64::from(outcome.live);
    let running = outcome.rollout_time as f64 / LENGTH as f64;
    let cancelled = outcome.cancelled;
    println!(
        "{reserve:>7}  {memory:>8}  {cancels:>7}  {refused:>14.2}  {running:>16.1}  {cancelled:>9}"
    );
}
