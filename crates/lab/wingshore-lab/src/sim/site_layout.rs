//! The configuration of a [`Site`].

use super::operator;
use super::site::{ENGINES, Kind, POOL, Site, address};
use crate::stand_ins::engine::EngineSettings;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::{PoolId, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};

impl Site {
    /// The first configuration.
    pub(super) fn first_changes(&self) -> Vec<ConfigurationChange> {
        let service = |id: ServiceId, kind| {
            ConfigurationChange::PutService(Service {
                id,
                kind,
                slots_per_server: 8,
                live_share: Permille(500),
                default_deadline_ms: 10_000,
            })
        };
        let mut changes = vec![service(operator::service(), ServiceKind::Live)];
        if self.settings().engines == 0 {
            return changes;
        }
        let model = EngineSettings::default().model;
        let engines = ServiceId::new(ENGINES);
        changes.push(service(engines.clone(), ServiceKind::Engines { model }));
        for number in 0..self.settings().engines {
            changes.push(ConfigurationChange::PutServer(Server {
                id: ServerId::new(&format!("engine-{number}")),
                service: engines.clone(),
                address: address(Kind::Engine, number),
                zone: ZoneId::new("zone"),
                admission: Admission::Open,
            }));
        }
        changes.push(ConfigurationChange::PutPool(Pool {
            id: PoolId::new(POOL),
            service: engines,
            trainer: TrainerId::new("trainer"),
            staleness_bound: 2,
            idle_weight: Permille(500),
            ledger: 1,
            scorer: address(Kind::Store, 1),
            weight_store: address(Kind::Store, 0),
            swap: SwapPolicy::Planned,
            max_open_samples: 100,
            sample_lease_ms: 5_000,
            target_version: WeightVersion(0),
        }));
        changes
    }

    /// A change that every site can make.
    pub(super) fn last_change(&self) -> ConfigurationChange {
        ConfigurationChange::PutService(Service {
            id: operator::service(),
            kind: ServiceKind::Live,
            slots_per_server: 9,
            live_share: Permille(400),
            default_deadline_ms: 20_000,
        })
    }
}
