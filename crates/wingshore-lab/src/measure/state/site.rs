//! Replica processes, and nodes where wanted, on free ports of this machine.

use super::error::{IoSnafu, NotReachedSnafu, StateError, UnexpectedSnafu};
use crate::event_log::EventLog;
use crate::fleet::FleetError;
use crate::fleet::layout::RunFolder;
use crate::fleet::operator::Operator;
use crate::fleet::process::{ManagedProcess, ProcessPlan};
use crate::fleet::program;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use wingshore_client::GroupClient;
use wingshore_types::protocol::membership::{MembershipReply, MembershipRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, ReplicaId};

/// Name of the site.
const SITE: &str = "measured";
/// How long a process may take until it listens.
const START_LIMIT: Duration = Duration::from_secs(60);
/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for an answer or a condition.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Between two looks at a condition.
const POLL: Duration = Duration::from_micros(200);

/// What a site consists of.
#[derive(Clone, Copy, Debug)]
pub struct SiteShape {
    /// Replicas.
    pub replicas: usize,
    /// Claims groups.
    pub claims_groups: u16,
    /// Nodes.
    pub nodes: usize,
}

/// A running site; its processes end with it.
pub struct StateSite {
    /// Replicas, in the order of their identities from 1.
    pub replicas: Vec<ManagedProcess>,
    /// Nodes.
    pub nodes: Vec<ManagedProcess>,
    /// Calls its groups.
    pub client: GroupClient,
    folder: RunFolder,
    _temporary: TempDir,
}

/// How far a group has come.
#[derive(Clone, Debug)]
pub struct GroupProgress {
    /// Its leader.
    pub leader: ReplicaId,
    /// Whether all members have synced all entries.
    pub all_synced: bool,
}

impl StateSite {
    /// Formats and starts a site whose data lies in a new folder under `root`.
    ///
    /// # Errors
    /// When a process does not start.
    pub fn start(root: &Path, shape: SiteShape) -> Result<Self, StateError> {
        let program = program::find_or_build()?;
        let temporary = tempfile::tempdir_in(root).context(IoSnafu { path: root })?;
        let folder = RunFolder::create(temporary.path())?;
        let log = EventLog::open(&folder.log_of("measure"), "measure")?;
        let ports = FreePorts::take(shape.replicas + shape.nodes)?;
        let (replicas, nodes) = ports.addresses.split_at(shape.replicas);
        let writer = SettingsWriter {
            folder: &folder,
            program: &program,
            replicas,
            claims_groups: shape.claims_groups,
        };
        let mut replica_plans = Vec::new();
        let operator = Operator::new(&program, replicas);
        for place in 0..replicas.len() {
            let (plan, settings) = writer.replica(place)?;
            operator.format(&settings, place as u64 + 1)?;
            replica_plans.push(plan);
        }
        let node_plans = nodes.iter().enumerate();
        let node_plans = node_plans
            .map(|(place, listen)| writer.node(place, *listen))
            .collect::<Result<Vec<_>, _>>()?;
        let client = GroupClient::new(SITE, replicas.to_vec(), 1);
        drop(ports);
        let mut site = Self {
            replicas: start_all(replica_plans, &log)?,
            nodes: start_all(node_plans, &log)?,
            client,
            folder,
            _temporary: temporary,
        };
        for process in site.replicas.iter_mut().chain(&mut site.nodes) {
            process.wait_until_listening(START_LIMIT)?;
        }
        Ok(site)
    }

    /// Another client of its groups, with connections of its own.
    pub fn new_client(&self) -> GroupClient {
        let replicas = self.replicas.iter().filter_map(ManagedProcess::listen);
        GroupClient::new(SITE, replicas.collect(), rand::random())
    }

    /// Where a replica's group lies.
    pub fn group_folder(&self, place: usize, group: GroupId) -> PathBuf {
        self.data_of(place).join(group.to_string())
    }

    /// A folder on the same disk.
    pub fn scratch(&self) -> PathBuf {
        self.folder.data()
    }

    fn data_of(&self, place: usize) -> PathBuf {
        self.folder.data().join(replica_name(place))
    }

    /// Starts a replica that has ended.
    ///
    /// # Errors
    /// When it does not listen in time.
    pub fn restart(&mut self, place: usize) -> Result<(), StateError> {
        self.replicas[place].start_again()?;
        self.await_listening(place)
    }

    /// Waits until a replica listens.
    ///
    /// # Errors
    /// When it does not in time.
    pub fn await_listening(&mut self, place: usize) -> Result<(), StateError> {
        Ok(self.replicas[place].wait_until_listening(START_LIMIT)?)
    }

