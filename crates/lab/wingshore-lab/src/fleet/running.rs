//! A running site: starts its processes in order, carries out what operators do, stops in order.

use super::error::{FleetError, UnknownNameSnafu};
use super::layout::{FleetPlan, Programs, RunFolder};
use super::operator::Operator;
use super::process::{ManagedProcess, ProcessPlan};
use super::site::Site;
use super::watch::{Watch, WatchedNode};
use crate::event_log::EventLog;
use crate::events::Event;
use snafu::OptionExt;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::ReplicaId;

/// How long a process may take until it listens.
const START_LIMIT: Duration = Duration::from_secs(20);
/// How long a plan may take at the start, elections included.
const CONFIGURE_LIMIT: Duration = Duration::from_secs(30);
/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(60);
/// How long a stand-in may take to end.
const END_LIMIT: Duration = Duration::from_secs(5);

/// All processes of a site.
pub struct RunningSite {
    /// Engines, live servers and the platform's services.
    pub platform: Vec<ManagedProcess>,
    pub replicas: Vec<ManagedProcess>,
    pub nodes: Vec<ManagedProcess>,
    /// Trainers and live callers.
    pub callers: Vec<ManagedProcess>,
    pub operator: Operator,
    /// The fleet's own log.
    pub log: EventLog,
    identities: BTreeMap<String, ReplicaId>,
    watch: Option<Watch>,
}

impl RunningSite {
    /// Starts everything and puts the site's configuration in force.
    pub fn start(
        site: &mut Site,
        plan: FleetPlan,
        folder: &RunFolder,
        programs: &Programs,
    ) -> Result<Self, FleetError> {
        let log = EventLog::open(&folder.log_of("fleet"), "fleet")?;
        let addresses: Vec<_> = plan.replicas.iter().filter_map(|r| r.listen).collect();
        let operator = Operator::new(&programs.wingshore, &addresses);
        let identities = format_replicas(site, folder, &operator)?;
        note_caller_nodes(site, &log);
        site.ports.release();
        let mut running = Self {
            platform: start_all(plan.platform, &log)?,
            replicas: start_all(plan.replicas, &log)?,
            nodes: start_all(plan.nodes, &log)?,
            callers: Vec::new(),
            operator,
            log,
            identities,
            watch: None,
        };
        running.wait_until_listening()?;
        let file = plan.site_file.to_string_lossy().into_owned();
        running
            .operator
            .carry_out_whole(&["apply", &file], CONFIGURE_LIMIT)?;
        running.watch = Some(running.begin_watch());
        running.callers = start_all(plan.callers, &running.log)?;
        Ok(running)
    }

    /// Stops in order: callers, nodes, replicas, stand-ins.
    pub fn stop(mut self) -> Result<(), FleetError> {
        for caller in &mut self.callers {
            caller.stop(STOP_LIMIT)?;
        }
        self.stop_watching();
        for process in self.nodes.iter_mut().chain(&mut self.replicas) {
            process.stop(STOP_LIMIT)?;
        }
        for process in &mut self.platform {
            // Stand-ins have no planned stop: their status is not judged.
            let _succeeded = process.end(END_LIMIT)?;
        }
        Ok(())
    }

    /// Ends the watch of the configuration, which costs the processes a little.
    pub fn stop_watching(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.stop();
        }
    }

    pub fn node(&mut self, name: &str) -> Result<&mut ManagedProcess, FleetError> {
        find(&mut self.nodes, "node", name)
    }

    pub fn replica(&mut self, name: &str) -> Result<&mut ManagedProcess, FleetError> {
        find(&mut self.replicas, "replica", name)
    }

    /// Name of the replica that leads the control group.
    pub fn leader(&self) -> Result<String, FleetError> {
        let leader = self.operator.status()?.leader;
        let mut identities = self.identities.iter();
        identities
            .find(|(_, id)| **id == leader)
            .map(|(name, _)| name.clone())
            .context(UnknownNameSnafu {
                kind: "replica",
                name: leader.to_string(),
            })
    }

    pub fn identity_of(&self, name: &str) -> Result<ReplicaId, FleetError> {
        let identity = self.identities.get(name).copied();
        identity.context(UnknownNameSnafu {
            kind: "replica",
            name,
        })
    }

    /// Notes the identity under which a replica has come back.
    pub fn set_identity(&mut self, name: &str, identity: ReplicaId) {
        self.identities.insert(name.to_owned(), identity);
    }

    /// A stand-in of the platform's side by name.
    pub fn back_end(&mut self, name: &str) -> Result<&mut ManagedProcess, FleetError> {
        find(&mut self.platform, "server", name)
    }

    /// Processes that have ended by themselves, with what they wrote last.
    pub fn ended_by_themselves(&mut self) -> Vec<(String, String)> {
        self.all()
            .filter_map(|process| {
                let ended = process.id().is_some() && !process.is_running();
                ended.then(|| (process.name().to_owned(), process.output_end()))
            })
            .collect()
    }

    /// All processes, with the group each belongs to.
    pub fn all(&mut self) -> impl Iterator<Item = &mut ManagedProcess> {
        self.platform
            .iter_mut()
            .chain(&mut self.replicas)
            .chain(&mut self.nodes)
            .chain(&mut self.callers)
    }

    fn wait_until_listening(&mut self) -> Result<(), FleetError> {
        for process in self.all() {
            process.wait_until_listening(START_LIMIT)?;
        }
        Ok(())
    }

    fn begin_watch(&self) -> Watch {
        let nodes = self.nodes.iter().filter_map(|node| {
            Some(WatchedNode {
                name: node.name().to_owned(),
                address: node.listen()?,
            })
        });
        Watch::start(self.operator.clone(), nodes.collect(), &self.log)
    }
}

fn find<'a>(
    processes: &'a mut [ManagedProcess],
    kind: &'static str,
    name: &str,
) -> Result<&'a mut ManagedProcess, FleetError> {
    processes
        .iter_mut()
        .find(|process| process.name() == name)
        .context(UnknownNameSnafu { kind, name })
}

fn start_all(plans: Vec<ProcessPlan>, log: &EventLog) -> Result<Vec<ManagedProcess>, FleetError> {
    plans
        .into_iter()
        .map(|plan| ManagedProcess::start(plan, log.clone()))
        .collect()
}

/// Each replica is formatted under the founding identity that stands at its address.
fn format_replicas(
    site: &Site,
    folder: &RunFolder,
    operator: &Operator,
) -> Result<BTreeMap<String, ReplicaId>, FleetError> {
    let mut identities = BTreeMap::new();
    for role in &site.replicas {
        let settings = &role.settings;
        let founding = settings.founding.iter();
        let member = founding
            .clone()
            .find(|member| member.address == settings.listen)
            .context(UnknownNameSnafu {
                kind: "founding member",
                name: &settings.name,
            })?;
        let path = folder.settings().join(format!("{}.toml", settings.name));
        operator.format(&path, member.id.0)?;
        identities.insert(settings.name.clone(), member.id);
    }
    Ok(identities)
}

fn note_caller_nodes(site: &Site, log: &EventLog) {
    let trainers = site.lab.trainer.iter().map(|t| (&t.name, &t.node));
    let live = site.lab.live_caller.iter().map(|c| (&c.name, &c.node));
    for (caller, node) in trainers.chain(live) {
        log.write(Event::CallerNode {
            caller: caller.clone(),
            node: node.clone(),
        });
    }
}
