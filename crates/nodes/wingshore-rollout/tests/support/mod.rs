//! Simulation of a small site: nodes with runners, scripted engines, the real ledger and a trainer.

#![allow(dead_code)]

pub mod engines;
#[path = "../../../wingshore-ledger/tests/support/mod.rs"]
pub mod ledger_support;
pub mod trainer;

use engines::{Engines, Event, StreamId};
use ledger_support::Ledger;
use std::collections::BTreeMap;
use std::time::Duration;
use trainer::Trainer;
use wingshore_ledger::samples::{Faults as LedgerFaults, LedgerLeader};
use wingshore_rollout::{
    CacheMoveCosts, CallId, Faults, PoolBinding, RolloutInput, RolloutOutput, RolloutRunner,
    RolloutSettings, ScoreCallId,
};
use wingshore_routing::{Router, RouterSettings};
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Permille, Pool, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::machine::RequestTag;
use wingshore_types::platform::{EngineCompletionRequest, ScoreRequest};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::{Instant, NodeId, PoolId, Revision, Verdict, WeightVersion, ZoneId};

pub const STEP: Duration = Duration::from_millis(10);
pub const STALENESS_BOUND: u64 = 2;
const LATENCY: Duration = Duration::from_millis(5);
const STEPS_PER_PROBE: u64 = 10;
const SLOTS: u32 = 8;

/// An event that a scenario injects into the site.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// An engine crashes: its streams end and new connections are refused.
    Crash(usize),
    /// An engine hangs: it sends nothing but keeps its connections open.
    Freeze(usize),
    /// An engine works normally again.
    Recover(usize),
    /// An engine rejects new requests explicitly.
    Refuse(usize),
    /// An engine drops the chunks of its streams but still sends the final events.
    LoseTokens(usize),
    /// An operator drains an engine.
    Drain(usize),
    /// The ledger's answers are lost (`true`) or arrive again (`false`).
    LoseLedgerAnswers(bool),
    /// The scorer fails (`true`) or answers again (`false`).
    FailScorer(bool),
    /// The ledger's leader changes.
    ChangeLeader,
    /// A node crashes.
    Kill(usize),
    /// A node restarts with a new boot ID.
    Restart(usize),
    /// A planned stop of a node begins.
    Stop(usize),
}

/// A node with its router and its runner.
pub struct Node {
    pub router: Router,
    pub runner: RolloutRunner,
    pub stopped: bool,
    alive: bool,
    boot_id: u64,
    pending_calls: BTreeMap<RequestTag, CallId>,
}

/// Parameters of a simulated site.
#[derive(Clone)]
pub struct SiteSettings {
    pub nodes: usize,
    pub engines: usize,
    pub lease_ms: u64,
    pub faults: Faults,
    pub tune: fn(&mut RolloutSettings),
    pub incidents: Vec<(u64, Incident)>,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            nodes: 2,
            engines: 3,
            lease_ms: 3_000,
            faults: Faults::default(),
            tune: |_| {},
            incidents: Vec::new(),
        }
    }
}

pub struct Site {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub engines: Engines,
    pub ledger: Ledger,
    pub trainer: Trainer,
    settings: SiteSettings,
    configuration: Configuration,
    inputs: BTreeMap<(Instant, u64), (usize, u64, RolloutInput)>,
    sequence: u64,
    steps: u64,
    /// Streams that were still open when the node reported their sample as finished.
    pub leaked_streams: usize,
    lose_ledger_answers: bool,
    fail_scorer: bool,
}

impl Site {
    pub fn new(settings: SiteSettings) -> Self {
        let engines = Engines::new(settings.engines);
        let configuration = configuration(&engines, settings.lease_ms);
        let now = Instant::from_millis(1_000);
        let nodes = (0..settings.nodes)
            .map(|index| node(index, 1, &settings, &configuration))
            .collect();
        let ledger = ledger_support::ledger(LedgerFaults::default());
        let mut site = Self {
            now,
            nodes,
            engines,
            ledger,
            trainer: Trainer::default(),
            settings,
            configuration,
            inputs: BTreeMap::new(),
            sequence: 0,
            steps: 0,
            leaked_streams: 0,
            lose_ledger_answers: false,
            fail_scorer: false,
        };
        site.probe();
        for index in 0..site.nodes.len() {
            site.send_binding(index);
        }
        site
    }

    /// Runs until the trainer has completed `steps` steps; returns false if `limit` passes first.
    pub fn run(&mut self, steps: u64, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end && self.trainer.steps_done() < steps {
            self.advance();
        }
        self.trainer.steps_done() >= steps
    }

    pub fn run_for(&mut self, duration: Duration) {
        self.run(u64::MAX, duration);
    }

