//! Calls that a leader returned unanswered because it was not sure of its leadership, and that kept
//! its leadership.

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
use wingshore_coordination::{
    CallReply, CoordinatorMessage, GatewayMessage, IncomingFrame, JobPage, Reply, Request,
};

/// Returns the next call that the leader receives.
fn next_call(site: &Site) -> Option<(u64, Request)> {
    let is_call = |frame: &IncomingFrame| {
        matches!(
            frame,
            IncomingFrame::FromGateway(GatewayMessage::Call { .. })
        )
    };
    match site.expect(is_call) {
        IncomingFrame::FromGateway(GatewayMessage::Call { id, request }) => Some((id, request)),
        _ => None,
    }
}

/// A read of results was answered 503 at its timeout, although the leader answered every request
/// that it was sent. The leader briefly did not hold its lease and returned the read unanswered; it
/// then continued to lead, so that no new leader was announced. Only calls without a wait were
/// checked again before their timeout. The test fails if the read is not sent again.
#[gtest]
fn a_read_that_its_leader_returned_is_sent_again() -> Result<()> {
    let server = Server::start();
    let site = Site::with_view(view(server.address(), Vec::new()));
    let mut client = site.client();
    let request =
        "GET /jobs/long-read/j HTTP/1.1\r\nHost: open.test\r\nAuthorization: key-1\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let (id, _) = next_call(&site).or_fail()?;
    site.send(&CoordinatorMessage::Reply {
        id,
        reply: CallReply::Unknown,
    });
    let (id, request) = next_call(&site).or_fail()?;
    expect_that!(request, matches_pattern!(Request::ReadJob { .. }));
    let page = JobPage {
        total: 1,
        from: 0,
        results: Vec::new(),
    };
    let reply = CallReply::Reply(Reply::Page(page));
    site.send(&CoordinatorMessage::Reply { id, reply });
    verify_that!(read_message(&mut client), contains_substring("page 1 0"))
}

/// Guards against a read that is answered with the reply to a call of another kind: results with the
/// body of an item, or a body with a page of results, or "unknown" with either.
#[gtest]
fn a_reply_of_another_kind_of_call_answers_no_read() -> Result<()> {
    let server = Server::start();
    let site = Site::with_view(view(server.address(), Vec::new()));
    let mut client = site.client();
    let page = JobPage {
        total: 1,
        from: 0,
        results: Vec::new(),
    };
    let replies = [
        ("read", Reply::Item(vec![1])),
        ("item", Reply::Page(page)),
        ("item", Reply::Done),
    ];
    for (kind, reply) in replies {
        let request = format!(
            "GET /jobs/{kind}/j HTTP/1.1\r\nHost: open.test\r\nAuthorization: key-1\r\n\r\n"
        );
        client.write_all(request.as_bytes()).unwrap();
        let (id, _) = next_call(&site).or_fail()?;
        let reply = CallReply::Reply(reply);
        site.send(&CoordinatorMessage::Reply { id, reply });
        expect_that!(
            read_message(&mut client),
            contains_substring("unavailable"),
            "{kind}"
        );
    }
    Ok(())
}
