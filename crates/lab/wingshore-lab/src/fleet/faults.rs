//! Faults of a real fleet: by signals, by deleting data folders, by the stand-ins' switches.

use super::error::{FleetError, UnknownNameSnafu};
use super::running::RunningSite;
use super::schedule::post;
use crate::events::Event;
use crate::stand_ins::engine::faults::FaultRequest;
use snafu::OptionExt;
use std::path::Path;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

/// How long a killed process stays away.
const AWAY: Duration = Duration::from_secs(2);
/// How long a frozen leader stays frozen: longer than any lease.
const FROZEN: Duration = Duration::from_secs(6);

/// How long the control group may take to have another leader.
const LEADER_LIMIT: Duration = Duration::from_secs(30);
/// Between two polls for it.
const LEADER_POLL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The leader of the control group is killed and started again.
    KillLeader,
    /// The trainer's node is killed and started again.
    KillNode,
    /// The leader of the control group is frozen, and woken after its lease has run out.
    FreezeLeader,
    /// A follower's disk is lost; it comes back empty and is taken in as a new member.
    LoseDisk,
    /// The next swap of one engine fails partway.
    FailSwap,
    /// All nodes and replicas are killed at once and started again.
    RestartAll,
}

impl Fault {
    const ALL: [(&'static str, Self); 6] = [
        ("kill-leader", Self::KillLeader),
        ("kill-node", Self::KillNode),
        ("freeze-leader", Self::FreezeLeader),
        ("lose-disk", Self::LoseDisk),
        ("fail-swap", Self::FailSwap),
        ("restart-all", Self::RestartAll),
    ];

    /// Makes it happen; returns once the processes it touches run again.
    pub fn inject(self, site: &mut RunningSite, data: &Path) -> Result<(), FleetError> {
        match self {
            Self::KillLeader => kill_leader(site),
            Self::KillNode => kill_node(site),
            Self::FreezeLeader => freeze_leader(site),
            Self::LoseDisk => super::lost_disk::lose_disk(site, data),
            Self::FailSwap => fail_swap(site),
            Self::RestartAll => restart_all(site),
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, fault)| *fault).ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
            format!("`{text}` is none of {}", names.join(", "))
        })
    }
}

/// Faults of one run, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultList(pub Vec<Fault>);

impl FromStr for FaultList {
    type Err = String;

    /// Parses names separated by commas.
    fn from_str(text: &str) -> Result<Self, String> {
        let names = text.split(',').map(str::trim);
        names
            .filter(|name| !name.is_empty())
            .map(Fault::from_str)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

fn kill_leader(site: &mut RunningSite) -> Result<(), FleetError> {
    let leader = site.leader()?;
    site.replica(&leader)?.kill()?;
    let since = Instant::now();
    await_other_leader(site, &leader, since)?;
    thread::sleep(AWAY.saturating_sub(since.elapsed()));
    site.replica(&leader)?.start_again()
}

/// Waits until the control group answers under another leader than `before`, and notes how long
/// it took since `since`: until then no operator is answered.
fn await_other_leader(site: &RunningSite, before: &str, since: Instant) -> Result<(), FleetError> {
    loop {
        let leader = site.leader();
        let elapsed = since.elapsed();
        match leader {
            Ok(leader) if leader != before => {
                site.log.write(Event::LeaderFound {
                    after_us: elapsed.as_micros() as u64,
                });
                return Ok(());
            }
            Err(error) if elapsed >= LEADER_LIMIT => return Err(error),
            Ok(name) if elapsed >= LEADER_LIMIT => {
                let kind = "other leader than";
                return UnknownNameSnafu { kind, name }.fail();
            }
            _ => thread::sleep(LEADER_POLL),
        }
    }
}

fn kill_node(site: &mut RunningSite) -> Result<(), FleetError> {
    let node = site
        .nodes
        .iter_mut()
        .find(|node| node.name().contains("trainer"))
        .context(UnknownNameSnafu {
            kind: "node",
            name: "of the trainer",
        })?;
    node.kill()?;
    thread::sleep(AWAY);
    node.start_again()
}

fn freeze_leader(site: &mut RunningSite) -> Result<(), FleetError> {
    let leader = site.leader()?;
    site.replica(&leader)?.freeze()?;
    let since = Instant::now();
    await_other_leader(site, &leader, since)?;
    thread::sleep(FROZEN.saturating_sub(since.elapsed()));
    site.replica(&leader)?.wake()
}

/// The first server of the platform's side that takes the switch is an engine.
fn fail_swap(site: &mut RunningSite) -> Result<(), FleetError> {
    let addresses: Vec<_> = site.platform.iter().filter_map(|p| p.listen()).collect();
    for address in addresses {
        if post(address, "/lab/faults", &FaultRequest::FailNextSwap).is_ok() {
            return Ok(());
        }
    }
    UnknownNameSnafu {
        kind: "server",
        name: "that is an engine",
    }
    .fail()
}

fn restart_all(site: &mut RunningSite) -> Result<(), FleetError> {
    for process in site.nodes.iter_mut().chain(&mut site.replicas) {
        process.kill()?;
    }
    thread::sleep(AWAY);
    for process in site.replicas.iter_mut().chain(&mut site.nodes) {
        process.start_again()?;
    }
    Ok(())
}
