//! Tests of prefix cache affinity: hints attract requests, decay, and never select a server that is
//! not open.

mod support;

use googletest::prelude::*;
use support::*;
use wingshore_routing::{ProbeKind, RouteRequest, Router, RouterSettings};
use wingshore_types::configuration::Admission;
use wingshore_types::platform::{CacheEvent, CacheEventKind, CacheEvents};

const PREFIX: u64 = 42;
const SERVERS: usize = 8;

fn event(sequence: u64, prefix_hash: u64, kind: CacheEventKind) -> CacheEvent {
    CacheEvent {
        sequence,
        prefix_hash,
        tokens: 100,
        kind,
    }
}

fn stored(sequence: u64, prefix_hash: u64) -> CacheEvent {
    event(sequence, prefix_hash, CacheEventKind::Stored)
}

fn send_events(router: &mut Router, now: u64, boot_id: u64, events: Vec<CacheEvent>) {
    let events = CacheEvents { boot_id, events };
    router.on_cache_events(at(now), &server_id(3), &events);
}

fn with_prefix() -> RouteRequest {
    RouteRequest {
        prefix_hash: Some(PREFIX),
        ..live()
    }
}

/// Returns how many of 100 successive requests, each finished before the next, go to server 3,
/// which the hints name.
fn count_on_hinted_server(router: &mut Router, now: u64) -> usize {
    let mut count = 0;
    for _ in 0..100 {
        let admitted = router
            .admit(at(now), &with_prefix())
            .expect("the server is open");
        count += usize::from(admitted.server == server_id(3));
        // A cancelled request records no hint, unlike a successful one.
        let cancelled = wingshore_routing::AttemptOutcome::Cancelled;
        router.on_finished(at(now), admitted.ticket, cancelled);
    }
    count
}

#[gtest]
fn cache_events_decide_whether_a_hint_attracts_requests() {
    type Setup = fn(&mut Router);
    let cases: [(&str, bool, Setup); 8] = [
        ("stored", true, |router| {
            send_events(router, 0, 1, vec![stored(1, PREFIX)])
        }),
        ("stored, sent twice", true, |router| {
            send_events(router, 0, 1, vec![stored(1, PREFIX)]);
            send_events(router, 0, 1, vec![stored(1, PREFIX)]);
        }),
        ("evicted", false, |router| {
            let evicted = event(2, PREFIX, CacheEventKind::Evicted);
            send_events(router, 0, 1, vec![stored(1, PREFIX), evicted]);
        }),
        ("one gap since", true, |router| {
            send_events(router, 0, 1, vec![stored(1, PREFIX), stored(9, 1)]);
        }),
        ("many gaps since", false, |router| {
            let others = (2..12).map(|number| stored(number * 2, number));
            send_events(
                router,
                0,
                1,
                [stored(1, PREFIX)].into_iter().chain(others).collect(),
            );
        }),
        ("events of another boot", false, |router| {
            send_events(router, 0, 1, vec![stored(1, PREFIX)]);
            send_events(router, 0, 2, vec![stored(1, 1)]);
        }),
        ("another boot in the state report", false, |router| {
            send_events(router, 0, 1, vec![stored(1, PREFIX)]);
            router.on_engine_state(at(0), &server_id(3), &state(2, Some(VERSION), false));
        }),
        ("another prefix", false, |router| {
            send_events(router, 0, 1, vec![stored(1, 7)])
        }),
    ];
    for (name, expected, setup) in cases {
        let mut router = router(&site(SERVERS, 1, 8, 500));
        setup(&mut router);
        let count = count_on_hinted_server(&mut router, 1);
        expect_that!(count == 100, eq(expected), "{name}: {count}");
        expect_that!(count, ge(if expected { 100 } else { 0 }), "{name}");
    }
}

#[gtest]
fn hint_decays_with_age() {
    let mut router = router(&site(SERVERS, 1, 8, 500));
    send_events(&mut router, 0, 1, vec![stored(1, PREFIX)]);
    expect_that!(count_on_hinted_server(&mut router, 119_000), eq(100));
    expect_that!(count_on_hinted_server(&mut router, 6 * 120_000), lt(50));
}

#[gtest]
fn affinity_bonus_is_bounded() {
    let mut router = router(&site(SERVERS, 1, 100, 1000));
    send_events(&mut router, 0, 1, vec![stored(1, PREFIX)]);
    let admitted = admit_all(&mut router, at(1), &with_prefix(), 80);
    let on_hinted_server = count_on(&admitted, 3);
    expect_that!(
        on_hinted_server,
        all!(ge(10), le(14)),
        "an even share is 10, the bonus 2"
    );
}

#[gtest]
fn hint_never_selects_a_leaving_or_unusable_server() {
    let site = site(SERVERS, 1, 8, 500);
    let mut router = router(&site);
    send_events(&mut router, 0, 1, vec![stored(1, PREFIX)]);
    router.on_engine_state(at(0), &server_id(3), &state(1, None, false));
    let request = RouteRequest {
        prefix_hash: Some(PREFIX),
        ..rollout()
    };
    let admitted = admit_all(&mut router, at(1), &request, 20);
    expect_that!(
        count_on(&admitted, 3),
        eq(0),
        "the version of server 3 is unknown"
    );
    router.on_configuration(at(2), &with_admission(&site, 3, Admission::Draining));
    let admitted = admit_all(&mut router, at(3), &with_prefix(), 20);
    expect_that!(count_on(&admitted, 3), eq(0), "server 3 is leaving");
}

#[gtest]
fn events_of_another_boot_make_the_version_unknown_until_the_next_state() {
    let mut router = router(&site(4, 1, 8, 500));
    send_events(&mut router, 0, 2, vec![stored(1, PREFIX)]);
    let version = |router: &Router| {
        router
            .server_view(at(1), &server_id(3))
            .and_then(|v| v.version)
    };
    expect_that!(version(&router), none());
    router.on_engine_state(at(1), &server_id(3), &state(1, Some(VERSION), false));
    expect_that!(version(&router), some(eq(VERSION)));
}

#[gtest]
fn entries_are_bounded_and_the_oldest_is_evicted_first() {
    let settings = RouterSettings {
        affinity_entries: 10,
        ..RouterSettings::default()
    };
    let mut router = router_with(settings, Default::default(), &site(SERVERS, 1, 8, 500));
    let others = |count: u64| (2..2 + count).map(|number| stored(number, number * 1000));
    send_events(
        &mut router,
        0,
        1,
        [stored(1, PREFIX)].into_iter().chain(others(9)).collect(),
    );
    expect_that!(count_on_hinted_server(&mut router, 1), eq(100));
    send_events(&mut router, 1, 1, vec![stored(11, 1)]);
    expect_that!(count_on_hinted_server(&mut router, 1), lt(50));
}

#[gtest]
fn cache_event_probe_starts_after_the_last_sequence() {
    let mut router = router(&site(4, 1, 8, 500));
    send_events(&mut router, 0, 1, vec![stored(17, PREFIX)]);
    let targets = router.probe_targets(at(1));
    let asked = targets.iter().any(|target| {
        target.server == server_id(3) && target.kind == ProbeKind::CacheEvents { after: 17 }
    });
    expect_that!(asked, eq(true));
}
