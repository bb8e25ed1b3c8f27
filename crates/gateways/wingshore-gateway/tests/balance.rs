//! Server selection for live requests.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_coordination::{InstanceId, ServerRecord, ServiceName};
use wingshore_gateway::Balancer;
use wingshore_types::Instant;

fn server(name: &str) -> ServerRecord {
    ServerRecord {
        instance: InstanceId::from(name),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        reclaimable: false,
        models: Vec::new(),
    }
}

fn chosen(balancer: &Balancer, now: Instant, avoid: &[&str]) -> Option<String> {
    let servers = [server("a"), server("b")];
    let avoid: Vec<InstanceId> = avoid.iter().map(|name| InstanceId::from(*name)).collect();
    let found = balancer.choose(now, "a", servers.iter(), &avoid);
    found.map(|server| server.instance.to_string())
}

#[gtest]
fn the_less_loaded_server_is_chosen() {
    let mut balancer = Balancer::default();
    balancer.started(&InstanceId::from("a"));
    let now = Instant::from_millis(10);
    expect_that!(chosen(&balancer, now, &[]), some(eq("b")));
    balancer.ended(&InstanceId::from("a"));
    balancer.started(&InstanceId::from("b"));
    expect_that!(chosen(&balancer, now, &[]), some(eq("a")));
}

#[gtest]
fn a_server_that_was_tried_is_not_tried_again() {
    let balancer = Balancer::default();
    let now = Instant::from_millis(10);
    expect_that!(chosen(&balancer, now, &["a"]), some(eq("b")));
    expect_that!(chosen(&balancer, now, &["a", "b"]), none());
}

#[gtest]
fn a_failed_server_is_ejected_and_readmitted() {
    let mut balancer = Balancer::default();
    let now = Instant::from_millis(10);
    balancer.failed(now, &InstanceId::from("a"));
    balancer.started(&InstanceId::from("b"));
    expect_that!(chosen(&balancer, now, &[]), some(eq("b")));
    let later = now + Duration::from_secs(1);
    expect_that!(chosen(&balancer, later, &[]), some(eq("a")));
}

#[gtest]
fn an_ejected_server_is_chosen_if_there_is_no_other() {
    let mut balancer = Balancer::default();
    let now = Instant::from_millis(10);
    balancer.failed(now, &InstanceId::from("a"));
    expect_that!(chosen(&balancer, now, &["b"]), some(eq("a")));
}

#[gtest]
fn a_slow_server_is_avoided_and_tried_again_after_a_while() {
    let mut balancer = Balancer::default();
    let now = Instant::from_millis(10);
    let slow = InstanceId::from("a");
    balancer.timed_out(now, &slow, Duration::from_secs(2));
    balancer.started(&InstanceId::from("b"));
    expect_that!(chosen(&balancer, now, &[]), some(eq("b")));
    let later = now + Duration::from_secs(60);
    expect_that!(chosen(&balancer, later, &[]), some(eq("a")));
}
