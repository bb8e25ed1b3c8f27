//! Servers, gateways, callers and faults of one drawn run.

use super::group::Group;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    Event, FingerprintKey, GatewayId, InstanceId, ObservedCrash, RequestContent,
    RequestFingerprint, ServerRecord, ServiceName, Suspect, ViewChange,
};
use wingshore_gateway::CrashWatch;
use wingshore_types::Instant;

const STEP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(20);
/// A stream that has brought events for this long is innocent, as the gateway has it.
const INNOCENT_AFTER: Duration = Duration::from_secs(1);
/// One that was sent a moment before the connection was lost did not run, as the gateway has it.
const GUILTY_FROM: Duration = Duration::from_millis(2);
/// The users' bound: sends later than this after the third ending are counted.
const CONTACT: Duration = Duration::from_secs(3);
/// Under way from a gateway to the leader, and back.
const WAY: Duration = Duration::from_millis(20);
/// The ending from which sends are counted.
const THIRD: u64 = 3;
/// Servers that one attempt of a caller reaches at the most.
const SENDS_OF_AN_ATTEMPT: u32 = 2;
/// An item is sent until it is whole.
const SENDS_OF_AN_ITEM: u32 = u32::MAX;
/// Between times at which the leader looks.
const TICK_STEPS: u64 = 3;

/// What is drawn.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Chance {
    NoCrashingRequest,
    OneCrashingRequest,
}

/// What came of a run.
#[derive(Default)]
pub struct End {
    pub innocents_rejected: usize,
    pub ended_by_it: u64,
    pub late_sends: usize,
    pub evidence: u64,
}

/// A request that a server runs.
struct Running {
    request: RequestFingerprint,
    gateway: usize,
    begun: Instant,
    until: Instant,
    /// Whether it has run for so long that it cleared itself.
    innocent: bool,
    /// Sends of this attempt of the caller that are left.
    sends_left: u32,
}

struct Server {
    address: SocketAddr,
    run: u64,
    up: bool,
    back_at: Instant,
    draining: bool,
    running: Vec<Running>,
}

struct Gateway {
    watch: CrashWatch,
    told: BTreeMap<RequestFingerprint, Suspect>,
}

pub struct Run {
    random: StdRng,
    now: Instant,
    chance: Chance,
    group: Group,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    /// Messages to the leader and when they arrive.
    to_leader: Vec<(Instant, Event)>,
    /// Changes that gateways get, and when.
    to_gateways: Vec<(Instant, ViewChange)>,
    crashing: RequestFingerprint,
    next_request: u64,
    slots: usize,
    crash_rate: f64,
    fault_rate: f64,
    crashing_at: Instant,
    third_ending: Option<Instant>,
    end: End,
}

fn fingerprint(number: u64) -> RequestFingerprint {
    let content = RequestContent {
        method: "POST",
        host: "h",
        target: "/",
        caller: b"",
        body: &number.to_le_bytes(),
    };
    content.fingerprint(FingerprintKey::new([1; 16]))
}

