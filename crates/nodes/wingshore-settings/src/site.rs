//! The site file: services, servers and pools, which an operator applies through a plan.

use crate::document::Document;
use crate::error::{ErrorSink, SettingsErrors};
use crate::reader::TableReader;
use crate::units::{DurationSetting, IntegerSetting};
use std::collections::BTreeSet;
use std::time::Duration;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::{PoolId, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};

/// The services, servers and pools of a site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteFile {
    /// Services, in the order of the file.
    pub services: Vec<Service>,
    /// Servers, in the order of the file.
    pub servers: Vec<Server>,
    /// Pools, in the order of the file.
    pub pools: Vec<Pool>,
}

impl SiteFile {
    /// Returns the changes that turn an empty configuration into this one.
    pub fn changes(&self) -> Vec<ConfigurationChange> {
        let services = self.services.iter().cloned();
        let servers = self.servers.iter().cloned();
        let pools = self.pools.iter().cloned();
        services
            .map(ConfigurationChange::PutService)
            .chain(servers.map(ConfigurationChange::PutServer))
            .chain(pools.map(ConfigurationChange::PutPool))
            .collect()
    }
}

/// Value of a service's `kind` key.
#[derive(Clone, Copy)]
enum DeclaredKind {
    Engines,
    Live,
}

/// Maximum requests in flight on one server.
const SLOTS_PER_SERVER: IntegerSetting = IntegerSetting {
    key: "slots_per_server",
    default: 16,
    minimum: 1,
    maximum: 4096,
};
/// Share of slots guaranteed to live requests, in thousandths.
const LIVE_SHARE: IntegerSetting = IntegerSetting {
    key: "live_share",
    default: 500,
    minimum: 0,
    maximum: 1000,
};
/// Deadline of a request whose caller sets none.
const DEFAULT_DEADLINE: DurationSetting = DurationSetting {
    key: "default_deadline",
    default: Duration::from_secs(30),
    minimum: Duration::from_millis(10),
    maximum: Duration::from_secs(3600),
};
/// Maximum number of weight versions by which a delivered sample is older than the trainer's.
const STALENESS_BOUND: IntegerSetting = IntegerSetting {
    key: "staleness_bound",
    default: 2,
    minimum: 0,
    maximum: 1000,
};
/// Weight of the trainer's idle time relative to staleness, in thousandths.
const IDLE_WEIGHT: IntegerSetting = IntegerSetting {
    key: "idle_weight",
    default: 500,
    minimum: 0,
    maximum: 1000,
};
/// Number of the ledger group that holds a pool's samples.
const LEDGER: IntegerSetting = IntegerSetting {
    key: "ledger",
    default: 1,
    minimum: 1,
    maximum: 64,
};
/// Maximum number of samples submitted and not yet acknowledged.
const MAX_OPEN_SAMPLES: IntegerSetting = IntegerSetting {
    key: "max_open_samples",
    default: 65_536,
    minimum: 1,
    maximum: 1_000_000,
};
/// Duration of a node's lease on a sample, unless renewed.
const SAMPLE_LEASE: DurationSetting = DurationSetting {
    key: "sample_lease",
    default: Duration::from_secs(10),
    minimum: Duration::from_millis(500),
    maximum: Duration::from_secs(3600),
};

/// Parses a site file.
///
/// # Errors
/// Returns every error in the file, including duplicate ids and references to undefined names.
pub fn site_from_text(file: &str, text: &str) -> Result<SiteFile, SettingsErrors> {
    let sink = ErrorSink::new(file);
    let site = Document::parse(text, &sink).map(|document| read(document.reader(&sink)));
    sink.finish(site)
}

pub(crate) fn read(keys: TableReader<'_>) -> SiteFile {
    keys.required_choice("role", &[("site", ())]);
    let zones: BTreeSet<ZoneId> = keys.names("zones").into_iter().collect();
    let services = read_services(&keys);
    let servers = read_servers(&keys, &services, &zones);
    let pools = read_pools(&keys, &services);
    keys.finish();
    SiteFile {
        services: services.valid,
        servers,
        pools,
    }
}

/// The services of the file. A service with errors is missing from `valid`, but its id is in
/// `ids_in_file`, so that references to it are not reported as errors.
#[derive(Default)]
struct Services {
    valid: Vec<Service>,
    ids_in_file: Vec<ServiceId>,
}

fn read_services(keys: &TableReader<'_>) -> Services {
    let mut services = Services::default();
    let mut ids = BTreeSet::new();
    for table in keys.tables("service") {
        let id = table.name::<ServiceId>("id");
        reject_duplicate_id(&table, id.as_ref().map(ServiceId::as_str), &mut ids);
        let is_new = id
            .as_ref()
            .is_some_and(|id| !services.ids_in_file.contains(id));
        let service = read_service(&table, id.clone());
        if is_new {
            services.ids_in_file.extend(id);
            services.valid.extend(service);
        }
        table.finish();
    }
    services
}

