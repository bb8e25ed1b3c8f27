//! `wingshore-lab bench --hot-path`: the cost of one routing decision, `admit` followed by
//! `on_finished`, in nanoseconds and allocations, at several fleet sizes.

use serde::Serialize;
use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant as Clock};
use wingshore_routing::{AttemptOutcome, Class, RouteRequest, Router, RouterSettings};
use wingshore_types::configuration::{
    Admission, Configuration, Permille, Server, Service, ServiceKind,
};
use wingshore_types::platform::EngineState;
use wingshore_types::{Instant, Revision, ServerId, ServiceId, WeightVersion, ZoneId};

/// Answers how many allocations the process has made.
pub type AllocationCount = fn() -> u64;

/// Fleet sizes.
const ENGINES: [usize; 4] = [10, 100, 1_000, 10_000];
/// Servers a node uses: the usual number, and all.
const SUBSETS: [u32; 2] = [40, u32::MAX];
/// Measured decisions of each row.
const DECISIONS: usize = 1_000_000;
/// Requests kept in flight while measuring, per engine that is used.
const IN_FLIGHT_PER_ENGINE: usize = 2;
/// Decisions before those that are measured.
const WARM_UP: usize = 20_000;

/// One row.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HotPathRow {
    /// Engines of the service.
    pub engines: usize,
    /// Engines the node uses.
    pub subset: usize,
    /// Time of a decision.
    pub nanoseconds: f64,
    /// Allocations of a decision.
    pub allocations: f64,
}

/// All rows.
pub fn measure_all(allocations: AllocationCount) -> Vec<HotPathRow> {
    let rows = ENGINES
        .into_iter()
        .flat_map(|engines| SUBSETS.map(|subset| (engines, subset)));
    rows.map(|(engines, subset)| measure(engines, subset, DECISIONS, allocations))
        .collect()
}

/// For people.
pub fn text(rows: &[HotPathRow]) -> String {
    let head = "engines  used  ns/decision  allocations/decision\n".to_owned();
    rows.iter().fold(head, |text, row| {
        format!(
            "{text}{:>7}  {:>5}  {:>11.0}  {:>20.3}\n",
            row.engines, row.subset, row.nanoseconds, row.allocations
        )
    })
}

fn configuration(engines: usize) -> Configuration {
    let service = Service {
        id: ServiceId::new("lm"),
        kind: ServiceKind::Engines {
            model: "base".to_owned(),
        },
        slots_per_server: 16,
        live_share: Permille(500),
        default_deadline_ms: 10_000,
    };
    let mut configuration = Configuration {
        revision: Revision(1),
        ..Configuration::default()
    };
    for number in 0..engines {
        let server = Server {
            id: ServerId::new(&format!("engine-{number}")),
            service: service.id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: ZoneId::new(&format!("zone-{}", number % 3)),
            admission: Admission::Open,
        };
        configuration.servers.insert(server.id.clone(), server);
    }
    configuration.services.insert(service.id.clone(), service);
    configuration
}

fn engine_state() -> EngineState {
    EngineState {
        boot_id: 1,
        role: "rollout".to_owned(),
        models: vec!["base".to_owned()],
        weight_version: Some(WeightVersion(7)),
        loading: None,
        last_order: None,
        draining: false,
        in_flight: 0,
        queue: 0,
        kv_free: 1 << 20,
    }
}

fn request(class: Class, prefix_hash: Option<u64>) -> RouteRequest {
    RouteRequest {
        service: ServiceId::new("lm"),
        class,
        prefix_hash,
        tokens_estimate: 512,
        deadline: Instant(u64::MAX),
        no_repeat: false,
        excluded: Vec::new(),
        oldest_useful: Some(WeightVersion(7)),
    }
}

/// One row: a fleet of so many engines.
fn measure(
    engines: usize,
    subset_size: u32,
    decisions: usize,
    allocations: AllocationCount,
) -> HotPathRow {
    let settings = RouterSettings {
        subset_size,
        ..RouterSettings::default()
    };
    let mut router = Router::new(settings, ZoneId::new("zone-0"), 1);
    let start = Instant::from_millis(1_000);
    let configuration = configuration(engines);
    router.on_configuration(start, &configuration);
    for server in configuration.servers.keys() {
        router.on_engine_state(start, server, &engine_state());
    }
    let used = engines.min(subset_size as usize);
    let mut window = VecDeque::new();
    let requests = [
        request(Class::Live, None),
        request(Class::Rollout, None),
        request(Class::Live, Some(11)),
        request(Class::Rollout, Some(12)),
    ];
    let outcome = AttemptOutcome::Success {
        latency: Duration::from_millis(20),
    };
    let mut run = |count: usize, first: usize| {
        for number in first..first + count {
            let now = start + Duration::from_micros(number as u64);
            let request = &requests[number % requests.len()];
            if let Ok(admitted) = black_box(router.admit(now, request)) {
                window.push_back(admitted.ticket);
            }
            if window.len() > IN_FLIGHT_PER_ENGINE * used
                && let Some(ticket) = window.pop_front()
            {
                router.on_finished(now, ticket, outcome);
            }
        }
    };
    run(WARM_UP.min(decisions), 0);
    let before = allocations();
    let clock = Clock::now();
    run(decisions, WARM_UP);
    let elapsed = clock.elapsed();
    let allocated = allocations() - before;
    HotPathRow {
        engines,
        subset: used,
        nanoseconds: elapsed.as_nanos() as f64 / decisions as f64,
        allocations: allocated as f64 / decisions as f64,
    }
}
