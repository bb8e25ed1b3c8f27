//! What a leader that is slow, and is heard of all the time, is sent for one call of a client.

#[allow(dead_code, reason = "a part of what the tests of bytes use")]
mod bytes {
    pub mod protocol;
    pub mod site;
    pub mod view;
}
use bytes::{protocol, site};

use bytes::site::{Server, Site, read_message};
use bytes::view::view;
use googletest::prelude::*;
use std::io::Write;
use std::time::{Duration, Instant};
use wingshore_coordination::{
    CallReply, CoordinatorMessage, GatewayMessage, IncomingFrame, Reply, Request,
};

/// What is seen: a leader that takes 1.6 s for a call gets it three times, whole, over a link on which it is heard of each
/// 100 ms: the slower it is, the more it is sent.
/// How it comes about: its processor is used up for a while, as while it sends the state.
/// Cause: `call_policy` sends a call again after 0.7 s without an answer, whether or not the link on which it was sent
/// stands and has brought signs of life since.
/// Proof: nothing was lost, and the same call is there more than once. A submission is as long as a job.
#[gtest]
fn a_slow_leader_that_is_heard_of_is_sent_a_call_once() -> Result<()> {
    let mut call = None;
    let server = Server::start();
    let site = Site::with_view(view(server.address(), Vec::new()));
    let mut client = site.client();
    let request = "GET /jobs/end/j HTTP/1.1\r\nHost: open.test\r\nAuthorization: key-1\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let answered_after = Duration::from_millis(1_600);
    let begun = Instant::now();
    let mut calls = 0;
    // Status reports come all the time: each turn ends.
    while begun.elapsed() < answered_after {
        let message = site.expect(|_| true);
        if let IncomingFrame::FromGateway(GatewayMessage::Call { id, request }) = message {
            expect_that!(request, matches_pattern!(Request::EndJob(_)));
            calls += 1;
            call = Some(id);
        }
    }
    let id = call.or_fail()?;
    let reply = CallReply::Reply(Reply::Done);
    site.send(&CoordinatorMessage::Reply { id, reply });
    let answer = read_message(&mut client);
    println!("calls {calls}, answer {answer:?}");
    verify_that!(calls, eq(1))
}
