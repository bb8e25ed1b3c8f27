//! Initial configurations of test sites.

use std::net::SocketAddr;
use wingshore_types::WeightVersion;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};

pub const MODEL_SERVICE: &str = "fare-lm";
pub const LIVE_SERVICE: &str = "fare-api";
pub const POOL: &str = "disputes";

/// A site with engines, live servers and one pool.
#[derive(Clone, Debug)]
pub struct Site {
    pub engines: u32,
    pub live_servers: u32,
    pub swap: SwapPolicy,
    pub live_share: Permille,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            engines: 8,
            live_servers: 3,
            swap: SwapPolicy::Automatic,
            live_share: Permille(500),
        }
    }
}

impl Site {
    pub fn planned(engines: u32) -> Self {
        Self {
            engines,
            swap: SwapPolicy::Planned,
            ..Self::default()
        }
    }

    pub fn changes(&self) -> Vec<ConfigurationChange> {
        let model = Service {
            live_share: self.live_share,
            ..service(MODEL_SERVICE, ServiceKind::Engines { model: "m".into() })
        };
        let mut changes = vec![
            ConfigurationChange::PutService(model),
            ConfigurationChange::PutService(service(LIVE_SERVICE, ServiceKind::Live)),
        ];
        let engines = (0..self.engines).map(|n| server(&engine_name(n), MODEL_SERVICE, n));
        let live =
            (0..self.live_servers).map(|n| server(&format!("live-{n}"), LIVE_SERVICE, 100_000 + n));
        changes.extend(engines.chain(live).map(ConfigurationChange::PutServer));
        changes.push(ConfigurationChange::PutPool(Pool {
            swap: self.swap,
            ..pool(POOL)
        }));
        changes
    }
}

pub fn engine_name(number: u32) -> String {
    format!("engine-{number:05}")
}

/// Returns a distinct address for each number.
pub fn address(number: u32) -> SocketAddr {
    let [_, high, middle, low] = (number + 1).to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 8000))
}

pub fn store() -> SocketAddr {
    SocketAddr::from(([192, 168, 0, 1], 9000))
}

pub fn service(id: &str, kind: ServiceKind) -> Service {
    Service {
        id: id.into(),
        kind,
        slots_per_server: 10,
        live_share: Permille(500),
        default_deadline_ms: 30_000,
    }
}

pub fn server(id: &str, service: &str, number: u32) -> Server {
    Server {
        id: id.into(),
        service: service.into(),
        address: address(number),
        zone: "regina-hall".into(),
        admission: Admission::Open,
    }
}

pub fn pool(id: &str) -> Pool {
    Pool {
        id: id.into(),
        service: MODEL_SERVICE.into(),
        trainer: "trainer".into(),
        staleness_bound: 4,
        idle_weight: Permille(300),
        ledger: 0,
        scorer: SocketAddr::from(([192, 168, 0, 2], 9000)),
        weight_store: store(),
        swap: SwapPolicy::Automatic,
        max_open_samples: 1_000,
        sample_lease_ms: 10_000,
        target_version: WeightVersion(1),
    }
}

/// Returns a change that drains or opens a server.
pub fn set_admission(server: &str, admission: Admission) -> ConfigurationChange {
    ConfigurationChange::SetAdmission {
        server: server.into(),
        admission,
    }
}
