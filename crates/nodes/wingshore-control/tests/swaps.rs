//! Swap policy: shares, sources, order, and the duration of swaps of a whole fleet.

mod support;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::Group;
use support::engine::Fleet;
use support::site::{self, POOL, Site, address, engine_name, store};
use wingshore_control::LeaderSettings;
use wingshore_control::swaps::{SwapCandidate, SwapLimits, SwapStart, swaps_to_begin};
use wingshore_types::WeightVersion;
use wingshore_types::configuration::{ConfigurationChange, Permille, Pool, ServiceKind};
use wingshore_types::ids::ServerId;

/// An engine of a test case: its version, its fetch source, and whether it may swap.
#[derive(Clone, Copy)]
struct Case {
    version: Option<u64>,
    fetching_from: Option<SocketAddr>,
    ready: bool,
    failed_before: bool,
}

fn at(version: u64) -> Case {
    Case {
        version: Some(version),
        fetching_from: None,
        ready: true,
        failed_before: false,
    }
}

fn unknown() -> Case {
    Case {
        version: None,
        ..at(0)
    }
}

fn fetching(from: SocketAddr) -> Case {
    Case {
        fetching_from: Some(from),
        ready: false,
        ..at(1)
    }
}

/// Engines that start a swap, with their sources.
type StartedSwaps = Vec<(u32, SocketAddr)>;

/// Returns the swaps that start when version 2 is wanted.
fn started_swaps(cases: &[Case], limits: SwapLimits) -> StartedSwaps {
    let names: Vec<ServerId> = (0..cases.len())
        .map(|n| ServerId::new(&engine_name(n as u32)))
        .collect();
    let candidates: Vec<SwapCandidate<'_>> = cases
        .iter()
        .enumerate()
        .map(|(n, case)| SwapCandidate {
            server: &names[n],
            address: address(n as u32),
            version: case.version.map(WeightVersion),
            fetching_from: case.fetching_from,
            ready: case.ready,
            failed_before: case.failed_before,
        })
        .collect();
    let starts = swaps_to_begin(&candidates, WeightVersion(2), store(), limits);
    let number = |start: &SwapStart| names.iter().position(|name| *name == start.server).unwrap();
    starts
        .iter()
        .map(|start| (number(start) as u32, start.source))
        .collect()
}

#[gtest]
fn limits_respect_the_live_share_and_allow_at_least_one_swap() {
    let settings = LeaderSettings::default();
    let cases = [
        (8, 500, 2, 0),
        (9, 500, 2, 0),
        (3, 500, 1, 0),
        (100, 900, 10, 2),
        (100, 1000, 1, 2),
        (10_000, 300, 2_500, 2),
    ];
    for (engines, live_share, away, per_engine) in cases {
        let limits = SwapLimits::new(&settings, engines, Permille(live_share));
        expect_that!(limits.away_at_once, eq(away), "{engines} engines");
        expect_that!(
            limits.fetches_per_engine,
            eq(per_engine),
            "{engines} engines"
        );
    }
}

#[gtest]
fn swaps_begin_as_shares_and_sources_allow() {
    let limits = |away_at_once, fetches_per_store, fetches_per_engine| SwapLimits {
        away_at_once,
        fetches_per_store,
        fetches_per_engine,
    };
    let engine = address;
    let quarantined = Case {
        ready: false,
        ..unknown()
    };
    let failed = Case {
        failed_before: true,
        ..at(1)
    };
    let cases: Vec<(&str, Vec<Case>, SwapLimits, StartedSwaps)> = vec![
        (
            "all engines have the version",
            vec![at(2), at(2)],
            limits(2, 4, 0),
            vec![],
        ),
        (
            "share",
            vec![at(1), at(1), at(1)],
            limits(2, 4, 0),
            vec![(0, store()), (1, store())],
        ),
        (
            "one engine is away already",
            vec![fetching(store()), at(1), at(1)],
            limits(2, 4, 0),
            vec![(1, store())],
        ),
        (
            "engines of unknown version go first",
            vec![at(1), unknown(), unknown()],
            limits(1, 4, 0),
            vec![(1, store()), (2, store())],
        ),
        (
            "quarantined engines count as away",
            vec![quarantined, at(1), at(1)],
            limits(1, 4, 0),
            vec![],
        ),
        (
            "store is at its limit",
            vec![fetching(store()), at(1), at(1)],
            limits(9, 1, 0),
            vec![],
        ),
        (
            "engines of a higher version also swap",
            vec![at(3)],
            limits(1, 1, 0),
            vec![(0, store())],
        ),
        (
            "engines as sources",
            vec![at(2), at(1), at(1), at(1), at(1)],
            limits(9, 1, 2),
            vec![(1, store()), (2, engine(0)), (3, engine(0))],
        ),
        (
            "a source with one free fetch slot",
            vec![at(2), fetching(engine(0)), at(1), at(1), at(1)],
            limits(9, 1, 2),
            vec![(2, store()), (3, engine(0))],
        ),
        (
            "fetch from the store only after a failure",
            vec![at(2), fetching(store()), failed],
            limits(9, 1, 2),
            vec![],
        ),
    ];
    for (case, engines, limits, expected) in cases {
        expect_that!(started_swaps(&engines, limits), eq(&expected), "{case}");
    }
}

