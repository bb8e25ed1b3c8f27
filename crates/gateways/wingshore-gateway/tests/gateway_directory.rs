//! Which gateways a client is told to use while coordinators and gateways fail and return.

use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{GatewayId, GatewayListUpdate, ListedGateway};
use wingshore_gateway::{
    DirectoryAnswer, DirectoryQuestion, GatewayDirectory, LIST_LIFETIME, OwnStatus, SHORT_VALIDITY,
};
use wingshore_types::Instant;

const OWN: u8 = 1;
const NEAR: &str = "zone-a";
const FAR: &str = "zone-b";
const TTL: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn coordinator(number: u8) -> SocketAddr {
    ([10, 1, 0, number], 7720).into()
}

fn front(number: u8) -> SocketAddr {
    ([10, 2, 0, number], 8161).into()
}

fn gateway(number: u8, zone: &str) -> ListedGateway {
    ListedGateway {
        gateway: GatewayId(number.into()),
        front: front(number),
        zone: zone.to_owned(),
    }
}

fn near(numbers: &[u8]) -> Vec<ListedGateway> {
    numbers
        .iter()
        .map(|number| gateway(*number, NEAR))
        .collect()
}

fn whole(numbers: &[u8]) -> GatewayListUpdate {
    GatewayListUpdate::Whole(near(numbers))
}

fn changed(present: &[u8], gone: &[u8]) -> GatewayListUpdate {
    GatewayListUpdate::Changed {
        present: near(present),
        gone: gone.iter().map(|id| GatewayId((*id).into())).collect(),
    }
}

fn directory() -> GatewayDirectory {
    GatewayDirectory::new(gateway(OWN, NEAR))
}

/// Returns a directory that was sent these gateways by coordinator 1 at time zero.
fn directory_with(numbers: &[u8]) -> GatewayDirectory {
    let mut directory = directory();
    directory.follow(Some(coordinator(1)));
    directory.update(at(0), coordinator(1), whole(numbers));
    directory
}

fn ask(directory: &GatewayDirectory, millis: u64, own_status: OwnStatus) -> DirectoryAnswer {
    let question = DirectoryQuestion {
        zone: NEAR,
        own_status,
        max_validity: TTL,
    };
    directory.answer(at(millis), &question)
}

fn listed(numbers: &[u8]) -> DirectoryAnswer {
    DirectoryAnswer::Listed {
        addresses: numbers.iter().map(|number| front(*number)).collect(),
        validity: TTL,
    }
}

fn itself_alone() -> DirectoryAnswer {
    DirectoryAnswer::ItselfAlone {
        address: front(OWN),
        validity: SHORT_VALIDITY,
    }
}

fn lifetime() -> u64 {
    u64::try_from(LIST_LIFETIME.as_millis()).unwrap()
}

#[gtest]
fn a_gateway_names_those_of_its_list_and_itself() {
    let directory = directory_with(&[2, 3]);
    expect_that!(
        ask(&directory, 100, OwnStatus::Ready),
        eq(&listed(&[1, 2, 3]))
    );
}

#[gtest]
fn a_client_is_given_its_own_zone_where_that_has_two_gateways() {
    let mut directory = directory();
    directory.follow(Some(coordinator(1)));
    let gateways = vec![gateway(1, NEAR), gateway(2, NEAR), gateway(3, FAR)];
    directory.update(at(0), coordinator(1), GatewayListUpdate::Whole(gateways));
    expect_that!(ask(&directory, 0, OwnStatus::Ready), eq(&listed(&[1, 2])));
    // One is left in the zone: the client is given those of all zones.
    directory.update(at(1), coordinator(1), changed(&[], &[2]));
    expect_that!(ask(&directory, 1, OwnStatus::Ready), eq(&listed(&[1, 3])));
}

#[gtest]
fn a_gateway_of_another_zone_does_not_name_itself_where_the_client_has_two_near_ones() {
    let mut directory = GatewayDirectory::new(gateway(OWN, FAR));
    directory.follow(Some(coordinator(1)));
    directory.update(at(0), coordinator(1), whole(&[2, 3]));
    expect_that!(ask(&directory, 0, OwnStatus::Ready), eq(&listed(&[2, 3])));
}

#[gtest]
fn at_most_64_addresses_are_given_and_itself_is_one_of_them() {
    let others: Vec<u8> = (2..=66).collect();
    let directory = directory_with(&others);
    let answer = ask(&directory, 0, OwnStatus::Ready);
    let first: Vec<u8> = (1..=64).collect();
    expect_that!(answer, eq(&listed(&first)));
}

#[gtest]
fn without_a_list_a_gateway_names_itself_for_a_short_time() {
    let directory = directory();
    expect_that!(ask(&directory, 0, OwnStatus::Ready), eq(&itself_alone()));
    expect_that!(directory.age(at(5)), none());
}

#[gtest]
fn a_gateway_without_a_configuration_names_nobody() {
    let directory = directory_with(&[2, 3]);
    expect_that!(
        ask(&directory, 0, OwnStatus::Starting),
        eq(&DirectoryAnswer::Unavailable)
    );
}

#[gtest]
fn a_stopping_gateway_names_the_others_only() {
    let directory = directory_with(&[1, 2, 3]);
    expect_that!(
        ask(&directory, 0, OwnStatus::Stopping),
        eq(&listed(&[2, 3]))
    );
    let alone = directory_with(&[1]);
    expect_that!(
        ask(&alone, 0, OwnStatus::Stopping),
        eq(&DirectoryAnswer::Unavailable)
    );
    let without_list = GatewayDirectory::new(gateway(OWN, NEAR));
    expect_that!(
        ask(&without_list, 0, OwnStatus::Stopping),
        eq(&DirectoryAnswer::Unavailable)
    );
}

