//! Validation of changes, beyond the names that [`Configuration::check`] checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind,
};
use wingshore_types::ids::ServerId;

/// Checks `changes` in order, each against the configuration that the earlier ones lead to.
///
/// # Errors
/// Returns a message that names the invalid change, the reason and the allowed values.
pub(crate) fn check_in_order(
    configuration: &Configuration,
    changes: &[ConfigurationChange],
) -> Result<(), String> {
    let mut copy = configuration.clone();
    for (position, change) in changes.iter().enumerate() {
        let checked = check_values(&copy, change)
            .and_then(|()| copy.apply(change).map_err(|error| error.message));
        checked.map_err(|message| {
            format!("change {} of {}: {message}", position + 1, changes.len())
        })?;
    }
    check_addresses(&copy)
}

fn check_values(before: &Configuration, change: &ConfigurationChange) -> Result<(), String> {
    match change {
        ConfigurationChange::PutService(service) => check_service(before, service),
        ConfigurationChange::PutServer(server) => check_server(server),
        ConfigurationChange::PutPool(pool) => check_pool(pool),
        ConfigurationChange::RemoveServer(_)
        | ConfigurationChange::RemoveService(_)
        | ConfigurationChange::SetAdmission { .. }
        | ConfigurationChange::RemovePool(_)
        | ConfigurationChange::SetTargetVersion { .. } => Ok(()),
    }
}

fn check_service(before: &Configuration, service: &Service) -> Result<(), String> {
    let of = format!("service `{}`", service.id);
    check_name(&of, service.id.as_str())?;
    check_at_least_one(&of, "slots_per_server", u64::from(service.slots_per_server))?;
    check_at_least_one(&of, "default_deadline_ms", service.default_deadline_ms)?;
    check_share(&of, "live_share", service.live_share)?;
    if service.kind == ServiceKind::Live {
        let user = before
            .pools
            .values()
            .find(|pool| pool.service == service.id);
        if let Some(pool) = user {
            return Err(format!(
                "{of}: kind is live, but pool `{}` needs engines; remove the pool first",
                pool.id
            ));
        }
    }
    Ok(())
}

fn check_server(server: &Server) -> Result<(), String> {
    check_name(&format!("server `{}`", server.id), server.id.as_str())
}

fn check_pool(pool: &Pool) -> Result<(), String> {
    let of = format!("pool `{}`", pool.id);
    check_name(&of, pool.id.as_str())?;
    check_share(&of, "idle_weight", pool.idle_weight)?;
    check_at_least_one(&of, "max_open_samples", u64::from(pool.max_open_samples))?;
    check_at_least_one(&of, "sample_lease_ms", pool.sample_lease_ms)
}

fn check_name(of: &str, name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err(format!(
            "{of}: the name is empty; at least one character is needed"
        ));
    }
    Ok(())
}

fn check_at_least_one(of: &str, field: &str, value: u64) -> Result<(), String> {
    if value == 0 {
        return Err(format!("{of}: {field} is 0; at least 1 is allowed"));
    }
    Ok(())
}

fn check_share(of: &str, field: &str, share: Permille) -> Result<(), String> {
    if share > Permille::WHOLE {
        return Err(format!(
            "{of}: {field} is {}; 0 to 1000 is allowed",
            share.0
        ));
    }
    Ok(())
}

/// Checks that each address belongs to one server only: an order or a poll meant for one server
/// must not reach another.
fn check_addresses(configuration: &Configuration) -> Result<(), String> {
    let mut owners: BTreeMap<SocketAddr, &ServerId> = BTreeMap::new();
    for server in configuration.servers.values() {
        if let Some(other) = owners.insert(server.address, &server.id) {
            return Err(format!(
                "servers `{other}` and `{}` both listen at {}; each needs an address of its own",
                server.id, server.address
            ));
        }
    }
    Ok(())
}
