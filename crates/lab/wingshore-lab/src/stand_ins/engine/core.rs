//! The engine itself, without sockets, clocks or threads: batches, weights, orders, faults.
//!
//! [`EngineCore::step`] first lets all steps end that are due, then takes its input.

use super::fence::{Fence, OrderAnswer};
use super::messages::{DropReason, EngineFault, EngineInput, EngineOutput};
use super::scheduler::Scheduler;
use super::settings::EngineSettings;
use super::weights::{WeightChange, Weights};
use std::collections::BTreeSet;
use wingshore_types::platform::{
    CacheEvents, EngineCompletionRequest, EngineOrder, EngineState, LoadReport, OrderBody,
};
use wingshore_types::{Instant, WeightVersion};

/// Role of an engine that no order has given one.
const INITIAL_ROLE: &str = "mixed";
/// Step time of a healthy engine, in thousandths.
const NORMAL_STEP_TIME: u32 = 1000;

/// A model engine.
pub struct EngineCore {
    settings: EngineSettings,
    boot_id: u64,
    role: String,
    models: Vec<String>,
    adapters: BTreeSet<String>,
    draining: bool,
    fence: Fence,
    weights: Weights,
    scheduler: Scheduler,
    step_ends_at: Option<Instant>,
    frozen_until: Option<Instant>,
    step_time_permille: u32,
    load_read_at: Instant,
    load: LoadReport,
}

impl EngineCore {
    /// An engine that has just started. `boot_id` also seeds the loss of its cache events.
    pub fn new(now: Instant, settings: EngineSettings, boot_id: u64) -> Self {
        Self {
            boot_id,
            role: INITIAL_ROLE.to_owned(),
            models: vec![settings.model.clone()],
            adapters: BTreeSet::new(),
            draining: false,
            fence: Fence::default(),
            weights: Weights::new(settings.initial_version, settings.swap_pause),
            scheduler: Scheduler::new(settings.clone(), boot_id),
            step_ends_at: None,
            frozen_until: None,
            step_time_permille: NORMAL_STEP_TIME,
            load_read_at: now,
            load: LoadReport {
                in_flight: 0,
                queue: 0,
                age_ms: 0,
            },
            settings,
        }
    }

    /// Lets time pass until `now`, then takes `input`. A frozen engine is given no input but
    /// [`EngineInput::Tick`].
    pub fn step(&mut self, now: Instant, input: EngineInput, out: &mut Vec<EngineOutput>) {
        self.advance(now, out);
        match input {
            EngineInput::Tick => {}
            EngineInput::Submit(request) => self.submit(now, request, out),
            EngineInput::Cancel { request_id } => self.scheduler.cancel(&request_id, out),
            EngineInput::Order(order) => self.order(order, out),
            EngineInput::WeightsFetched { version, succeeded } => {
                self.weights.fetched(now, version, succeeded);
            }
            EngineInput::Fault(fault) => self.inject(now, fault),
        }
        self.begin_step(now);
    }

