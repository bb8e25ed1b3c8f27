//! Whether the leader itself counts as caught up.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use wingshore_types::ReplicaId;

/// What is seen: a group under writes is not whole, at one look or at each, though all of its voters follow.
/// How it comes about: what the others have made durable is committed before the leader's own disk has it.
/// Cause: the leader, which answers no heartbeat of its own, was held to what is committed at the moment.
/// Proof: an entry that was committed within a heartbeat interval, and is not on the leader's disk.
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
