//! How long queues are with one, two and three choices, and what load reports add when they lag.
//!
//! Servers work on several requests at once and queue the rest; service times and arrivals are
//! exponential. Several nodes, each with its own router, poll every server once a second; a
//! report shows the server as it was `lag` ago.

use crate::random::Random;
use crate::site::{MILLISECOND, SECOND, request, server_id, site};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;
use wingshore_routing::{AttemptOutcome, Class, Router, RouterSettings, Ticket};
use wingshore_types::platform::LoadReport;
use wingshore_types::{Instant, ServerId, ZoneId};

/// Servers of the one service; the size at which `docs/design/0006-routing.md` gives its figures.
const SERVERS: usize = 40;
/// Nodes, each with a router of its own; chosen so that a node sees a tenth of the requests itself.
const NODES: usize = 10;
/// Requests that a server works on at once; chosen for the study.
const PARALLEL: usize = 8;
/// Part of the servers' capacity that arrivals ask for; chosen so that queues form, and end.
const UTILISATION: f64 = 0.85;
/// Simulated time, in service times.
const LENGTH: u64 = 600;
/// The part of it, from its beginning, that is not counted: queues begin empty.
const WARM_UP: u64 = 100;
/// Runs of each variant, whose queues are taken together.
const SEEDS: u64 = 5;

/// What is varied.
#[derive(Clone, Copy)]
struct Variant {
    choices: u32,
    /// Mean service time, in nanoseconds.
    service: u64,
    reports: Reports,
    /// Age of reports when they arrive, in nanoseconds.
    lag: u64,
}

/// How reports reach the routers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reports {
    /// Not at all: own counts only.
    None,
    /// With their age hidden, so that nothing is corrected.
    AgeHidden,
    /// As they are.
    Corrected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Departure { server: usize },
    Probe { node: usize, server: usize },
}

/// A request on a server.
struct Job {
    node: usize,
    ticket: Ticket,
}

#[derive(Default)]
struct ServerState {
    running: VecDeque<Job>,
    waiting: VecDeque<Job>,
    /// Counts over time, for reports that lag.
    history: VecDeque<(u64, u32)>,
}

impl ServerState {
    fn count(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    fn remember(&mut self, now: u64) {
        self.history.push_back((now, self.count()));
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| now - at > 2 * SECOND)
        {
            self.history.pop_front();
        }
    }

    fn count_at(&self, time: u64) -> u32 {
        let known = self.history.iter().rev().find(|(at, _)| *at <= time);
        known.map_or(0, |(_, count)| *count)
    }
}

struct Simulation {
    random: Random,
    routers: Vec<Router>,
    servers: Vec<ServerState>,
    numbers: BTreeMap<ServerId, usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    variant: Variant,
    /// Queue lengths that arrivals met.
    queues: Vec<u32>,
}

impl Simulation {
    fn new(seed: u64, variant: Variant) -> Self {
        let settings = RouterSettings {
            choices: variant.choices,
            ..RouterSettings::default()
        };
        let configuration = site(SERVERS, 1_000_000, 1000);
        let router = |node| {
            let seed = seed * 1000 + node as u64;
            let mut router = Router::new(settings.clone(), ZoneId::new("zone"), seed);
            router.on_configuration(Instant(0), &configuration);
            router
        };
        let mut simulation = Self {
            random: Random::new(seed),
            routers: (0..NODES).map(router).collect(),
            servers: (0..SERVERS).map(|_| ServerState::default()).collect(),
            numbers: (0..SERVERS)
                .map(|number| (server_id(number), number))
                .collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            variant,
            queues: Vec::new(),
        };
        simulation.begin();
        simulation
    }

