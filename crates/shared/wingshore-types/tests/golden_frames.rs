//! Encodings of all frames between processes of a site with nodes, and of requests about members
//! and idempotency keys.

mod golden;

use golden::check;
use golden::examples::{address, pool_id};
use googletest::prelude::*;
use wingshore_types::protocol::claims::{
    ClaimKey, ClaimOutcome, Claimant, ClaimsReply, ClaimsRequest, StoredAnswer,
};
use wingshore_types::protocol::control::{ControlReply, ControlRequest};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::protocol::membership::{
    Member, Membership, MembershipReply, MembershipRequest,
};
use wingshore_types::protocol::wire::{ConnectionRefusal, Frame, GroupReply, GroupRequest, Hello};
use wingshore_types::{GroupId, NodeId, ReplicaId, RequestId, Revision};

fn claim_key() -> ClaimKey {
    ClaimKey {
        service: "service-1".to_owned(),
        key: "key-1".to_owned(),
    }
}

fn claimant() -> Claimant {
    Claimant {
        node: NodeId::new("node-1"),
        boot_id: 0x0123_4567_89ab_cdef,
        attempt: 9,
    }
}

fn stored_answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: vec![1, 2, 200],
    }
}

fn claims_requests() -> Vec<ClaimsRequest> {
    let settle = |outcome| ClaimsRequest::Settle {
        key: claim_key(),
        claimant: claimant(),
        outcome,
    };
    vec![
        ClaimsRequest::Claim {
            key: claim_key(),
            fingerprint: 0xfedc_ba98_7654_3210,
            claimant: claimant(),
        },
        settle(ClaimOutcome::NotRun),
        settle(ClaimOutcome::Answered(Some(stored_answer()))),
        settle(ClaimOutcome::Answered(None)),
        settle(ClaimOutcome::Unknown),
    ]
}

fn name_of_claims_request(request: &ClaimsRequest) -> &'static str {
    match request {
        ClaimsRequest::Claim { .. } => "claim",
        ClaimsRequest::Settle { outcome, .. } => match outcome {
            ClaimOutcome::NotRun => "settle_not_run",
            ClaimOutcome::Answered(_) => "settle_answered",
            ClaimOutcome::Unknown => "settle_unknown",
        },
    }
}

fn claims_replies() -> Vec<ClaimsReply> {
    vec![
        ClaimsReply::Granted,
        ClaimsReply::Taken {
            retry_after_ms: 250,
        },
        ClaimsReply::Answered(Some(stored_answer())),
        ClaimsReply::Mismatch,
        ClaimsReply::Full {
            retry_after_ms: 1000,
        },
        ClaimsReply::Settled,
    ]
}

fn name_of_claims_reply(reply: &ClaimsReply) -> &'static str {
    match reply {
        ClaimsReply::Granted => "granted",
        ClaimsReply::Taken { .. } => "taken",
        ClaimsReply::Answered(_) => "answered",
        ClaimsReply::Mismatch => "mismatch",
        ClaimsReply::Full { .. } => "full",
        ClaimsReply::Settled => "settled",
    }
}

#[gtest]
fn claims_encodings_are_stable() {
    let golden = include_str!("golden/claims_requests.txt");
    check(golden, &claims_requests(), name_of_claims_request);
    let golden = include_str!("golden/claims_replies.txt");
    check(golden, &claims_replies(), name_of_claims_reply);
}

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: address(2),
    }
}

fn membership() -> Membership {
    Membership {
        voters: vec![member(1), member(2)],
        learners: vec![member(5_000_000_000)],
    }
}

fn membership_requests() -> Vec<MembershipRequest> {
    vec![
        MembershipRequest::Show,
        MembershipRequest::AddLearner(member(5_000_000_000)),
        MembershipRequest::Promote(ReplicaId(5_000_000_000)),
        MembershipRequest::Remove(ReplicaId(2)),
        MembershipRequest::TransferLeadership(ReplicaId(2)),
    ]
}

fn name_of_membership_request(request: &MembershipRequest) -> &'static str {
    match request {
        MembershipRequest::Show => "show",
        MembershipRequest::AddLearner(_) => "add_learner",
        MembershipRequest::Promote(_) => "promote",
        MembershipRequest::Remove(_) => "remove",
        MembershipRequest::TransferLeadership(_) => "transfer_leadership",
    }
}

fn membership_replies() -> Vec<MembershipReply> {
    vec![
        MembershipReply::Members {
            membership: membership(),
            leader: ReplicaId(1),
            synced: vec![(ReplicaId(1), 400), (ReplicaId(2), 399)],
            last_index: 401,
        },
        MembershipReply::Done,
        MembershipReply::Refused {
            message: "the reason".to_owned(),
        },
    ]
}

