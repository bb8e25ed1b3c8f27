//! What followers of the list of ready gateways are sent while gateways, links and the group fail.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_coordination::{
    CoordinatorMessage, GatewayId, GatewayListUpdate, LOAD_REPORTS_FORMAT, ListedGateway,
};
use wingshore_coordinator::{FeedLinks, GatewayFeed, GroupContact};
use wingshore_net::frame;
use wingshore_types::Instant;

const ZONE: &str = "zone-a";
/// More bytes than may wait on a link that is sent something new.
const FULL: usize = 1 << 20;
/// When a coordinator has been in contact for long enough, in milliseconds.
const SETTLED: u64 = 1500;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn gateway(number: u64, zone: &str) -> ListedGateway {
    let octet = u8::try_from(number).expect("few gateways");
    ListedGateway {
        gateway: GatewayId(number),
        front: ([10, 2, 0, octet], 8161).into(),
        zone: zone.to_owned(),
    }
}

fn ready(numbers: impl IntoIterator<Item = u64>) -> BTreeMap<GatewayId, ListedGateway> {
    let numbers = numbers.into_iter();
    numbers
        .map(|number| (GatewayId(number), gateway(number, ZONE)))
        .collect()
}

/// Links to followers: the updates that were sent, and the bytes that wait.
#[derive(Default)]
struct Links {
    sent: Vec<(u32, GatewayListUpdate)>,
    queued: BTreeMap<u32, usize>,
}

impl FeedLinks<u32> for Links {
    fn queued(&self, link: u32) -> usize {
        self.queued.get(&link).copied().unwrap_or(0)
    }

    fn send(&mut self, link: u32, frame: &Bytes) {
        let mut bytes = BytesMut::from(frame.as_ref());
        let message = frame::decode::<CoordinatorMessage>(&mut bytes);
        let Ok(Some(CoordinatorMessage::Gateways(update))) = message else {
            panic!("an update of the list");
        };
        self.sent.push((link, update));
    }
}

/// A coordinator's feed with its links.
#[derive(Default)]
struct World {
    feed: GatewayFeed<u32>,
    links: Links,
}

impl World {
    /// Returns a coordinator that has been in contact for long enough and hears these gateways.
    fn settled(numbers: &[u64]) -> Self {
        let mut world = Self::default();
        for millis in [0, SETTLED] {
            world.update(millis, GroupContact::Established, numbers);
        }
        world
    }

    fn follow(&mut self, link: u32) {
        assert!(self.feed.follow(link, Some(LOAD_REPORTS_FORMAT)));
    }

    fn update(&mut self, millis: u64, contact: GroupContact, numbers: &[u64]) {
        let ready = ready(numbers.iter().copied());
        let links = &mut self.links;
        self.feed.update(at(millis), contact, ready, links).unwrap();
    }

    fn gone(&mut self, number: u64) {
        let links = &mut self.links;
        self.feed.gone(GatewayId(number), links).unwrap();
    }

    fn take_sent(&mut self) -> Vec<(u32, GatewayListUpdate)> {
        std::mem::take(&mut self.links.sent)
    }
}

fn whole(numbers: &[u64]) -> GatewayListUpdate {
    GatewayListUpdate::Whole(ready(numbers.iter().copied()).into_values().collect())
}

fn changed(present: &[u64], gone: &[u64]) -> GatewayListUpdate {
    GatewayListUpdate::Changed {
        present: ready(present.iter().copied()).into_values().collect(),
        gone: gone.iter().copied().map(GatewayId).collect(),
    }
}

#[gtest]
fn a_follower_is_sent_the_whole_list_and_then_changes() {
    let mut world = World::settled(&[1, 2]);
    world.follow(7);
    world.update(1600, GroupContact::Established, &[1, 2]);
    expect_that!(world.take_sent(), eq(&vec![(7, whole(&[1, 2]))]));
    world.update(1700, GroupContact::Established, &[1, 2]);
    expect_that!(world.take_sent(), is_empty());
    world.update(1800, GroupContact::Established, &[2, 3, 4]);
    expect_that!(world.take_sent(), eq(&vec![(7, changed(&[3, 4], &[1]))]));
}

#[gtest]
fn a_gateway_that_is_gone_is_passed_on_at_once_and_once() {
    let mut world = World::settled(&[1, 2]);
    world.follow(7);
    world.update(1600, GroupContact::Established, &[1, 2]);
    world.take_sent();
    world.gone(1);
    expect_that!(world.take_sent(), eq(&vec![(7, changed(&[], &[1]))]));
    world.gone(1);
    world.update(1700, GroupContact::Established, &[2]);
    expect_that!(world.take_sent(), is_empty());
}

