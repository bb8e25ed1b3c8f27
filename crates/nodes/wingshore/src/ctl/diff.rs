//! Changes of configuration as people read them: what is added, what is removed, and which
//! fields of what is there already get which values.

use serde::Serialize;
use serde_json::Value;
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Pool, Server, Service, ServiceKind,
};

/// One change in words, against what the configuration holds now. Without a configuration only
/// what is wanted is told.
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
            let now = current
                .and_then(|current| current.servers.get(server))
                .map(|server| word(&server.admission));
            let arrow = arrow_text(now, word(admission));
            format!("admission of server {server}: {arrow}")
        }
        ConfigurationChange::SetTargetVersion { pool, version } => {
            let now = current
                .and_then(|current| current.pools.get(pool))
                .map(|pool| pool.target_version.to_string());
            let arrow = arrow_text(now, version.to_string());
            format!("target version of pool {pool}: {arrow}")
        }
    }
}

/// A service's fields in a few words.
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

/// A server's fields in a few words.
pub fn server_text(server: &Server) -> String {
    format!(
        "{} in zone {}, service {}, {}",
        server.address,
        server.zone,
        server.service,
        word(&server.admission)
    )
}

/// A pool's fields in a few words.
pub fn pool_text(pool: &Pool) -> String {
    format!(
        "service {}, trainer {}, staleness bound {}, swaps {}, target version {}",
        pool.service,
        pool.trainer,
        pool.staleness_bound,
        word(&pool.swap),
        pool.target_version
    )
}

/// A value that JSON writes as one word.
fn word(value: &impl Serialize) -> String {
    show(&serde_json::to_value(value).unwrap_or_default())
}

fn put_text<T: Serialize>(
    name: &str,
    wanted: &T,
    current: Option<Option<&T>>,
    whole: impl Fn(&T) -> String,
) -> String {
    match current {
        None => format!("{name}: {}", whole(wanted)),
        Some(None) => format!("add {name}: {}", whole(wanted)),
        Some(Some(existing)) => {
            let fields = field_changes(existing, wanted);
            if fields.is_empty() {
                return format!("{name} stays as it is");
            }
            format!("change {name}: {}", fields.join(", "))
        }
    }
}

/// `key old -> new` for each field that differs.
fn field_changes<T: Serialize>(existing: &T, wanted: &T) -> Vec<String> {
    let existing = serde_json::to_value(existing).unwrap_or_default();
    let wanted = serde_json::to_value(wanted).unwrap_or_default();
    let fields = wanted.as_object().into_iter().flatten();
    fields
        .filter(|(key, value)| existing.get(key) != Some(value))
        .map(|(key, value)| {
            let now = existing.get(key).map(show);
            format!("{key} {}", arrow_text(now, show(value)))
        })
        .collect()
}

fn arrow_text(now: Option<String>, wanted: String) -> String {
    match now {
        Some(now) => format!("{now} -> {wanted}"),
        None => wanted,
    }
}

fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
