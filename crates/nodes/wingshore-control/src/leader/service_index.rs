//! Index of engines by service, with a flag for services whose engines need no check.

use std::collections::BTreeMap;
use wingshore_types::ids::{ServerId, ServiceId};

/// The engines of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEngines {
    members: Vec<ServerId>,
    /// Whether every engine serves the wanted version or is held, and no later report has changed
    /// that.
    is_settled: bool,
}

/// Index of engines by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceIndex {
    services: BTreeMap<ServiceId, ServiceEngines>,
}

impl ServiceIndex {
    /// Builds the index of a new configuration; no service is settled.
    pub(crate) fn new<'a>(engines: impl Iterator<Item = (&'a ServerId, &'a ServiceId)>) -> Self {
        let mut index = Self::default();
        for (server, service) in engines {
            let engines = index.services.entry(service.clone()).or_default();
            engines.members.push(server.clone());
        }
        index
    }

    /// Returns the services whose engines may need swaps.
    pub(crate) fn unsettled(&self) -> Vec<ServiceId> {
        let unsettled = self
            .services
            .iter()
            .filter(|(_, engines)| !engines.is_settled);
        unsettled.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the engines of a service.
    pub(crate) fn members(&self, service: &ServiceId) -> &[ServerId] {
        self.services
            .get(service)
            .map_or(&[], |engines| engines.members.as_slice())
    }

    /// Sets whether all engines of a service are settled.
    pub(crate) fn set_settled(&mut self, service: &ServiceId, is_settled: bool) {
        if let Some(engines) = self.services.get_mut(service) {
            engines.is_settled = is_settled;
        }
    }
}
