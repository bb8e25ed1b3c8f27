//! One run's load and policy: the site's files and the options of the command line.

use super::settings::BenchSettings;
use crate::fleet::lab_settings::LabSettings;
use crate::stand_ins::engine::EngineSettings;
use crate::stand_ins::scorer::ScorerSettings;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::time::Duration;
use wingshore_settings::{Overrides, SiteFile, node_from_text, site_from_text};
use wingshore_types::configuration::{Permille, Pool, Server, Service, ServiceKind};
use wingshore_types::{NodeId, ZoneId};

/// Latency within a zone is this part of the one between zones.
const ZONE_LATENCY_DIVISOR: u32 = 5;

/// Why a benchmark cannot begin.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file is not as it has to be.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: Box<toml::de::Error>,
    },
    /// A settings file of the product is not as it has to be.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: wingshore_settings::SettingsErrors,
    },
    /// The site lacks something that a benchmark needs.
    #[snafu(display("the site has no {what}"))]
    Missing {
        /// What.
        what: &'static str,
    },
}

/// How rollouts and swaps are decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin, the whole batch waits, all engines swap at once.
    Baseline,
    /// The product's.
    Default,
}

impl std::str::FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "baseline" => Ok(Self::Baseline),
            "default" => Ok(Self::Default),
            _ => Err(format!("`{text}` is no policy; write baseline or default")),
        }
    }
}

impl std::fmt::Display for Policy {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Baseline => "baseline",
            Self::Default => "default",
        })
    }
}

/// What a run varies.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The policy.
    pub policy: Policy,
    /// Weight on idle time instead of the pool's own.
    pub weight: Option<u16>,
    /// Factor on all engine times.
    pub step_time_scale: f64,
    /// No trainer and no rollouts.
    pub without_rollouts: bool,
    /// Live requests beyond what the engines can serve, all the time.
    pub flood: bool,
}

/// A node and where it stands.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// Its name.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
}

/// Everything that a run's outcome depends on, but its seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What operators apply.
    pub site: SiteFile,
    /// The pool.
    pub pool: Pool,
    /// The service of its engines.
    pub service: Service,
    /// The model they serve.
    pub model: String,
    /// The engines.
    pub engines: Vec<Server>,
    /// The node that runs the pool's samples.
    pub rollout_node: NodePlace,
    /// Nodes beside live callers.
    pub live_nodes: Vec<NodePlace>,
    /// How one engine behaves.
    pub engine: EngineSettings,
    /// How the scorer behaves.
    pub scorer: ScorerSettings,
    /// One way between zones.
    pub one_way: Duration,
    /// The load.
    pub bench: BenchSettings,
    /// What the run varies.
    pub options: RunOptions,
}

impl Scenario {
    /// Reads a site's files.
    ///
    /// # Errors
    /// When one of them is missing or wrong.
    pub fn read(folder: &Path, options: RunOptions) -> Result<Self, ScenarioError> {
        let site_path = folder.join("site.toml");
        let mut site = site_from_text(&site_path.to_string_lossy(), &read(&site_path)?)
            .context(SettingsSnafu)?;
        let lab: LabSettings = parse(&folder.join("lab.toml"))?;
        let bench: BenchSettings = parse(&folder.join("bench.toml"))?;
        if let Some(weight) = options.weight {
            for pool in &mut site.pools {
                pool.idle_weight = Permille(weight);
            }
        }
        let pool = site.pools.first().cloned();
        let pool = pool.context(MissingSnafu { what: "pool" })?;
        let service = site.services.iter().find(|item| item.id == pool.service);
        let service = service.cloned().context(MissingSnafu { what: "service" })?;
        let ServiceKind::Engines { model } = service.kind.clone() else {
            return MissingSnafu { what: "engines" }.fail();
        };
        let of_pool = |server: &&Server| server.service == pool.service;
        let engines = site.servers.iter().filter(of_pool).cloned().collect();
        let (rollout_node, live_nodes) = read_nodes(folder, &pool)?;
        let engine = engine_settings(&lab.engine, &model, &bench, options.step_time_scale);
        Ok(Self {
            engine,
            scorer: lab.scorer,
            one_way: lab.network.one_way,
            model,
            engines,
            rollout_node,
            live_nodes,
            service,
            pool,
            site,
            bench,
            options,
        })
    }

    /// One way between two zones.
    pub fn latency(&self, from: &ZoneId, to: &ZoneId) -> Duration {
        match from == to {
            true => self.one_way / ZONE_LATENCY_DIVISOR,
            false => self.one_way,
        }
    }
}

/// The node that runs the pool, and those beside live callers.
fn read_nodes(folder: &Path, pool: &Pool) -> Result<(NodePlace, Vec<NodePlace>), ScenarioError> {
    let folder = folder.join("nodes");
    let entries = std::fs::read_dir(&folder).context(ReadSnafu { path: &folder })?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    let mut rollout = None;
    let mut live = Vec::new();
    for path in paths {
        let settings = node_from_text(
            &path.to_string_lossy(),
            &read(&path)?,
            &Overrides::default(),
        )
        .context(SettingsSnafu)?;
        let place = NodePlace {
            id: settings.node,
            zone: settings.zone,
        };
        if settings.rollout.pools.contains(&pool.id) && rollout.is_none() {
            rollout = Some(place);
        } else if !place.id.as_str().contains("scorer") {
            live.push(place);
        }
    }
    let rollout = rollout.context(MissingSnafu {
        what: "node that runs the pool",
    })?;
    Ok((rollout, live))
}

fn engine_settings(
    lab: &EngineSettings,
    model: &str,
    bench: &BenchSettings,
    scale: f64,
) -> EngineSettings {
    EngineSettings {
        model: model.to_owned(),
        kv_capacity_tokens: bench.engines.kv_capacity_tokens,
        tokens_per_event: bench.engines.tokens_per_event,
        swap_pause: bench.engines.swap_pause,
        length_median: bench.workload.length_median,
        length_sigma: bench.workload.length_sigma,
        step_base: lab.step_base.mul_f64(scale),
        step_per_sequence: lab.step_per_sequence.mul_f64(scale),
        step_per_thousand_context: lab.step_per_thousand_context.mul_f64(scale),
        prefill_per_thousand: lab.prefill_per_thousand.mul_f64(scale),
        ..lab.clone()
    }
}

fn read(path: &Path) -> Result<String, ScenarioError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn parse<T: DeserializeOwned>(path: &Path) -> Result<T, ScenarioError> {
    toml::from_str(&read(path)?)
        .map_err(Box::new)
        .context(ParseSnafu { path })
}
