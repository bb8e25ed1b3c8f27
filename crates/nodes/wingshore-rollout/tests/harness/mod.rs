//! Test harness that feeds inputs to a runner one by one, with a router that knows two engines.
#![allow(dead_code)]

use std::time::Duration;
use wingshore_rollout::{
    AttemptId, CallId, PoolBinding, RolloutInput, RolloutOutput, RolloutRunner, RolloutSettings,
};
use wingshore_routing::{Router, RouterSettings};
use wingshore_types::configuration::{
    Admission, Configuration, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind,
    SwapPolicy,
};
use wingshore_types::platform::{EngineCompletionRequest, EngineState, FinishReason, Usage};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, SampleLease};
use wingshore_types::{
    Generation, Instant, LeaseId, NodeId, PoolId, Prompt, Revision, SampleNumber, ServerId,
    WeightVersion,
};

pub const SLOTS: u32 = 4;
pub const LEASE_MS: u64 = 3_000;

/// A runner with its router, the simulated time and the outputs so far.
pub struct Harness {
    pub now: Instant,
    pub runner: RolloutRunner,
    pub router: Router,
    pub out: Vec<RolloutOutput>,
}

impl Harness {
    /// Creates a runner that has its pool's configuration, with two engines that serve version 5.
    pub fn new(tune: impl Fn(&mut RolloutSettings)) -> Self {
        let mut settings = RolloutSettings::new(NodeId::new("node"), 1);
        tune(&mut settings);
        let mut router = Router::new(RouterSettings::default(), "a".into(), 1);
        let configuration = configuration();
        let now = Instant::from_millis(1_000);
        router.on_configuration(now, &configuration);
        let mut harness = Self {
            now,
            runner: RolloutRunner::new(settings, PoolId::new("pool")),
            router,
            out: Vec::new(),
        };
        harness.report_states(5);
        harness.input(RolloutInput::Pool(Box::new(binding(1, 5))));
        harness
    }

    pub fn input(&mut self, input: RolloutInput) {
        let router = &mut self.router;
        self.runner.step(self.now, input, router, &mut self.out);
    }

    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.input(RolloutInput::Tick);
        }
    }

    pub fn report_states(&mut self, version: u64) {
        for server in ["x", "y"] {
            let state = engine_state(version);
            let server = ServerId::new(server);
            self.router.on_engine_state(self.now, &server, &state);
        }
    }

    /// Returns and clears the outputs so far.
    pub fn take_outputs(&mut self) -> Vec<RolloutOutput> {
        std::mem::take(&mut self.out)
    }

    /// Returns the latest ledger call whose request satisfies `wanted`.
    pub fn find_call(&self, wanted: impl Fn(&LedgerRequest) -> bool) -> Option<CallId> {
        let calls = self.out.iter().rev().filter_map(|output| match output {
            RolloutOutput::Ledger { call, request } if wanted(request) => Some(*call),
            _ => None,
        });
        calls.into_iter().next()
    }

    pub fn answer_call(&mut self, wanted: impl Fn(&LedgerRequest) -> bool, reply: LedgerReply) {
        let call = self.find_call(wanted).expect("a matching ledger call");
        let result = Ok(reply);
        self.input(RolloutInput::Ledger { call, result });
    }

    /// Answers the latest lease request.
    pub fn grant_leases(&mut self, leases: Vec<SampleLease>) {
        let is_lease = |request: &LedgerRequest| matches!(request, LedgerRequest::Lease { .. });
        self.answer_call(is_lease, LedgerReply::Leases(leases));
    }

    pub fn streams(&self) -> Vec<(AttemptId, ServerId, EngineCompletionRequest)> {
        let streams = self.out.iter().filter_map(|output| match output {
            RolloutOutput::StartStream {
                attempt,
                server,
                request,
                ..
            } => Some((*attempt, server.clone(), request.as_ref().clone())),
            _ => None,
        });
        streams.collect()
    }

    pub fn cancelled(&self) -> Vec<AttemptId> {
        let cancelled = self.out.iter().filter_map(|output| match output {
            RolloutOutput::CancelStream { attempt, .. } => Some(*attempt),
            _ => None,
        });
        cancelled.collect()
    }

    pub fn chunk(&mut self, attempt: AttemptId, version: u64, tokens: &[u32]) {
        self.input(RolloutInput::Chunk {
            attempt,
            tokens: tokens.to_vec(),
            weight_version: WeightVersion(version),
        });
    }

    pub fn finished(&mut self, attempt: AttemptId, completion_tokens: u32) {
        let usage = Usage {
            completion_tokens,
            ..Usage::default()
        };
        self.input(RolloutInput::Finished {
            attempt,
            finish_reason: FinishReason::Stop,
            usage,
        });
    }

    pub fn finish_reports(&self) -> Vec<(u64, Generation)> {
        let finishes = self.out.iter().filter_map(|output| match output {
            RolloutOutput::Ledger {
                request:
                    LedgerRequest::Finish {
                        sample, generation, ..
                    },
                ..
            } => Some((sample.0, generation.clone())),
            _ => None,
        });
        finishes.collect()
    }
}

pub fn is_finish(request: &LedgerRequest) -> bool {
    matches!(request, LedgerRequest::Finish { .. })
}

pub fn sample_lease(number: u64, max_tokens: u32, oldest_useful: u64) -> SampleLease {
    SampleLease {
        lease: LeaseId(number),
        prompt: Prompt {
            number: SampleNumber(number),
            tokens: vec![1, 2, 3],
            max_tokens,
            seed: number,
        },
        partial: Generation::default(),
        oldest_useful: WeightVersion(oldest_useful),
        duration_ms: LEASE_MS,
    }
}

pub fn engine_state(version: u64) -> EngineState {
    EngineState {
        boot_id: 1,
        role: "rollout".to_owned(),
        models: vec!["small".to_owned()],
        weight_version: Some(WeightVersion(version)),
        loading: None,
        last_order: None,
        draining: false,
        in_flight: 0,
        queue: 0,
        kv_free: 1 << 20,
    }
}

pub fn binding(revision: u64, target_version: u64) -> PoolBinding {
    let mut pool = configuration().pools[&PoolId::new("pool")].clone();
    pool.target_version = WeightVersion(target_version);
    PoolBinding {
        revision: Revision(revision),
        pool,
        model: "small".to_owned(),
    }
}

pub fn configuration() -> Configuration {
    let address = "127.0.0.1:1".parse().expect("address");
    let server = |id: &str| Server {
        id: id.into(),
        service: "lm".into(),
        address,
        zone: "a".into(),
        admission: Admission::Open,
    };
    let changes = [
        ConfigurationChange::PutService(Service {
            id: "lm".into(),
            kind: ServiceKind::Engines {
                model: "small".to_owned(),
            },
            slots_per_server: SLOTS,
            live_share: Permille(0),
            default_deadline_ms: 10_000,
        }),
        ConfigurationChange::PutServer(server("x")),
        ConfigurationChange::PutServer(server("y")),
        ConfigurationChange::PutPool(Pool {
            id: "pool".into(),
            service: "lm".into(),
            trainer: "trainer".into(),
            staleness_bound: 2,
            idle_weight: Permille(500),
            ledger: 0,
            scorer: address,
            weight_store: address,
            swap: SwapPolicy::Automatic,
            max_open_samples: 100,
            sample_lease_ms: LEASE_MS,
            target_version: WeightVersion(5),
        }),
    ];
    let mut configuration = Configuration::default();
    for change in &changes {
        configuration.apply(change).expect("the change applies");
    }
    configuration
}
