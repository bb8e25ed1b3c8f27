//! Simulation of engines, a weight store and trainers around the real leader, without a network,
//! for training steps whose longest texts take about as long as the time allowed for a step.
//!
//! The parameters are those of a deployment: 45 engines of eight slots, every third one 1.3 times
//! slower, 48 ms between events, loads of 0.9 s that take longer while more than nine run, and
//! three trainers, each of which submits step n + 2 only after its training on step n.

mod work;

pub use work::{Outcome, SlowPeriod, Work};

use crate::support::{Group, configuration, engine};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, BreakCause, CoordinatorMessage, Effect, EngineStatus, Event, FinishedText,
    GatewayId, InstanceId, ItemAssignment, ItemId, ItemOutcome, ItemProgress, ItemText, JobId,
    JobItem, JobSubmission, LeaderSettings, ModelName, ModelVersion, OrderAnswer, Request,
    ResultText, ServerRecord, UnchangedServer,
};
use wingshore_types::ReplicaId;

const TICK: Duration = Duration::from_millis(50);
const EVENT_MS: f64 = 48.0;
/// Fraction by which each text on an engine slows down all events of the engine.
const SLOWDOWN_PER_ITEM: f64 = 0.006;
const LOAD_SECONDS: f64 = 0.9;
const LOADS_AT_FULL_SPEED: f64 = 9.0;
const SLOTS: u32 = 8;
const GATEWAYS: u64 = 8;
/// Ticks between two progress reports of gateways.
const PROGRESS_TICKS: u64 = 8;
/// Ticks between two heartbeats of a server.
const HEARTBEAT_TICKS: u64 = 24;
/// Time from the last text that a step needs until its trainer has read it.
const READ_SECONDS: f64 = 0.4;
/// Length of the longest text, in events.
const MAX_EVENTS: f64 = 145.0;
const STEP_INTERVAL_SECONDS: f64 = 4.0;

struct SimulatedEngine {
    number: u32,
    record: ServerRecord,
    slow: f64,
    sequence: u64,
    loading: Option<(ModelName, u64, f64)>,
}

struct SimulatedAttempt {
    assignment: ItemAssignment,
    gateway: GatewayId,
    events: f64,
    versions: Vec<u64>,
}

struct Trainer {
    model: ModelName,
    work: Work,
    next_step: u64,
    named: u64,
    open: BTreeMap<u64, OpenStep>,
}

struct OpenStep {
    submitted_at: f64,
    /// Number of unfinished texts of each group.
    missing: BTreeMap<String, u32>,
    /// When the trainer will have finished training on it.
    trained_at: Option<f64>,
}

pub struct Simulation {
    group: Group,
    random: ChaCha8Rng,
    engines: BTreeMap<InstanceId, SimulatedEngine>,
    attempts: BTreeMap<AssignmentId, SimulatedAttempt>,
    lengths: BTreeMap<ItemId, f64>,
    /// Periods in which some engines are slow.
    slow_periods: Vec<SlowPeriod>,
    trainers: Vec<Trainer>,
    time: f64,
    ticks: u64,
    outcome: Outcome,
}