fn name_of_membership_reply(reply: &MembershipReply) -> &'static str {
    match reply {
        MembershipReply::Members { .. } => "members",
        MembershipReply::Done => "done",
        MembershipReply::Refused { .. } => "refused",
    }
}

#[gtest]
fn membership_encodings_are_stable() {
    let golden = include_str!("golden/membership_requests.txt");
    check(golden, &membership_requests(), name_of_membership_request);
    let golden = include_str!("golden/membership_replies.txt");
    check(golden, &membership_replies(), name_of_membership_reply);
    let golden = include_str!("golden/membership.txt");
    check(golden, &[membership()], |_| "membership");
}

fn group_replies() -> Vec<GroupReply> {
    vec![
        GroupReply::Control(ControlReply::Published(Revision(300))),
        GroupReply::Ledger(LedgerReply::Done),
        GroupReply::Claims(ClaimsReply::Granted),
        GroupReply::Membership(MembershipReply::Done),
        GroupReply::LogDumped("logs/log-1.txt".to_owned()),
        GroupReply::NotLeader {
            leader: Some(address(2)),
        },
        GroupReply::Unknown,
        GroupReply::Rejected("the reason".to_owned()),
    ]
}

fn name_of_group_reply(reply: &GroupReply) -> &'static str {
    match reply {
        GroupReply::Control(_) => "control",
        GroupReply::Ledger(_) => "ledger",
        GroupReply::Claims(_) => "claims",
        GroupReply::Membership(_) => "membership",
        GroupReply::LogDumped(_) => "log_dumped",
        GroupReply::NotLeader { .. } => "not_leader",
        GroupReply::Unknown => "unknown",
        GroupReply::Rejected(_) => "rejected",
    }
}

fn requests_to_groups() -> Vec<(GroupId, GroupRequest)> {
    vec![
        (
            GroupId::Control,
            GroupRequest::Control(ControlRequest::Status),
        ),
        (
            GroupId::Ledger(1),
            GroupRequest::Ledger(LedgerRequest::Counts { pool: pool_id() }),
        ),
        (
            GroupId::Claims(300),
            GroupRequest::Claims(claims_requests().remove(0)),
        ),
        (
            GroupId::Control,
            GroupRequest::Membership(MembershipRequest::Show),
        ),
        (GroupId::Control, GroupRequest::DumpLog),
    ]
}

fn name_of_group_request(request: &(GroupId, GroupRequest)) -> &'static str {
    match (&request.0, &request.1) {
        (GroupId::Control | GroupId::Ledger(_) | GroupId::Claims(_), body) => match body {
            GroupRequest::Control(_) => "control",
            GroupRequest::Ledger(_) => "ledger",
            GroupRequest::Claims(_) => "claims",
            GroupRequest::Membership(_) => "membership",
            GroupRequest::DumpLog => "dump_log",
        },
    }
}

#[gtest]
fn group_encodings_are_stable() {
    let golden = include_str!("golden/group_requests.txt");
    check(golden, &requests_to_groups(), name_of_group_request);
    let golden = include_str!("golden/group_replies.txt");
    check(golden, &group_replies(), name_of_group_reply);
}

fn frames() -> Vec<Frame> {
    let refused = Frame::Refused;
    vec![
        Frame::Hello(Hello {
            version: 1,
            site: "site-1".to_owned(),
            replica: Some(ReplicaId(2)),
        }),
        Frame::Request {
            id: RequestId(300),
            group: GroupId::Ledger(1),
            body: GroupRequest::DumpLog,
        },
        Frame::Reply {
            id: RequestId(300),
            body: GroupReply::Unknown,
        },
        Frame::Consensus {
            group: GroupId::Claims(300),
            message: vec![1, 2, 200],
        },
        Frame::KeepAlive,
        refused(ConnectionRefusal::WrongVersion { ours: 1, theirs: 2 }),
        refused(ConnectionRefusal::WrongSite {
            ours: "site-1".to_owned(),
            theirs: "site-2".to_owned(),
        }),
        refused(ConnectionRefusal::TooManyConnections { limit: 1000 }),
        refused(ConnectionRefusal::NoHello),
    ]
}

fn name_of_frame(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hello(_) => "hello",
        Frame::Request { .. } => "request",
        Frame::Reply { .. } => "reply",
        Frame::Consensus { .. } => "consensus",
        Frame::KeepAlive => "keep_alive",
        Frame::Refused(refusal) => match refusal {
            ConnectionRefusal::WrongVersion { .. } => "refused_wrong_version",
            ConnectionRefusal::WrongSite { .. } => "refused_wrong_site",
            ConnectionRefusal::TooManyConnections { .. } => "refused_too_many_connections",
            ConnectionRefusal::NoHello => "refused_no_hello",
        },
    }
}

#[gtest]
fn frame_encodings_are_stable() {
    check(include_str!("golden/frames.txt"), &frames(), name_of_frame);
}
