//! The simulation: time, messages, faults, engines, and the check of the orders that engines
//! receive.

pub mod machine;

use machine::{Fault, Input, LOAD_TIME, MACHINES, MODEL, Machine, configuration, engine_record};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    CoordinationLeader, Effect, EngineStatus, Event, Heartbeat, InstanceId, ModelName,
    ModelVersion, OrderAnswer, Request, WeightOrder,
};
use wingshore_group::{HostInput, HostOutput};
use wingshore_storage::memory::MemoryFileSystem;
use wingshore_types::machine::RequestTag;
use wingshore_types::{Instant, ReplicaId};

const ENGINES: usize = 12;
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Simulated time of a run.
const RUN_TIME: Duration = Duration::from_secs(90);
/// Bound that the users set: two machines do not send orders to one engine within this time.
const ORDER_GAP: Duration = Duration::from_secs(3);
/// Orders that arrive this soon after their sender was resumed or its link restored are not
/// checked.
const RESUME_TOLERANCE: Duration = Duration::from_millis(300);
/// Intervals between new versions, heartbeats and faults.
const VERSION_INTERVAL: Duration = Duration::from_millis(2500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const FAULT_INTERVAL: Duration = Duration::from_millis(4000);
/// How much longer a machine is partitioned from the others than it is suspended.
const PARTITION_AFTER_SUSPENSION: Duration = Duration::from_secs(2);

/// Order in flight, with the machine that sent it.
struct OrderInFlight {
    arrives: Instant,
    order: WeightOrder,
    machine: usize,
}

/// Engine, which carries out every order that matches its count of orders, whichever machine sent
/// it.
struct Engine {
    version: u64,
    loading: Option<(Instant, u64)>,
    orders: u64,
    /// Last checked order: its time, machine and fence.
    last: Option<(Instant, usize, u64)>,
}

/// Site of machines and engines.
pub struct Simulation {
    now: Instant,
    random: StdRng,
    fault: Fault,
    machines: Vec<Machine>,
    engines: BTreeMap<InstanceId, Engine>,
    in_flight: Vec<OrderInFlight>,
    next_tag: u64,
    version: u64,
    sequence: u64,
    /// Number of checked orders.
    pub counted: usize,
    /// Machines that sent checked orders.
    pub holders: BTreeSet<usize>,
}

impl Simulation {
    pub fn new(seed: u64, fault: Fault) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let machines = (0..MACHINES).map(|_| Machine {
            disk: MemoryFileSystem::new(),
            running: None,
            drift: random.random_range(-10..=10),
            counts_suspensions: fault != Fault::StoppedClock,
            suspended: Duration::ZERO,
            starts_at: Instant::ZERO,
            frozen_until: Instant::ZERO,
            partitioned_until: Instant::ZERO,
            engines_unreachable_until: Instant::ZERO,
            inbox: Vec::new(),
            held_orders: Vec::new(),
        });
        let machines = machines.collect();
        let engines = (0..ENGINES).map(|number| {
            let engine = Engine {
                version: 1,
                loading: None,
                orders: 0,
                last: None,
            };
            (InstanceId::from(format!("e{number}")), engine)
        });
        Self {
            now: Instant::ZERO,
            engines: engines.collect(),
            machines,
            random,
            fault,
            in_flight: Vec::new(),
            next_tag: 0,
            version: 1,
            sequence: 0,
            counted: 0,
            holders: BTreeSet::new(),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// Runs the simulation; returns the first violation as an error.
    pub fn run(&mut self) -> Result<(), String> {
        let end = Instant::ZERO + RUN_TIME;
        let (mut versions, mut heartbeats) = (Instant::ZERO, Instant::ZERO);
        let mut faults = Instant::ZERO + Duration::from_secs(6);
        while self.now < end {
            self.now = self.now + STEP;
            if self.now >= heartbeats {
                heartbeats = self.now + HEARTBEAT_INTERVAL;
                self.send_heartbeats();
            }
            if self.now >= versions {
                versions = self.now + VERSION_INTERVAL;
                self.name_version();
            }
            if self.now >= faults {
                faults = self.now + FAULT_INTERVAL;
                self.inject_fault();
            }
            self.deliver_orders()?;
            for machine in 0..MACHINES {
                self.run_machine(machine);
            }
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        let machine = self.random.random_range(0..MACHINES);
        // The leader is preferred, since only it can send wrong orders.
        let leader = (0..MACHINES).find(|index| {
            let running = self.machines[*index].running.as_ref();
            running.is_some_and(|(host, _)| host.is_leader())
        });
        let machine = if self.random.random_bool(0.6) {
            leader.unwrap_or(machine)
        } else {
            machine
        };
        let until = self.now + self.millis(200..8000);
        let down = self.now + self.millis(100..1500);
        let now = self.now;
        let seed = self.random.random();
        let target = &mut self.machines[machine];
        let kind = self.random.random_range(0..7);
        match kind {
            0 => {
                target.running = None;
                target.inbox.clear();
                target.held_orders.clear();
                target.disk.restart(seed);
                target.starts_at = down;
            }
            1 | 2 => target.frozen_until = target.frozen_until.max(until),
            3 => target.partitioned_until = target.partitioned_until.max(until),
            4 => target.engines_unreachable_until = target.engines_unreachable_until.max(until),
            5 => target.suspend(now, until),
            _ => {
                // It is partitioned from the others a little longer than it is suspended.
                target.suspend(now, until);
                target.partitioned_until = target
                    .partitioned_until
                    .max(until + PARTITION_AFTER_SUSPENSION);
            }
        }
        if kind != 4 {
            self.report_lost_machine(machine);
        }
    }

    /// Reports to the others that their connections to a machine have ended.
    fn report_lost_machine(&mut self, lost: usize) {
        let at = self.now + self.millis(1..1500);
        for (index, machine) in self.machines.iter_mut().enumerate() {
            if index != lost {
                let event = Event::CoordinatorsLost(vec![format!("machine-{lost}")]);
                machine.inbox.push((at, Input::Event(event)));
            }
        }
    }

    fn request_from_leaders(&mut self, request: &Request) {
        for machine in &mut self.machines {
            let is_leader = machine
                .running
                .as_ref()
                .is_some_and(|(host, _)| host.is_leader());
            if is_leader {
                machine
                    .inbox
                    .push((self.now, Input::Request(request.clone())));
            }
        }
    }

    fn send_heartbeats(&mut self) {
        self.request_from_leaders(&Request::PutConfiguration(Arc::new(configuration())));
        for number in 0..ENGINES {
            self.sequence += 1;
            let version = self.engines[&InstanceId::from(format!("e{number}"))].version;
            let heartbeat = Heartbeat {
                server: engine_record(number, version),
                sequence: self.sequence,
            };
            self.request_from_leaders(&Request::Heartbeat(heartbeat));
        }
    }

    fn name_version(&mut self) {
        self.version += 1;
        self.request_from_leaders(&Request::NameVersion {
            model: ModelName::from(MODEL),
            version: self.version,
        });
    }

    fn run_machine(&mut self, index: usize) {
        let now = self.now;
        let seed = self.random.random();
        let fault = self.fault;
        let machine = &mut self.machines[index];
        if machine.running.is_none() && now >= machine.starts_at {
            machine.start(index, now, fault, seed);
        }
        if !machine.is_awake(now) {
            return;
        }
        // Orders for which the lease was checked before the suspension are sent now.
        for order in std::mem::take(&mut machine.held_orders) {
            self.send_order(index, order);
        }
        let machine = &mut self.machines[index];
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut machine.inbox)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        machine.inbox = later;
        let local = machine.local_time(now);
        let Some((host, _)) = &mut machine.running else {
            return;
        };
        let mut inputs: Vec<HostInput<CoordinationLeader>> = Vec::new();
        for (_, input) in due {
            inputs.push(match input {
                Input::Consensus(from, message) => HostInput::Consensus { from, message },
                Input::Persisted(token) => HostInput::Persisted { token },
                Input::Event(event) => HostInput::Event(event),
                Input::Request(request) => {
                    self.next_tag += 1;
                    let tag = RequestTag(self.next_tag);
                    HostInput::Request { tag, request }
                }
            });
        }
        if local >= host.next_tick() {
            inputs.push(HostInput::Tick);
        }
        let mut outputs = Vec::new();
        host.step_all(local, inputs, &mut outputs);
        for output in outputs {
            self.execute_output(index, output);
        }
    }

    fn execute_output(&mut self, index: usize, output: HostOutput<CoordinationLeader>) {
        match output {
            HostOutput::Send { to, message } => {
                let target = to.0 as usize - 1;
                let is_partitioned = self.machines[index].partitioned_until > self.now
                    || self.machines[target].partitioned_until > self.now;
                if !is_partitioned {
                    let at = self.now + self.millis(1..15);
                    let from = ReplicaId(index as u64 + 1);
                    let input = Input::Consensus(from, message);
                    self.machines[target].inbox.push((at, input));
                }
            }
            HostOutput::Write { token, batch } => {
                let at = self.now + self.millis(1..12);
                let machine = &mut self.machines[index];
                if let Some((_, store)) = &mut machine.running {
                    store.write(&batch).expect("the disk works");
                }
                machine.inbox.push((at, Input::Persisted(token)));
            }
            HostOutput::Effect(Effect::Order(order)) => self.check_lease_and_send(index, order),
            HostOutput::Effect(Effect::PollEngine { instance, .. }) => {
                self.report(index, &instance);
            }
            HostOutput::Failed(error) => panic!("machine {index} cannot go on: {error}"),
            _ => {}
        }
    }

    /// Checks the lease right before it sends the order, as the process of a coordinator does.
    fn check_lease_and_send(&mut self, index: usize, order: WeightOrder) {
        let is_suspended_now = self.random.random_bool(0.05);
        let until = self.now + self.millis(300..4500);
        let machine = &mut self.machines[index];
        let local = machine.local_time(self.now);
        let holds_lease = machine
            .running
            .as_ref()
            .is_some_and(|(host, _)| host.holds_lease(local));
        if !holds_lease {
            let event = Event::WeightOrderAnswered {
                instance: order.instance,
                answer: OrderAnswer::Refused,
            };
            machine.inbox.push((self.now, Input::Event(event)));
        } else if is_suspended_now {
            machine.suspend(self.now, until);
            machine.held_orders.push(order);
        } else {
            self.send_order(index, order);
        }
    }

    fn send_order(&mut self, index: usize, order: WeightOrder) {
        let unreachable_until = self.machines[index].engines_unreachable_until;
        let arrives = self.now.max(unreachable_until) + self.millis(1..20);
        self.in_flight.push(OrderInFlight {
            arrives,
            order,
            machine: index,
        });
    }

    fn report(&mut self, index: usize, instance: &InstanceId) {
        let at = self.now + self.millis(2..30);
        let is_partitioned = self.machines[index].engines_unreachable_until > self.now;
        let engine = &self.engines[instance];
        let report = EngineStatus {
            models: vec![ModelVersion {
                model: ModelName::from(MODEL),
                version: engine.version,
            }],
            busy: engine.loading.is_some(),
            sequence: engine.orders,
        };
        let event = Event::EnginePolled {
            instance: instance.clone(),
            report: (!is_partitioned).then_some(report),
        };
        self.machines[index].inbox.push((at, Input::Event(event)));
    }

    fn deliver_orders(&mut self) -> Result<(), String> {
        let now = self.now;
        for engine in self.engines.values_mut() {
            if let Some((_, version)) = engine.loading.take_if(|(at, _)| *at <= now) {
                engine.version = engine.version.max(version);
            }
        }
        let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|order| order.arrives <= now);
        self.in_flight = later;
        due.sort_by_key(|order| order.arrives);
        for order in due {
            self.check(&order)?;
            self.receive_order(&order);
        }
        Ok(())
    }

    /// Checks what an engine receives: fences never decrease, and the orders of two machines are at
    /// least [`ORDER_GAP`] apart.
    fn check(&mut self, in_flight: &OrderInFlight) -> Result<(), String> {
        let OrderInFlight {
            arrives,
            order,
            machine,
        } = in_flight;
        let sender = &self.machines[*machine];
        let exempt_until =
            sender.frozen_until.max(sender.engines_unreachable_until) + RESUME_TOLERANCE;
        let is_exempt = *arrives < exempt_until && exempt_until > Instant::ZERO + RESUME_TOLERANCE;
        if is_exempt {
            return Ok(());
        }
        self.counted += 1;
        self.holders.insert(*machine);
        let Some(engine) = self.engines.get_mut(&order.instance) else {
            return Ok(());
        };
        let fence = order.fence.0;
        if let Some((last, holder, last_fence)) = engine.last {
            let gap = arrives.since(last);
            if fence < last_fence {
                return Err(format!(
                    "{}: fence {fence} after {last_fence}",
                    order.instance
                ));
            }
            if holder != *machine && (gap < ORDER_GAP || fence == last_fence) {
                return Err(format!(
                    "{}: machine {machine} {gap:?} after machine {holder}, fence {fence} after {last_fence}",
                    order.instance
                ));
            }
        }
        engine.last = Some((*arrives, *machine, fence));
        Ok(())
    }

    /// Carries out an order, now or seconds later; its expected count of orders is checked at that
    /// time.
    fn receive_order(&mut self, in_flight: &OrderInFlight) {
        let OrderInFlight { order, machine, .. } = in_flight;
        let answer_at = self.now + self.millis(1..20);
        let is_late = self.random.random_bool(0.1);
        let late_at = self.now + self.millis(2000..12_000);
        let load_until = self.now + LOAD_TIME;
        let Some(engine) = self.engines.get_mut(&order.instance) else {
            return;
        };
        let answer = if is_late {
            // Left unanswered; carried out later if nothing has changed since.
            if engine.orders == order.expected_sequence {
                engine.loading.get_or_insert((late_at, order.version));
            }
            OrderAnswer::Unknown
        } else if engine.orders != order.expected_sequence {
            OrderAnswer::Conflict
        } else {
            engine.orders += 1;
            engine.loading = Some((load_until, order.version));
            OrderAnswer::Accepted
        };
        let event = Event::WeightOrderAnswered {
            instance: order.instance.clone(),
            answer,
        };
        let machine = &mut self.machines[*machine];
        machine.inbox.push((answer_at, Input::Event(event)));
    }
}
