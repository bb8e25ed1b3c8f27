//! One run in simulated time: the product's state machines over the stand-in engines.
//!
//! * `engines`: what reaches engines and what leaves them, crashes, the weight store
//! * `control`: the control group, configuration, orders
//! * `ledger`: the ledger group and the runner of the pool's samples
//! * `live`: live requests
//! * `training`: the trainer, by the product's ledger or by the baseline
//! * `probes`: what routers ask of engines

mod control;
mod engines;
mod ledger;
mod live;
mod probes;
mod training;

use super::baseline::Baseline;
use super::bound::LowerBound;
use super::engines::{Engine, StreamNews, StreamOwner};
use super::figures::{Meter, RunFigures};
use super::group::Group;
use super::live::{Arrivals, LiveCalls};
use super::queue::EventQueue;
use super::random::{Purpose, generator};
use super::scenario::{NodePlace, Policy, Scenario};
use super::store::WeightStore;
use super::trainer::Trainer;
use crate::stand_ins::engine::EngineInput;
use control::ControlPlane;
use ledger::LedgerCaller;
use probes::ProbeAnswer;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use training::Published;
use wingshore_control::{ControlEvent, ControlLeader};
use wingshore_ledger::samples::{LedgerLeader, LedgerState};
use wingshore_rollout::{RolloutInput, RolloutRunner};
use wingshore_routing::{ProbeKind, Router, RouterSettings};
use wingshore_types::machine::RequestTag;
use wingshore_types::platform::{EngineCompletionRequest, EngineOrder};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::{Instant, ServerId};

/// Time to commit an entry: two machines in other zones sync it.
const COMMIT_TIME: Duration = Duration::from_millis(3);
/// Between two ticks of leaders.
const LEADER_TICK: Duration = Duration::from_millis(100);
/// Between two ticks of the runner. Nodes tick every 20 ms; this saves simulation time.
const RUNNER_TICK: Duration = Duration::from_millis(50);
/// Between two looks of a node at which probes are due.
const PROBE_TICK: Duration = Duration::from_millis(50);
/// Index of the node that runs the pool; live nodes follow.
const ROLLOUT_NODE: usize = 0;

/// What happens.
enum Event {
    EngineWake(usize),
    ToEngine(usize, ToEngine),
    StreamNews(StreamOwner, StreamNews),
    StoreDue,
    Crash(usize),
    Restart(usize),
    RunnerTick,
    Runner(RolloutInput),
    LedgerAsked(RequestTag, LedgerRequest),
    LedgerAnswered(RequestTag, LedgerReply),
    LedgerCommit,
    ControlNews(ControlEvent),
    ControlCommit,
    LeaderTick,
    Configuration,
    ProbeTick(usize),
    ProbeRead(usize, usize, ProbeKind),
    ProbeAnswered(usize, ServerId, ProbeAnswer),
    LiveArrival(usize),
    BaselineScored(u64, bool),
    Trained,
    PullAgain,
}

/// What reaches an engine.
enum ToEngine {
    Submit(StreamOwner, Box<EngineCompletionRequest>),
    Cancel(String),
    Order(EngineOrder),
    ReadState(Instant),
}

/// A node.
struct Node {
    place: NodePlace,
    router: Router,
    /// The engine that the baseline's next live request goes to.
    next_engine: usize,
}

/// A run.
pub struct World {
    scenario: Scenario,
    seed: u64,
    now: Instant,
    end: Instant,
    queue: EventQueue<Event>,
    engines: Vec<Engine>,
    engine_index: BTreeMap<ServerId, usize>,
    crashes: Vec<ChaCha8Rng>,
    swap_failures: Vec<ChaCha8Rng>,
    scores: ChaCha8Rng,
    store: WeightStore,
    nodes: Vec<Node>,
    runner: RolloutRunner,
    ledger: Group<LedgerLeader>,
    ledger_callers: HashMap<RequestTag, LedgerCaller>,
    control: Group<ControlLeader>,
    plane: ControlPlane,
    baseline: Baseline,
    trainer: Trainer,
    published: Published,
    arrivals: Vec<Arrivals>,
    live: LiveCalls,
    made: HashMap<u64, u64>,
    meter: Meter,
}

