//! Shared parts of the node tests: a scripted control group, scripted back ends, a raw caller.
#![allow(dead_code)]

pub mod back_end;
pub mod caller;
pub mod groups;

use back_end::BackEnd;
use groups::ScriptedGroups;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_node::{RunningNode, start};
use wingshore_settings::{NodeSettings, Overrides, node_from_text};
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::{PoolId, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};

/// Timeout of every wait of a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Name of the live service in the tests.
pub const LIVE: &str = "fare-api";
/// Name of the engine service in the tests.
pub const ENGINES: &str = "fare-lm";
/// The model that the engines serve.
pub const MODEL: &str = "fare-explainer";
/// Name of the rollout pool in the tests.
pub const POOL: &str = "disputes";

/// A node under test.
pub struct TestNode {
    pub running: RunningNode,
    pub stop: StopSignal,
}

impl TestNode {
    /// Starts a node that connects to `groups` and waits until the node is ready.
    pub fn start(groups: &ScriptedGroups, name: &str, more: &str) -> Self {
        let node = Self::start_unready(groups, name, more);
        wait_until("the node is ready", || {
            caller::get(node.address(), "/readyz").status == 200
        });
        node
    }

    /// Starts a node that connects to `groups`.
    pub fn start_unready(groups: &ScriptedGroups, name: &str, more: &str) -> Self {
        let stop = StopSignal::new();
        let settings = settings(groups.address(), name, more);
        let folder = settings.dump_folder.clone();
        let diagnostics = Diagnostics::new("node", settings.log_lines, folder.as_deref());
        let running = start(settings, diagnostics, stop.clone()).expect("the node must start");
        Self { running, stop }
    }

    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Performs a planned stop.
    pub fn finish(self) {
        self.stop.stop();
        self.running.finish();
    }
}

/// Returns the settings of a node; `more` is inserted before the tables.
pub fn settings(replica: SocketAddr, name: &str, more: &str) -> NodeSettings {
    let text = format!(
        r#"
role = "node"
site = "test"
name = "{name}"
zone = "regina-hall"
listen = "127.0.0.1:0"
replicas = ["{replica}"]
{more}

[http]
workers = 8
max_request_body = "64KiB"
max_answer_body = "64KiB"
slow_caller_limit = "500ms"

"#
    );
    node_from_text("node.toml", &text, &Overrides::default()).expect("the settings are valid")
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let give_up = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < give_up, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn put_service(id: &str, kind: ServiceKind) -> ConfigurationChange {
    ConfigurationChange::PutService(Service {
        id: ServiceId::new(id),
        kind,
        slots_per_server: 16,
        live_share: Permille(500),
        default_deadline_ms: 10_000,
    })
}

pub fn put_server(service: &str, id: &str, address: SocketAddr) -> ConfigurationChange {
    ConfigurationChange::PutServer(Server {
        id: ServerId::new(id),
        service: ServiceId::new(service),
        address,
        zone: ZoneId::new("regina-hall"),
        admission: Admission::Open,
    })
}

pub fn put_pool(scorer: SocketAddr) -> ConfigurationChange {
    ConfigurationChange::PutPool(Pool {
        id: PoolId::new(POOL),
        service: ServiceId::new(ENGINES),
        trainer: TrainerId::new("trainer-1"),
        staleness_bound: 2,
        idle_weight: Permille(500),
        ledger: 0,
        scorer,
        weight_store: scorer,
        swap: SwapPolicy::Automatic,
        max_open_samples: 1000,
        sample_lease_ms: 10_000,
        target_version: WeightVersion(1),
    })
}

/// Starts a site with the live service on `servers`.
pub fn live_site(servers: &[&BackEnd]) -> ScriptedGroups {
    let mut changes = vec![put_service(LIVE, ServiceKind::Live)];
    changes.extend(
        servers
            .iter()
            .enumerate()
            .map(|(number, server)| put_server(LIVE, &format!("api-{number}"), server.address())),
    );
    ScriptedGroups::start(changes)
}

/// Starts a site with the engine service on `engines` and the rollout pool.
pub fn engine_site(engines: &[&BackEnd]) -> ScriptedGroups {
    let model = MODEL.to_owned();
    let mut changes = vec![put_service(ENGINES, ServiceKind::Engines { model })];
    changes.extend(
        engines
            .iter()
            .enumerate()
            .map(|(number, server)| put_server(ENGINES, &format!("lm-{number}"), server.address())),
    );
    changes.push(put_pool(engines[0].address()));
    ScriptedGroups::start(changes)
}
