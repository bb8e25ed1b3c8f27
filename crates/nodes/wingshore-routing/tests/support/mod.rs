//! Fixtures for the tests: a small site, requests and reports.
#![allow(dead_code)] // each test binary uses only some of the fixtures

use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_routing::{
    Admitted, AttemptOutcome, Class, Faults, RouteRequest, Router, RouterSettings,
};
use wingshore_types::configuration::{
    Admission, Configuration, Permille, Server, Service, ServiceKind,
};
use wingshore_types::platform::{EngineState, LoadReport, Machine, MachineList, MachineState};
use wingshore_types::{Instant, Revision, ServerId, ServiceId, WeightVersion, ZoneId};

pub const SERVICE: &str = "lm";
pub const SEED: u64 = 7;
pub const VERSION: WeightVersion = WeightVersion(5);
pub const START: Instant = Instant::from_millis(100_000);

/// Returns the time `milliseconds` after the start of a test.
pub fn at(milliseconds: u64) -> Instant {
    START + Duration::from_millis(milliseconds)
}

pub fn server_id(number: usize) -> ServerId {
    ServerId::new(&format!("engine-{number:04}"))
}

/// Returns a configuration with one engine service, whose servers are assigned to the zones
/// `zone-0`, `zone-1`, … in turn.
pub fn site(servers: usize, zones: usize, slots: u32, live_share: u16) -> Configuration {
    let service = Service {
        id: ServiceId::new(SERVICE),
        kind: ServiceKind::Engines {
            model: "base".to_owned(),
        },
        slots_per_server: slots,
        live_share: Permille(live_share),
        default_deadline_ms: 10_000,
    };
    let mut configuration = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    for number in 0..servers {
        let server = Server {
            id: server_id(number),
            service: service.id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16)),
            zone: ZoneId::new(&format!("zone-{}", number % zones)),
            admission: Admission::Open,
        };
        configuration.servers.insert(server.id.clone(), server);
    }
    configuration.services.insert(service.id.clone(), service);
    configuration
}

/// Returns the next revision of a site with the admission of one server changed.
pub fn with_admission(site: &Configuration, number: usize, admission: Admission) -> Configuration {
    let mut changed = site.clone();
    changed.revision.0 += 1;
    if let Some(server) = changed.servers.get_mut(&server_id(number)) {
        server.admission = admission;
    }
    changed
}

pub fn state(boot_id: u64, version: Option<WeightVersion>, draining: bool) -> EngineState {
    EngineState {
        boot_id,
        role: "rollout".to_owned(),
        models: vec!["base".to_owned()],
        weight_version: version,
        loading: None,
        last_order: None,
        draining,
        in_flight: 0,
        queue: 0,
        kv_free: 1 << 20,
    }
}

pub fn load(in_flight: u32, queue: u32, age_ms: u64) -> LoadReport {
    LoadReport {
        in_flight,
        queue,
        age_ms,
    }
}

pub fn machine_list(as_of: u64, leaving: &[usize], staying: &[usize]) -> MachineList {
    let machine = |number: &usize, state| Machine {
        id: server_id(*number),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + *number as u16)),
        zone: ZoneId::new("zone-0"),
        services: vec![ServiceId::new(SERVICE)],
        state,
    };
    let leaving = leaving
        .iter()
        .map(|number| machine(number, MachineState::Leaving));
    let staying = staying
        .iter()
        .map(|number| machine(number, MachineState::Live));
    MachineList {
        as_of,
        machines: leaving.chain(staying).collect(),
    }
}

/// Returns a router in `zone-0` that knows the site and the version of every engine.
pub fn router_with(settings: RouterSettings, faults: Faults, site: &Configuration) -> Router {
    let mut router = Router::new(settings, ZoneId::new("zone-0"), SEED).with_faults(faults);
    router.on_configuration(at(0), site);
    report_versions(&mut router, at(0), site);
    router
}

pub fn router(site: &Configuration) -> Router {
    router_with(RouterSettings::default(), Faults::default(), site)
}

pub fn report_versions(router: &mut Router, now: Instant, site: &Configuration) {
    for server in site.servers.keys() {
        router.on_engine_state(now, server, &state(1, Some(VERSION), false));
    }
}

pub fn request(class: Class) -> RouteRequest {
    RouteRequest {
        service: ServiceId::new(SERVICE),
        class,
        prefix_hash: None,
        tokens_estimate: 100,
        deadline: Instant(u64::MAX),
        no_repeat: false,
        excluded: Vec::new(),
        oldest_useful: None,
    }
}

pub fn live() -> RouteRequest {
    request(Class::Live)
}

pub fn rollout() -> RouteRequest {
    RouteRequest {
        oldest_useful: Some(VERSION),
        ..request(Class::Rollout)
    }
}

/// Admits up to `most` requests, until the first refusal.
pub fn admit_all(
    router: &mut Router,
    now: Instant,
    request: &RouteRequest,
    most: usize,
) -> Vec<Admitted> {
    let mut admitted = Vec::new();
    while admitted.len() < most {
        match router.admit(now, request) {
            Ok(one) => admitted.push(one),
            Err(_) => break,
        }
    }
    admitted
}

/// Returns how many of `admitted` were routed to a server.
pub fn count_on(admitted: &[Admitted], number: usize) -> usize {
    let id = server_id(number);
    admitted.iter().filter(|one| one.server == id).count()
}

pub fn success(milliseconds: u64) -> AttemptOutcome {
    AttemptOutcome::Success {
        latency: Duration::from_millis(milliseconds),
    }
}

/// Returns a proptest configuration that runs the same `cases` cases in every run.
pub fn property(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