    /// How far a group has come.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn progress(&self, group: GroupId) -> Result<GroupProgress, StateError> {
        let request = GroupRequest::Membership(MembershipRequest::Show);
        match self.client.call(group, request, PATIENCE)? {
            GroupReply::Membership(MembershipReply::Members {
                leader,
                synced,
                last_index,
                ..
            }) => Ok(GroupProgress {
                leader,
                all_synced: synced.iter().all(|(_, index)| *index == last_index),
            }),
            reply => unexpected("a look at the members", reply),
        }
    }

    /// Place of the replica that leads a group.
    ///
    /// # Errors
    /// When the group does not answer.
    pub fn leader(&self, group: GroupId) -> Result<usize, StateError> {
        let leader = self.progress(group)?.leader;
        Ok(usize::try_from(leader.0.saturating_sub(1)).unwrap_or(usize::MAX))
    }

    /// Waits until every member has synced every entry of a group.
    ///
    /// # Errors
    /// When that does not come about in time.
    pub fn await_synced(&self, group: GroupId) -> Result<(), StateError> {
        let what = format!("all members of {group} have all entries");
        wait_until(&what, || Ok(self.progress(group)?.all_synced))
    }

    /// Stops all processes in planned stops.
    ///
    /// # Errors
    /// When a process cannot be signalled.
    pub fn stop(mut self) -> Result<(), StateError> {
        self.client.close();
        for process in self.nodes.iter_mut().chain(&mut self.replicas) {
            process.stop(STOP_LIMIT)?;
        }
        Ok(())
    }
}

/// An answer that was not asked for.
///
/// # Errors
/// Always.
pub fn unexpected<T>(request: &'static str, reply: GroupReply) -> Result<T, StateError> {
    let reply = Box::new(reply);
    UnexpectedSnafu { request, reply }.fail()
}

/// Waits until `condition` holds.
///
/// # Errors
/// When it does not in time, or cannot be looked at.
pub fn wait_until(
    what: &str,
    mut condition: impl FnMut() -> Result<bool, StateError>,
) -> Result<(), StateError> {
    let end = Instant::now() + PATIENCE;
    while !condition()? {
        if Instant::now() >= end {
            let seconds = PATIENCE.as_secs();
            return NotReachedSnafu { what, seconds }.fail();
        }
        thread::sleep(POLL);
    }
    Ok(())
}

/// Ports that are kept until the processes take them.
struct FreePorts {
    addresses: Vec<SocketAddr>,
    _listeners: Vec<TcpListener>,
}

impl FreePorts {
    fn take(count: usize) -> Result<Self, StateError> {
        let listeners: std::io::Result<Vec<_>> = (0..count)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect();
        let listeners = listeners.map_err(|source| FleetError::Ports { source })?;
        let addresses: std::io::Result<Vec<_>> =
            listeners.iter().map(TcpListener::local_addr).collect();
        Ok(Self {
            addresses: addresses.map_err(|source| FleetError::Ports { source })?,
            _listeners: listeners,
        })
    }
}

struct SettingsWriter<'a> {
    folder: &'a RunFolder,
    program: &'a Path,
    replicas: &'a [SocketAddr],
    claims_groups: u16,
}

impl SettingsWriter<'_> {
    fn replica(&self, place: usize) -> Result<(ProcessPlan, PathBuf), StateError> {
        let name = replica_name(place);
        let listen = self.replicas[place];
        let data = self.folder.data().join(&name);
        let founding: String = (1..)
            .zip(self.replicas)
            .map(|(id, address)| format!("[[founding]]\nid = {id}\naddress = \"{address}\"\n"))
            .collect();
        let text = format!(
            "role = \"replica\"\nsite = \"{SITE}\"\nname = \"{name}\"\nzone = \"hall\"\n\
             listen = \"{listen}\"\ndata = \"{}\"\nclaims_groups = {}\n{founding}",
            data.display(),
            self.claims_groups,
        );
        let plan = self.plan("replica", &name, listen, &text)?;
        let settings = self.settings_path(&name);
        Ok((plan, settings))
    }

    fn node(&self, place: usize, listen: SocketAddr) -> Result<ProcessPlan, StateError> {
        let name = format!("node-{}", place + 1);
        let replicas: Vec<String> = self.replicas.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "role = \"node\"\nsite = \"{SITE}\"\nname = \"{name}\"\nzone = \"hall\"\n\
             listen = \"{listen}\"\nreplicas = [{}]\nclaims_groups = {}\n",
            replicas.join(", "),
            self.claims_groups,
        );
        self.plan("node", &name, listen, &text)
    }

    fn plan(
        &self,
        role: &str,
        name: &str,
        listen: SocketAddr,
        text: &str,
    ) -> Result<ProcessPlan, StateError> {
        let path = self.settings_path(name);
        std::fs::write(&path, text).context(IoSnafu { path: &path })?;
        Ok(ProcessPlan {
            name: name.to_owned(),
            program: self.program.to_owned(),
            arguments: vec![
                role.to_owned(),
                "--settings".to_owned(),
                path.to_string_lossy().into_owned(),
            ],
            listen: Some(listen),
            output: self.folder.output().join(format!("{name}.txt")),
        })
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.settings().join(format!("{name}.toml"))
    }
}

fn replica_name(place: usize) -> String {
    format!("replica-{}", place + 1)
}

fn start_all(plans: Vec<ProcessPlan>, log: &EventLog) -> Result<Vec<ManagedProcess>, StateError> {
    plans
        .into_iter()
        .map(|plan| Ok(ManagedProcess::start(plan, log.clone())?))
        .collect()
}
