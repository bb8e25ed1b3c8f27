//! Measures the control group's state and leader at a fleet's size: bytes of state, time to apply
//! commands, to encode and to restore a snapshot, and the cost of watches and ticks.
//!
//! `cargo run --release -p wingshore-control --example control_capacity -- 10000 1900`

use std::error::Error;
use std::net::SocketAddr;
use std::time::Instant as Clock;
use wingshore_control::{
    CommandReply, ControlCommand, ControlEffect, ControlEvent, ControlLeader, ControlState,
    StepResult,
};
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::ids::{Epoch, IntentId, LogIndex, NodeId, Revision, ServerId, WeightVersion};
use wingshore_types::machine::{LeaderMachine, LeaderOutput, ReplicatedState, RequestTag};
use wingshore_types::platform::EngineState;
use wingshore_types::protocol::control::{
    ControlReply, ControlRequest, Intent, NodeAcknowledgement, Plan, WatchRequest,
};
use wingshore_types::{Instant, PlanId};

/// Servers of one service; each service has a pool.
const SERVERS_PER_SERVICE: u32 = 320;
/// Times that a cheap operation is repeated for a mean.
const REPEATS: u32 = 1_000;
/// Ticks in a second.
const TICKS_PER_SECOND: u32 = 10;

type Failure = Box<dyn Error>;

fn main() -> Result<(), Failure> {
    let mut arguments = std::env::args().skip(1);
    let servers: u32 = arguments.next().map_or(Ok(10_000), |text| text.parse())?;
    let nodes: u32 = arguments.next().map_or(Ok(1_900), |text| text.parse())?;
    let mut bench = Bench::default();
    println!("servers {servers}, nodes {nodes}");
    bench.put_site(servers)?;
    bench.measure_snapshot("configuration only")?;
    bench.measure_commands()?;
    bench.measure_snapshot("with plans, answers and history")?;
    bench.measure_leader(nodes)?;
    Ok(())
}

#[derive(Default)]
struct Bench {
    state: ControlState,
    last_intent: u128,
    last_index: u64,
}

impl Bench {
    fn apply(&mut self, command: ControlCommand) -> Result<ControlReply, Failure> {
        self.last_index += 1;
        match self.state.apply(LogIndex(self.last_index), command) {
            CommandReply::Answer(reply) => Ok(*reply),
            CommandReply::Recorded => Err("a client's command has no answer".into()),
        }
    }

