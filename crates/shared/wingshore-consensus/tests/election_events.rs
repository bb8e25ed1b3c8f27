//! Guards against a group that elects nobody without a word: its log must tell which campaigns
//! failed, by which membership, and who refused a vote and why. A lost majority, a member that
//! cannot vote and a shorter log look alike otherwise.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::cluster::Cluster;
use wingshore_consensus::{ElectionEvent, VoteRefusal};

/// Time in which several campaigns fail.
const CAMPAIGNS: Duration = Duration::from_secs(10);

fn cluster_with_leader() -> (Cluster, u64) {
    let mut cluster = Cluster::new(3, 7);
    cluster.run_until(Duration::from_secs(5), |cluster| {
        cluster.ready_leader().is_some()
    });
    let leader = cluster.ready_leader().expect("a leader");
    (cluster, leader)
}

#[gtest]
fn a_campaign_without_a_majority_is_reported_once() -> Result<()> {
    let (mut cluster, leader) = cluster_with_leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    for id in &others {
        cluster.crash(*id, 0);
    }
    cluster.restart(others[0]);
    cluster.isolate(leader);
    cluster.run(CAMPAIGNS);
    let events = &cluster.node(others[0]).election_events;
    let campaigns: Vec<_> = events
        .iter()
        .filter_map(|event| match event {
            ElectionEvent::CampaignFailed(campaign) => Some(campaign),
            ElectionEvent::VoteRefused(_) => None,
        })
        .collect();
    verify_that!(campaigns.len(), eq(1))?;
    verify_that!(campaigns[0].is_pre_vote, eq(true))?;
    verify_that!(campaigns[0].voters.len(), eq(3))?;
    verify_that!(campaigns[0].granted.len(), eq(1))
}

#[gtest]
fn a_vote_that_is_refused_for_a_shorter_log_is_reported() -> Result<()> {
    let (mut cluster, leader) = cluster_with_leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.isolate(others[0]);
    let _ = cluster.propose(leader, b"newer");
    cluster.run(Duration::from_secs(1));
    cluster.crash(leader, 0);
    cluster.cut_links.clear();
    cluster.run(Duration::from_secs(2));
    let events = &cluster.node(others[1]).election_events;
    let is_refused_for_log = |event: &ElectionEvent| match event {
        ElectionEvent::VoteRefused(refused) => refused.reason == VoteRefusal::LogBehind,
        ElectionEvent::CampaignFailed(_) => false,
    };
    verify_that!(events.iter().any(is_refused_for_log), eq(true))
}
