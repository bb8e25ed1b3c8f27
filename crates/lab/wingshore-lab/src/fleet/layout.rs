//! The run folder: settings of each process, and how each is started.

use super::error::{FleetError, UnknownNameSnafu, WriteFileSnafu, WriteTomlSnafu};
use super::process::ProcessPlan;
use super::site::Site;
use crate::stand_ins::StandInKind;
use crate::stand_ins::engine::EngineSettings;
use crate::stand_ins::live_caller::settings::{LiveCallerSettings, LoadSettings};
use crate::stand_ins::live_server::LiveServerSettings;
use crate::stand_ins::machine_list::MachineListSettings;
use crate::stand_ins::scorer::ScorerSettings;
use crate::stand_ins::settings::{ListenSettings, ServerSettings};
use crate::stand_ins::trainer::settings::{TrainerSettings, TrainingSettings};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use wingshore_types::configuration::{Pool, Server, Service, ServiceKind};
use wingshore_types::platform::{Machine, MachineState};

/// Where everything of a run lies.
#[derive(Clone, Debug)]
pub struct RunFolder {
    root: PathBuf,
}

impl RunFolder {
    /// Makes the folders under `root`.
    pub fn create(root: &Path) -> Result<Self, FleetError> {
        let folder = Self {
            root: root.to_owned(),
        };
        for path in [
            folder.data(),
            folder.logs(),
            folder.settings(),
            folder.output(),
        ] {
            std::fs::create_dir_all(&path).context(WriteFileSnafu { path })?;
        }
        Ok(folder)
    }

    /// Data folders of replicas and nodes.
    pub fn data(&self) -> PathBuf {
        self.root.join("data")
    }

    /// Logs of stand-ins and of the fleet itself, one JSON object a line.
    pub fn logs(&self) -> PathBuf {
        self.root.join("logs")
    }

    /// Settings of all processes.
    pub fn settings(&self) -> PathBuf {
        self.root.join("settings")
    }

    /// What processes wrote to standard output and error.
    pub fn output(&self) -> PathBuf {
        self.root.join("output")
    }

    /// Log of a stand-in.
    pub fn log_of(&self, name: &str) -> PathBuf {
        self.logs().join(format!("{name}.jsonl"))
    }
}

/// All processes of a site, in the order in which they are started.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Engines, live servers and the platform's services.
    pub platform: Vec<ProcessPlan>,
    pub replicas: Vec<ProcessPlan>,
    pub nodes: Vec<ProcessPlan>,
    /// Trainers and live callers.
    pub callers: Vec<ProcessPlan>,
    /// The site file, for operators.
    pub site_file: PathBuf,
}

/// The programs that are started.
#[derive(Clone, Debug)]
pub struct Programs {
    pub wingshore: PathBuf,
    /// `wingshore-lab`.
    pub lab: PathBuf,
}

/// Writes the settings of all processes.
pub struct Layout<'a> {
    site: &'a Site,
    folder: &'a RunFolder,
    programs: &'a Programs,
    seed: u64,
}

impl<'a> Layout<'a> {
    pub fn new(site: &'a Site, folder: &'a RunFolder, programs: &'a Programs, seed: u64) -> Self {
        Self {
            site,
            folder,
            programs,
            seed,
        }
    }

    /// Writes all settings and answers how the processes are started.
    pub fn write(&self) -> Result<FleetPlan, FleetError> {
        let site_file = self.folder.settings().join("site.toml");
        write(&site_file, &self.site.file_text)?;
        Ok(FleetPlan {
            platform: self.platform()?,
            replicas: self.replicas()?,
            nodes: self.nodes()?,
            callers: self.callers()?,
            site_file,
        })
    }

    fn replicas(&self) -> Result<Vec<ProcessPlan>, FleetError> {
        let replicas = self.site.replicas.iter();
        replicas
            .map(|role| {
                let settings = &role.settings;
                self.wingshore("replica", &settings.name, settings.listen, &role.text)
            })
            .collect()
    }

