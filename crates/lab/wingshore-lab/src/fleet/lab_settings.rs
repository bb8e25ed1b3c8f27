//! `sites/<site>/lab.toml`: how the stand-ins of a site behave.

use crate::durations;
use crate::stand_ins::engine::EngineSettings;
use crate::stand_ins::live_caller::settings::LoadSettings;
use crate::stand_ins::live_server::LiveServerSettings;
use crate::stand_ins::scorer::ScorerSettings;
use crate::stand_ins::trainer::settings::TrainingSettings;
use crate::stand_ins::weight_store::WeightStoreSettings;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The whole file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LabSettings {
    /// The network and what lags on it.
    pub network: NetworkSettings,
    /// Engines; the model is that of their service.
    #[serde(default)]
    pub engine: EngineSettings,
    #[serde(default)]
    pub live_server: LiveServerSettings,
    /// Weight stores.
    #[serde(default)]
    pub weight_store: WeightStoreSettings,
    #[serde(default)]
    pub scorer: ScorerSettings,
    #[serde(default)]
    pub trainer: Vec<TrainerEntry>,
    #[serde(default)]
    pub live_caller: Vec<LiveCallerEntry>,
    /// What operators do meanwhile.
    pub operations: OperationSettings,
}

/// The network between zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSettings {
    /// One way between zones; back ends wait twice that before they work on a request.
    #[serde(with = "durations")]
    pub one_way: Duration,
    /// Where the machine list listens.
    pub machine_list: SocketAddr,
    /// How far it lags.
    #[serde(with = "durations")]
    pub machine_list_lag: Duration,
}

/// A trainer and the node beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrainerEntry {
    /// Its name, as the pool says it.
    pub name: String,
    /// Name of its node.
    pub node: String,
    pub pool: String,
    pub training: TrainingSettings,
}

/// Live callers and the node beside them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiveCallerEntry {
    pub name: String,
    /// Name of their node.
    pub node: String,
    /// The live service they call.
    pub service: String,
    /// The model they ask for completions.
    pub model: Option<String>,
    /// What they send.
    pub load: LoadSettings,
}

/// What operators do while the site runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSettings {
    /// A server that is drained by a confirmed plan and opened again.
    pub drained_server: String,
    /// A server that the machine list says is leaving, and later is live again.
    pub leaving_server: String,
    /// A node that has a planned stop and is started again.
    pub restarted_node: String,
}
