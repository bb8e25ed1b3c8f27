//! Shared test fixtures: a small site, a router configured for it, and seeded property tests.
#![allow(dead_code)]

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use std::time::Duration;
use wingshore_request::{ClaimIntent, RequestSpecification, claims_group};
use wingshore_routing::{Class, RouteRequest, Router, RouterSettings};
use wingshore_types::configuration::{
    Admission, Configuration, ConfigurationChange, Permille, Server, Service, ServiceKind,
};
use wingshore_types::protocol::claims::{ClaimKey, Claimant};
use wingshore_types::{Instant, NodeId, ServerId, ServiceId, ZoneId};

/// The service that all tests use.
pub const SERVICE: &str = "fare-api";
/// Deadline of a request, counted from the start of the test.
pub const DEADLINE: Duration = Duration::from_secs(10);
/// Fixed seed of all property tests, so that failures are reproducible.
const SEED: [u8; 32] = [7; 32];

pub fn put_service() -> ConfigurationChange {
    ConfigurationChange::PutService(Service {
        id: ServiceId::new(SERVICE),
        kind: ServiceKind::Live,
        slots_per_server: 8,
        live_share: Permille(1000),
        default_deadline_ms: 1000,
    })
}

pub fn put_server(number: u16) -> ConfigurationChange {
    ConfigurationChange::PutServer(Server {
        id: ServerId::new(&format!("server-{number}")),
        service: ServiceId::new(SERVICE),
        address: ([127, 0, 0, 1], 9000 + number).into(),
        zone: ZoneId::new("regina-hall"),
        admission: Admission::Open,
    })
}

pub fn configuration(servers: u16) -> Configuration {
    let mut configuration = Configuration::default();
    let changes = std::iter::once(put_service()).chain((0..servers).map(put_server));
    for change in changes {
        configuration.apply(&change).expect("the change fits");
    }
    configuration
}

pub fn router(servers: u16, seed: u64) -> Router {
    let mut router = Router::new(RouterSettings::default(), ZoneId::new("regina-hall"), seed);
    router.on_configuration(Instant::ZERO, &configuration(servers));
    router
}

pub fn claim(key: &str, node: &str, attempt: u64) -> ClaimIntent {
    let key = ClaimKey {
        service: SERVICE.to_owned(),
        key: key.to_owned(),
    };
    ClaimIntent {
        group: claims_group(&key, 4),
        key,
        fingerprint: 99,
        claimant: Claimant {
            node: NodeId::new(node),
            boot_id: 1,
            attempt,
        },
    }
}

pub fn specification(no_repeat: bool, claim: Option<ClaimIntent>) -> RequestSpecification {
    RequestSpecification {
        route: RouteRequest {
            service: ServiceId::new(SERVICE),
            class: Class::Live,
            prefix_hash: None,
            tokens_estimate: 0,
            deadline: Instant::ZERO + DEADLINE,
            no_repeat,
            excluded: Vec::new(),
            oldest_useful: None,
        },
        claim,
    }
}

/// Checks a property for `cases` generated values; the values are the same in every run.
pub fn run_property<S: Strategy>(
    cases: u32,
    strategy: S,
    property: impl Fn(S::Value) -> Result<(), TestCaseError>,
) -> Result<(), TestError<S::Value>> {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, generator).run(&strategy, property)
}
