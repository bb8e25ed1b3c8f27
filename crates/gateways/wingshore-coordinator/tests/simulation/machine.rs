//! Machines of the simulation: real members with their logs, and the faults that affect them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    CoordinationLeader, EngineProfile, Event, IngressLimits, InstanceId, LeaderSettings, ModelName,
    ModelVersion, Request, ServerRecord, Service, ServiceName, SiteConfiguration, WeightOrder,
};
use wingshore_group::{Host, HostConfig, MachineFactory, Timing};
use wingshore_storage::memory::MemoryFileSystem;
use wingshore_storage::{FileSystem, GroupStore};
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::{Instant, ReplicaId};

pub const MACHINES: usize = 3;
pub const MODEL: &str = "m";
/// Time that an engine takes to load weights.
pub const LOAD_TIME: Duration = Duration::from_millis(900);
/// Handover time as in the settings of a coordinator: the users' minimum of 3 s between the
/// orders of two machines (`ORDER_GAP`), plus a margin.
const ORDER_HANDOVER: Duration = Duration::from_millis(3300);

/// Deliberate defect, to show that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A new leader waits for a tenth of the handover time.
    ShortHandover,
    /// A new leader relies on engines that refuse lower fences.
    TrustsFences,
    /// Machines use a clock that stops while they are suspended.
    StoppedClock,
}

/// Input of a member.
pub enum Input {
    Consensus(ReplicaId, Vec<u8>),
    Persisted(u64),
    Event(Event),
    Request(Request),
}

/// Machine with its member.
pub struct Machine {
    pub disk: MemoryFileSystem,
    pub running: Option<(Host<CoordinationLeader>, GroupStore)>,
    /// Deviation of its clock in parts per thousand.
    pub drift: i64,
    /// Whether its clock runs on during suspensions.
    pub counts_suspensions: bool,
    /// Total time of its suspensions.
    pub suspended: Duration,
    pub starts_at: Instant,
    pub frozen_until: Instant,
    /// End of its partition from the other machines.
    pub partitioned_until: Instant,
    /// End of its partition from the engines.
    pub engines_unreachable_until: Instant,
    pub inbox: Vec<(Instant, Input)>,
    /// Orders for which the lease was checked before the machine was suspended.
    pub held_orders: Vec<WeightOrder>,
}

pub fn address(machine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, machine as u8 + 1], 7600))
}

pub fn engine_record(number: usize, version: u64) -> ServerRecord {
    ServerRecord {
        instance: InstanceId::from(format!("e{number}")),
        service: ServiceName::from("llm"),
        address: ([10, 2, 0, number as u8 + 1], 9000).into(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        reclaimable: false,
        models: vec![ModelVersion {
            model: ModelName::from(MODEL),
            version,
        }],
    }
}

pub fn configuration() -> SiteConfiguration {
    SiteConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: ServiceName::from("llm"),
            health_path: "/health".to_owned(),
            max_connections: 100,
            engine: Some(EngineProfile {
                slots: 4,
                cache_tokens: 1000,
                models: vec![ModelName::from(MODEL)],
            }),
            scaling: None,
        }],
        limits: IngressLimits::default(),
        tenants: Vec::new(),
        document: Vec::new(),
    }
}

impl Machine {
    /// Returns the time of its own clock.
    pub fn local_time(&self, now: Instant) -> Instant {
        let now = if self.counts_suspensions {
            now
        } else {
            now - self.suspended
        };
        let nanos = i128::from(now.0) * i128::from(1000 + self.drift) / 1000;
        Instant(u64::try_from(nanos).unwrap_or(0) + 1_000_000_000)
    }

    /// Starts the member from its disk.
    pub fn start(&mut self, index: usize, now: Instant, fault: Fault, seed: u64) {
        let founding = Membership {
            voters: (0..MACHINES)
                .map(|number| Member {
                    id: ReplicaId(number as u64 + 1),
                    address: address(number),
                })
                .collect(),
            learners: Vec::new(),
        };
        let fs: Arc<dyn FileSystem> = Arc::new(self.disk.clone());
        let (store, recovered) = GroupStore::open(fs, Path::new("/data")).expect("the store opens");
        let id = ReplicaId(index as u64 + 1);
        let config = HostConfig {
            timing: Timing {
                election_timeout: Duration::from_millis(600),
                election_spread: Duration::from_millis(300),
                heartbeat_interval: Duration::from_millis(100),
                lease: Duration::from_millis(550),
                drift: Permille(20),
            },
            ..HostConfig::new(id, Some(founding), seed)
        };
        let handover = match fault {
            Fault::ShortHandover => ORDER_HANDOVER / 10,
            Fault::None | Fault::TrustsFences | Fault::StoppedClock => ORDER_HANDOVER,
        };
        let settings = LeaderSettings {
            node: format!("machine-{index}"),
            order_handover: handover,
            engines_check_fences: fault == Fault::TrustsFences,
            load_time: LOAD_TIME,
            ..LeaderSettings::default()
        };
        let machines = MachineFactory {
            leader: Box::new(move || CoordinationLeader::new(settings.clone())),
            ..MachineFactory::default()
        };
        let host = Host::with_machines(self.local_time(now), config, recovered, machines);
        self.running = Some((host.expect("the host starts"), store));
    }

    /// Suspends the machine until the given time; its clock stops meanwhile, unless that counts
    /// suspensions.
    pub fn suspend(&mut self, now: Instant, until: Instant) {
        let from = now.max(self.frozen_until);
        self.suspended += until.since(from);
        self.frozen_until = self.frozen_until.max(until);
    }

    /// Returns whether the member runs and is neither frozen nor suspended.
    pub fn is_awake(&self, now: Instant) -> bool {
        self.running.is_some() && now >= self.frozen_until
    }
}
