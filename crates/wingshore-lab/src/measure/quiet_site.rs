//! A whole site of real processes without callers: what is measured is all that goes on.

use super::error::{MeasureError, MissingSnafu, NotReadySnafu};
use crate::fleet::error::FleetError;
use crate::fleet::layout::{Layout, Programs, RunFolder};
use crate::fleet::process::{ManagedProcess, ProcessPlan};
use crate::fleet::program;
use crate::fleet::running::RunningSite;
use crate::fleet::site::Site;
use crate::http_client::HttpClient;
use snafu::OptionExt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use wingshore_types::configuration::ServiceKind;

/// How long a node may take until it admits requests.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Between two looks whether it does.
const READY_POLL: Duration = Duration::from_millis(50);
/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// Seed of the stand-ins.
const SEED: u64 = 1;

/// The stand-ins take as good as no time of their own.
const ENGINE_STEP: Duration = Duration::from_millis(1);

/// A running site without callers.
pub struct QuietSite {
    /// Its processes.
    pub running: RunningSite,
    /// Relays, which fleets do not have.
    pub relays: Vec<ManagedProcess>,
    /// What was measured on.
    pub addresses: Addresses,
    _folder: TempDir,
}

/// Where requests go, and what they name.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// The node that is measured.
    pub node: SocketAddr,
    /// A live service.
    pub live_service: String,
    /// Its servers.
    pub live_servers: Vec<SocketAddr>,
    /// A model.
    pub model: String,
    /// Its engines.
    pub engines: Vec<SocketAddr>,
}

impl QuietSite {
    /// Starts `sites/<name>` without callers; its nodes take the configuration from a relay.
    ///
    /// # Errors
    /// When a process does not start or does not get ready.
    pub fn start(name: &str) -> Result<Self, MeasureError> {
        let programs = Programs {
            wingshore: program::find_or_build()?,
            lab: std::env::current_exe().map_err(|error| FleetError::Program {
                message: error.to_string(),
            })?,
        };
        let temporary = tempfile::tempdir().map_err(|source| FleetError::WriteFile {
            path: std::env::temp_dir(),
            source,
        })?;
        let folder = RunFolder::create(temporary.path())?;
        let sites = program::workspace().join("sites");
        let mut site = Site::read(&sites.join(name), name, &folder.data())?;
        make_quiet(&mut site);
        let relay = free_address()?;
        lead_nodes_to(&mut site, relay);
        let addresses = Addresses::of(&site)?;
        let plan = Layout::new(&site, &folder, &programs, SEED).write()?;
        let relay = relay_plan(&site, relay, &folder, &programs)?;
        let log = crate::event_log::EventLog::open(&folder.log_of("relay"), "relay")
            .map_err(FleetError::from)?;
        let relays = vec![ManagedProcess::start(relay, log)?];
        let mut running = RunningSite::start(&mut site, plan, &folder, &programs)?;
        running.stop_watching();
        wait_until_ready(addresses.node)?;
        Ok(Self {
            running,
            relays,
            addresses,
            _folder: temporary,
        })
    }

    /// Process number of the node that is measured.
    ///
    /// # Errors
    /// When it does not run.
    pub fn node_process(&self) -> Result<u32, MeasureError> {
        let node = self.running.nodes.first().and_then(ManagedProcess::id);
        node.context(MissingSnafu { kind: "node" })
    }

    /// Stops everything.
    ///
    /// # Errors
    /// When a process cannot be signalled.
    pub fn stop(mut self) -> Result<(), MeasureError> {
        for relay in &mut self.relays {
            relay.stop(STOP_LIMIT)?;
        }
        self.running.stop()?;
        Ok(())
    }
}

impl Addresses {
    fn of(site: &Site) -> Result<Self, MeasureError> {
        let node = site.nodes.first().context(MissingSnafu { kind: "node" })?;
        let mut live = None;
        let mut engines = None;
        for service in &site.file.services {
            match &service.kind {
                ServiceKind::Live => live = Some(service.id.clone()),
                ServiceKind::Engines { model } => {
                    engines = Some((service.id.clone(), model.clone()));
                }
            }
        }
        let live = live.context(MissingSnafu {
            kind: "live service",
        })?;
        let (engine_service, model) = engines.context(MissingSnafu { kind: "model" })?;
        let servers_of = |id| {
            let servers = site.file.servers.iter();
            let servers = servers.filter(|server| server.service == id);
            servers.map(|server| server.address).collect()
        };
        Ok(Self {
            node: node.settings.listen,
            live_service: live.as_str().to_owned(),
            live_servers: servers_of(live),
            model,
            engines: servers_of(engine_service),
        })
    }
}

/// No callers, no network delay, and stand-ins that take as good as no time of their own.
fn make_quiet(site: &mut Site) {
    let lab = &mut site.lab;
    lab.trainer.clear();
    lab.live_caller.clear();
    lab.network.one_way = Duration::ZERO;
    lab.live_server.shortest_service = Duration::ZERO;
    lab.live_server.mean_further_service = Duration::ZERO;
    lab.engine.step_base = ENGINE_STEP;
    lab.engine.step_per_sequence = Duration::ZERO;
    lab.engine.prefill_per_thousand = Duration::ZERO;
}

fn lead_nodes_to(site: &mut Site, relay: SocketAddr) {
    for node in &mut site.nodes {
        // Keys of the document's top table stand before its first table.
        node.text = format!("relays = [\"{relay}\"]\n{}", node.text);
    }
}

fn relay_plan(
    site: &Site,
    listen: SocketAddr,
    folder: &RunFolder,
    programs: &Programs,
) -> Result<ProcessPlan, MeasureError> {
    let replicas = site.replicas.iter().map(|role| role.settings.listen);
    let upstream: Vec<String> = replicas.map(|address| format!("\"{address}\"")).collect();
    let node = site.nodes.first().context(MissingSnafu { kind: "node" })?;
    let zone = &node.settings.zone;
    let text = format!(
        "role = \"relay\"\nsite = \"{}\"\nname = \"relay\"\nzone = \"{zone}\"\n\
         listen = \"{listen}\"\nupstream = [{}]\n",
        site.name,
        upstream.join(", ")
    );
    let path = folder.settings().join("relay.toml");
    std::fs::write(&path, text).map_err(|source| FleetError::WriteFile {
        path: path.clone(),
        source,
    })?;
    Ok(ProcessPlan {
        name: "relay".to_owned(),
        program: programs.wingshore.clone(),
        arguments: vec![
            "relay".to_owned(),
            "--settings".to_owned(),
            path.to_string_lossy().into_owned(),
        ],
        listen: Some(listen),
        output: folder.output().join("relay.txt"),
    })
}

fn free_address() -> Result<SocketAddr, MeasureError> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0");
    let address = listener.and_then(|listener| listener.local_addr());
    Ok(address.map_err(|source| FleetError::Ports { source })?)
}

fn wait_until_ready(node: SocketAddr) -> Result<(), MeasureError> {
    let client = HttpClient::new(READY_POLL * 4);
    let url = format!("http://{node}/readyz");
    let end = Instant::now() + READY_LIMIT;
    while Instant::now() < end {
        if client
            .get(&url, &[])
            .is_ok_and(|answer| answer.is_success())
        {
            return Ok(());
        }
        thread::sleep(READY_POLL);
    }
    NotReadySnafu {
        seconds: READY_LIMIT.as_secs(),
    }
    .fail()
}
