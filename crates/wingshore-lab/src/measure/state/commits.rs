//! Commits a second and their latency, as clients see them, beside the bare disk.

use super::disk::{self, DiskFigures};
use super::error::StateError;
use super::figures::Spread;
use super::site::{PATIENCE, SiteShape, StateSite, unexpected};
use serde::Serialize;
use std::fmt;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_client::GroupClient;
use wingshore_types::protocol::claims::{ClaimKey, Claimant, ClaimsReply, ClaimsRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, NodeId};

/// Replicas of the site; all write to the one disk of this machine.
const REPLICAS: usize = 3;
/// Numbers of groups measured.
const GROUPS: [u16; 2] = [1, 4];
/// Numbers of clients measured; each waits for its answer before it asks again.
const CLIENTS: [usize; 4] = [1, 8, 64, 256];
/// Clients that share a connection to each replica.
const CLIENTS_PER_CONNECTION: usize = 32;
/// How long the bare disk is measured, before and after.
const DISK_LENGTH: Duration = Duration::from_secs(1);

/// What was measured.
#[derive(Debug, Serialize)]
pub struct CommitReport {
    /// The bare disk before and after, with one file and with one a replica.
    pub bare_disk: Vec<DiskFigures>,
    /// Commits.
    pub runs: Vec<CommitRun>,
}

/// Commits of one load.
#[derive(Debug, Serialize)]
pub struct CommitRun {
    /// Groups that were written to.
    pub groups: u16,
    /// Clients, over all groups.
    pub clients: usize,
    /// Commits a second, over all groups.
    pub commits_per_second: f64,
    /// Time from a client's request to its answer.
    pub latency: Spread,
}

impl fmt::Display for CommitReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for disk in &self.bare_disk {
            writeln!(formatter, "bare disk: {disk}")?;
        }
        for run in &self.runs {
            writeln!(
                formatter,
                "commits: {} groups, {} clients: {:.0}/s, {}",
                run.groups, run.clients, run.commits_per_second, run.latency
            )?;
        }
        Ok(())
    }
}

/// Measures every load for `length`.
///
/// # Errors
/// When the site cannot be run or does not answer.
pub fn measure(root: &Path, length: Duration) -> Result<CommitReport, StateError> {
    let mut bare_disk = Vec::new();
    let mut runs = Vec::new();
    for groups in GROUPS {
        let shape = SiteShape {
            replicas: REPLICAS,
            claims_groups: groups,
            nodes: 0,
        };
        let site = StateSite::start(root, shape)?;
        for files in [1, REPLICAS] {
            bare_disk.push(disk::measure(&site.scratch(), files, DISK_LENGTH)?);
        }
        for clients in CLIENTS {
            if clients >= usize::from(groups) {
                runs.push(run(&site, groups, clients, length)?);
            }
        }
        site.stop()?;
    }
    Ok(CommitReport { bare_disk, runs })
}

/// Commits of `clients` clients for `length`; each run claims keys of its own.
///
/// # Errors
/// When the site does not answer.
pub fn run(
    site: &StateSite,
    groups: u16,
    clients: usize,
    length: Duration,
) -> Result<CommitRun, StateError> {
    let name: u64 = rand::random();
    for group in 1..=groups {
        // The group has a leader, and the connection to it stands.
        commit(
            &site.client,
            GroupId::Claims(group),
            format!("{name}-first"),
        )?;
    }
    let connections = clients.div_ceil(CLIENTS_PER_CONNECTION);
    let connections: Vec<GroupClient> = (0..connections).map(|_| site.new_client()).collect();
    let started = Instant::now();
    let end = started + length;
    let threads: Vec<_> = (0..clients)
        .map(|number| {
            let client = connections[number / CLIENTS_PER_CONNECTION].clone();
            let group = GroupId::Claims(number as u16 % groups + 1);
            thread::spawn(move || commit_until(&client, group, (name, number), end))
        })
        .collect();
    let mut samples = Vec::new();
    for thread in threads {
        samples.extend(thread.join().map_err(|_| StateError::Panicked)??);
    }
    let seconds = started.elapsed().as_secs_f64();
    connections.iter().for_each(GroupClient::close);
    Ok(CommitRun {
        groups,
        clients,
        commits_per_second: samples.len() as f64 / seconds,
        latency: Spread::of(samples),
    })
}

fn commit_until(
    client: &GroupClient,
    group: GroupId,
    name: (u64, usize),
    end: Instant,
) -> Result<Vec<Duration>, StateError> {
    let mut samples = Vec::new();
    while Instant::now() < end {
        let key = format!("{}-{}-{}", name.0, name.1, samples.len());
        let started = Instant::now();
        commit(client, group, key)?;
        samples.push(started.elapsed());
    }
    Ok(samples)
}

/// Claims a key that nobody has: one committed entry.
///
/// # Errors
/// When it is not granted.
pub fn commit(client: &GroupClient, group: GroupId, key: String) -> Result<(), StateError> {
    let claim = ClaimsRequest::Claim {
        key: ClaimKey {
            service: "measured".to_owned(),
            key,
        },
        fingerprint: 1,
        claimant: Claimant {
            node: NodeId::new("measure"),
            boot_id: 1,
            attempt: 1,
        },
    };
    match client.call(group, GroupRequest::Claims(claim), PATIENCE)? {
        GroupReply::Claims(ClaimsReply::Granted) => Ok(()),
        reply => unexpected("a claim", reply),
    }
}
