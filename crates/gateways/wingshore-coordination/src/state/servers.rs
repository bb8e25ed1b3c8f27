//! The replicated registry of servers.

use crate::ids::{InstanceId, ServerName};
use crate::registry::ServerRecord;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of departed incarnations to remember, about 100 bytes each, so that a late
/// heartbeat does not bring one back. Heartbeats are late by seconds, in which few servers of any
/// site depart.
const MAX_REMEMBERED_DEPARTURES: usize = 8192;

/// Registered servers, and the incarnations that have departed permanently.
///
/// Invariants: a departed incarnation is not registered again while it is remembered; a draining
/// incarnation stays draining, and its weight versions never decrease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ServerRegistry {
    pub(super) servers: BTreeMap<InstanceId, ServerRecord>,
    pub(super) departed: BTreeSet<InstanceId>,
    /// Departed incarnations in the order of departure, oldest first.
    pub(super) departures: VecDeque<InstanceId>,
}

impl ServerRegistry {
    /// Returns all registered incarnations of a server in the order of their start times: usually
    /// one.
    pub(super) fn incarnations_of<'a>(
        &'a self,
        name: &'a ServerName,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a ServerRecord)> + 'a {
        let first = InstanceId::new(name.clone(), None);
        let incarnations = self.servers.range(first..);
        incarnations.take_while(move |(instance, _)| instance.name() == name)
    }

    /// Returns the server's record as it appears in the gateways' view.
    pub(super) fn record_for_gateways(&self, instance: &InstanceId) -> Option<ServerRecord> {
        let server = self.servers.get(instance);
        server.map(ServerRecord::without_models)
    }

    /// Stores the record that a server reports, unless the incarnation has departed.
    pub(super) fn register(&mut self, mut server: ServerRecord) {
        if self.departed.contains(&server.instance) {
            return;
        }
        if let Some(held) = self.servers.get(&server.instance) {
            server.draining |= held.draining;
            for entry in &held.models {
                server.raise_version(&entry.model, entry.version);
            }
        }
        self.servers.insert(server.instance.clone(), server);
    }

    /// Removes an incarnation permanently.
    pub(super) fn depart(&mut self, instance: InstanceId) {
        self.servers.remove(&instance);
        if !self.departed.insert(instance.clone()) {
            return;
        }
        self.departures.push_back(instance);
        if self.departures.len() > MAX_REMEMBERED_DEPARTURES
            && let Some(oldest) = self.departures.pop_front()
        {
            self.departed.remove(&oldest);
        }
    }

    /// Removes an incarnation that has missed its heartbeats for too long; it may register again.
    pub(super) fn expire(&mut self, instance: &InstanceId) {
        self.servers.remove(instance);
    }
}