impl Simulation {
    /// Creates a site with `staying` permanent engines, `extra` reclaimable ones, and one trainer
    /// for each entry of `work`.
    pub fn new(seed: u64, (staying, extra): (u32, u32), work: &[Work]) -> Self {
        let mut group = Group::with_settings(LeaderSettings {
            engines_check_fences: true,
            load_time: Duration::from_millis(920),
            ..LeaderSettings::default()
        });
        let models: Vec<ModelName> = (0..work.len())
            .map(|number| ModelName::from(format!("m{number}")))
            .collect();
        let mut site = configuration(2);
        if let Some(profile) = site.services[0].engine.as_mut() {
            profile.slots = SLOTS;
            profile.models.clone_from(&models);
        }
        group.ask(Request::PutConfiguration(Arc::new(site)));
        for gateway in 1..=GATEWAYS {
            group.add_gateway(gateway);
        }
        let mut all = BTreeMap::new();
        for number in 0..staying + extra {
            let mut record = engine(&format!("engine-{number:03}"), 1);
            record.address = ([10, 9, 0, number as u8], 9000).into();
            record.slots = SLOTS;
            record.reclaimable = number >= staying;
            record.models = models
                .iter()
                .map(|model| ModelVersion {
                    model: model.clone(),
                    version: 1,
                })
                .collect();
            group.heartbeat(record.clone());
            let slow = if number % 3 == 2 { 1.3 } else { 1.0 };
            let known = SimulatedEngine {
                number,
                record: record.clone(),
                slow,
                sequence: 0,
                loading: None,
            };
            all.insert(record.instance, known);
        }
        let trainers = models.into_iter().zip(work).map(|(model, work)| Trainer {
            model,
            work: *work,
            next_step: 0,
            named: 1,
            open: BTreeMap::new(),
        });
        Self {
            group,
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: all,
            attempts: BTreeMap::new(),
            lengths: BTreeMap::new(),
            slow_periods: Vec::new(),
            trainers: trainers.collect(),
            time: 0.0,
            ticks: 0,
            outcome: Outcome::default(),
        }
    }

    /// Adds periods in which some engines are slow.
    pub fn with_slow_periods(mut self, periods: &[SlowPeriod]) -> Self {
        self.slow_periods = periods.to_vec();
        self
    }

    /// Runs the simulation for this number of simulated seconds.
    pub fn simulate(mut self, seconds: f64) -> Outcome {
        while self.time < seconds {
            self.submit_due_steps();
            self.apply_effects();
            self.group.wait(TICK);
            self.time += TICK.as_secs_f64();
            self.ticks += 1;
            self.load_weights();
            self.stream();
            self.send_reports();
        }
        self.outcome
    }

    /// Draws the length of a text in events: most are short, one in ten is five times as long.
    fn length(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let tail = if self.random.random::<f64>() < 0.104 {
            5.0
        } else {
            1.0
        };
        (14.0 * (0.84 * normal).exp() * tail).clamp(1.0, MAX_EVENTS)
    }

    /// Draws the caller's estimate of a length: right in the median, but often far off.
    fn estimate(&mut self, length: f64) -> u64 {
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        (length * 75.0 * (0.5 * normal).exp()) as u64
    }

    fn submit_due_steps(&mut self) {
        for number in 0..self.trainers.len() {
            let trainer = &self.trainers[number];
            let step = trainer.next_step;
            let is_time = self.time >= step as f64 * STEP_INTERVAL_SECONDS;
            if !is_time || trainer.named < step.max(1) || trainer.open.len() >= 2 {
                continue;
            }
            self.submit_step(number, step);
        }
    }

    fn submit_step(&mut self, number: usize, step: u64) {
        let (model, work) = (
            self.trainers[number].model.clone(),
            self.trainers[number].work,
        );
        let mut items = Vec::new();
        let mut missing = BTreeMap::new();
        for group in 0..work.groups {
            let group = format!("{model}-{step}-{group}");
            missing.insert(group.clone(), work.size);
            for place in 0..work.size {
                let length = self.length();
                let id = ItemId::from(format!("{group}-{place}"));
                self.lengths.insert(id.clone(), length);
                items.push(JobItem {
                    id,
                    path: "/rollouts/x".to_owned(),
                    headers: Vec::new(),
                    body: vec![1],
                    tokens: 300 + (length * 75.0) as u64,
                    expected_output: Some(self.estimate(length)),
                    group: group.clone(),
                    scorer: None,
                });
            }
        }
        self.group.ask(Request::SubmitJob(Arc::new(JobSubmission {
            id: JobId::from(format!("{model}-{step}")),
            host: "site.example".to_owned(),
            step,
            model: Some(model),
            min_version: step.saturating_sub(1).max(1),
            desired: work.groups * 9 / 10,
            items,
        })));
        let trainer = &mut self.trainers[number];
        trainer.next_step += 1;
        let open = OpenStep {
            submitted_at: self.time,
            missing,
            trained_at: None,
        };
        trainer.open.insert(step, open);
    }

