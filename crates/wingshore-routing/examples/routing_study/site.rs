//! The simulated site.

use std::net::SocketAddr;
use wingshore_routing::{Class, RouteRequest};
use wingshore_types::configuration::{
    Admission, Configuration, Permille, Server, Service, ServiceKind,
};
use wingshore_types::{Instant, Revision, ServerId, ServiceId, ZoneId};

pub const SECOND: u64 = 1_000_000_000;
pub const MILLISECOND: u64 = 1_000_000;

pub fn server_id(number: usize) -> ServerId {
    ServerId::new(&format!("server-{number:03}"))
}

/// Servers of one service in one zone.
pub fn site(servers: usize, slots: u32, live_share: u16) -> Configuration {
    let service = Service {
        id: ServiceId::new("service"),
        kind: ServiceKind::Engines {
            model: "base".to_owned(),
        },
        slots_per_server: slots,
        live_share: Permille(live_share),
        default_deadline_ms: 10_000,
    };
    let mut site = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    for number in 0..servers {
        let server = Server {
            id: server_id(number),
            service: service.id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: ZoneId::new("zone"),
            admission: Admission::Open,
        };
        site.servers.insert(server.id.clone(), server);
    }
    site.services.insert(service.id.clone(), service);
    site
}

pub fn request(class: Class) -> RouteRequest {
    RouteRequest {
        service: ServiceId::new("service"),
        class,
        prefix_hash: None,
        tokens_estimate: 0,
        deadline: Instant(u64::MAX),
        no_repeat: false,
        excluded: Vec::new(),
        oldest_useful: None,
    }
}