#[gtest]
fn a_gateway_with_other_data_is_sent_again() {
    let mut world = World::settled(&[1]);
    world.follow(7);
    world.update(1600, GroupContact::Established, &[1]);
    world.take_sent();
    let moved = gateway(1, "zone-b");
    let ready = BTreeMap::from([(GatewayId(1), moved.clone())]);
    let links = &mut world.links;
    let contact = GroupContact::Established;
    world.feed.update(at(1700), contact, ready, links).unwrap();
    let expected = GatewayListUpdate::Changed {
        present: vec![moved],
        gone: Vec::new(),
    };
    expect_that!(world.take_sent(), eq(&vec![(7, expected)]));
}

#[gtest]
fn a_link_of_the_first_format_or_of_an_unknown_one_is_never_sent_a_list() {
    let mut world = World::settled(&[1]);
    expect_that!(world.feed.follow(7, Some(1)), eq(false));
    expect_that!(world.feed.follow(8, None), eq(false));
    world.update(1600, GroupContact::Established, &[1, 2]);
    world.gone(1);
    expect_that!(world.take_sent(), is_empty());
}

#[gtest]
fn a_follower_that_has_left_is_sent_nothing() {
    let mut world = World::settled(&[1]);
    world.follow(7);
    world.update(1600, GroupContact::Established, &[1]);
    world.take_sent();
    world.feed.leave(7);
    world.update(1700, GroupContact::Established, &[1, 2]);
    expect_that!(world.take_sent(), is_empty());
}

#[gtest]
fn a_full_link_is_sent_the_whole_list_once_it_has_room() {
    let mut world = World::settled(&[1, 2]);
    world.follow(7);
    world.follow(8);
    world.update(1600, GroupContact::Established, &[1, 2]);
    world.take_sent();
    world.links.queued.insert(7, FULL);
    world.gone(1);
    world.update(1700, GroupContact::Established, &[2, 3]);
    let others = vec![(8, changed(&[], &[1])), (8, changed(&[3], &[]))];
    expect_that!(world.take_sent(), eq(&others));
    world.links.queued.clear();
    world.update(1800, GroupContact::Established, &[2, 3]);
    expect_that!(world.take_sent(), eq(&vec![(7, whole(&[2, 3]))]));
}

#[gtest]
fn at_most_64_gateways_of_a_zone_are_listed() {
    let all: Vec<u64> = (1..=65).collect();
    let mut world = World::settled(&all);
    world.follow(7);
    world.update(1600, GroupContact::Established, &all);
    expect_that!(world.take_sent(), eq(&vec![(7, whole(&all[..64]))]));
    // The one that was left out takes the place of one that is gone.
    world.gone(1);
    world.update(1700, GroupContact::Established, &all[1..]);
    let expected = vec![(7, changed(&[], &[1])), (7, changed(&[65], &[]))];
    expect_that!(world.take_sent(), eq(&expected));
}

#[gtest]
fn a_coordinator_that_has_just_started_sends_no_list() {
    let mut world = World::default();
    world.follow(7);
    world.update(0, GroupContact::Established, &[1]);
    world.update(SETTLED - 1, GroupContact::Established, &[1, 2]);
    expect_that!(world.take_sent(), is_empty());
    world.update(SETTLED, GroupContact::Established, &[1, 2, 3]);
    expect_that!(world.take_sent(), eq(&vec![(7, whole(&[1, 2, 3]))]));
}

#[gtest]
fn a_coordinator_that_is_cut_off_does_not_shorten_the_list() {
    let mut world = World::settled(&[1, 2, 3]);
    world.follow(7);
    world.update(1600, GroupContact::Established, &[1, 2, 3]);
    world.take_sent();
    world.update(1700, GroupContact::Lost, &[1]);
    expect_that!(world.take_sent(), is_empty());
    // A gateway that announces its stop is certain to be gone.
    world.gone(1);
    expect_that!(world.take_sent(), eq(&vec![(7, changed(&[], &[1]))]));
    // Gateways connect again after the cut; those that have not by then are gone.
    world.update(2000, GroupContact::Established, &[2]);
    world.update(2000 + SETTLED - 1, GroupContact::Established, &[2]);
    expect_that!(world.take_sent(), is_empty());
    world.update(2000 + SETTLED, GroupContact::Established, &[2]);
    expect_that!(world.take_sent(), eq(&vec![(7, changed(&[], &[3]))]));
}

#[gtest]
fn gateways_lost_by_silence_leave_the_list_of_a_coordinator_in_contact() {
    let all: Vec<u64> = (1..=10).collect();
    let mut world = World::settled(&all);
    world.follow(7);
    world.update(1600, GroupContact::Established, &all);
    world.take_sent();
    world.update(1700, GroupContact::Established, &all[6..]);
    let expected = vec![(7, changed(&[], &all[..6]))];
    expect_that!(world.take_sent(), eq(&expected));
}
