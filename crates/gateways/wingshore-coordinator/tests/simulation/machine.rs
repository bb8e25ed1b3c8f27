//! The machines of the simulation: real members with their logs, and what strikes them.

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
pub const LOAD: Duration = Duration::from_millis(900);
/// As the settings of a coordinator have it: the users' bound and a margin.
const HANDOVER: Duration = Duration::from_millis(3300);

/// What is wrong on purpose, to show that the checker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A new leader waits a tenth of the time.
    ShortHandover,
    /// A new leader counts on engines that refuse lower fences.
    TrustsFences,
    /// Machines go by a clock that stands still while they are suspended.
    StoppedClock,
}

/// Something that reaches a member.
pub enum Input {
    Consensus(ReplicaId, Vec<u8>),
    Persisted(u64),
    Event(Event),
    Request(Request),
}

pub struct Machine {
    pub disk: MemoryFileSystem,
    pub running: Option<(Host<CoordinationLeader>, GroupStore)>,
    /// Its clock goes faster or slower by this part of a thousand.
    pub drift: i64,
    /// Whether its own clock counts suspensions.
    pub counts_suspensions: bool,
    /// How long it was suspended so far.
    pub suspended: Duration,
    pub starts_at: Instant,
    pub frozen_until: Instant,
    /// Cut off from the other machines, and from the engines, until then.
    pub cut_until: Instant,
    pub cut_from_engines_until: Instant,
    pub inbox: Vec<(Instant, Input)>,
    /// Orders that passed the look at the lease before the machine stood still.
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
    /// The time that its own clock shows.
    pub fn local(&self, now: Instant) -> Instant {
        let now = if self.counts_suspensions {
            now
        } else {
            now - self.suspended
        };
        let nanos = i128::from(now.0) * i128::from(1000 + self.drift) / 1000;
        Instant(u64::try_from(nanos).unwrap_or(0) + 1_000_000_000)
    }

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
            Fault::ShortHandover => HANDOVER / 10,
            Fault::None | Fault::TrustsFences | Fault::StoppedClock => HANDOVER,
        };
        let settings = LeaderSettings {
            node: format!("machine-{index}"),
            order_handover: handover,
            engines_check_fences: fault == Fault::TrustsFences,
            load_time: LOAD,
            ..LeaderSettings::default()
        };
        let machines = MachineFactory {
            leader: Box::new(move || CoordinationLeader::new(settings.clone())),
            ..MachineFactory::default()
        };
        let host = Host::with_machines(self.local(now), config, recovered, machines);
        self.running = Some((host.expect("the host starts"), store));
    }

    /// It stands still until then, its clock with it unless that counts suspensions.
    pub fn suspend(&mut self, now: Instant, until: Instant) {
        let from = now.max(self.frozen_until);
        self.suspended += until.since(from);
        self.frozen_until = self.frozen_until.max(until);
    }

    pub fn is_awake(&self, now: Instant) -> bool {
        self.running.is_some() && now >= self.frozen_until
    }
}