    /// Advances the simulation by one step.
    pub fn advance(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        self.ledger.advance_time(STEP);
        self.apply_due_incidents();
        if self.steps.is_multiple_of(STEPS_PER_PROBE) {
            self.probe();
        }
        self.trainer
            .run(self.now, &mut self.ledger, &mut self.engines);
        for (stream, event) in self.engines.advance(self.now) {
            self.queue_event(stream, event);
        }
        self.collect_ledger_answers();
        self.deliver();
        for index in 0..self.nodes.len() {
            self.input(index, RolloutInput::Tick);
        }
    }

    /// Returns the sum of one counter over all nodes.
    pub fn total(&self, counter: impl Fn(&wingshore_rollout::RolloutStatus) -> u64) -> u64 {
        let status = |node: &Node| counter(&node.runner.status());
        self.nodes.iter().map(status).sum()
    }

    pub fn input(&mut self, index: usize, input: RolloutInput) {
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        let mut out = Vec::new();
        node.runner
            .step(self.now, input, &mut node.router, &mut out);
        for output in out {
            self.execute(index, output);
        }
    }

    fn execute(&mut self, index: usize, output: RolloutOutput) {
        match output {
            RolloutOutput::Ledger { call, request } => self.call_ledger(index, call, request),
            RolloutOutput::StartStream {
                attempt,
                server,
                request,
                ..
            } => self.start_stream(index, attempt, &server, &request),
            RolloutOutput::CancelStream { attempt, .. } => {
                let boot_id = self.nodes[index].boot_id;
                self.engines.cancel((index, boot_id, attempt));
            }
            RolloutOutput::CopyCache { attempt, .. } => {
                let is_copied = attempt.0 % 2 == 0;
                self.queue(index, RolloutInput::CacheCopied { attempt, is_copied });
            }
            RolloutOutput::Score { call, request, .. } => self.score(index, call, &request),
            RolloutOutput::Stopped => self.nodes[index].stopped = true,
        }
    }

    fn start_stream(
        &mut self,
        index: usize,
        attempt: wingshore_rollout::AttemptId,
        server: &wingshore_types::ServerId,
        request: &EngineCompletionRequest,
    ) {
        let boot_id = self.nodes[index].boot_id;
        let stream = (index, boot_id, attempt);
        if let Some(event) = self.engines.start(stream, server, request) {
            self.queue_event(stream, event);
        }
    }

    fn call_ledger(&mut self, index: usize, call: CallId, request: LedgerRequest) {
        if let LedgerRequest::Finish { sample, .. } = &request {
            let boot = (index, self.nodes[index].boot_id);
            self.leaked_streams += self.engines.streams_of(boot, sample.0);
        }
        let tag = self.ledger.request(request);
        self.ledger.commit_all();
        if self.lose_ledger_answers {
            let result = Err(Verdict::MayHaveRun);
            return self.queue(index, RolloutInput::Ledger { call, result });
        }
        self.nodes[index].pending_calls.insert(tag, call);
        self.collect_ledger_answers();
    }

    fn collect_ledger_answers(&mut self) {
        for index in 0..self.nodes.len() {
            let waiting = std::mem::take(&mut self.nodes[index].pending_calls);
            for (tag, call) in waiting {
                match self.ledger.replies.remove(&tag) {
                    Some(reply) => self.queue_reply(index, call, reply),
                    None => {
                        self.nodes[index].pending_calls.insert(tag, call);
                    }
                }
            }
        }
    }

    fn queue_reply(&mut self, index: usize, call: CallId, reply: LedgerReply) {
        let result = Ok(reply);
        self.queue(index, RolloutInput::Ledger { call, result });
    }

    fn score(&mut self, index: usize, call: ScoreCallId, request: &ScoreRequest) {
        let result = match self.fail_scorer {
            true => Err(Verdict::MayHaveRun),
            false => Ok(f64::from(request.tokens.len() as u32)),
        };
        self.queue(index, RolloutInput::Scored { call, result });
    }

    fn queue_event(&mut self, (index, boot_id, attempt): StreamId, event: Event) {
        if self.nodes[index].boot_id != boot_id {
            return;
        }
        let input = match event {
            Event::Chunk(tokens, weight_version) => RolloutInput::Chunk {
                attempt,
                tokens,
                weight_version,
            },
            Event::Finished(finish_reason, usage) => RolloutInput::Finished {
                attempt,
                finish_reason,
                usage,
            },
            Event::Ended(end) => RolloutInput::StreamEnded { attempt, end },
        };
        self.queue(index, input);
    }

