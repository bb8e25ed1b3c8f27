//! What a [`super::data_site::DataSite`] consists of, and the settings that its processes get.

use super::node::SimNodeSettings;
use super::observer::ObserverHandle;
use super::replica::{ReplicaFaults, ReplicaSettings, founders};
use crate::stand_ins::engine::EngineSettings;
use crate::stand_ins::engine::length::LengthDistribution;
use crate::stand_ins::live_caller::settings::{LiveCallerSettings, LoadSettings};
use crate::stand_ins::live_server::LiveServerSettings;
use crate::stand_ins::machine_list::MachineListSettings;
use crate::stand_ins::trainer::settings::{TrainerSettings, TrainingSettings};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use wingshore_rollout::SecondAttemptPolicy;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::platform::{Machine, MachineState};
use wingshore_types::{PoolId, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};

/// Port of all processes.
const PORT: u16 = 1000;
/// The service of engines.
const ENGINES: &str = "engines";
/// The service of live servers.
const RIDES: &str = "rides";
/// The pool of samples.
const POOL: &str = "pool";
/// The one zone.
const ZONE: &str = "zone";
/// Ledger and claims groups.
const GROUPS: u16 = 1;

/// Samples of a step.
const BATCH: u32 = 8;
/// Requests a second of each live caller.
const REQUESTS_PER_SECOND: f64 = 8.0;

/// When a straggler gets a second attempt, where any does.
const SECOND_ATTEMPT_POLICY: SecondAttemptPolicy = SecondAttemptPolicy {
    min_running_time: Duration::from_millis(500),
    max_samples: 4,
};

/// Kinds of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Replica,
    /// Nodes.
    Node,
    /// Engines.
    Engine,
    LiveServer,
    /// Live callers, each beside the node of its number.
    Caller,
    /// The trainer, beside the first node.
    Trainer,
    Scorer,
    /// The weight store.
    Store,
    MachineList,
    /// Who sets the site up.
    Operator,
}

impl Place {
    /// Name of its machine `number`.
    pub fn name(self, number: usize) -> String {
        let kind = match self {
            Self::Replica => "replica",
            Self::Node => "node",
            Self::Engine => "engine",
            Self::LiveServer => "live",
            Self::Caller => "caller",
            Self::Trainer => "trainer",
            Self::Scorer => "scorer",
            Self::Store => "store",
            Self::MachineList => "machines",
            Self::Operator => "operator",
        };
        format!("{kind}-{number}")
    }

    /// How many machines of the kind a site has.
    pub fn count(self) -> usize {
        match self {
            Self::Replica | Self::Engine | Self::LiveServer => 3,
            Self::Node | Self::Caller => 4,
            _ => 1,
        }
    }

    /// Where all machines of the kind are.
    pub fn addresses(self) -> Vec<SocketAddr> {
        let numbers = 0..self.count();
        numbers.map(|number| address(self, number)).collect()
    }
}

/// Where the machine `number` of a kind is.
pub fn address(place: Place, number: usize) -> SocketAddr {
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(127, 1, place as u8, number), PORT))
}

/// What a seed draws of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DataSettings {
    /// Most versions a delivered sample may lie behind.
    pub staleness_bound: u64,
    /// How long a node may hold a sample without renewing its lease.
    pub sample_lease: Duration,
    /// How far the machine list lags.
    pub machine_lag: Duration,
    /// Whether stragglers get a second attempt.
    pub over_issue: bool,
}

/// Lengths of generations.
pub fn lengths() -> LengthDistribution {
    let engine = engine();
    LengthDistribution {
        median: engine.length_median,
        sigma: engine.length_sigma,
    }
}

/// Settings of an engine: generations of some hundred milliseconds.
pub fn engine() -> EngineSettings {
    EngineSettings {
        length_median: 24.0,
        ..EngineSettings::default()
    }
}

pub fn live_server(number: usize) -> LiveServerSettings {
    LiveServerSettings {
        answer_bytes: 32,
        mean_further_service: Duration::from_millis(20),
        seed: number as u64,
        ..LiveServerSettings::default()
    }
}

/// Settings of a live caller; the simulator takes its records, so that its log is not used.
pub fn caller(number: usize, seed: u64) -> LiveCallerSettings {
    LiveCallerSettings {
        name: Place::Caller.name(number),
        log: PathBuf::new(),
        node: address(Place::Node, number),
        service: RIDES.to_owned(),
        model: Some(engine().model),
        load: LoadSettings {
            requests_per_second: REQUESTS_PER_SECOND,
            completion_permille: 100,
            resend_permille: 300,
            deadline: Duration::from_secs(2),
            seed,
            ..LoadSettings::default()
        },
    }
}