#[gtest]
fn limits_on_away_engines_and_fetches_always_hold() {
    let site = Site {
        engines: 100,
        ..Site::default()
    };
    let mut group = Group::new(&site);
    let mut fleet = Fleet::new(100, 1);
    fleet.load_ms = 900;
    fleet.run(&mut group, 2_000);
    group.publish(POOL, 2);
    fleet.run_until(&mut group, 60_000, |fleet, _| fleet.count_at(2) > 90);
    expect_sources_within_limits(&fleet);
    expect_that!(fleet.max_loading, all![le(25), ge(20)]);
}

#[gtest]
fn services_share_the_fetch_limit_of_a_store_and_all_start_early() {
    let settings = LeaderSettings::default();
    let services = 12;
    let of_each = 70;
    let mut group = Group::new(&Site {
        engines: of_each,
        ..Site::default()
    });
    for number in 1..services {
        let service = format!("lm-{number}");
        let kind = ServiceKind::Engines { model: "m".into() };
        group.apply_change(ConfigurationChange::PutService(site::service(
            &service, kind,
        )));
        for engine in number * of_each..(number + 1) * of_each {
            let name = engine_name(engine);
            let server = site::server(&name, &service, engine);
            group.apply_change(ConfigurationChange::PutServer(server));
        }
        let pool = Pool {
            service: service.as_str().into(),
            ..site::pool(&format!("pool-{number}"))
        };
        group.apply_change(ConfigurationChange::PutPool(pool));
    }
    let engines = services * of_each;
    let mut fleet = Fleet::new(engines, 1);
    fleet.load_ms = 900;
    fleet.run(&mut group, 5_000);
    group.publish(POOL, 2);
    for number in 1..services {
        group.publish(&format!("pool-{number}"), 2);
    }
    fleet.run_until(&mut group, 120_000, |fleet, _| {
        fleet.count_at(2) == engines as usize
    });
    expect_sources_within_limits(&fleet);
    // Every service has a first source after as many rounds of fetches as the store needs for one
    // fetch per service.
    let is_of = |number: u32, server: &ServerId| {
        let engines = number * of_each..(number + 1) * of_each;
        let mut names = engines.map(engine_name);
        names.any(|name| name == server.as_str())
    };
    for number in 0..services {
        let first = fleet
            .orders
            .iter()
            .position(|(_, server, _)| is_of(number, server));
        let (at, _, _) = &fleet.orders[first.expect("an order")];
        let (began, _, _) = &fleet.orders[0];
        let rounds = u64::from(services / settings.fetches_per_store);
        expect_that!(
            at.since(*began).as_millis() as u64,
            le(rounds * 2_000),
            "{number}"
        );
    }
}

/// Checks that no source ever served more concurrent fetches than its limit.
fn expect_sources_within_limits(fleet: &Fleet) {
    let settings = LeaderSettings::default();
    let load_ms = u128::from(fleet.load_ms);
    let mut most_from: BTreeMap<String, usize> = BTreeMap::new();
    for moment in fleet.orders.iter().map(|(at, _, _)| *at) {
        let mut now: BTreeMap<String, usize> = BTreeMap::new();
        for (sent, _, order) in &fleet.orders {
            if *sent <= moment && moment.since(*sent).as_millis() < load_ms {
                *now.entry(format!("{:?}", order.order)).or_default() += 1;
            }
        }
        for (source, count) in now {
            let most = most_from.entry(source).or_default();
            *most = count.max(*most);
        }
    }
    for (source, count) in most_from {
        let limit = if source.contains("192.168.0.1:") {
            settings.fetches_per_store
        } else {
            settings.fetches_per_engine
        };
        expect_that!(count, le(limit as usize), "{source}");
    }
}

#[gtest]
fn two_pools_of_a_service_share_its_engines_and_the_higher_version_wins() {
    let mut group = Group::new(&Site::default());
    let mut fleet = Fleet::new(8, 1);
    let other = site::pool("transfers");
    group.apply_change(ConfigurationChange::PutPool(other));
    group.publish(POOL, 2);
    group.publish("transfers", 3);
    fleet.run_until(&mut group, 60_000, |fleet, _| fleet.count_at(3) == 8);
    expect_that!(fleet.max_loading, le(2));
}

/// The limit is simulated time; a load takes two seconds from any source.
#[gtest]
fn ten_thousand_engines_swap_within_the_limit() {
    let site = Site {
        engines: 10_000,
        live_servers: 0,
        ..Site::default()
    };
    let mut group = Group::new(&site);
    let mut fleet = Fleet::new(10_000, 1);
    fleet.load_ms = 2_000;
    fleet.run(&mut group, 15_000);
    let reads = fleet.reads;
    group.publish(POOL, 2);
    let took = fleet.run_until(&mut group, 120_000, |fleet, _| fleet.count_at(2) == 10_000);
    println!(
        "10000 engines took a version in {took} ms, with {} reads",
        fleet.reads - reads
    );
    expect_that!(took, le(33_000));
    expect_that!(fleet.max_loading, le(2_500));
    // Engines are polled when their swaps should be over, not continuously.
    expect_that!(fleet.reads - reads, le(28_000));
}