    fn queue(&mut self, index: usize, input: RolloutInput) {
        self.sequence += 1;
        let key = (self.now + LATENCY, self.sequence);
        let boot_id = self.nodes[index].boot_id;
        self.inputs.insert(key, (index, boot_id, input));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.inputs.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, boot_id, input) = entry.remove();
            if self.nodes[index].boot_id == boot_id {
                self.input(index, input);
            }
        }
    }

    fn probe(&mut self) {
        for node in &mut self.nodes {
            for (server, state) in self.engines.states() {
                match state {
                    Some(state) => node.router.on_engine_state(self.now, &server, &state),
                    None => node.router.on_probe_failed(self.now, &server),
                }
            }
        }
    }

    fn send_binding(&mut self, index: usize) {
        let binding = PoolBinding {
            revision: Revision(3),
            pool: self.configuration.pools[&ledger_support::pool()].clone(),
            model: "small".to_owned(),
        };
        self.input(index, RolloutInput::Pool(Box::new(binding)));
    }

    fn apply_due_incidents(&mut self) {
        let now_ms = self.now.as_millis();
        let incidents = std::mem::take(&mut self.settings.incidents);
        let (due, later): (Vec<_>, Vec<_>) =
            incidents.into_iter().partition(|(at, _)| *at <= now_ms);
        self.settings.incidents = later;
        for (_, incident) in due {
            self.apply_incident(incident);
        }
    }

    pub fn apply_incident(&mut self, incident: Incident) {
        match incident {
            Incident::LoseLedgerAnswers(lost) => self.lose_ledger_answers = lost,
            Incident::FailScorer(failing) => self.fail_scorer = failing,
            Incident::ChangeLeader => {
                let now = Instant::from_millis(7);
                self.ledger.change_leader(LedgerLeader::default(), now);
                self.trainer.forget_requests();
                self.fail_pending_calls();
            }
            Incident::Kill(index) => {
                self.nodes[index].alive = false;
                self.engines.close_node_streams(index);
            }
            Incident::Restart(index) => self.restart(index),
            Incident::Stop(index) => self.input(index, RolloutInput::Stop),
            Incident::Drain(engine) => self.drain(engine),
            engine_incident => {
                for (stream, event) in self.engines.apply_incident(engine_incident) {
                    self.queue_event(stream, event);
                }
            }
        }
    }

    /// Fails the requests in flight at a change of leader with the verdict "may have run".
    fn fail_pending_calls(&mut self) {
        for index in 0..self.nodes.len() {
            for call in std::mem::take(&mut self.nodes[index].pending_calls).into_values() {
                let result = Err(Verdict::MayHaveRun);
                self.queue(index, RolloutInput::Ledger { call, result });
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let boot_id = self.nodes[index].boot_id + 1;
        self.nodes[index] = node(index, boot_id, &self.settings, &self.configuration);
        self.probe();
        self.send_binding(index);
    }

    fn drain(&mut self, engine: usize) {
        let change = ConfigurationChange::SetAdmission {
            server: Engines::id(engine),
            admission: wingshore_types::configuration::Admission::Draining,
        };
        self.configuration
            .apply(&change)
            .expect("the server is configured");
        for node in &mut self.nodes {
            node.router.on_configuration(self.now, &self.configuration);
        }
    }
}

fn node(index: usize, boot_id: u64, settings: &SiteSettings, site: &Configuration) -> Node {
    let mut rollout = RolloutSettings::new(NodeId::new(&format!("node-{index}")), boot_id);
    rollout.stall_timeout = Duration::from_secs(1);
    rollout.first_event_timeout = Duration::from_secs(1);
    rollout.leaving_grace = Duration::from_millis(500);
    // Without a fixed cost, copying is always cheaper than recomputing.
    rollout.cache_moves = CacheMoveCosts {
        copy_base: Duration::ZERO,
        ..CacheMoveCosts::default()
    };
    (settings.tune)(&mut rollout);
    let seed = index as u64;
    let mut router = Router::new(RouterSettings::default(), ZoneId::new("a"), seed);
    router.on_configuration(Instant::from_millis(1_000), site);
    let pool: PoolId = ledger_support::pool();
    Node {
        router,
        runner: RolloutRunner::new(rollout, pool).with_faults(settings.faults),
        stopped: false,
        alive: true,
        boot_id,
        pending_calls: BTreeMap::new(),
    }
}

fn configuration(engines: &Engines, sample_lease_ms: u64) -> Configuration {
    let address = "127.0.0.1:1".parse().expect("address");
    let service = Service {
        id: "fare-lm".into(),
        kind: ServiceKind::Engines {
            model: "small".to_owned(),
        },
        slots_per_server: SLOTS,
        live_share: Permille(250),
        default_deadline_ms: 10_000,
    };
    let pool = Pool {
        id: ledger_support::pool(),
        service: "fare-lm".into(),
        trainer: ledger_support::trainer(),
        staleness_bound: STALENESS_BOUND,
        idle_weight: Permille(500),
        ledger: 0,
        scorer: address,
        weight_store: address,
        swap: SwapPolicy::Automatic,
        max_open_samples: 256,
        sample_lease_ms,
        target_version: WeightVersion(1),
    };
    let mut changes = vec![ConfigurationChange::PutService(service)];
    changes.extend(engines.servers().map(ConfigurationChange::PutServer));
    changes.push(ConfigurationChange::PutPool(pool));
    let mut configuration = Configuration::default();
    for change in changes {
        configuration.apply(&change).expect("the change applies");
    }
    configuration
}