impl DataSettings {
    /// Draws bounds and times.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        Self {
            staleness_bound: random.random_range(0..=2),
            sample_lease: Duration::from_millis(random.random_range(1_000..4_000)),
            machine_lag: Duration::from_millis(random.random_range(200..2_000)),
            over_issue: random.random_bool(0.5),
        }
    }

    /// Settings of all replicas.
    pub fn replicas(
        &self,
        random: &mut ChaCha8Rng,
        faults: ReplicaFaults,
        observer: ObserverHandle,
    ) -> ReplicaSettings {
        ReplicaSettings {
            founding: founders(&Place::Replica.addresses()),
            groups: GROUPS,
            limits: wingshore_group::Limits::default(),
            snapshot_every_bytes: random.random_range(20_000..200_000),
            segment_bytes: random.random_range(10_000..100_000),
            faults,
            observer,
        }
    }

    pub fn machine_list(&self) -> MachineListSettings {
        let servers = self.servers().into_iter();
        MachineListSettings {
            lag: self.machine_lag,
            machines: servers
                .map(|server| Machine {
                    id: server.id,
                    address: server.address,
                    zone: server.zone,
                    services: vec![server.service],
                    state: MachineState::Live,
                })
                .collect(),
        }
    }

    pub fn node(&self, number: usize) -> SimNodeSettings {
        let name = Place::Node.name(number);
        SimNodeSettings {
            machine_list: Some(address(Place::MachineList, 0)),
            pools: vec![PoolId::new(POOL)],
            over_issue: self.over_issue.then_some(SECOND_ATTEMPT_POLICY),
            ..SimNodeSettings::new(&name, ZONE, Place::Replica.addresses())
        }
    }

    /// Settings of the trainer; its log is not used either.
    pub fn trainer(&self) -> TrainerSettings {
        TrainerSettings {
            name: Place::Trainer.name(0),
            log: PathBuf::new(),
            node: address(Place::Node, 0),
            weight_store: address(Place::Store, 0),
            pool: POOL.to_owned(),
            model: engine().model,
            staleness_bound: self.staleness_bound,
            training: TrainingSettings {
                batch: BATCH,
                steps_ahead: 2,
                max_tokens: 96,
                step_time: Duration::from_millis(300),
                ..TrainingSettings::default()
            },
        }
    }

    /// The changes that set the site up.
    pub fn first_changes(&self) -> Vec<ConfigurationChange> {
        let service = |id, kind| {
            ConfigurationChange::PutService(Service {
                id: ServiceId::new(id),
                kind,
                slots_per_server: 16,
                live_share: Permille(500),
                default_deadline_ms: 10_000,
            })
        };
        let model = engine().model;
        let mut changes = vec![
            service(RIDES, ServiceKind::Live),
            service(ENGINES, ServiceKind::Engines { model }),
        ];
        let servers = self.servers().into_iter();
        changes.extend(servers.map(ConfigurationChange::PutServer));
        changes.push(ConfigurationChange::PutPool(Pool {
            id: PoolId::new(POOL),
            service: ServiceId::new(ENGINES),
            trainer: TrainerId::new(&Place::Trainer.name(0)),
            staleness_bound: self.staleness_bound,
            idle_weight: Permille(500),
            ledger: 1,
            scorer: address(Place::Scorer, 0),
            weight_store: address(Place::Store, 0),
            swap: SwapPolicy::Automatic,
            max_open_samples: 1000,
            sample_lease_ms: self.sample_lease.as_millis() as u64,
            target_version: WeightVersion(0),
        }));
        changes
    }

    fn servers(&self) -> Vec<Server> {
        let of = |place: Place, service: &str| -> Vec<Server> {
            let servers = (0..place.count()).map(|number| Server {
                id: ServerId::new(&place.name(number)),
                service: ServiceId::new(service),
                address: address(place, number),
                zone: ZoneId::new(ZONE),
                admission: Admission::Open,
            });
            servers.collect()
        };
        let mut servers = of(Place::Engine, ENGINES);
        servers.extend(of(Place::LiveServer, RIDES));
        servers
    }
}