    fn nodes(&self) -> Result<Vec<ProcessPlan>, FleetError> {
        let nodes = self.site.nodes.iter();
        nodes
            .map(|role| {
                let settings = &role.settings;
                self.wingshore("node", settings.node.as_str(), settings.listen, &role.text)
            })
            .collect()
    }

    fn platform(&self) -> Result<Vec<ProcessPlan>, FleetError> {
        let mut plans = vec![self.machine_list()?];
        for server in &self.site.file.servers {
            plans.push(self.server(server)?);
        }
        let pools = &self.site.file.pools;
        let stores: BTreeSet<SocketAddr> = pools.iter().map(|pool| pool.weight_store).collect();
        for (number, address) in stores.into_iter().enumerate() {
            plans.push(self.weight_store(number, address)?);
        }
        let scorers: BTreeSet<SocketAddr> = pools.iter().map(|pool| pool.scorer).collect();
        for (number, address) in scorers.into_iter().enumerate() {
            plans.push(self.scorer(number, address)?);
        }
        Ok(plans)
    }

    fn callers(&self) -> Result<Vec<ProcessPlan>, FleetError> {
        let mut plans = Vec::new();
        for (number, trainer) in self.site.lab.trainer.iter().enumerate() {
            let pool = self.pool(&trainer.pool)?;
            let settings = TrainerSettings {
                name: trainer.name.clone(),
                log: self.folder.log_of(&trainer.name),
                node: self.node_address(&trainer.node)?,
                weight_store: pool.weight_store,
                pool: trainer.pool.clone(),
                model: self.model_of(pool)?,
                staleness_bound: pool.staleness_bound,
                training: TrainingSettings {
                    seed: self.seed_of(1, number),
                    ..trainer.training.clone()
                },
            };
            plans.push(self.stand_in(StandInKind::Trainer, &trainer.name, None, &settings)?);
        }
        for (number, caller) in self.site.lab.live_caller.iter().enumerate() {
            let settings = LiveCallerSettings {
                name: caller.name.clone(),
                log: self.folder.log_of(&caller.name),
                node: self.node_address(&caller.node)?,
                service: caller.service.clone(),
                model: caller.model.clone(),
                load: LoadSettings {
                    seed: self.seed_of(2, number),
                    ..caller.load.clone()
                },
            };
            plans.push(self.stand_in(StandInKind::LiveCaller, &caller.name, None, &settings)?);
        }
        Ok(plans)
    }

    fn server(&self, server: &Server) -> Result<ProcessPlan, FleetError> {
        let service = self.service(server.service.as_str())?;
        let process = self.process(server.id.as_str(), server.address);
        match &service.kind {
            ServiceKind::Engines { model } => {
                let behaviour = EngineSettings {
                    model: model.clone(),
                    ..self.site.lab.engine.clone()
                };
                self.back_end(StandInKind::Engine, process, behaviour)
            }
            ServiceKind::Live => {
                let behaviour = LiveServerSettings {
                    seed: self.seed ^ u64::from(server.address.port()),
                    ..self.site.lab.live_server.clone()
                };
                self.back_end(StandInKind::LiveServer, process, behaviour)
            }
        }
    }

    fn machine_list(&self) -> Result<ProcessPlan, FleetError> {
        let network = &self.site.lab.network;
        let servers = self.site.file.servers.iter();
        let machines = servers.map(|server| Machine {
            id: server.id.clone(),
            address: server.address,
            zone: server.zone.clone(),
            services: vec![server.service.clone()],
            state: MachineState::Live,
        });
        let behaviour = MachineListSettings {
            lag: network.machine_list_lag,
            machines: machines.collect(),
        };
        let process = self.process("machine-list", network.machine_list);
        self.back_end(StandInKind::MachineList, process, behaviour)
    }

    fn weight_store(&self, number: usize, address: SocketAddr) -> Result<ProcessPlan, FleetError> {
        let process = self.process(&format!("weight-store-{}", number + 1), address);
        let behaviour = self.site.lab.weight_store.clone();
        self.back_end(StandInKind::WeightStore, process, behaviour)
    }