impl Run {
    pub fn new(seed: u64, chance: Chance) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let servers = random.random_range(3..12);
        let gateways = random.random_range(2..7);
        let slots = random.random_range(1..=16);
        let crash_rate = random.random_range(0.0..0.01);
        let fault_rate = random.random_range(0.0..0.02);
        let servers = (0..servers).map(|index: u8| Server {
            address: SocketAddr::from(([10, 0, 0, index + 1], 80)),
            run: 0,
            up: true,
            back_at: Instant::ZERO,
            draining: false,
            running: Vec::new(),
        });
        let gateways = (0..gateways).map(|_| Gateway {
            watch: CrashWatch::default(),
            told: BTreeMap::new(),
        });
        let mut run = Self {
            now: Instant::ZERO,
            chance,
            group: Group::new(Instant::ZERO),
            servers: servers.collect(),
            gateways: gateways.collect(),
            to_leader: Vec::new(),
            to_gateways: Vec::new(),
            crashing: fingerprint(0),
            next_request: 1,
            slots,
            crash_rate,
            fault_rate,
            crashing_at: Instant::ZERO + Duration::from_secs(1),
            third_ending: None,
            end: End::default(),
            random,
        };
        for index in 0..run.servers.len() {
            run.register(index);
        }
        run
    }

    fn instance(&self, index: usize) -> InstanceId {
        InstanceId::from(format!("s{index}-{}", self.servers[index].run))
    }

    fn register(&mut self, index: usize) {
        let record = ServerRecord {
            instance: self.instance(index),
            service: ServiceName::from("s"),
            address: self.servers[index].address,
            zone: "z".to_owned(),
            slots: 16,
            draining: self.servers[index].draining,
            reclaimable: false,
            models: Vec::new(),
        };
        self.group.register(self.now, record);
    }

    pub fn play(mut self) -> End {
        let end = Instant::ZERO + LENGTH;
        let mut step = 0;
        while self.now < end {
            self.now = self.now + STEP;
            step += 1;
            self.restart_servers();
            self.deliver();
            if step % TICK_STEPS == 0 {
                self.group.tick(self.now);
            }
            self.tell_gateways();
            self.clear_long_runs();
            self.end_runs();
            self.begin_runs();
            self.strike();
            for gateway in &mut self.gateways {
                gateway.watch.expire(self.now);
            }
        }
        self.end
    }

    fn restart_servers(&mut self) {
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if !server.up && self.now >= server.back_at {
                server.up = true;
                server.draining = false;
                server.run += 1;
                self.register(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.to_leader.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Event> = due.map(|(_, event)| event).collect();
        for event in due {
            self.group.event(now, event);
        }
    }

    fn tell_gateways(&mut self) {
        let arrives = self.now + WAY;
        let told = std::mem::take(&mut self.group.told);
        self.to_gateways
            .extend(told.into_iter().map(|change| (arrives, change)));
        let now = self.now;
        let due = self.to_gateways.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<ViewChange> = due.map(|(_, change)| change).collect();
        for change in due {
            for gateway in 0..self.gateways.len() {
                self.take_change(gateway, &change);
            }
        }
    }

    /// As the gateway's process does it.
    fn take_change(&mut self, index: usize, change: &ViewChange) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        match change {
            ViewChange::Server(server) => {
                let seen = gateway
                    .watch
                    .registered(now, &server.instance, server.address);
                self.tell_leader(index, seen);
            }
            ViewChange::Suspect(suspect) => {
                gateway.watch.announced(suspect.fingerprint, &suspect.ended);
                gateway.told.insert(suspect.fingerprint, suspect.clone());
            }
            ViewChange::Cleared(request) => {
                gateway.watch.cleared(*request);
                gateway.told.remove(request);
            }
            _ => {}
        }
    }

    fn tell_leader(&mut self, gateway: usize, seen: Vec<ObservedCrash>) {
        if seen.is_empty() {
            return;
        }
        self.end.evidence += seen.len() as u64;
        let event = Event::RequestsCrashed {
            gateway: GatewayId(gateway as u64),
            seen,
        };
        self.to_leader.push((self.now + WAY, event));
    }

    fn is_rejected(&self, gateway: usize, request: RequestFingerprint) -> bool {
        let told = self.gateways[gateway].told.get(&request);
        told.is_some_and(|suspect| suspect.rejected)
    }

    /// Sends a request to a server that is up, through any gateway.
    fn send(&mut self, request: RequestFingerprint, time: Duration, sends_left: u32) {
        let gateway = self.random.random_range(0..self.gateways.len());
        if self.is_rejected(gateway, request) {
            self.end.innocents_rejected += usize::from(request != self.crashing);
            return;
        }
        let free = (0..self.servers.len()).filter(|index| {
            let server = &self.servers[*index];
            server.up && !server.draining && server.running.len() < self.slots
        });
        let free: Vec<usize> = free.collect();
        if free.is_empty() {
            return;
        }
        let server = free[self.random.random_range(0..free.len())];
        if request == self.crashing
            && self
                .third_ending
                .is_some_and(|at| self.now.since(at) > CONTACT)
        {
            self.end.late_sends += 1;
        }
        self.servers[server].running.push(Running {
            request,
            gateway,
            begun: self.now,
            until: self.now + time,
            innocent: false,
            sends_left,
        });
    }

    fn begin_runs(&mut self) {
        let wanted = self.servers.len() * self.slots / 2;
        let running: usize = self.servers.iter().map(|server| server.running.len()).sum();
        for _ in running..wanted {
            if self.random.random_bool(0.3) {
                let request = fingerprint(self.next_request);
                self.next_request += 1;
                let time = Duration::from_millis(self.random.random_range(30..6000));
                self.send(request, time, SENDS_OF_AN_ITEM);
            }
        }
        if self.chance == Chance::OneCrashingRequest && self.now >= self.crashing_at {
            let pause = Duration::from_millis(self.random.random_range(100..2500));
            self.crashing_at = self.now + pause;
            let time = Duration::from_millis(self.random.random_range(20..200));
            self.send(self.crashing, time, SENDS_OF_AN_ATTEMPT);
        }
    }

    fn end_runs(&mut self) {
        for index in 0..self.servers.len() {
            let now = self.now;
            let ended = self.servers[index]
                .running
                .extract_if(.., |running| running.until <= now);
            let ended: Vec<Running> = ended.collect();
            if ended.iter().any(|run| run.request == self.crashing) {
                self.servers[index].running.extend(ended);
                self.crash(index);
                self.end.ended_by_it += 1;
                if self.end.ended_by_it == THIRD {
                    self.third_ending = Some(now);
                }
                continue;
            }
            for run in ended {
                self.ran_well(run.gateway, run.request);
            }
        }
    }

    /// Streams that have brought events for long enough are innocent.
    fn clear_long_runs(&mut self) {
        let now = self.now;
        let mut cleared = Vec::new();
        for server in &mut self.servers {
            let running = server.running.iter_mut();
            let long =
                running.filter(|run| !run.innocent && now.since(run.begun) >= INNOCENT_AFTER);
            for run in long {
                run.innocent = true;
                cleared.push((run.gateway, run.request));
            }
        }
        for (gateway, request) in cleared {
            self.ran_well(gateway, request);
        }
    }

    fn ran_well(&mut self, gateway: usize, request: RequestFingerprint) {
        let known = &mut self.gateways[gateway];
        let is_untold = known
            .watch
            .unreported()
            .any(|found| found.fingerprint == request);
        if is_untold || known.told.contains_key(&request) {
            known.watch.cleared(request);
            let event = Event::RequestsRan(vec![request]);
            self.to_leader.push((self.now + WAY, event));
        }
    }

    /// Ends a server; what ran there is sent again.
    fn crash(&mut self, index: usize) {
        let down = Duration::from_millis(self.random.random_range(200..4000));
        let server = &mut self.servers[index];
        if !server.up {
            return;
        }
        server.up = false;
        server.back_at = self.now + down;
        self.break_runs(index, None, true);
    }

    /// Connections to a server are lost; `refuses` says whether its port looks dead.
    fn break_runs(&mut self, index: usize, of: Option<usize>, refuses: bool) {
        let now = self.now;
        let (instance, address) = (self.instance(index), self.servers[index].address);
        let was_draining = self.servers[index].draining;
        let lost = self.servers[index]
            .running
            .extract_if(.., |run| of.is_none_or(|gateway| run.gateway == gateway));
        let lost: Vec<Running> = lost.collect();
        for run in &lost {
            let ran_for = now.since(run.begun);
            let is_suspect = (GUILTY_FROM..INNOCENT_AFTER).contains(&ran_for) && !was_draining;
            let watch = &mut self.gateways[run.gateway].watch;
            if is_suspect {
                let seen = watch.connection_lost(now, &instance, address, run.request);
                self.tell_leader(run.gateway, seen.into_iter().collect());
            }
        }
        if refuses {
            for gateway in 0..self.gateways.len() {
                let seen = self.gateways[gateway].watch.server_ended(now, &instance);
                self.tell_leader(gateway, seen);
            }
        }
        for run in lost {
            let time = run.until.since(now).max(Duration::from_millis(20));
            let is_suspect = self.gateways[run.gateway].told.contains_key(&run.request);
            let is_item = run.sends_left > SENDS_OF_AN_ATTEMPT;
            if run.sends_left > 1 && (is_item || !is_suspect) {
                self.send(run.request, time, run.sends_left - 1);
            }
        }
    }

    fn strike(&mut self) {
        let server = self.random.random_range(0..self.servers.len());
        let gateway = self.random.random_range(0..self.gateways.len());
        if self.random.random_bool(self.crash_rate) {
            match self.random.random_range(0..3) {
                0 => self.crash(server),
                1 => (0..self.servers.len()).for_each(|index| self.crash(index)),
                _ => {
                    for index in 0..self.servers.len() {
                        if self.random.random_bool(0.6) {
                            self.crash(index);
                        }
                    }
                }
            }
        }
        if !self.random.random_bool(self.fault_rate) {
            return;
        }
        match self.random.random_range(0..4) {
            // Connections are reset, or answers lost: the server listens.
            0 => self.break_runs(server, Some(gateway), false),
            // The gateway is cut off from the server in a way that looks like a dead port.
            1 => self.break_runs(server, Some(gateway), true),
            2 => {
                self.servers[server].draining = true;
                self.register(server);
            }
            _ => {
                self.group.change_leader(self.now);
                for index in 0..self.gateways.len() {
                    let seen = self.gateways[index].watch.to_report(self.now);
                    self.tell_leader(index, seen);
                }
            }
        }
    }
}
