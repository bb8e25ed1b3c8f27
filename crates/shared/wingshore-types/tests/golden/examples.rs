//! Values that the examples share. Each field has a distinct value where its type allows it.

use std::net::SocketAddr;
use wingshore_types::configuration::{
    Admission, Configuration, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::{PoolId, Revision, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};

pub fn address(host: u8) -> SocketAddr {
    ([10, 2, 3, host], 7000).into()
}

pub fn pool_id() -> PoolId {
    PoolId::new("pool-1")
}

pub fn service(kind: ServiceKind) -> Service {
    Service {
        id: ServiceId::new("service-1"),
        kind,
        slots_per_server: 8,
        live_share: Permille(250),
        default_deadline_ms: 30_000,
    }
}

pub fn engines() -> Service {
    service(ServiceKind::Engines {
        model: "model-1".to_owned(),
    })
}

pub fn server(admission: Admission) -> Server {
    Server {
        id: ServerId::new("server-1"),
        service: ServiceId::new("service-1"),
        address: address(1),
        zone: ZoneId::new("zone-a"),
        admission,
    }
}

pub fn pool(swap: SwapPolicy) -> Pool {
    Pool {
        id: pool_id(),
        service: ServiceId::new("service-1"),
        trainer: TrainerId::new("trainer-1"),
        staleness_bound: 2,
        idle_weight: Permille(500),
        ledger: 1,
        scorer: address(5),
        weight_store: address(6),
        swap,
        max_open_samples: 4000,
        sample_lease_ms: 20_000,
        target_version: WeightVersion(131),
    }
}

pub fn configuration() -> Configuration {
    Configuration {
        revision: Revision(300),
        services: [(ServiceId::new("service-1"), engines())].into(),
        servers: [(ServerId::new("server-1"), server(Admission::Open))].into(),
        pools: [(pool_id(), pool(SwapPolicy::Automatic))].into(),
    }
}
