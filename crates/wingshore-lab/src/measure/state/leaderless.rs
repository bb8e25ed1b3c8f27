//! How long a group commits nothing after its leader was killed.

use super::commits::commit;
use super::error::StateError;
use super::figures::Spread;
use super::site::{SiteShape, StateSite};
use serde::Serialize;
use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};
use wingshore_types::GroupId;

/// The group whose leader is killed.
const GROUP: GroupId = GroupId::Claims(1);

/// What was measured.
#[derive(Debug, Serialize)]
pub struct LeaderlessReport {
    /// From SIGKILL to the answer of the first commit that was asked for after it.
    pub without_leader: Spread,
    /// Each kill, in milliseconds.
    pub each_ms: Vec<f64>,
}

impl fmt::Display for LeaderlessReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each: Vec<String> = self.each_ms.iter().map(|ms| format!("{ms:.0}")).collect();
        writeln!(
            formatter,
            "without a leader after a kill: {}; each: {} ms",
            self.without_leader,
            each.join(", ")
        )
    }
}

/// Kills the leader `kills` times, each time after all members have caught up.
///
/// # Errors
/// When the site cannot be run or does not answer.
pub fn measure(root: &Path, kills: u32) -> Result<LeaderlessReport, StateError> {
    let shape = SiteShape {
        replicas: 3,
        claims_groups: 1,
        nodes: 0,
    };
    let mut site = StateSite::start(root, shape)?;
    let mut gaps = Vec::new();
    for kill in 0..kills {
        commit(&site.client, GROUP, format!("before {kill}"))?;
        site.await_synced(GROUP)?;
        let leader = site.leader(GROUP)?;
        gaps.push(kill_and_commit(&mut site, leader, kill)?);
        site.restart(leader)?;
    }
    site.stop()?;
    Ok(LeaderlessReport {
        each_ms: gaps.iter().map(|gap| gap.as_secs_f64() * 1e3).collect(),
        without_leader: Spread::of(gaps),
    })
}

fn kill_and_commit(site: &mut StateSite, leader: usize, kill: u32) -> Result<Duration, StateError> {
    let killed = Instant::now();
    site.replicas[leader].kill()?;
    commit(&site.client, GROUP, format!("after {kill}"))?;
    Ok(killed.elapsed())
}