    fn intent(&mut self) -> IntentId {
        self.last_intent += 1;
        IntentId(self.last_intent << 64 | self.last_intent.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn propose(&mut self, intent: Intent) -> Result<Plan, Failure> {
        let intent_id = self.intent();
        let command = ControlCommand::Propose {
            intent_id,
            base_revision: None,
            intent,
        };
        match self.apply(command)? {
            ControlReply::Plan(plan) => Ok(*plan),
            other => Err(format!("no plan: {other:?}").into()),
        }
    }

    fn confirm(&mut self, plan: PlanId) -> Result<ControlReply, Failure> {
        let intent_id = self.intent();
        self.apply(ControlCommand::Confirm { intent_id, plan })
    }

    fn put_site(&mut self, servers: u32) -> Result<(), Failure> {
        let services = servers.div_ceil(SERVERS_PER_SERVICE);
        let mut changes = Vec::new();
        for number in 0..services {
            changes.push(ConfigurationChange::PutService(service(number)));
        }
        for number in 0..servers {
            changes.push(ConfigurationChange::PutServer(server(number)));
        }
        for number in 0..services {
            changes.push(ConfigurationChange::PutPool(pool(number)));
        }
        let count = changes.len();
        let started = Clock::now();
        let plan = self.propose(Intent::Apply(changes))?.id;
        println!(
            "propose {count} changes as one plan: {} us",
            started.elapsed().as_micros()
        );
        let started = Clock::now();
        self.confirm(plan)?;
        println!("confirm them: {} us", started.elapsed().as_micros());
        let revision = self.state.configuration().revision;
        self.state.apply(
            LogIndex(self.last_index),
            ControlCommand::AdvancePlan {
                plan,
                step: count as u32,
                result: StepResult::InForce(revision),
            },
        );
        Ok(())
    }

    fn measure_commands(&mut self) -> Result<(), Failure> {
        let mut plans = Vec::new();
        let servers = self.state.configuration().servers.len() as u32;
        let before = self.state.snapshot().len();
        let started = Clock::now();
        for number in 0..REPEATS.min(servers) {
            plans.push(self.propose(Intent::Drain(server_name(number)))?.id);
        }
        let drains = plans.len() as u32;
        print_mean("propose a drain", started, drains);
        let with_open = self.state.snapshot().len();
        println!(
            "an open plan and its answer: {} bytes",
            (with_open - before) / plans.len()
        );
        let started = Clock::now();
        for plan in &plans {
            self.confirm(*plan)?;
        }
        print_mean("confirm a drain, with so many plans open", started, drains);
        let started = Clock::now();
        for plan in &plans {
            let intent_id = self.intent();
            self.apply(ControlCommand::Cancel {
                intent_id,
                plan: *plan,
            })?;
        }
        print_mean("cancel a drain", started, drains);
        let before = self.state.snapshot().len();
        let started = Clock::now();
        for version in 2..2 + REPEATS {
            let intent_id = self.intent();
            self.apply(ControlCommand::Publish {
                intent_id,
                pool: pool(0).id,
                version: WeightVersion(u64::from(version)),
            })?;
        }
        print_mean("publish a version", started, REPEATS);
        let after = self.state.snapshot().len();
        let grown = after.saturating_sub(before) / REPEATS as usize;
        println!("a publication, with its answer and its change in the history: {grown} bytes");
        Ok(())
    }

    fn measure_snapshot(&self, what: &str) -> Result<(), Failure> {
        let started = Clock::now();
        let bytes = self.state.snapshot();
        let encode = started.elapsed().as_micros();
        let started = Clock::now();
        ControlState::restore(&bytes).map_err(|error| error.message)?;
        let restore = started.elapsed().as_micros();
        let configuration = self.state.configuration();
        let servers = configuration.servers.len();
        let alone = postcard::to_stdvec(configuration)?.len();
        println!(
            "configuration alone: {alone} bytes, {} a server",
            alone / servers.max(1)
        );
        println!(
            "snapshot, {what}: {} bytes, {} a server; encoded in {encode} us, restored in {restore} us",
            bytes.len(),
            bytes.len() / servers.max(1)
        );
        Ok(())
    }

    fn measure_leader(&self, nodes: u32) -> Result<(), Failure> {
        let mut leader = ControlLeader::default();
        let mut now = Instant::from_millis(1_000);
        let mut out = Vec::new();
        leader.on_leadership(now, Epoch(1), &self.state, &mut out);
        let revision = self.state.configuration().revision;
        let started = Clock::now();
        for number in 0..nodes {
            let watch = watch(number, revision);
            leader.on_request(
                now,
                RequestTag(u64::from(number)),
                watch,
                &self.state,
                &mut out,
            );
        }
        print_mean("take in a watch", started, nodes);
        let mut reads = 0;
        let mut orders = 0;
        let started = Clock::now();
        let seconds = 30;
        for _ in 0..seconds * TICKS_PER_SECOND {
            now = Instant::from_millis(now.as_millis() + 1_000 / u64::from(TICKS_PER_SECOND));
            leader.on_tick(now, &self.state, &mut out);
            for output in std::mem::take(&mut out) {
                let Some(event) = answer(now, output, &mut reads, &mut orders) else {
                    continue;
                };
                leader.on_event(now, event, &self.state, &mut out);
            }
        }
        let microseconds = started.elapsed().as_micros() / u128::from(seconds);
        println!(
            "leader at rest: {microseconds} us of processor time in a second, {} reads in a second, {orders} orders",
            reads / seconds
        );
        Ok(())
    }
}

/// Engines answer at once; they have the version that is wanted.
fn answer(
    now: Instant,
    output: LeaderOutput<ControlCommand, ControlReply, ControlEffect>,
    reads: &mut u32,
    orders: &mut u32,
) -> Option<ControlEvent> {
    match output {
        LeaderOutput::Effect(ControlEffect::ReadState { server, .. }) => {
            *reads += 1;
            let first_service = server < server_name(SERVERS_PER_SERVICE);
            let version = if first_service {
                u64::from(REPEATS) + 1
            } else {
                1
            };
            Some(ControlEvent::StateRead {
                server,
                asked_at: now,
                state: Ok(engine_state(version)),
            })
        }
        LeaderOutput::Effect(_) => {
            *orders += 1;
            None
        }
        LeaderOutput::Propose { .. } | LeaderOutput::Reply { .. } => None,
    }
}

fn print_mean(what: &str, started: Clock, count: u32) {
    let nanoseconds = started.elapsed().as_nanos() / u128::from(count.max(1));
    println!("{what}: {nanoseconds} ns, mean of {count}");
}

fn watch(number: u32, revision: Revision) -> ControlRequest {
    ControlRequest::Watch(WatchRequest {
        have: revision,
        acknowledgements: vec![NodeAcknowledgement {
            node: NodeId::new(&format!("node-{number:05}")),
            boot_id: 1,
            in_force: revision,
        }],
        wait_ms: 2_000,
    })
}

fn server_name(number: u32) -> ServerId {
    ServerId::new(&format!("engine-{number:05}"))
}

fn service(number: u32) -> Service {
    Service {
        id: format!("model-{number:03}").as_str().into(),
        kind: ServiceKind::Engines {
            model: format!("model-{number:03}"),
        },
        slots_per_server: 32,
        live_share: Permille(500),
        default_deadline_ms: 30_000,
    }
}

fn server(number: u32) -> Server {
    let [_, high, middle, low] = number.to_be_bytes();
    Server {
        id: server_name(number),
        service: service(number / SERVERS_PER_SERVICE).id,
        address: SocketAddr::from(([10, high, middle, low], 8000)),
        zone: format!("zone-{:02}", number % 43).as_str().into(),
        admission: Admission::Open,
    }
}

fn pool(number: u32) -> Pool {
    Pool {
        id: format!("pool-{number:03}").as_str().into(),
        service: service(number).id,
        trainer: format!("trainer-{number:03}").as_str().into(),
        staleness_bound: 4,
        idle_weight: Permille(300),
        ledger: 0,
        scorer: SocketAddr::from(([192, 168, 0, 2], 9000)),
        weight_store: SocketAddr::from(([192, 168, 0, 1], 9000)),
        swap: SwapPolicy::Automatic,
        max_open_samples: 65_536,
        sample_lease_ms: 10_000,
        target_version: WeightVersion(1),
    }
}

fn engine_state(version: u64) -> EngineState {
    EngineState {
        boot_id: 1,
        role: "rollout".to_owned(),
        models: vec![],
        weight_version: Some(WeightVersion(version)),
        loading: None,
        last_order: None,
        draining: false,
        in_flight: 0,
        queue: 0,
        kv_free: 0,
    }
}
