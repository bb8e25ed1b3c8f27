//! Readable descriptions of configuration changes: added and removed objects, and the old and new
//! values of changed fields.

use serde::Serialize;
use serde_json::Value;
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Pool, Server, Service, ServiceKind,
};

/// Describes one change relative to the `current` configuration. Without a configuration, the text
/// holds only the new values.
pub fn change_text(change: &ConfigurationChange, current: Option<&Configuration>) -> String {
    match change {
        ConfigurationChange::PutService(service) => put_text(
            &format!("service {}", service.id),
            service,
            current.map(|current| current.services.get(&service.id)),
            service_text,
        ),
        ConfigurationChange::PutServer(server) => put_text(
            &format!("server {}", server.id),
            server,
            current.map(|current| current.servers.get(&server.id)),
            server_text,
        ),
        ConfigurationChange::PutPool(pool) => put_text(
            &format!("pool {}", pool.id),
            pool,
            current.map(|current| current.pools.get(&pool.id)),
            pool_text,
        ),
        ConfigurationChange::RemoveService(id) => format!("remove service {id}"),
        ConfigurationChange::RemoveServer(id) => format!("remove server {id}"),
        ConfigurationChange::RemovePool(id) => format!("remove pool {id}"),
        ConfigurationChange::SetAdmission { server, admission } => {
            let old = current
                .and_then(|current| current.servers.get(server))
                .map(|server| plain_json(&server.admission));
            let transition = transition_text(old, plain_json(admission));
            format!("admission of server {server}: {transition}")
        }
        ConfigurationChange::SetTargetVersion { pool, version } => {
            let old = current
                .and_then(|current| current.pools.get(pool))
                .map(|pool| pool.target_version.to_string());
            let transition = transition_text(old, version.to_string());
            format!("target version of pool {pool}: {transition}")
        }
    }
}

/// Summarizes the fields of a service.
pub fn service_text(service: &Service) -> String {
    let kind = match &service.kind {
        ServiceKind::Engines { model } => format!("engines of {model}"),
        ServiceKind::Live => "live".to_owned(),
    };
    format!(
        "{kind}, {} slots a server, live share {}/1000",
        service.slots_per_server, service.live_share.0
    )
}

/// Summarizes the fields of a server.
pub fn server_text(server: &Server) -> String {
    format!(
        "{} in zone {}, service {}, {}",
        server.address,
        server.zone,
        server.service,
        plain_json(&server.admission)
    )
}

/// Summarizes the fields of a pool.
pub fn pool_text(pool: &Pool) -> String {
    format!(
        "service {}, trainer {}, staleness bound {}, swaps {}, target version {}",
        pool.service,
        pool.trainer,
        pool.staleness_bound,
        plain_json(&pool.swap),
        pool.target_version
    )
}

/// Formats a value as JSON, a string without its quotes.
fn plain_json(value: &impl Serialize) -> String {
    value_text(&serde_json::to_value(value).unwrap_or_default())
}

fn put_text<T: Serialize>(
    name: &str,
    wanted: &T,
    current: Option<Option<&T>>,
    full_text: impl Fn(&T) -> String,
) -> String {
    match current {
        None => format!("{name}: {}", full_text(wanted)),
        Some(None) => format!("add {name}: {}", full_text(wanted)),
        Some(Some(existing)) => {
            let fields = field_changes(existing, wanted);
            if fields.is_empty() {
                return format!("{name} stays as it is");
            }
            format!("change {name}: {}", fields.join(", "))
        }
    }
}

/// Returns `key old -> new` for each field that differs.
fn field_changes<T: Serialize>(existing: &T, wanted: &T) -> Vec<String> {
    let existing = serde_json::to_value(existing).unwrap_or_default();
    let wanted = serde_json::to_value(wanted).unwrap_or_default();
    let fields = wanted.as_object().into_iter().flatten();
    fields
        .filter(|(key, value)| existing.get(key) != Some(value))
        .map(|(key, value)| {
            let old = existing.get(key).map(value_text);
            format!("{key} {}", transition_text(old, value_text(value)))
        })
        .collect()
}

fn transition_text(old: Option<String>, wanted: String) -> String {
    match old {
        Some(old) => format!("{old} -> {wanted}"),
        None => wanted,
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
