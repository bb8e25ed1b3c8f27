//! Servers as they register themselves: the registry's record of a server, and its heartbeats.

use crate::ids::{InstanceId, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One model of an engine, and the weights it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: u64,
}

/// A server as the registry holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Which incarnation of the server.
    pub instance: InstanceId,
    /// Of which service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving: it finishes what it has and gets nothing new.
    pub draining: bool,
    /// Whether its provider may take it away at short notice.
    pub reclaimable: bool,
    /// Models and versions; for engines.
    pub models: Vec<ModelVersion>,
}

/// The status that a server reports again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server.
    pub server: ServerRecord,
    /// Rises with each heartbeat of this incarnation, so that a late one is recognised.
    pub sequence: u64,
}

/// A server whose heartbeat a coordinator has received, and whose status is as the registry holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedServer {
    /// The server.
    pub instance: InstanceId,
    /// Of its newest heartbeat.
    pub sequence: u64,
}

impl ServerRecord {
    /// The same server without its models, which change with each load of weights.
    pub(crate) fn without_models(&self) -> Self {
        Self {
            models: Vec::new(),
            ..self.clone()
        }
    }

    /// The version of `model` it holds; `None` when it does not serve the model.
    pub fn version_of(&self, model: &ModelName) -> Option<u64> {
        let known = self.models.iter().find(|entry| entry.model == *model)?;
        Some(known.version)
    }

    /// Notes that it holds at least `version` of `model`; versions of one incarnation never fall.
    pub fn raise_version(&mut self, model: &ModelName, version: u64) -> bool {
        match self.models.iter_mut().find(|entry| entry.model == *model) {
            Some(entry) if entry.version < version => {
                entry.version = version;
                true
            }
            _ => false,
        }
    }
}
