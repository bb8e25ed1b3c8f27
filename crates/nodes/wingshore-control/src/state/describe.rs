//! Descriptions of changes, for the messages of conflicts and stale plans.

use wingshore_types::configuration::{Admission, ConfigurationChange};

/// Most changes described one by one in a message; further ones are counted.
const MAX_DESCRIBED_CHANGES: usize = 5;

/// Describes one change.
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

/// Describes several changes, the newest first.
pub(crate) fn describe_all<'a>(
    changes: impl DoubleEndedIterator<Item = &'a ConfigurationChange> + ExactSizeIterator,
) -> String {
    let count = changes.len();
    let named: Vec<String> = changes
        .rev()
        .take(MAX_DESCRIBED_CHANGES)
        .map(describe)
        .collect();
    let mut text = named.join("; ");
    if count > MAX_DESCRIBED_CHANGES {
        text.push_str(&format!(
            "; and {} more before",
            count - MAX_DESCRIBED_CHANGES
        ));
    }
    text
}