    fn scorer(&self, number: usize, address: SocketAddr) -> Result<ProcessPlan, FleetError> {
        let process = self.process(&format!("scorer-{}", number + 1), address);
        let behaviour = ScorerSettings {
            seed: self.seed_of(3, number),
            ..self.site.lab.scorer.clone()
        };
        self.back_end(StandInKind::Scorer, process, behaviour)
    }

    fn process(&self, name: &str, listen: SocketAddr) -> ListenSettings {
        ListenSettings {
            name: name.to_owned(),
            listen,
            log: self.folder.log_of(name),
            round_trip: self.site.lab.network.one_way * 2,
        }
    }

    fn back_end<T: Serialize>(
        &self,
        kind: StandInKind,
        process: ListenSettings,
        behaviour: T,
    ) -> Result<ProcessPlan, FleetError> {
        let name = process.name.clone();
        let listen = Some(process.listen);
        self.stand_in(kind, &name, listen, &ServerSettings { process, behaviour })
    }

    fn stand_in<T: Serialize>(
        &self,
        kind: StandInKind,
        name: &str,
        listen: Option<SocketAddr>,
        settings: &T,
    ) -> Result<ProcessPlan, FleetError> {
        let text = toml::to_string(settings).context(WriteTomlSnafu { name })?;
        let command = ["stand-in", kind.as_str()];
        self.plan(&self.programs.lab, &command, name, listen, &text)
    }

    fn wingshore(
        &self,
        role: &str,
        name: &str,
        listen: SocketAddr,
        text: &str,
    ) -> Result<ProcessPlan, FleetError> {
        self.plan(&self.programs.wingshore, &[role], name, Some(listen), text)
    }

    fn plan(
        &self,
        program: &Path,
        command: &[&str],
        name: &str,
        listen: Option<SocketAddr>,
        settings: &str,
    ) -> Result<ProcessPlan, FleetError> {
        let path = self.folder.settings().join(format!("{name}.toml"));
        write(&path, settings)?;
        let mut arguments: Vec<String> = command.iter().map(|&word| word.to_owned()).collect();
        arguments.push("--settings".to_owned());
        arguments.push(path.to_string_lossy().into_owned());
        Ok(ProcessPlan {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments,
            listen,
            output: self.folder.output().join(format!("{name}.txt")),
        })
    }

    fn node_address(&self, name: &str) -> Result<SocketAddr, FleetError> {
        let nodes = self.site.nodes.iter();
        nodes
            .map(|role| &role.settings)
            .find(|settings| settings.node.as_str() == name)
            .map(|settings| settings.listen)
            .context(UnknownNameSnafu { kind: "node", name })
    }

    fn pool(&self, name: &str) -> Result<&Pool, FleetError> {
        let mut pools = self.site.file.pools.iter();
        pools
            .find(|pool| pool.id.as_str() == name)
            .context(UnknownNameSnafu { kind: "pool", name })
    }

    fn service(&self, name: &str) -> Result<&Service, FleetError> {
        let mut services = self.site.file.services.iter();
        services
            .find(|service| service.id.as_str() == name)
            .context(UnknownNameSnafu {
                kind: "service",
                name,
            })
    }

    fn model_of(&self, pool: &Pool) -> Result<String, FleetError> {
        match &self.service(pool.service.as_str())?.kind {
            ServiceKind::Engines { model } => Ok(model.clone()),
            ServiceKind::Live => UnknownNameSnafu {
                kind: "engines of service",
                name: pool.service.as_str(),
            }
            .fail(),
        }
    }

    /// Seeds of one run, apart from each other by kind and number.
    fn seed_of(&self, kind: u64, number: usize) -> u64 {
        (self.seed << 16) ^ (kind << 8) ^ number as u64
    }
}

fn write(path: &Path, text: &str) -> Result<(), FleetError> {
    std::fs::write(path, text).context(WriteFileSnafu { path })
}
