//! Heartbeats at a coordinator that is not the leader.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{Heartbeat, InstanceId, ServerRecord, ServiceName, UnchangedServer};
use wingshore_coordinator::{HeartbeatAction, HeartbeatRelay};
use wingshore_types::Instant;

fn heartbeat(sequence: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        server: ServerRecord {
            instance: InstanceId::from("i-1"),
            service: ServiceName::from("s"),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "a".to_owned(),
            slots: 4,
            draining,
            reclaimable: false,
            models: Vec::new(),
        },
        sequence,
    }
}

const NOW: Instant = Instant::ZERO;

#[gtest]
fn only_records_that_the_registry_does_not_hold_go_to_the_leader() {
    let mut relay = HeartbeatRelay::default();
    expect_that!(
        relay.offer(NOW, &heartbeat(1, false)),
        eq(HeartbeatAction::Forward)
    );
    relay.acknowledged(NOW, heartbeat(1, false).server);
    for sequence in [2, 4, 3] {
        let action = relay.offer(NOW, &heartbeat(sequence, false));
        expect_that!(action, eq(HeartbeatAction::Acknowledge));
    }
    let unchanged = UnchangedServer {
        instance: InstanceId::from("i-1"),
        sequence: 4,
    };
    expect_that!(relay.take_unchanged(NOW), eq(&vec![unchanged]));
    expect_that!(relay.take_unchanged(NOW), is_empty());
}

/// The leader must acknowledge the start of a drain, since that is binding for the site.
#[gtest]
fn the_first_heartbeat_of_a_draining_server_goes_to_the_leader() {
    let mut relay = HeartbeatRelay::default();
    relay.acknowledged(NOW, heartbeat(1, false).server);
    expect_that!(
        relay.offer(NOW, &heartbeat(2, true)),
        eq(HeartbeatAction::Forward)
    );
}

#[gtest]
fn heartbeats_of_a_server_unknown_to_the_leader_are_forwarded_whole() {
    let mut relay = HeartbeatRelay::default();
    relay.acknowledged(NOW, heartbeat(1, false).server);
    relay.forget(&[InstanceId::from("i-1")]);
    expect_that!(
        relay.offer(NOW, &heartbeat(2, false)),
        eq(HeartbeatAction::Forward)
    );
}

#[gtest]
fn silent_servers_are_forgotten() {
    let mut relay = HeartbeatRelay::default();
    relay.acknowledged(NOW, heartbeat(1, false).server);
    let later = NOW + Duration::from_secs(60);
    relay.take_unchanged(later);
    expect_that!(
        relay.offer(later, &heartbeat(2, false)),
        eq(HeartbeatAction::Forward)
    );
}
