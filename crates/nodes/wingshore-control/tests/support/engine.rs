//! Simulated engines that execute fenced orders, and a control group running with them.

use super::{Group, site};
use std::collections::{BTreeMap, BTreeSet};
use wingshore_control::{ControlEffect, ControlEvent, OrderAnswer};
use wingshore_types::ids::{ServerId, WeightVersion};
use wingshore_types::platform::{
    EngineOrder, EngineState, FencedReply, LoadReport, OrderBody, OrderFence,
};
use wingshore_types::{Instant, Verdict};

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct SimEngine {
    pub state: EngineState,
    pub ready_at: Option<Instant>,
    /// Number of upcoming loads that fail.
    pub failing_loads: u32,
    /// Whether it leaves orders and polls unanswered.
    pub silent: bool,
    pub loads: Vec<(OrderFence, WeightVersion, String)>,
}

impl SimEngine {
    pub fn new(version: Option<u64>) -> Self {
        Self {
            state: EngineState {
                boot_id: 1,
                role: "rollout".into(),
                models: vec!["m".into()],
                weight_version: version.map(WeightVersion),
                loading: None,
                last_order: None,
                draining: false,
                in_flight: 0,
                queue: 0,
                kv_free: 0,
            },
            ready_at: None,
            failing_loads: 0,
            silent: false,
            loads: Vec::new(),
        }
    }

    pub fn order(&mut self, now: Instant, order: &EngineOrder, load_ms: u64) -> OrderAnswer {
        let last = self.state.last_order.unwrap_or_default();
        if order.fence == last {
            return OrderAnswer::Accepted;
        }
        if order.fence < last {
            return OrderAnswer::Fenced(FencedReply {
                highest_epoch: last.epoch,
                highest_sequence: last.sequence,
            });
        }
        self.state.last_order = Some(order.fence);
        if let OrderBody::LoadWeights { version, source } = &order.order {
            self.loads.push((order.fence, *version, source.clone()));
            self.state.loading = Some(*version);
            self.ready_at = Some(now + std::time::Duration::from_millis(load_ms));
        }
        OrderAnswer::Accepted
    }

    pub fn advance(&mut self, now: Instant) {
        if self.ready_at.is_none_or(|at| now < at) {
            return;
        }
        self.ready_at = None;
        let version = self.state.loading.take();
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
            self.state.weight_version = None;
        } else {
            self.state.weight_version = version;
        }
    }

    pub fn restart(&mut self, version: Option<u64>) {
        let boot_id = self.state.boot_id + 1;
        let loads = std::mem::take(&mut self.loads);
        *self = Self::new(version);
        self.state.boot_id = boot_id;
        self.loads = loads;
    }
}

/// All simulated engines of a site, and what the test recorded of them.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub engines: BTreeMap<ServerId, SimEngine>,
    pub load_ms: u64,
    pub live_in_flight: u32,
    /// All orders as sent, including resends.
    pub orders: Vec<(Instant, ServerId, EngineOrder)>,
    pub reads: usize,
    /// Highest number of engines that were loading at once.
    pub max_loading: usize,
}

impl Fleet {
    pub fn new(engines: u32, version: u64) -> Self {
        let engine = |n| {
            (
                ServerId::new(&site::engine_name(n)),
                SimEngine::new(Some(version)),
            )
        };
        Self {
            engines: (0..engines).map(engine).collect(),
            load_ms: 1_000,
            live_in_flight: 0,
            orders: Vec::new(),
            reads: 0,
            max_loading: 0,
        }
    }

    pub fn engine(&mut self, number: u32) -> &mut SimEngine {
        let name = ServerId::new(&site::engine_name(number));
        self.engines.get_mut(&name).unwrap()
    }

    pub fn count_at(&self, version: u64) -> usize {
        let has = |engine: &&SimEngine| engine.state.weight_version == Some(WeightVersion(version));
        self.engines.values().filter(has).count()
    }

    /// Returns the fences, each with the order bodies that it was used for.
    pub fn bodies_by_fence(&self) -> BTreeMap<OrderFence, BTreeSet<String>> {
        let mut bodies: BTreeMap<OrderFence, BTreeSet<String>> = BTreeMap::new();
        for (_, server, order) in &self.orders {
            let body = format!("{server} {:?}", order.order);
            bodies.entry(order.fence).or_default().insert(body);
        }
        bodies
    }

    pub fn answer(&mut self, now: Instant, effect: ControlEffect) -> ControlEvent {
        match effect {
            ControlEffect::SendOrder { server, order, .. } => {
                self.orders.push((now, server.clone(), order.clone()));
                let load_ms = self.load_ms;
                let answer = match self.engines.get_mut(&server) {
                    Some(engine) if !engine.silent => engine.order(now, &order, load_ms),
                    _ => OrderAnswer::Failed(Verdict::MayHaveRun),
                };
                ControlEvent::OrderAnswered {
                    server,
                    fence: order.fence,
                    answer,
                }
            }
            ControlEffect::ReadState { server, .. } => {
                self.reads += 1;
                let engine = self.engines.get(&server).filter(|engine| !engine.silent);
                ControlEvent::StateRead {
                    polled_at: now,
                    state: engine
                        .map(|engine| engine.state.clone())
                        .ok_or(Verdict::MayHaveRun),
                    server,
                }
            }
            ControlEffect::ReadLoad { server, .. } => ControlEvent::LoadRead {
                server,
                polled_at: now,
                load: Ok(LoadReport {
                    in_flight: self.live_in_flight,
                    queue: 0,
                    age_ms: 100,
                }),
            },
        }
    }

    /// Advances the time of the group and its engines.
    pub fn run(&mut self, group: &mut Group, milliseconds: u64) {
        let end = group.now.as_millis() + milliseconds;
        while group.now.as_millis() < end {
            group.now = Instant::from_millis((group.now.as_millis() + 100).min(end));
            for engine in self.engines.values_mut().filter(|engine| !engine.silent) {
                engine.advance(group.now);
            }
            group.tick();
            while let Some(effect) = group.effects.pop_front() {
                let event = self.answer(group.now, effect);
                group.event(event);
            }
            let loading = self
                .engines
                .values()
                .filter(|engine| engine.ready_at.is_some());
            self.max_loading = self.max_loading.max(loading.count());
        }
    }

    /// Runs until `done`; panics when that takes longer than `at_most_ms` of simulated time.
    /// Returns how long it took in milliseconds.
    pub fn run_until(
        &mut self,
        group: &mut Group,
        at_most_ms: u64,
        done: impl Fn(&Self, &Group) -> bool,
    ) -> u64 {
        let start = group.now.as_millis();
        while !done(self, group) {
            let took = group.now.as_millis() - start;
            assert!(took < at_most_ms, "not done after {took} ms");
            self.run(group, 100);
        }
        group.now.as_millis() - start
    }
}
