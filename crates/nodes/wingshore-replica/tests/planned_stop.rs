//! Planned stops: leadership is transferred, and every received request gets a reply.

mod support;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use support::{CLAIMS, SITE, TIMEOUT, TestSite, claim_request, wait_for, wait_until};
use wingshore_transport::{ConnectOptions, Connection, ConnectionHandle, FrameHandler};
use wingshore_types::protocol::claims::ClaimsReply;
use wingshore_types::protocol::control::{ControlRequest, WatchRequest};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, RequestId, Revision};

/// Claims in flight when the stop begins.
const CLAIM_COUNT: u64 = 300;
/// The last request before the stop: its reply shows that all earlier requests were received.
const BARRIER: RequestId = RequestId(CLAIM_COUNT + 1);
const WATCH: RequestId = RequestId(CLAIM_COUNT);

#[derive(Default)]
struct Replies {
    bodies: Mutex<BTreeMap<RequestId, GroupReply>>,
}

impl FrameHandler for Replies {
    fn on_frame(&self, _: &ConnectionHandle, frame: Frame) {
        if let Frame::Reply { id, body } = frame {
            self.bodies.lock().expect("replies").insert(id, body);
        }
    }
}

impl Replies {
    fn get(&self, id: RequestId) -> Option<GroupReply> {
        self.bodies.lock().expect("replies").get(&id).cloned()
    }
}

fn watch() -> GroupRequest {
    GroupRequest::Control(ControlRequest::Watch(WatchRequest {
        // No revision is newer, so the watch stays open.
        have: Revision(u64::MAX),
        acknowledgements: Vec::new(),
        wait_ms: 600_000,
    }))
}

fn key(number: u64) -> String {
    format!("key {number}")
}

/// Sends a watch, many claims and a barrier to the leader of the claims group, then stops it.
fn stop_under_load(site: &mut TestSite) -> Arc<Replies> {
    let leader = site.leader();
    let status = GroupRequest::Control(ControlRequest::Status);
    site.call(GroupId::Control, status);
    let replies = Arc::new(Replies::default());
    let handler = Arc::clone(&replies) as Arc<dyn FrameHandler>;
    let options = ConnectOptions::new(SITE, TIMEOUT);
    let connection = wait_for("a connection", || {
        Connection::open(site.addresses[leader], &options, Arc::clone(&handler)).ok()
    });
    let send = |id, group, body| {
        let frame = Frame::Request { id, group, body };
        connection.send(&frame).expect("queued");
    };
    send(WATCH, GroupId::Control, watch());
    for number in 0..CLAIM_COUNT {
        let claim = GroupRequest::Claims(claim_request(&key(number), "one"));
        send(RequestId(number), CLAIMS, claim);
    }
    send(BARRIER, CLAIMS, GroupRequest::DumpLog);
    wait_until("all requests were taken", || replies.get(BARRIER).is_some());
    site.stop(leader);
    wait_until("the connection is closed", || connection.is_closed());
    replies
}

#[gtest]
fn planned_stop_transfers_leadership_and_answers_all_requests() -> Result<()> {
    let mut site = TestSite::start(3);
    let replies = stop_under_load(&mut site);
    verify_that!(
        replies.get(WATCH),
        some(any![
            matches_pattern!(GroupReply::NotLeader { .. }),
            eq(&GroupReply::Unknown)
        ])
    )?;
    for number in 0..CLAIM_COUNT {
        let reply = replies.get(RequestId(number));
        let second_claim = site.claim(&key(number), "two");
        let granted = reply == Some(GroupReply::Claims(ClaimsReply::Granted));
        let is_free = second_claim == ClaimsReply::Granted;
        match reply {
            None => return fail!("claim {number} was not answered"),
            // A granted claim must remain granted under the next leader; a refused claim must have
            // had no effect.
            Some(GroupReply::NotLeader { .. }) if !is_free => {
                return fail!("claim {number} was refused but took effect: {second_claim:?}");
            }
            Some(_) if granted && is_free => return fail!("claim {number} was granted twice"),
            Some(_) => {}
        }
    }
    Ok(())
}

/// All requests get a reply even if no other member can take over the leadership.
#[gtest]
fn single_member_answers_all_requests_in_planned_stop() -> Result<()> {
    let mut site = TestSite::start(1);
    let replies = stop_under_load(&mut site);
    let unanswered: Vec<u64> = (0..CLAIM_COUNT + 2)
        .filter(|number| replies.get(RequestId(*number)).is_none())
        .collect();
    verify_that!(unanswered, is_empty())?;
    site.start_replica(0);
    for number in 0..CLAIM_COUNT {
        let second_claim = site.claim(&key(number), "two");
        let granted = GroupReply::Claims(ClaimsReply::Granted);
        if replies.get(RequestId(number)) == Some(granted) {
            verify_that!(second_claim, matches_pattern!(ClaimsReply::Taken { .. }))?;
        }
    }
    Ok(())
}