impl World {
    /// A run that has not begun.
    ///
    /// # Errors
    /// When the histograms of latency cannot be made.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<Self, hdrhistogram::CreationError> {
        let now = Instant::from_millis(1_000);
        let bench = &scenario.bench;
        let engines: Vec<Engine> = scenario
            .engines
            .iter()
            .enumerate()
            .map(|(index, server)| Engine::new(now, index, server.clone(), scenario.engine.clone()))
            .collect();
        let index_of = |(index, engine): (usize, &Engine)| (engine.server.id.clone(), index);
        let live_nodes = scenario.live_nodes.len();
        let flood = scenario.options.flood;
        let slots = scenario.service.slots_per_server as usize;
        Ok(Self {
            seed,
            now,
            end: now + bench.duration,
            queue: EventQueue::default(),
            engine_index: engines.iter().enumerate().map(index_of).collect(),
            crashes: generators(seed, engines.len(), Purpose::Crashes),
            swap_failures: generators(seed, engines.len(), Purpose::Swaps),
            scores: generator(seed, Purpose::Scores),
            store: WeightStore::new(bench.engines.fetch_time, bench.engines.most_fetches),
            nodes: nodes(scenario, seed),
            runner: ledger::runner(scenario),
            ledger: Group::new(LedgerState::default(), LedgerLeader::default()),
            ledger_callers: HashMap::new(),
            control: Group::new(Default::default(), ControlLeader::default()),
            plane: ControlPlane::default(),
            baseline: Baseline::new(
                &scenario.model,
                engines.len(),
                slots,
                scenario.pool.staleness_bound,
            ),
            trainer: Trainer::new(&bench.workload, seed),
            published: Published::default(),
            arrivals: generators(seed, live_nodes, Purpose::Arrivals)
                .into_iter()
                .map(|generator| Arrivals::new(generator, &bench.live, flood))
                .collect(),
            live: LiveCalls::default(),
            made: HashMap::new(),
            meter: Meter::new(now + bench.warm_up)?,
            engines,
            scenario: scenario.clone(),
        })
    }

    /// Runs to the end and gives the figures.
    pub fn run(mut self) -> RunFigures {
        self.begin();
        while let Some((at, event)) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.trainer.end_run(self.end, &mut self.meter);
        let bound = LowerBound::new(&self.scenario);
        self.meter
            .figures(self.seed, self.end, &bound, &self.scenario.bench)
    }

    fn begin(&mut self) {
        self.begin_control();
        for engine in 0..self.engines.len() {
            self.schedule_crash(engine);
        }
        for node in 0..self.nodes.len() {
            self.after(Duration::ZERO, Event::ProbeTick(node));
        }
        for live in 0..self.arrivals.len() {
            self.schedule_arrival(live);
        }
        self.begin_ledger();
        self.after(LEADER_TICK, Event::LeaderTick);
        if !self.scenario.options.without_rollouts {
            self.after(Duration::from_secs(1), Event::PullAgain);
            self.after(RUNNER_TICK, Event::RunnerTick);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::EngineWake(engine) => self.engine_input(engine, EngineInput::Tick),
            Event::ToEngine(engine, message) => self.on_engine_message(engine, message),
            Event::StreamNews(owner, news) => self.on_stream_news(owner, news),
            Event::StoreDue => self.on_store_due(),
            Event::Crash(engine) => self.crash(engine),
            Event::Restart(engine) => self.restart(engine),
            Event::RunnerTick => self.on_runner_tick(),
            Event::Runner(input) => self.runner_input(input),
            Event::LedgerAsked(tag, request) => self.on_ledger_asked(tag, request),
            Event::LedgerAnswered(tag, reply) => self.on_ledger_answered(tag, reply),
            Event::LedgerCommit => self.on_ledger_commit(),
            Event::ControlNews(event) => self.on_control_news(event),
            Event::ControlCommit => self.on_control_commit(),
            Event::LeaderTick => self.on_leader_tick(),
            Event::Configuration => self.on_configuration(),
            Event::ProbeTick(node) => self.on_probe_tick(node),
            Event::ProbeRead(node, engine, kind) => self.on_probe_read(node, engine, kind),
            Event::ProbeAnswered(node, server, answer) => {
                self.on_probe_answered(node, &server, answer);
            }
            Event::LiveArrival(node) => self.on_live_arrival(node),
            Event::BaselineScored(number, is_scored) => self.on_baseline_scored(number, is_scored),
            Event::Trained => self.on_trained(),
            Event::PullAgain => self.begin_step(),
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.queue.add(self.now + delay, event);
    }

    fn is_baseline(&self) -> bool {
        self.scenario.options.policy == Policy::Baseline
    }

    /// One way between a node and an engine.
    fn latency(&self, node: usize, engine: usize) -> Duration {
        let node = &self.nodes[node].place.zone;
        self.scenario
            .latency(node, &self.engines[engine].server.zone)
    }
}

fn generators(seed: u64, count: usize, purpose: impl Fn(usize) -> Purpose) -> Vec<ChaCha8Rng> {
    (0..count)
        .map(|index| generator(seed, purpose(index)))
        .collect()
}

fn nodes(scenario: &Scenario, seed: u64) -> Vec<Node> {
    let places = std::iter::once(&scenario.rollout_node).chain(&scenario.live_nodes);
    places
        .enumerate()
        .map(|(index, place)| Node {
            place: place.clone(),
            router: Router::new(
                RouterSettings::default(),
                place.zone.clone(),
                seed.wrapping_mul(31).wrapping_add(index as u64),
            ),
            next_engine: index,
        })
        .collect()
}
