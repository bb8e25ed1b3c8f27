//! Tests whether the leader itself counts as caught up.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use wingshore_types::ReplicaId;

/// Guards against a leader under writes that does not count as caught up although all voters
/// follow. The other voters can commit an entry before the leader's own disk has it, and the
/// leader, which answers none of its own heartbeats, was compared with the current commit index.
/// Here an entry is committed within a heartbeat interval while the leader's disk does not have it.
#[gtest]
fn leader_with_briefly_slow_disk_is_caught_up() -> Result<()> {
    let mut cluster = Cluster::new(3, 1);
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    verify_that!(
        cluster.run_until(Duration::from_secs(5), has_leader),
        eq(true)
    )?;
    let leader = cluster.ready_leader().or_fail()?;
    cluster.run(Duration::from_secs(1));
    cluster.stalled_disks.insert(ReplicaId(leader));
    let index = cluster.propose(leader, &[1; 16]).or_fail()?;
    let is_committed = |cluster: &Cluster| cluster.raft(leader).commit_index() >= index;
    let interval = support::timing().heartbeat_interval;
    verify_that!(cluster.run_until(interval, is_committed), eq(true))?;
    let own = ReplicaId(leader);
    expect_that!(cluster.raft(leader).is_caught_up(own), eq(true));
    cluster.run(4 * interval);
    expect_that!(cluster.raft(leader).is_caught_up(own), eq(false));
    Ok(())
}
