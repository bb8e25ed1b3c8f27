//! Items and scorings under which servers crashed: they run, whatever the view says of their content.

use std::io::Write;

use crate::bytes::site::{Server, Site};
use crate::bytes::view::{item, scorer, view};
use googletest::prelude::*;
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, FingerprintKey, RequestContent, Suspect, ViewContent,
    ViewUpdate,
};
use wingshore_types::Epoch;

/// An attempt that the coordinator of these tests assigns.
const ASSIGNMENT: AssignmentId = AssignmentId {
    epoch: Epoch(1),
    number: 9,
};

/// The engine's answer, with which the text of the item is whole.
const WHOLE_TEXT: &str = "HTTP/1.1 200 OK\r\nId: item-1\r\nSignature: s\r\nVersion: 3\r\n\
    Content-Length: 18\r\n\r\nid: 12\ndata: two\n\n";

/// Returns a view in which the content of a batch item or scoring is rejected.
fn view_that_rejects(server: &Server, (host, target, body): (&str, &str, &[u8])) -> ViewUpdate {
    let mut update = view(server.address(), Vec::new());
    let ViewContent::Whole(whole) = &mut update.content else {
        panic!("the view is whole");
    };
    let content = RequestContent {
        method: "POST",
        host,
        target,
        caller: b"tenant-1",
        body,
    };
    whole.suspects.push(Suspect {
        fingerprint: content.fingerprint(FingerprintKey::new([1; 16])),
        ended: Vec::new(),
        rejected: true,
    });
    update
}

/// Failure: an item under which four engines had crashed was never run again. Its content was
/// rejected like that of a live request, and every gateway refused it while the evidence lasted.
#[gtest]
fn an_item_under_which_engines_crashed_runs() {
    let (server, engine) = (Server::start(), Server::start());
    let rejected = ("items.test", "/generate", b"body".as_slice());
    let site = Site::with_view(view_that_rejects(&server, rejected));
    let assignment = item(ASSIGNMENT, engine.address(), None);
    site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
    let (_, request) = engine.accept_in_time();
    expect_that!(request, contains_substring("Id: item-1"));
}

/// Failure: a text whose scoring servers had crashed under its scoring waited for its score until the
/// evidence had expired: the scoring was rejected like a live request.
#[gtest]
fn a_scoring_under_which_servers_crashed_runs() {
    let (server, engine) = (Server::start(), Server::start());
    let rejected = ("open.test", "/live/score", b"text".as_slice());
    let site = Site::with_view(view_that_rejects(&server, rejected));
    let scorer = scorer("open.test", "/live/score");
    let assignment = item(ASSIGNMENT, engine.address(), Some(scorer));
    site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
    let (mut upstream, _) = engine.accept_in_time();
    upstream.write_all(WHOLE_TEXT.as_bytes()).unwrap();
    let (_, request) = server.accept_in_time();
    expect_that!(request, contains_substring("Id: score-1"));
}

/// Failure: a live request with the content of a scoring, or of an item, would run on although it is
/// rejected, as items and scorings do.
#[gtest]
fn a_live_request_with_the_content_of_a_scoring_that_runs_is_refused() {
    let (server, engine) = (Server::start(), Server::start());
    let rejected = ("keyed.test", "/live/score", b"text".as_slice());
    let site = Site::with_view(view_that_rejects(&server, rejected));
    let live = "POST /live/score HTTP/1.1\r\nHost: keyed.test\r\nId: live-1\r\nDeadline-Ms: 900\r\n\
                Authorization: key-1\r\nContent-Length: 4\r\n\r\ntext";
    expect_that!(site.ask(live), contains_substring("rejected"));
    let scorer = scorer("keyed.test", "/live/score");
    let assignment = item(ASSIGNMENT, engine.address(), Some(scorer));
    site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
    let (mut upstream, _) = engine.accept_in_time();
    upstream.write_all(WHOLE_TEXT.as_bytes()).unwrap();
    let (_running, request) = server.accept_in_time();
    expect_that!(request, contains_substring("Id: score-1"));
    expect_that!(site.ask(live), contains_substring("rejected"));
    expect_that!(server.has_connection(), eq(false));
}
