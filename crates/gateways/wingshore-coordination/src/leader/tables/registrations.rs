//! Registry changes that are proposed but not applied yet, and the heartbeats that wait for them.

use crate::ids::InstanceId;
use std::collections::BTreeMap;
use wingshore_types::machine::RequestTag;

/// Unapplied changes of one server.
#[derive(Default)]
struct OpenChanges {
    count: usize,
    /// Heartbeats that add nothing to the proposed changes: they are acknowledged once these are
    /// applied.
    waiting: Vec<RequestTag>,
}

/// All servers with unapplied changes.
#[derive(Default)]
pub(crate) struct Registrations {
    open: BTreeMap<InstanceId, OpenChanges>,
}

impl Registrations {
    /// Records that a change of a server is proposed.
    pub(crate) fn proposed(&mut self, instance: InstanceId) {
        self.open.entry(instance).or_default().count += 1;
    }

    /// Queues a heartbeat until all proposed changes of its server are applied; returns `false` if
    /// there are none.
    pub(crate) fn wait(&mut self, instance: &InstanceId, tag: RequestTag) -> bool {
        let Some(changes) = self.open.get_mut(instance) else {
            return false;
        };
        changes.waiting.push(tag);
        true
    }

    /// Records that a change of a server is applied. Returns the queued heartbeats once no change
    /// is left.
    pub(crate) fn applied(&mut self, instance: &InstanceId) -> Vec<RequestTag> {
        let Some(changes) = self.open.get_mut(instance) else {
            return Vec::new();
        };
        changes.count -= 1;
        if changes.count > 0 {
            return Vec::new();
        }
        let changes = self.open.remove(instance);
        changes.map(|changes| changes.waiting).unwrap_or_default()
    }
}
