//! Which addresses are connected to, and which attempts are cancelled.

use googletest::prelude::*;
use std::net::SocketAddr;
use wingshore_coordinator::{DialStep, Dials};
use wingshore_types::Instant;

fn address(machine: u8) -> SocketAddr {
    ([10, 0, 0, machine], 7700).into()
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[gtest]
fn an_address_is_connected_to_at_once_and_only_once() {
    let mut dials = Dials::default();
    expect_that!(dials.next_step(at(0), address(1)), eq(DialStep::Connect));
    dials.attempt_started(at(0), address(1), Some('a'));
    expect_that!(dials.next_step(at(100), address(1)), eq(DialStep::Wait));
    dials.connected(address(1));
    expect_that!(dials.next_step(at(90_000), address(1)), eq(DialStep::Wait));
}

#[gtest]
fn an_attempt_that_times_out_is_cancelled_and_retried_later() {
    let mut dials = Dials::default();
    dials.attempt_started(at(0), address(1), Some('a'));
    expect_that!(dials.next_step(at(599), address(1)), eq(DialStep::Wait));
    let abandoned = DialStep::Abandon('a');
    expect_that!(dials.next_step(at(600), address(1)), eq(abandoned));
    dials.disconnected(at(600), address(1));
    expect_that!(dials.next_step(at(849), address(1)), eq(DialStep::Wait));
    expect_that!(dials.next_step(at(850), address(1)), eq(DialStep::Connect));
}

#[gtest]
fn the_next_attempt_waits_also_where_no_socket_was_left() {
    let mut dials: Dials<char> = Dials::default();
    dials.attempt_started(at(0), address(1), None);
    expect_that!(dials.next_step(at(249), address(1)), eq(DialStep::Wait));
    expect_that!(dials.next_step(at(250), address(1)), eq(DialStep::Connect));
}

#[gtest]
fn connections_to_addresses_that_are_no_longer_wanted_are_returned() {
    let mut dials = Dials::default();
    dials.attempt_started(at(0), address(1), Some('a'));
    dials.attempt_started(at(0), address(2), Some('b'));
    dials.attempt_started(at(0), address(3), None);
    expect_that!(dials.retain_wanted(&[address(1)]), eq(&vec!['b']));
    expect_that!(dials.next_step(at(1), address(1)), eq(DialStep::Wait));
    expect_that!(dials.next_step(at(1), address(3)), eq(DialStep::Connect));
}
