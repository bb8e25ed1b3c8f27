//! Servers as they register themselves.

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
    /// Which run of the server.
    pub instance: InstanceId,
    /// Of which service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
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

/// What a server says of itself, again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server.
    pub server: ServerRecord,
    /// Rises with each heartbeat of this run, so that a late one can be told.
    pub sequence: u64,
}

/// A server that a coordinator has heard of, and that says what the registry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardServer {
    /// The server.
    pub instance: InstanceId,
    /// Of its newest heartbeat.
    pub sequence: u64,
}

impl ServerRecord {
    /// The same server without its models, which change with each load of weights.
    pub fn without_models(&self) -> Self {
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

    /// Notes that it holds at least `version` of `model`; versions of one run never fall.
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
