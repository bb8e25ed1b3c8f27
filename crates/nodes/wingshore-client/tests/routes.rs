//! Choice of the replica to try, attempt timeouts and backoffs, without sockets.

use googletest::prelude::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use wingshore_client::{Backoff, Route, attempt_timeout};
use wingshore_types::protocol::control::{ControlRequest, WatchRequest};
use wingshore_types::protocol::wire::GroupRequest;
use wingshore_types::{GroupId, Revision};

const GROUP: GroupId = GroupId::Control;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + number))
}

fn route(count: u16) -> Route {
    Route::new((0..count).map(address).collect(), 0)
}

#[gtest]
fn a_failure_selects_the_next_replica_and_hints_to_suspects_are_ignored() {
    let now = Instant::now();
    let mut route = route(3);
    expect_that!(route.choose(GROUP, now), some(eq(address(0))));
    route.on_failure(GROUP, address(0), now);
    expect_that!(route.choose(GROUP, now), some(eq(address(1))));
    route.on_not_leader(GROUP, address(1), Some(address(0)), now);
    expect_that!(route.choose(GROUP, now), some(eq(address(2))));
    route.on_not_leader(GROUP, address(2), Some(address(1)), now);
    expect_that!(route.choose(GROUP, now), some(eq(address(1))));
    route.on_answer(GROUP, address(1));
    expect_that!(route.choose(GROUP, now), some(eq(address(1))));
    expect_that!(
        route.choose(GroupId::Ledger(0), now),
        some(not(eq(address(0))))
    );
    let later = now + Duration::from_secs(1);
    route.on_not_leader(GROUP, address(1), Some(address(0)), later);
    expect_that!(route.choose(GROUP, later), some(eq(address(0))));
}

#[gtest]
fn suspect_replicas_take_turns_when_all_are_suspect() {
    let now = Instant::now();
    let mut route = route(2);
    for expected in [0, 1, 0, 1] {
        expect_that!(route.choose(GROUP, now), some(eq(address(expected))));
        route.on_failure(GROUP, address(expected), now);
    }
}

#[derive(Clone, Debug)]
enum Event {
    Answer(u16),
    NotLeader(u16, Option<u16>),
    Unable(u16),
    Failure(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0u16..40).prop_map(Event::Answer),
        (0u16..40, proptest::option::of(0u16..40)).prop_map(|(a, b)| Event::NotLeader(a, b)),
        (0u16..40).prop_map(Event::Unable),
        (0u16..40).prop_map(Event::Failure),
    ]
}

proptest! {
    #[test]
    fn a_replica_is_always_chosen(events in proptest::collection::vec(event(), 0..200)) {
        let now = Instant::now();
        let mut route = route(3);
        for event in events {
            match event {
                Event::Answer(number) => route.on_answer(GROUP, address(number)),
                Event::NotLeader(number, hint) => {
                    route.on_not_leader(GROUP, address(number), hint.map(address), now);
                }
                Event::Unable(number) => route.on_unavailable(GROUP, address(number)),
                Event::Failure(number) => route.on_failure(GROUP, address(number), now),
            }
            prop_assert!(route.choose(GROUP, now).is_some());
            prop_assert!(route.candidate_count() <= 3 + 16);
        }
    }

    #[test]
    fn every_listed_replica_is_chosen_in_turn(start in 0usize..10, count in 1u16..6) {
        let now = Instant::now();
        let mut route = Route::new((0..count).map(address).collect(), start);
        let mut asked = std::collections::BTreeSet::new();
        for _ in 0..count {
            let chosen = route.choose(GROUP, now).unwrap();
            asked.insert(chosen);
            route.on_not_leader(GROUP, chosen, None, now);
        }
        prop_assert_eq!(asked.len(), usize::from(count));
    }

    #[test]
    fn backoff_delays_stay_within_bounds(seed: u64) {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Backoff::default();
        for _ in 0..20 {
            let pause = backoff.next_delay(&mut generator);
            prop_assert!(pause >= Duration::from_millis(5));
            prop_assert!(pause <= Duration::from_millis(250));
        }
    }
}

#[gtest]
fn attempt_timeout_is_a_share_of_the_call_plus_the_requested_wait() {
    let watch = |wait_ms| {
        GroupRequest::Control(ControlRequest::Watch(WatchRequest {
            have: Revision(0),
            acknowledgements: Vec::new(),
            wait_ms,
        }))
    };
    let cases = [
        (GroupRequest::DumpLog, 60_000, 1000),
        (GroupRequest::DumpLog, 2000, 500),
        (GroupRequest::DumpLog, 100, 100),
        (watch(1000), 2500, 1625),
        (watch(0), 2500, 625),
    ];
    for (request, whole, expected) in cases {
        let timeout = attempt_timeout(&request, Duration::from_millis(whole));
        expect_that!(timeout, eq(Duration::from_millis(expected)));
    }
}
