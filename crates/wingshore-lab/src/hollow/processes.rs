//! The real processes of a run: replicas, relays and a few nodes, with settings made for it.

use super::error::{HollowError, ListenSnafu, WriteFileSnafu};
use super::sizes::{SITE, Sizes};
use super::usage::Usage;
use crate::event_log::EventLog;
use crate::fleet::FleetError;
use crate::fleet::operator::Operator;
use crate::fleet::process::{ManagedProcess, ProcessPlan};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Address of loopback that the real processes listen on; no other program uses it.
const ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 78, 0, 1));
/// Replicas of the site.
const REPLICAS: usize = 3;
/// Threads of a replica that carry orders and readings of engines' states.
const ORDER_WORKERS: usize = 64;
/// Longest time until a process listens.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Longest planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The replica that leads the control group.
    Leader,
    /// Another replica.
    Follower,
    /// A relay.
    Relay,
    /// A node.
    Node,
}

/// A process, and where its metrics are.
struct Process {
    role: Role,
    metrics: SocketAddr,
    process: ManagedProcess,
}

/// All real processes of a run. Dropping it ends them.
pub struct Processes {
    folder: PathBuf,
    program: PathBuf,
    log: EventLog,
    replicas: Vec<SocketAddr>,
    relays: Vec<SocketAddr>,
    running: Vec<Process>,
}

impl Processes {
    /// Starts replicas with so many ledger groups, and relays; settings, data and output lie under
    /// `folder`.
    ///
    /// # Errors
    /// When one cannot be started.
    pub fn start(
        folder: &Path,
        program: &Path,
        sizes: &Sizes,
        ledgers: usize,
    ) -> Result<Self, HollowError> {
        let ports = free_addresses(2 * (REPLICAS + sizes.relays))?;
        let (frames, admin) = ports.split_at(REPLICAS + sizes.relays);
        let (replicas, relays) = frames.split_at(REPLICAS);
        let log = EventLog::open(&folder.join("processes.jsonl"), "hollow");
        let mut processes = Self {
            folder: folder.to_owned(),
            program: program.to_owned(),
            log: log.map_err(FleetError::from)?,
            replicas: replicas.to_vec(),
            relays: relays.to_vec(),
            running: Vec::new(),
        };
        processes.start_replicas(admin, ledgers)?;
        processes.start_relays(&admin[REPLICAS..], sizes)?;
        Ok(processes)
    }

    /// Where the replicas listen.
    pub fn replicas(&self) -> &[SocketAddr] {
        &self.replicas
    }

    /// Where nodes watch the configuration: the relays, or the replicas without any.
    pub fn watched(&self) -> &[SocketAddr] {
        if self.relays.is_empty() {
            &self.replicas
        } else {
            &self.relays
        }
    }

    /// Names the replica that leads, by its number from 1.
    pub fn set_leader(&mut self, number: u64) {
        let replicas = self.running.iter_mut().take(REPLICAS);
        for (index, process) in replicas.enumerate() {
            let leads = index as u64 + 1 == number;
            process.role = if leads { Role::Leader } else { Role::Follower };
        }
    }

    /// What each process has used, in the order of their starts.
    ///
    /// # Errors
    /// When one is gone.
    pub fn usage(&self) -> Result<Vec<(Role, Usage)>, HollowError> {
        let processes = self.running.iter();
        processes
            .filter_map(|process| Some((process, process.process.id()?)))
            .map(|(process, id)| Ok((process.role, Usage::read(id, Some(process.metrics))?)))
            .collect()
    }

    /// Kills the first process of a role; it counts for nothing from then on.
    ///
    /// # Errors
    /// When it cannot be signalled.
    pub fn kill(&mut self, role: Role) -> Result<(), HollowError> {
        let mut processes = self.running.iter_mut();
        if let Some(process) = processes.find(|process| process.role == role) {
            process.process.kill()?;
        }
        Ok(())
    }

