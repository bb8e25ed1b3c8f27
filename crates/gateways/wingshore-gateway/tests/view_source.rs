//! The choice of the coordinator from which a gateway follows the view.

use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_gateway::{Candidate, ChoiceInputs, ViewSource};
use wingshore_types::{Instant, LogIndex};

const NEAR: u16 = 1;
const LEADER: u16 = 2;
const FAR: u16 = 3;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn candidate(port: u16, revision: u64) -> Candidate {
    Candidate {
        address: address(port),
        is_same_zone: port == NEAR,
        is_leader: port == LEADER,
        revision: LogIndex(revision),
    }
}

fn choose(
    source: &mut ViewSource,
    now: Instant,
    known: Option<u64>,
    candidates: &[Candidate],
) -> Option<SocketAddr> {
    let choice = ChoiceInputs {
        candidates,
        known: known.map(LogIndex),
        salt: 0,
    };
    source.choose(now, &choice)
}

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn a_copy_in_the_own_zone_is_followed_at_once_and_kept() {
    let mut source = ViewSource::default();
    let all = [candidate(FAR, 5), candidate(LEADER, 5), candidate(NEAR, 4)];
    let first = choose(&mut source, at(0), None, &all);
    expect_that!(first, some(eq(address(NEAR))));
    expect_that!(choose(&mut source, at(100), Some(5), &all), none());
}

/// All gateways of a site may restart at the same time. If each followed the first copy that
/// announced itself, that copy would send the whole view to all of them.
#[gtest]
fn without_a_near_copy_another_one_is_followed_after_a_moment_rather_than_the_leader() {
    let mut source = ViewSource::default();
    let far = [candidate(LEADER, 5), candidate(FAR, 5)];
    expect_that!(choose(&mut source, at(0), None, &far), none());
    let later = choose(&mut source, at(250), None, &far);
    expect_that!(later, some(eq(address(FAR))));
    let all = [candidate(LEADER, 5), candidate(FAR, 5), candidate(NEAR, 5)];
    let nearer = choose(&mut source, at(300), Some(5), &all);
    expect_that!(nearer, some(eq(address(NEAR))));
}

#[gtest]
fn the_only_copy_is_followed_though_it_leads() {
    let mut source = ViewSource::default();
    let only = [candidate(LEADER, 5)];
    expect_that!(choose(&mut source, at(0), None, &only), none());
    let later = choose(&mut source, at(250), None, &only);
    expect_that!(later, some(eq(address(LEADER))));
}

/// A follower that is cut off from the leader sends no updates, while the leader announces newer
/// entries: an acknowledged configuration must come into force here nevertheless.
#[gtest]
fn a_copy_that_stays_behind_is_left_for_one_that_does_not() {
    let mut source = ViewSource::default();
    let even = [candidate(NEAR, 5), candidate(LEADER, 5)];
    choose(&mut source, at(0), Some(5), &even);
    let behind = [candidate(NEAR, 5), candidate(LEADER, 9)];
    expect_that!(choose(&mut source, at(100), Some(5), &behind), none());
    expect_that!(choose(&mut source, at(700), Some(5), &behind), none());
    let left = choose(&mut source, at(900), Some(5), &behind);
    expect_that!(left, some(eq(address(LEADER))));
    // The lagging copy is not followed again at once, although it is in the same zone.
    let even = [candidate(NEAR, 9), candidate(LEADER, 9)];
    expect_that!(choose(&mut source, at(1000), Some(9), &even), none());
    let back = choose(&mut source, at(5000), Some(9), &even);
    expect_that!(back, some(eq(address(NEAR))));
}

/// Entries that do not concern gateways are committed all the time: a view that stays a few entries
/// behind but advances does not lag.
#[gtest]
fn a_copy_that_follows_at_a_distance_is_kept() {
    let mut source = ViewSource::default();
    for step in 0..50 {
        let newest = 100 + 10 * step;
        let all = [candidate(NEAR, newest - 5), candidate(LEADER, newest)];
        let change = choose(&mut source, at(200 * step), Some(newest - 20), &all);
        expect_that!(change.is_some(), eq(step == 0));
    }
}

#[gtest]
fn a_lost_link_lets_another_copy_be_followed() {
    let mut source = ViewSource::default();
    let all = [candidate(NEAR, 5), candidate(FAR, 5)];
    choose(&mut source, at(0), Some(5), &all);
    source.link_ended(address(NEAR));
    expect_that!(choose(&mut source, at(10), Some(5), &all[1..]), none());
    let other = choose(&mut source, at(250), Some(5), &all[1..]);
    expect_that!(other, some(eq(address(FAR))));
}
