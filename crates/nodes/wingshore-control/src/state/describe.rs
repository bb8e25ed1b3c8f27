//! Changes in words, for conflicts and stale plans.

use wingshore_types::configuration::{Admission, ConfigurationChange};

/// Changes named one by one in a message; further ones are counted.
const CHANGES_NAMED: usize = 5;

/// One change in words.
pub(crate) fn describe(change: &ConfigurationChange) -> String {
    match change {
        ConfigurationChange::PutService(service) => format!("service `{}` was put", service.id),
        ConfigurationChange::RemoveService(id) => format!("service `{id}` was removed"),
        ConfigurationChange::PutServer(server) => format!("server `{}` was put", server.id),
        ConfigurationChange::RemoveServer(id) => format!("server `{id}` was removed"),
        ConfigurationChange::SetAdmission { server, admission } => match admission {
            Admission::Open => format!("server `{server}` was opened"),
            Admission::Draining => format!("server `{server}` was set to draining"),
        },
        ConfigurationChange::PutPool(pool) => format!("pool `{}` was put", pool.id),
        ConfigurationChange::RemovePool(id) => format!("pool `{id}` was removed"),
        ConfigurationChange::SetTargetVersion { pool, version } => {
            format!("the target version of pool `{pool}` was set to {version}")
        }
    }
}

/// Several changes in words, the newest first.
pub(crate) fn describe_all<'a>(
    changes: impl DoubleEndedIterator<Item = &'a ConfigurationChange> + ExactSizeIterator,
) -> String {
    let count = changes.len();
    let named: Vec<String> = changes.rev().take(CHANGES_NAMED).map(describe).collect();
    let mut text = named.join("; ");
    if count > CHANGES_NAMED {
        text.push_str(&format!("; and {} more before", count - CHANGES_NAMED));
    }
    text
}