    /// Where the real nodes tell their metrics.
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.running.iter();
        nodes
            .filter(|process| process.role == Role::Node)
            .map(|process| process.metrics)
            .collect()
    }

    /// Starts real nodes, numbered from `first` on.
    ///
    /// # Errors
    /// When one cannot be started.
    pub fn start_nodes(
        &mut self,
        count: usize,
        first: usize,
        sizes: &Sizes,
    ) -> Result<(), HollowError> {
        for (offset, listen) in free_addresses(count)?.into_iter().enumerate() {
            let number = first + offset;
            let name = format!("node-{}", number + 1);
            let mut text = head("node", &name, sizes.zone(number).as_str(), listen);
            line(&mut text, "replicas", &self.replicas);
            if !self.relays.is_empty() {
                let mut relays = self.relays.clone();
                relays.rotate_left(number % self.relays.len());
                line(&mut text, "relays", &relays);
            }
            self.run(Role::Node, &name, listen, listen, &text)?;
        }
        Ok(())
    }

    /// Planned stop of all, nodes first.
    ///
    /// # Errors
    /// When one cannot be signalled.
    pub fn stop(&mut self) -> Result<(), HollowError> {
        for process in self.running.iter_mut().rev() {
            process.process.stop(STOP_LIMIT)?;
        }
        Ok(())
    }

    fn start_replicas(&mut self, admin: &[SocketAddr], ledgers: usize) -> Result<(), HollowError> {
        let operator = Operator::new(&self.program, &self.replicas);
        for (index, listen) in self.replicas.clone().into_iter().enumerate() {
            let name = format!("replica-{}", index + 1);
            let data = self.folder.join(&name);
            let mut text = head("replica", &name, "zone-1", listen);
            let _infallible = writeln!(text, "admin = \"{}\"", admin[index]);
            let _infallible = writeln!(text, "data = {:?}", data.to_string_lossy());
            let _infallible = writeln!(text, "ledger_groups = {ledgers}");
            let _infallible = writeln!(text, "[orders]\nworkers = {ORDER_WORKERS}");
            for (member, address) in self.replicas.iter().enumerate() {
                let id = member + 1;
                let _infallible =
                    writeln!(text, "[[founding]]\nid = {id}\naddress = \"{address}\"");
            }
            let path = self.write(&name, &text)?;
            operator.format(&path, index as u64 + 1)?;
            self.run(Role::Follower, &name, listen, admin[index], &text)?;
        }
        Ok(())
    }

    fn start_relays(&mut self, admin: &[SocketAddr], sizes: &Sizes) -> Result<(), HollowError> {
        for (index, listen) in self.relays.clone().into_iter().enumerate() {
            let name = format!("relay-{}", index + 1);
            let mut text = head("relay", &name, sizes.zone(index).as_str(), listen);
            let _infallible = writeln!(text, "admin = \"{}\"", admin[index]);
            line(&mut text, "upstream", &self.replicas);
            self.run(Role::Relay, &name, listen, admin[index], &text)?;
        }
        Ok(())
    }

    fn run(
        &mut self,
        role: Role,
        name: &str,
        listen: SocketAddr,
        metrics: SocketAddr,
        text: &str,
    ) -> Result<(), HollowError> {
        let path = self.write(name, text)?;
        let command = match role {
            Role::Leader | Role::Follower => "replica",
            Role::Relay => "relay",
            Role::Node => "node",
        };
        let plan = ProcessPlan {
            name: name.to_owned(),
            program: self.program.clone(),
            arguments: vec![
                command.to_owned(),
                "--settings".to_owned(),
                path.to_string_lossy().into_owned(),
            ],
            listen: Some(listen),
            output: self.folder.join(format!("{name}.txt")),
        };
        let mut process = ManagedProcess::start(plan, self.log.clone())?;
        process.wait_until_listening(READY_LIMIT)?;
        self.running.push(Process {
            role,
            metrics,
            process,
        });
        Ok(())
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, HollowError> {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).context(WriteFileSnafu { path: &path })?;
        Ok(path)
    }
}

/// The keys that every role has.
fn head(role: &str, name: &str, zone: &str, listen: SocketAddr) -> String {
    format!(
        "role = \"{role}\"\nsite = \"{SITE}\"\nname = \"{name}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\n"
    )
}

fn line(text: &mut String, key: &str, addresses: &[SocketAddr]) {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    // Writing to a string cannot fail.
    let _infallible = writeln!(text, "{key} = {addresses:?}");
}

/// Addresses that are free now.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, HollowError> {
    let address = SocketAddr::new(ADDRESS, 0);
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind(address))
        .collect::<Result<_, _>>()
        .context(ListenSnafu { address })?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<_, _>>()
        .context(ListenSnafu { address })
}
