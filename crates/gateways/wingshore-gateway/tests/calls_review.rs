//! Sends of one client call to a leader that answers slowly but sends heartbeats all the time.

#[allow(
    dead_code,
    reason = "only a part of the shared test support is used here"
)]
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

/// A leader that took 1.6 s to answer a call received the whole call three times, over a link with
/// a heartbeat every 100 ms, so that a slower leader got more load. This happens while the leader's
/// processor is saturated, for example while it sends the state. `call_policy` sent a call again
/// after 0.7 s without an answer, regardless of whether its link was still up and alive. Nothing
/// was lost on the link, so that the call must arrive only once; a submission is as large as its
/// job.
#[gtest]
fn a_slow_leader_that_sends_heartbeats_receives_a_call_once() -> Result<()> {
    let mut call = None;
    let server = Server::start();
    let site = Site::with_view(view(server.address(), Vec::new()));
    let mut client = site.client();
    let request = "GET /jobs/end/j HTTP/1.1\r\nHost: open.test\r\nAuthorization: key-1\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let answered_after = Duration::from_millis(1_600);
    let begun = Instant::now();
    let mut calls = 0;
    // Status reports arrive continuously, so that each iteration ends.
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
