//! Server records of the registry, and the heartbeats that servers send.

use crate::ids::{InstanceId, ModelName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A model of an engine, and the version of its loaded weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: u64,
}

/// The registry's record of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Incarnation of the server.
    pub instance: InstanceId,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Number of requests that the server handles concurrently.
    pub slots: u32,
    /// Whether the server is draining: it finishes its requests and gets no new ones.
    pub draining: bool,
    /// Whether the provider may reclaim the server at short notice.
    pub reclaimable: bool,
    /// Models and their weight versions; engines only.
    pub models: Vec<ModelVersion>,
}

/// The status that a server reports periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server.
    pub server: ServerRecord,
    /// Increases with each heartbeat of this incarnation, so that a late heartbeat is recognized.
    pub sequence: u64,
}

/// A server that has sent a heartbeat to a coordinator without any change to its registered status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedServer {
    /// The server.
    pub instance: InstanceId,
    /// Sequence number of the newest heartbeat.
    pub sequence: u64,
}

impl ServerRecord {
    /// Returns the record without its models, which change with each load of weights.
    pub(crate) fn without_models(&self) -> Self {
        Self {
            models: Vec::new(),
            ..self.clone()
        }
    }

    /// Returns the version of `model` that the server holds; `None` if it does not serve the model.
    pub fn version_of(&self, model: &ModelName) -> Option<u64> {
        let known = self.models.iter().find(|entry| entry.model == *model)?;
        Some(known.version)
    }

    /// Raises the recorded version of `model` to at least `version` and returns whether it changed;
    /// versions of one incarnation never decrease.
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
