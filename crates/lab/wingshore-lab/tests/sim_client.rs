//! Calls to groups from simulated processes, by hand.

use googletest::prelude::*;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use wingshore_lab::process::{Message, ProcessOutput};
use wingshore_lab::sim::client::GroupCalls;
use wingshore_types::protocol::control::{ControlReply, ControlRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, RequestId, Revision, Verdict};

fn replica(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + number))
}

/// The receivers and ids of the requests in `out`, which is emptied.
fn sent(out: &mut Vec<ProcessOutput>) -> Vec<(SocketAddr, RequestId)> {
    out.drain(..)
        .filter_map(|output| match output {
            ProcessOutput::Send {
                to,
                message: Message::GroupRequest { id, .. },
            } => Some((to, id)),
            _ => None,
        })
        .collect()
}

fn begin(out: &mut Vec<ProcessOutput>) -> GroupCalls<&'static str> {
    let mut calls = GroupCalls::new((0..3).map(replica).collect(), 0);
    let body = GroupRequest::Control(ControlRequest::Status);
    let timeout = Duration::from_secs(2);
    calls.call(
        Instant::ZERO,
        GroupId::Control,
        body,
        timeout,
        "status",
        out,
    );
    calls
}

#[gtest]
fn hints_are_followed_and_the_answer_comes_back_under_its_tag() {
    let mut out = Vec::new();
    let mut calls = begin(&mut out);
    let now = Instant::from_millis(10);
    let (first, id) = sent(&mut out)[0];
    expect_that!(first, eq(replica(0)));
    let leader = Some(replica(2));
    let body = GroupReply::NotLeader { leader };
    expect_true!(calls.on_message(now, first, &Message::GroupReply { id, body }, &mut out));
    let (second, id) = sent(&mut out)[0];
    expect_that!(second, eq(replica(2)));
    let body = GroupReply::Control(ControlReply::Published(Revision(1)));
    let message = Message::GroupReply {
        id,
        body: body.clone(),
    };
    expect_true!(calls.on_message(now, second, &message, &mut out));
    expect_that!(
        calls.take_results(),
        elements_are![eq(&("status", Ok(body)))]
    );
    expect_false!(calls.on_message(now, second, &message, &mut out));
    expect_that!(calls.open(), eq(0));
}

#[gtest]
fn silence_moves_on_to_other_replicas_until_the_time_is_up() {
    let mut out = Vec::new();
    let mut calls = begin(&mut out);
    let mut asked = Vec::new();
    while let Some(due) = calls.next_wake() {
        asked.extend(sent(&mut out).into_iter().map(|(to, _)| to));
        calls.on_wake(due, &mut out);
    }
    expect_that!(
        asked,
        elements_are![
            eq(&replica(0)),
            eq(&replica(1)),
            eq(&replica(2)),
            eq(&replica(0))
        ]
    );
    expect_that!(
        calls.take_results(),
        elements_are![eq(&("status", Err(Verdict::MayHaveRun)))]
    );
}