    /// Carries out the leader's effects.
    fn apply_effects(&mut self) {
        for effect in std::mem::take(&mut self.group.effects) {
            match effect {
                Effect::ToGateway(gateway, CoordinatorMessage::Assign(assignment)) => {
                    let run = SimulatedAttempt {
                        gateway,
                        events: assignment.kept.events as f64,
                        versions: assignment.kept.versions.clone(),
                        assignment: *assignment,
                    };
                    self.attempts.insert(run.assignment.assignment, run);
                }
                Effect::ToGateway(_, CoordinatorMessage::Interrupt { assignment }) => {
                    if let Some(run) = self.attempts.remove(&assignment) {
                        let outcome = ItemOutcome::Interrupted {
                            text: text_of(&run),
                            cause: BreakCause::Gateway,
                        };
                        self.group.end_item(run.gateway, &run.assignment, outcome);
                    }
                }
                Effect::ToGateway(_, CoordinatorMessage::Release { assignment }) => {
                    self.attempts.remove(&assignment);
                }
                Effect::Order(order) => {
                    if let Some(engine) = self.engines.get_mut(&order.instance) {
                        engine.sequence += 1;
                        engine.loading = Some((order.model, order.version, LOAD_SECONDS));
                    }
                    let (instance, answer) = (order.instance, OrderAnswer::Accepted);
                    self.group
                        .event(Event::WeightOrderAnswered { instance, answer });
                }
                Effect::PollEngine { instance, .. } => {
                    let report = self.engines.get(&instance).map(|engine| EngineStatus {
                        models: engine.record.models.clone(),
                        busy: engine.loading.is_some(),
                        sequence: engine.sequence,
                    });
                    self.group.event(Event::EnginePolled { instance, report });
                }
                _ => {}
            }
        }
    }

