//! Tests of the subset of servers that a node uses and probes.

mod support;

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use support::*;
use wingshore_routing::{AttemptOutcome, ProbeKind, Router, RouterSettings};
use wingshore_types::configuration::Configuration;
use wingshore_types::{Revision, ServerId, ZoneId};

fn router_of_node(seed: u64, subset_size: u32, site: &Configuration) -> Router {
    let settings = RouterSettings {
        subset_size,
        ..RouterSettings::default()
    };
    let mut router = Router::new(settings, ZoneId::new("zone-0"), seed);
    router.on_configuration(at(0), site);
    router
}

fn members(router: &Router, servers: usize) -> BTreeSet<ServerId> {
    let is_member = |id: &ServerId| {
        let view = router.server_view(at(0), id);
        view.is_some_and(|view| view.in_subset)
    };
    (0..servers).map(server_id).filter(is_member).collect()
}

#[gtest]
fn subset_is_bounded_stable_and_mostly_in_the_own_zone() {
    let site = site(600, 3, 8, 500);
    let first = members(&router_of_node(1, 40, &site), 600);
    expect_that!(first, len(eq(40)));
    expect_that!(members(&router_of_node(1, 40, &site), 600), eq(&first));
    expect_that!(members(&router_of_node(2, 40, &site), 600), not(eq(&first)));
    let own = (0..600)
        .step_by(3)
        .filter(|number| first.contains(&server_id(*number)));
    expect_that!(own.count(), eq(30));
}

#[gtest]
fn small_services_are_used_completely() {
    for (servers, zones) in [(1, 1), (5, 1), (9, 3), (39, 2)] {
        let found = members(
            &router_of_node(1, 40, &site(servers, zones, 8, 500)),
            servers,
        );
        expect_that!(found.len(), eq(servers), "{servers} in {zones} zones");
    }
}

#[gtest]
fn removing_a_server_changes_one_member() {
    let site = site(600, 3, 8, 500);
    let mut router = router_of_node(1, 40, &site);
    let before = members(&router, 600);
    let gone = before.first().expect("the subset has members").clone();
    let mut changed = site;
    changed.revision = Revision(2);
    changed.servers.remove(&gone);
    router.on_configuration(at(1), &changed);
    let after = members(&router, 600);
    expect_that!(after.len(), eq(40));
    expect_that!(before.intersection(&after).count(), eq(39));
}

#[gtest]
fn unhealthy_members_are_replaced_and_still_probed() {
    let site = site(600, 1, 8, 500);
    let mut router = router_of_node(1, 10, &site);
    let before = members(&router, 600);
    let unhealthy = before.first().expect("the subset has members").clone();
    for round in 1..=3 {
        router.on_probe_failed(at(round * 1000), &unhealthy);
    }
    expect_that!(members(&router, 600), len(eq(11)));
    let probed = router.probe_targets(at(4000));
    expect_that!(
        probed.iter().any(|target| target.server == unhealthy),
        eq(true)
    );
    for round in 4..=5 {
        router.on_load(at(round * 1000), &unhealthy, &load(0, 0, 0));
    }
    expect_that!(members(&router, 600), eq(&before));
}

#[gtest]
fn subset_grows_while_exhausted_and_shrinks_afterwards() {
    let site = site(600, 1, 2, 1000);
    let mut router = router_of_node(1, 10, &site);
    let mut sizes = Vec::new();
    let mut admitted = Vec::new();
    for second in 1..=6 {
        admitted.extend(admit_all(&mut router, at(second * 1000), &live(), 1000));
        sizes.push(members(&router, 600).len());
    }
    expect_that!(sizes, eq(&vec![15, 23, 35, 40, 40, 40]));
    expect_that!(admitted.len(), eq(80));
    router.probe_targets(at(70_000));
    expect_that!(members(&router, 600).len(), eq(10));
}

#[gtest]
fn probes_are_bounded_by_the_subset_and_spread_over_the_interval() {
    let mut router = router_of_node(1, 40, &site(10_000, 4, 8, 500));
    let mut loads = 0;
    let mut largest = 0;
    for millisecond in (0..10_000).step_by(10) {
        let targets = router.probe_targets(at(millisecond));
        let now = targets
            .iter()
            .filter(|target| target.kind == ProbeKind::Load);
        let now = now.count();
        loads += now;
        if millisecond > 1000 {
            largest = largest.max(now);
        }
    }
    expect_that!(loads, all!(ge(400), le(440)));
    expect_that!(
        largest,
        le(8),
        "at most 8 of 40 servers in one of 100 ticks"
    );
}

/// At 30 probes per second, a round of three probes for each of 40 engines takes four seconds
/// instead of one.
#[gtest]
fn probe_rate_is_limited_and_no_server_is_skipped() {
    let settings = RouterSettings {
        probes_per_second: 30,
        ..RouterSettings::default()
    };
    let mut router = Router::new(settings, ZoneId::new("zone-0"), 1);
    router.on_configuration(at(0), &site(600, 1, 8, 500));
    let mut probed: BTreeMap<ServerId, u32> = BTreeMap::new();
    let mut count = 0;
    for millisecond in (0..40_000).step_by(50) {
        let targets = router.probe_targets(at(millisecond));
        count += targets.len();
        for target in targets {
            if target.kind == ProbeKind::Load {
                *probed.entry(target.server).or_default() += 1;
            }
        }
    }
    expect_that!(count, all!(ge(1150), le(1230)));
    let rounds: Vec<u32> = probed.into_values().collect();
    let least = rounds.iter().min().copied();
    let most = rounds.iter().max().copied();
    expect_that!(least, some(ge(9)));
    expect_that!(most, some(le(12)), "{rounds:?}");
}

#[gtest]
fn servers_of_an_unused_service_are_not_probed() {
    let mut router = router_of_node(1, 40, &site(600, 1, 8, 500));
    expect_that!(router.probe_targets(at(59_000)), not(is_empty()));
    expect_that!(router.probe_targets(at(61_000)), is_empty());
    let admitted = router.admit(at(62_000), &live()).expect("room");
    expect_that!(router.probe_targets(at(62_050)), not(is_empty()));
    // A service with a request in flight is in use.
    expect_that!(router.probe_targets(at(200_000)), not(is_empty()));
    router.on_finished(at(200_000), admitted.ticket, AttemptOutcome::Cancelled);
    expect_that!(router.probe_targets(at(202_000)), is_empty());
}

/// 300 nodes select 40 of 1,000 servers each, a mean of 12 nodes per server. Rendezvous hashing
/// distributes nodes like random selection: the standard deviation is close to the square root of
/// the mean.
#[gtest]
fn nodes_are_distributed_randomly_over_servers() {
    let site = site(1000, 1, 8, 500);
    let mut nodes_of: BTreeMap<ServerId, u32> = BTreeMap::new();
    for seed in 0..300 {
        for member in members(&router_of_node(seed, 40, &site), 1000) {
            *nodes_of.entry(member).or_default() += 1;
        }
    }
    let square = |count: &u32| (f64::from(*count) - 12.0).powi(2);
    let unused = 1000 - nodes_of.len();
    let variance = (nodes_of.values().map(square).sum::<f64>() + unused as f64 * 144.0) / 1000.0;
    expect_that!(variance, all!(ge(9.0), le(14.0)));
    expect_that!(unused, eq(0));
}