    fn begin(&mut self) {
        self.schedule(0, Event::Arrival);
        if self.variant.reports == Reports::None {
            return;
        }
        for node in 0..NODES {
            for server in 0..SERVERS {
                let first = self.random.below(SECOND as usize) as u64;
                self.schedule(first, Event::Probe { node, server });
            }
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn run(mut self) -> Vec<u32> {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > LENGTH * self.variant.service {
                break;
            }
            match event {
                Event::Arrival => self.on_arrival(now),
                Event::Departure { server } => self.on_departure(now, server),
                Event::Probe { node, server } => self.on_probe(now, node, server),
            }
        }
        self.queues
    }

    fn on_arrival(&mut self, now: u64) {
        let rate = UTILISATION * (SERVERS * PARALLEL) as f64 / self.variant.service as f64;
        let next = now + self.random.exponential(1.0 / rate);
        self.schedule(next, Event::Arrival);
        let node = self.random.below(NODES);
        let Ok(admitted) = self.routers[node].admit(Instant(now), &request(Class::Live)) else {
            return;
        };
        let number = self.numbers[&admitted.server];
        let server = &mut self.servers[number];
        if now > WARM_UP * self.variant.service {
            self.queues.push(server.waiting.len() as u32);
        }
        server.waiting.push_back(Job {
            node,
            ticket: admitted.ticket,
        });
        self.start(now, number);
        self.servers[number].remember(now);
    }

    fn start(&mut self, now: u64, number: usize) {
        let server = &mut self.servers[number];
        if server.running.len() == PARALLEL {
            return;
        }
        if let Some(job) = server.waiting.pop_front() {
            server.running.push_back(job);
            let end = now + self.random.exponential(self.variant.service as f64);
            self.schedule(end, Event::Departure { server: number });
        }
    }

    fn on_departure(&mut self, now: u64, number: usize) {
        // Service times are memoryless: any of the running ones may be the one that ends.
        let chosen = self.random.below(self.servers[number].running.len());
        let Some(job) = self.servers[number].running.swap_remove_back(chosen) else {
            return;
        };
        let latency = Duration::from_nanos(self.variant.service);
        let outcome = AttemptOutcome::Success { latency };
        self.routers[job.node].on_finished(Instant(now), job.ticket, outcome);
        self.start(now, number);
        self.servers[number].remember(now);
    }

    fn on_probe(&mut self, now: u64, node: usize, number: usize) {
        self.schedule(
            now + SECOND,
            Event::Probe {
                node,
                server: number,
            },
        );
        let read_at = now.saturating_sub(self.variant.lag);
        let age = match self.variant.reports {
            Reports::Corrected => self.variant.lag / MILLISECOND,
            Reports::AgeHidden | Reports::None => 0,
        };
        let report = LoadReport {
            in_flight: self.servers[number].count_at(read_at),
            queue: 0,
            age_ms: age,
        };
        self.routers[node].on_load(Instant(now), &server_id(number), &report);
    }
}

/// Mean, p99 and largest queue over all seeds.
fn measure(variant: Variant) -> (f64, u32, u32) {
    let mut queues = Vec::new();
    for seed in 0..SEEDS {
        queues.extend(Simulation::new(seed, variant).run());
    }
    queues.sort_unstable();
    let mean = queues.iter().map(|queue| f64::from(*queue)).sum::<f64>() / queues.len() as f64;
    let p99 = queues[queues.len() * 99 / 100];
    (mean, p99, queues[queues.len() - 1])
}

/// Prints the tables.
pub fn run() {
    println!("queue met on arrival: {SERVERS} servers, {NODES} nodes, utilisation {UTILISATION}");
    println!("service ms  choices  reports     lag ms   mean    p99    max");
    for choices in [1, 2, 3] {
        print_rows(choices, 100 * MILLISECOND);
    }
    print_rows(2, 10 * SECOND);
}

fn print_rows(choices: u32, service: u64) {
    let none = [(Reports::None, 0)];
    let hidden = [0, 250, 1000].map(|lag| (Reports::AgeHidden, lag));
    let corrected = [0, 250, 1000].map(|lag| (Reports::Corrected, lag));
    for (reports, lag) in none.into_iter().chain(hidden).chain(corrected) {
        print_row(Variant {
            choices,
            service,
            reports,
            lag: lag * MILLISECOND,
        });
    }
}

fn print_row(variant: Variant) {
    let (mean, p99, most) = measure(variant);
    let service = variant.service / MILLISECOND;
    let lag = variant.lag / MILLISECOND;
    let choices = variant.choices;
    let reports = format!("{:?}", variant.reports);
    println!(
        "{service:>10}  {choices:>7}  {reports:<10}  {lag:>6}  {mean:>5.2}  {p99:>5}  {most:>5}"
    );
}