    fn load_weights(&mut self) {
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.loading.is_some());
        let speed = (LOADS_AT_FULL_SPEED / loading.count().max(1) as f64).min(1.0);
        for engine in self.engines.values_mut() {
            let Some((model, version, left)) = &mut engine.loading else {
                continue;
            };
            *left -= TICK.as_secs_f64() * speed;
            if *left <= 0.0 {
                let (model, version) = (model.clone(), *version);
                engine.record.raise_version(&model, version);
                engine.loading = None;
            }
        }
    }

    /// Advances all texts except those of a model whose weights their engine is loading.
    fn stream(&mut self) {
        let mut running: BTreeMap<&InstanceId, usize> = BTreeMap::new();
        for run in self.attempts.values() {
            *running.entry(&run.assignment.instance).or_default() += 1;
        }
        let running: BTreeMap<InstanceId, usize> = running
            .into_iter()
            .map(|(instance, count)| (instance.clone(), count))
            .collect();
        let mut finished = Vec::new();
        for (id, run) in &mut self.attempts {
            let instance = &run.assignment.instance;
            let Some(engine) = self.engines.get(instance) else {
                continue;
            };
            let model = ModelName::from(model_of(&run.assignment));
            if engine
                .loading
                .as_ref()
                .is_some_and(|(loading, ..)| *loading == model)
            {
                continue;
            }
            let count = running.get(instance).copied().unwrap_or(1) as f64;
            let time = self.time;
            let is_slow = |period: &SlowPeriod| period.slows(time, engine.number);
            let slowdown = if self.slow_periods.iter().any(is_slow) {
                3.0
            } else {
                1.0
            };
            let pace = EVENT_MS * engine.slow * slowdown * (1.0 + SLOWDOWN_PER_ITEM * count);
            run.events += TICK.as_millis() as f64 / pace;
            let version = engine.record.version_of(&model).unwrap_or(1);
            if run.versions.last() != Some(&version) {
                run.versions.push(version);
            }
            if run.events >= self.lengths[&run.assignment.request] {
                finished.push(*id);
            }
        }
        for id in finished {
            if let Some(run) = self.attempts.remove(&id) {
                let text = FinishedText {
                    text: ResultText::pack("text"),
                    versions: run.versions.clone(),
                };
                self.group
                    .end_item(run.gateway, &run.assignment, ItemOutcome::Finished(text));
                self.finished(&run.assignment);
            }
        }
        self.train();
    }

    /// Counts a finished text; a step with enough finished groups goes to training.
    fn finished(&mut self, assignment: &ItemAssignment) {
        let id = assignment.request.to_string();
        let parts: Vec<&str> = id.split('-').collect();
        let [model, step, group, _] = parts[..] else {
            return;
        };
        let Ok(step) = step.parse::<u64>() else {
            return;
        };
        let trainers = self.trainers.iter_mut();
        let mut own = trainers.filter(|trainer| trainer.model.as_str() == model);
        let Some(trainer) = own.next() else {
            return;
        };
        let work = trainer.work;
        let Some(open) = trainer.open.get_mut(&step) else {
            return;
        };
        if let Some(missing) = open.missing.get_mut(&format!("{model}-{step}-{group}")) {
            *missing = missing.saturating_sub(1);
        }
        let whole = open
            .missing
            .values()
            .filter(|missing| **missing == 0)
            .count();
        let wanted = (work.groups as usize * 9).div_ceil(10);
        if whole >= wanted && open.trained_at.is_none() {
            open.trained_at = Some(self.time + READ_SECONDS + work.training);
            self.outcome.steps += 1;
            self.outcome.seconds += self.time - open.submitted_at;
        }
    }

    /// Trainers that have finished training on a step end its job and name a version.
    fn train(&mut self) {
        for number in 0..self.trainers.len() {
            let trainer = &mut self.trainers[number];
            let time = self.time;
            let is_done = |open: &OpenStep| open.trained_at.is_some_and(|at| time >= at);
            let done: BTreeSet<u64> = trainer
                .open
                .iter()
                .filter(|(_, open)| is_done(open))
                .map(|(step, _)| *step)
                .collect();
            for step in done {
                let trainer = &mut self.trainers[number];
                trainer.open.remove(&step);
                trainer.named += 1;
                let (model, version) = (trainer.model.clone(), trainer.named);
                let job = JobId::from(format!("{model}-{step}"));
                self.group.ask(Request::EndJob(job));
                self.group.ask(Request::NameVersion { model, version });
            }
        }
    }

    /// Sends the progress reports of gateways and the heartbeats of servers that are due.
    fn send_reports(&mut self) {
        if self.ticks.is_multiple_of(PROGRESS_TICKS) {
            let progress = self.attempts.values().map(|run| ItemProgress {
                assignment: run.assignment.assignment,
                events: run.events as u64,
            });
            let progress = progress.collect();
            self.group.event(Event::ItemsProgressed(progress));
        }
        if self.ticks.is_multiple_of(HEARTBEAT_TICKS) {
            let servers = self.engines.keys().map(|instance| UnchangedServer {
                instance: instance.clone(),
                sequence: 1_000_000 + self.ticks,
            });
            let servers = servers.collect();
            let from = ReplicaId(2);
            self.group.event(Event::ServersReported { from, servers });
        }
    }
}

fn model_of(assignment: &ItemAssignment) -> &str {
    let id = assignment.request.as_str();
    id.split('-').next().unwrap_or_default()
}

fn text_of(run: &SimulatedAttempt) -> ItemText {
    let events = run.events as u64;
    ItemText {
        text: vec!["e"; events as usize].join("\n"),
        events,
        last_event: events.checked_sub(1),
        versions: run.versions.clone(),
    }
}
