//! Measures the cost of one decision: `admit` followed by `on_finished`, in nanoseconds and
//! allocations, at several fleet sizes.
//!
//! `cargo run --release -p wingshore-routing --example hot_path`
#![allow(unsafe_code)] // a global allocator that counts cannot be written without it

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant as Clock};
use wingshore_routing::{AttemptOutcome, Class, RouteRequest, Router, RouterSettings};
use wingshore_types::configuration::{
    Admission, Configuration, Permille, Server, Service, ServiceKind,
};
use wingshore_types::platform::EngineState;
use wingshore_types::{Instant, Revision, ServerId, ServiceId, WeightVersion, ZoneId};

/// Counts allocations of the whole process.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller's promises are passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller's promises are passed on.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Requests kept in flight while measuring, per engine that is used.
const IN_FLIGHT_PER_ENGINE: usize = 2;
const WARM_UP: usize = 20_000;

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

fn measure(engines: usize, subset_size: u32, decisions: usize) -> (f64, f64) {
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
    let mut window = std::collections::VecDeque::new();
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
    let allocations = ALLOCATIONS.load(Ordering::Relaxed);
    let clock = Clock::now();
    run(decisions, WARM_UP);
    let elapsed = clock.elapsed();
    let allocated = ALLOCATIONS.load(Ordering::Relaxed) - allocations;
    (
        elapsed.as_nanos() as f64 / decisions as f64,
        allocated as f64 / decisions as f64,
    )
}

fn main() {
    println!("engines  subset  ns/decision  allocations/decision");
    for engines in [10, 100, 1_000, 10_000] {
        for subset in [40, u32::MAX] {
            let decisions = 1_000_000;
            let (nanoseconds, allocations) = measure(engines, subset, decisions);
            let subset = if subset == u32::MAX {
                "all".to_owned()
            } else {
                subset.to_string()
            };
            println!("{engines:>7}  {subset:>6}  {nanoseconds:>11.0}  {allocations:>20.3}");
        }
    }
}