    /// When [`EngineInput::Tick`] is wanted next; `None` while there is nothing to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let swap = self.weights.takes_force_at();
        let due = [self.step_ends_at, swap].into_iter().flatten().min()?;
        Some(self.frozen_until.map_or(due, |until| until.max(due)))
    }

    /// Whether the engine answers nothing now.
    pub fn is_frozen(&self, now: Instant) -> bool {
        self.frozen_until.is_some_and(|until| now < until)
    }

    /// Drawn at the start.
    pub fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Whether it holds `version` whole and so may hand it to other engines.
    pub fn holds_version(&self, version: WeightVersion) -> bool {
        self.weights.current() == Some(version)
    }

    /// What it says of itself.
    pub fn state(&self) -> EngineState {
        EngineState {
            boot_id: self.boot_id,
            role: self.role.clone(),
            models: self.models.clone(),
            weight_version: self.weights.current(),
            loading: self.weights.loading(),
            last_order: self.fence.last_accepted(),
            draining: self.draining,
            in_flight: self.scheduler.running() as u32,
            queue: self.scheduler.waiting() as u32,
            kv_free: self.scheduler.free_tokens(),
        }
    }

    /// The last load report and its age.
    pub fn load(&mut self, now: Instant) -> LoadReport {
        if now.since(self.load_read_at) >= self.settings.load_report_interval {
            self.load_read_at = now;
            self.load = LoadReport {
                in_flight: self.scheduler.running() as u32,
                queue: self.scheduler.waiting() as u32,
                age_ms: 0,
            };
        }
        let age = now.since(self.load_read_at).as_millis();
        LoadReport {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            ..self.load
        }
    }

    /// Cache events after `after` that are published by now.
    pub fn cache_events(&self, now: Instant, after: u64) -> CacheEvents {
        CacheEvents {
            boot_id: self.boot_id,
            events: self.scheduler.cache_events(now, after),
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<EngineOutput>) {
        if self.is_frozen(now) {
            return;
        }
        while let Some(due) = self.next_wake().filter(|due| *due <= now) {
            self.frozen_until = None;
            self.apply_weight_change(due, out);
            self.end_step(due, out);
            self.begin_step(due);
        }
        self.frozen_until = None;
    }

    fn apply_weight_change(&mut self, now: Instant, out: &mut Vec<EngineOutput>) {
        match self.weights.take_force(now) {
            None => {}
            Some(WeightChange::InForce { version, previous }) => {
                if let Some(previous) = previous {
                    self.scheduler.flush(previous, out);
                }
                out.push(EngineOutput::VersionInForce(Some(version)));
            }
            Some(WeightChange::Lost) => {
                self.scheduler.drop_all(DropReason::WeightsLost, out);
                self.step_ends_at = None;
                out.push(EngineOutput::VersionInForce(None));
            }
        }
    }

    fn end_step(&mut self, now: Instant, out: &mut Vec<EngineOutput>) {
        if self.step_ends_at.is_none_or(|end| end > now) {
            return;
        }
        self.step_ends_at = None;
        if let Some(version) = self.weights.generating() {
            self.scheduler.end_step(now, version, out);
        }
    }

    fn begin_step(&mut self, now: Instant) {
        let stands_still = self.weights.generating().is_none() || self.is_frozen(now);
        if self.step_ends_at.is_some() || stands_still {
            return;
        }
        self.step_ends_at = self
            .scheduler
            .begin_step(now)
            .map(|time| now + time * self.step_time_permille / NORMAL_STEP_TIME);
    }

    fn submit(
        &mut self,
        now: Instant,
        request: EngineCompletionRequest,
        out: &mut Vec<EngineOutput>,
    ) {
        let request_id = request.request_id.clone();
        if let Some(reason) = self.refusal(&request) {
            out.push(EngineOutput::RefusedNotRun { request_id, reason });
            return;
        }
        out.push(EngineOutput::Started { request_id });
        self.scheduler.submit(now, request);
    }

    fn refusal(&self, request: &EngineCompletionRequest) -> Option<&'static str> {
        let adapter = request.adapter.as_ref();
        let adapter_missing = adapter.is_some_and(|adapter| !self.adapters.contains(adapter));
        let full = self.scheduler.waiting() >= self.settings.max_queue;
        [
            (self.draining, "draining"),
            (self.weights.current().is_none(), "weights_unknown"),
            (!self.models.contains(&request.model), "unknown_model"),
            (adapter_missing, "unknown_adapter"),
            (full, "queue_full"),
        ]
        .into_iter()
        .find_map(|(refused, reason)| refused.then_some(reason))
    }

    fn order(&mut self, order: EngineOrder, out: &mut Vec<EngineOutput>) {
        let judgement = self.fence.judge(order.fence);
        if judgement.answer == OrderAnswer::Accepted && !judgement.repeated {
            self.carry_out(&order.order, out);
        }
        out.push(EngineOutput::OrderAnswered { order, judgement });
    }

    fn carry_out(&mut self, order: &OrderBody, out: &mut Vec<EngineOutput>) {
        match order {
            OrderBody::LoadWeights { version, source } => {
                self.weights.load(*version);
                out.push(EngineOutput::FetchWeights {
                    version: *version,
                    source: source.clone(),
                });
            }
            OrderBody::LoadModel { model } => {
                if !self.models.contains(model) {
                    self.models.push(model.clone());
                }
            }
            OrderBody::LoadAdapter { adapter } => {
                self.adapters.insert(adapter.clone());
            }
            OrderBody::SetRole { role } => {
                self.role.clone_from(role);
                self.draining = false;
            }
            OrderBody::Drain => self.draining = true,
        }
    }

    fn inject(&mut self, now: Instant, fault: EngineFault) {
        match fault {
            EngineFault::Freeze(duration) => self.frozen_until = Some(now + duration),
            EngineFault::FailNextSwap => self.weights.fail_next_swap(),
            EngineFault::StepTime(permille) => self.step_time_permille = permille.max(1),
        }
    }
}
