//! Which engines each service has, and which services need no check because all is done there.

use std::collections::BTreeMap;
use wingshore_types::ids::{ServerId, ServiceId};

/// The engines of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEngines {
    members: Vec<ServerId>,
    /// Every engine serves what is wanted, and nothing has been heard since that speaks against it.
    is_settled: bool,
}

/// Engines by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceIndex {
    services: BTreeMap<ServiceId, ServiceEngines>,
}

impl ServiceIndex {
    /// The index of a new configuration; no service is settled.
    pub(crate) fn new<'a>(engines: impl Iterator<Item = (&'a ServerId, &'a ServiceId)>) -> Self {
        let mut index = Self::default();
        for (server, service) in engines {
            let engines = index.services.entry(service.clone()).or_default();
            engines.members.push(server.clone());
        }
        index
    }

    /// Services that may have something to do.
    pub(crate) fn unsettled(&self) -> Vec<ServiceId> {
        let unsettled = self
            .services
            .iter()
            .filter(|(_, engines)| !engines.is_settled);
        unsettled.map(|(id, _)| id.clone()).collect()
    }

    /// The engines of a service.
    pub(crate) fn members(&self, service: &ServiceId) -> &[ServerId] {
        self.services
            .get(service)
            .map_or(&[], |engines| engines.members.as_slice())
    }

    /// Notes whether a service has nothing to do.
    pub(crate) fn set_settled(&mut self, service: &ServiceId, is_settled: bool) {
        if let Some(engines) = self.services.get_mut(service) {
            engines.is_settled = is_settled;
        }
    }
}
