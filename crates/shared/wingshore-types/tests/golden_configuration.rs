//! Encodings and JSON of configurations and their changes.

mod golden;

use golden::examples::{configuration, engines, pool, pool_id, server, service};
use golden::{check, check_json};
use googletest::prelude::*;
use wingshore_types::configuration::{Admission, ConfigurationChange, ServiceKind, SwapPolicy};
use wingshore_types::{ServerId, ServiceId, WeightVersion};

fn changes() -> Vec<ConfigurationChange> {
    vec![
        ConfigurationChange::PutService(engines()),
        ConfigurationChange::PutService(service(ServiceKind::Live)),
        ConfigurationChange::RemoveService(ServiceId::new("service-1")),
        ConfigurationChange::PutServer(server(Admission::Open)),
        ConfigurationChange::PutServer(server(Admission::Draining)),
        ConfigurationChange::RemoveServer(ServerId::new("server-1")),
        ConfigurationChange::SetAdmission {
            server: ServerId::new("server-1"),
            admission: Admission::Draining,
        },
        ConfigurationChange::PutPool(pool(SwapPolicy::Automatic)),
        ConfigurationChange::PutPool(pool(SwapPolicy::Planned)),
        ConfigurationChange::RemovePool(pool_id()),
        ConfigurationChange::SetTargetVersion {
            pool: pool_id(),
            version: WeightVersion(131),
        },
    ]
}

fn name_of_change(change: &ConfigurationChange) -> &'static str {
    match change {
        ConfigurationChange::PutService(service) => match service.kind {
            ServiceKind::Engines { .. } => "put_service_engines",
            ServiceKind::Live => "put_service_live",
        },
        ConfigurationChange::RemoveService(_) => "remove_service",
        ConfigurationChange::PutServer(server) => match server.admission {
            Admission::Open => "put_server_open",
            Admission::Draining => "put_server_draining",
        },
        ConfigurationChange::RemoveServer(_) => "remove_server",
        ConfigurationChange::SetAdmission { .. } => "set_admission",
        ConfigurationChange::PutPool(pool) => match pool.swap {
            SwapPolicy::Automatic => "put_pool_automatic",
            SwapPolicy::Planned => "put_pool_planned",
        },
        ConfigurationChange::RemovePool(_) => "remove_pool",
        ConfigurationChange::SetTargetVersion { .. } => "set_target_version",
    }
}

#[gtest]
fn change_encodings_and_json_are_stable() {
    let golden = include_str!("golden/changes.txt");
    check(golden, &changes(), name_of_change);
    let golden = include_str!("golden/changes.json.txt");
    check_json(golden, &changes(), name_of_change);
}

#[gtest]
fn configuration_encodings_and_json_are_stable() {
    let golden = include_str!("golden/configuration.txt");
    check(golden, &[configuration()], |_| "configuration");
    let golden = include_str!("golden/configuration.json.txt");
    check_json(golden, &[configuration()], |_| "configuration");
}
