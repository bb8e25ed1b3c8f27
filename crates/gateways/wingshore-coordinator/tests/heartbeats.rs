//! Heartbeats at a coordinator that is not the leader.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{HeardServer, Heartbeat, InstanceId, ServerRecord, ServiceName};
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
fn only_what_the_registry_does_not_hold_goes_to_the_leader() {
    let mut relay = HeartbeatRelay::default();
    expect_that!(
        relay.offer(NOW, &heartbeat(1, false)),
        eq(HeartbeatAction::Forward)
    );
    relay.acknowledged(NOW, heartbeat(1, false).server);
    for sequence in [2, 4, 3] {
        let verdict = relay.offer(NOW, &heartbeat(sequence, false));
        expect_that!(verdict, eq(HeartbeatAction::Acknowledge));
    }
    let heard = HeardServer {
        instance: InstanceId::from("i-1"),
        sequence: 4,
    };
    expect_that!(relay.take_unchanged(NOW), eq(&vec![heard]));
    expect_that!(relay.take_unchanged(NOW), is_empty());
}

/// A server that begins to drain is acknowledged by the leader: that binds the site.
#[gtest]
fn a_server_that_drains_goes_to_the_leader() {
    let mut relay = HeartbeatRelay::default();
    relay.acknowledged(NOW, heartbeat(1, false).server);
    expect_that!(
        relay.offer(NOW, &heartbeat(2, true)),
        eq(HeartbeatAction::Forward)
    );
}

#[gtest]
fn a_server_that_the_leader_does_not_know_goes_to_it_whole() {
    let mut relay = HeartbeatRelay::default();
    relay.acknowledged(NOW, heartbeat(1, false).server);
    relay.forget(&[InstanceId::from("i-1")]);
    expect_that!(
        relay.offer(NOW, &heartbeat(2, false)),
        eq(HeartbeatAction::Forward)
    );
}

#[gtest]
fn servers_that_are_gone_are_forgotten() {
    let mut relay = HeartbeatRelay::default();
    relay.acknowledged(NOW, heartbeat(1, false).server);
    let later = NOW + Duration::from_secs(60);
    relay.take_unchanged(later);
    expect_that!(
        relay.offer(later, &heartbeat(2, false)),
        eq(HeartbeatAction::Forward)
    );
}
