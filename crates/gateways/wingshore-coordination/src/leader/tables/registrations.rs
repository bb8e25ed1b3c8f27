//! Changes of the registry that are proposed and not applied yet, and the heartbeats that wait for them.

use crate::ids::InstanceId;
use std::collections::BTreeMap;
use wingshore_types::machine::RequestTag;

/// The open changes of one server.
#[derive(Default)]
struct OpenChanges {
    count: usize,
    /// Heartbeats that say no more than what is proposed: their acknowledgement stands for it.
    waiting: Vec<RequestTag>,
}

/// All servers with open changes.
#[derive(Default)]
pub(crate) struct Registrations {
    open: BTreeMap<InstanceId, OpenChanges>,
}

impl Registrations {
    /// A change of a server is proposed.
    pub(crate) fn proposed(&mut self, instance: InstanceId) {
        self.open.entry(instance).or_default().count += 1;
    }

    /// Lets a heartbeat wait until all that is proposed of its server is applied; `false` where nothing is.
    pub(crate) fn wait(&mut self, instance: &InstanceId, tag: RequestTag) -> bool {
        let Some(changes) = self.open.get_mut(instance) else {
            return false;
        };
        changes.waiting.push(tag);
        true
    }

    /// A change of a server is applied. Gives the heartbeats that waited, once it was the last one.
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