#[gtest]
fn a_list_outlives_its_coordinator_by_its_lifetime() {
    let mut directory = directory_with(&[2]);
    directory.confirmed(at(500), coordinator(1));
    let end = 500 + lifetime();
    expect_that!(ask(&directory, end, OwnStatus::Ready), eq(&listed(&[1, 2])));
    let after_end = ask(&directory, end + 1, OwnStatus::Ready);
    expect_that!(after_end, eq(&itself_alone()));
    expect_that!(
        ask(&directory, end + 1, OwnStatus::Stopping),
        eq(&DirectoryAnswer::Unavailable)
    );
}

#[gtest]
fn a_list_is_confirmed_only_by_the_coordinator_that_sent_it() {
    let mut directory = directory_with(&[2]);
    directory.confirmed(at(2000), coordinator(2));
    let later = lifetime() + 1;
    expect_that!(
        ask(&directory, later, OwnStatus::Ready),
        eq(&itself_alone())
    );
    // Another coordinator that has not sent its list yet does not confirm the list of the first.
    directory.follow(Some(coordinator(2)));
    directory.confirmed(at(later), coordinator(2));
    expect_that!(
        ask(&directory, later, OwnStatus::Ready),
        eq(&itself_alone())
    );
}

#[gtest]
fn the_list_stays_in_use_while_another_coordinator_is_asked() {
    let mut directory = directory_with(&[2, 3]);
    directory.follow(Some(coordinator(2)));
    expect_that!(
        ask(&directory, 100, OwnStatus::Ready),
        eq(&listed(&[1, 2, 3]))
    );
    // Changes before its whole list do not fit the list that is held.
    directory.update(at(110), coordinator(2), changed(&[], &[2, 3]));
    expect_that!(
        ask(&directory, 110, OwnStatus::Ready),
        eq(&listed(&[1, 2, 3]))
    );
    directory.update(at(120), coordinator(2), whole(&[3, 4]));
    directory.update(at(130), coordinator(2), changed(&[5], &[3]));
    expect_that!(
        ask(&directory, 130, OwnStatus::Ready),
        eq(&listed(&[1, 4, 5]))
    );
}

#[gtest]
fn updates_of_a_coordinator_that_is_no_longer_followed_are_dropped() {
    let mut directory = directory_with(&[2, 3]);
    directory.follow(Some(coordinator(2)));
    directory.update(at(10), coordinator(1), whole(&[]));
    expect_that!(
        ask(&directory, 10, OwnStatus::Ready),
        eq(&listed(&[1, 2, 3]))
    );
    directory.follow(None);
    directory.confirmed(at(2000), coordinator(2));
    let later = lifetime() + 1;
    expect_that!(
        ask(&directory, later, OwnStatus::Ready),
        eq(&itself_alone())
    );
}

#[gtest]
fn a_list_that_was_too_old_is_in_use_again_once_its_coordinator_returns() {
    let mut directory = directory_with(&[2]);
    let later = lifetime() * 2;
    expect_that!(directory.is_fresh(at(later)), eq(false));
    directory.follow(Some(coordinator(1)));
    directory.update(at(later), coordinator(1), whole(&[3]));
    expect_that!(directory.is_fresh(at(later)), eq(true));
    expect_that!(
        ask(&directory, later, OwnStatus::Ready),
        eq(&listed(&[1, 3]))
    );
}

/// One thing that happens to a gateway's directory.
#[derive(Clone, Debug)]
enum Happening {
    Present(u8),
    Stops(u8),
    Silence(u64),
    SourceChanges(u8),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (2..12_u8).prop_map(Happening::Present),
        (2..12_u8).prop_map(Happening::Stops),
        (0..4000_u64).prop_map(Happening::Silence),
        (1..4_u8).prop_map(Happening::SourceChanges),
    ]
}

proptest! {
    /// A gateway whose stop has arrived is in no later answer. Incarnations do not return.
    #[test]
    fn a_gateway_that_has_stopped_is_not_named(
        happenings in proptest::collection::vec(happening(), 1..60)
    ) {
        let mut directory = directory_with(&[]);
        let mut source = coordinator(1);
        let (mut ready, mut stopped) = (BTreeSet::new(), BTreeSet::new());
        let mut now = 0;
        for happening in happenings {
            match happening {
                Happening::Present(number) if !stopped.contains(&number) => {
                    ready.insert(number);
                    directory.update(at(now), source, changed(&[number], &[]));
                }
                Happening::Present(_) => {}
                Happening::Stops(number) => {
                    ready.remove(&number);
                    stopped.insert(number);
                    directory.update(at(now), source, changed(&[], &[number]));
                }
                Happening::Silence(time) => now += time,
                Happening::SourceChanges(number) => {
                    source = coordinator(number);
                    directory.follow(Some(source));
                    let list: Vec<u8> = ready.iter().copied().collect();
                    directory.update(at(now), source, whole(&list));
                }
            }
            for own_status in [OwnStatus::Ready, OwnStatus::Stopping] {
                if let DirectoryAnswer::Listed { addresses, .. } = ask(&directory, now, own_status) {
                    for number in &stopped {
                        prop_assert!(!addresses.contains(&front(*number)));
                    }
                    let names_itself = addresses.contains(&front(OWN));
                    prop_assert_eq!(names_itself, own_status == OwnStatus::Ready);
                }
            }
        }
    }
}