fn read_service(keys: &TableReader<'_>, id: Option<ServiceId>) -> Option<Service> {
    let kinds = [
        ("engines", DeclaredKind::Engines),
        ("live", DeclaredKind::Live),
    ];
    let kind = match keys.required_choice("kind", &kinds) {
        Some(DeclaredKind::Engines) => keys
            .text("model")
            .map(|model| ServiceKind::Engines { model }),
        Some(DeclaredKind::Live) => Some(ServiceKind::Live),
        None => {
            // Without a valid kind it is unknown whether the service needs a model, so the key is
            // accepted.
            let _ = keys.optional_text("model");
            None
        }
    };
    let slots_per_server = keys.ranged_integer(&SLOTS_PER_SERVER);
    let live_share = Permille(keys.ranged_integer(&LIVE_SHARE));
    let default_deadline_ms = milliseconds(keys.ranged(&DEFAULT_DEADLINE));
    Some(Service {
        id: id?,
        kind: kind?,
        slots_per_server,
        live_share,
        default_deadline_ms,
    })
}

fn read_servers(
    keys: &TableReader<'_>,
    services: &Services,
    zones: &BTreeSet<ZoneId>,
) -> Vec<Server> {
    let mut servers = Vec::new();
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for table in keys.tables("server") {
        let server = read_server(&table, services, zones);
        reject_duplicate_id(&table, server.as_ref().map(|s| s.id.as_str()), &mut ids);
        if let Some(server) = server {
            if !addresses.insert(server.address) {
                let found = format!("{} twice", server.address);
                table.reject("address", &found, "each address once");
            }
            servers.push(server);
        }
        table.finish();
    }
    servers
}

fn read_server(
    keys: &TableReader<'_>,
    services: &Services,
    zones: &BTreeSet<ZoneId>,
) -> Option<Server> {
    let id = keys.name::<ServerId>("id");
    let service = keys.name::<ServiceId>("service");
    let address = keys.address("address");
    let zone = keys.name::<ZoneId>("zone");
    if let Some(service) = &service {
        check_service(keys, service, services);
    }
    if let Some(zone) = &zone
        && !zones.contains(zone)
    {
        let known: Vec<&str> = zones.iter().map(ZoneId::as_str).collect();
        keys.reject(
            "zone",
            &format!("\"{zone}\""),
            &listed_names_rule("zones", &known),
        );
    }
    Some(Server {
        id: id?,
        service: service?,
        address: address?,
        zone: zone?,
        admission: Admission::Open,
    })
}

fn read_pools(keys: &TableReader<'_>, services: &Services) -> Vec<Pool> {
    let mut pools = Vec::new();
    let mut ids = BTreeSet::new();
    for table in keys.tables("pool") {
        let pool = read_pool(&table, services);
        reject_duplicate_id(&table, pool.as_ref().map(|p| p.id.as_str()), &mut ids);
        pools.extend(pool);
        table.finish();
    }
    pools
}

fn read_pool(keys: &TableReader<'_>, services: &Services) -> Option<Pool> {
    let id = keys.name::<PoolId>("id");
    let service = keys.name::<ServiceId>("service");
    let trainer = keys.name::<TrainerId>("trainer");
    let scorer = keys.address("scorer");
    let weight_store = keys.address("weight_store");
    let swap = keys.choice(
        "swap",
        SwapPolicy::Automatic,
        &[
            ("automatic", SwapPolicy::Automatic),
            ("planned", SwapPolicy::Planned),
        ],
    );
    let staleness_bound = keys.ranged(&STALENESS_BOUND);
    let idle_weight = Permille(keys.ranged_integer(&IDLE_WEIGHT));
    let ledger = keys.ranged_integer(&LEDGER);
    let max_open_samples = keys.ranged_integer(&MAX_OPEN_SAMPLES);
    let sample_lease_ms = milliseconds(keys.ranged(&SAMPLE_LEASE));
    if let Some(service) = &service {
        check_service(keys, service, services);
        check_serves_engines(keys, service, services);
    }
    Some(Pool {
        id: id?,
        service: service?,
        trainer: trainer?,
        staleness_bound,
        idle_weight,
        ledger,
        scorer: scorer?,
        weight_store: weight_store?,
        swap,
        max_open_samples,
        sample_lease_ms,
        target_version: WeightVersion(0),
    })
}

/// Reports a reference to a service that the file does not define.
fn check_service(keys: &TableReader<'_>, id: &ServiceId, services: &Services) {
    if services.ids_in_file.contains(id) {
        return;
    }
    let known: Vec<&str> = services.ids_in_file.iter().map(ServiceId::as_str).collect();
    keys.reject(
        "service",
        &format!("\"{id}\""),
        &listed_names_rule("service", &known),
    );
}

/// Reports a pool whose service is of kind live.
fn check_serves_engines(keys: &TableReader<'_>, id: &ServiceId, services: &Services) {
    let live = services
        .valid
        .iter()
        .any(|service| &service.id == id && service.kind == ServiceKind::Live);
    if live {
        let found = format!("\"{id}\", whose kind is live");
        keys.reject("service", &found, "a service whose kind is engines");
    }
}

fn reject_duplicate_id(keys: &TableReader<'_>, id: Option<&str>, ids: &mut BTreeSet<String>) {
    let Some(id) = id else { return };
    if !ids.insert(id.to_owned()) {
        keys.reject("id", &format!("\"{id}\" twice"), "each id once");
    }
}

/// Describes a reference to one of the names listed under `kind`.
fn listed_names_rule(kind: &str, known: &[&str]) -> String {
    if known.is_empty() {
        return format!("a name listed under `{kind}`; none is");
    }
    format!("a name listed under `{kind}`: \"{}\"", known.join("\", \""))
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
