//! Tests of the evidence against requests under which servers crashed.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, engine};
use wingshore_coordination::{
    CoordinationState, CrashEvidence, EVIDENCE_LIFETIME, Event, FingerprintKey, GatewayId,
    InstanceId, MAX_SUSPECTS, ObservedCrash, RequestContent, RequestFingerprint, Suspect,
    ViewChange,
};
use wingshore_types::machine::ReplicatedState;

/// Longer than the delay before the leader evaluates evidence.
const EVALUATION_TIME: Duration = Duration::from_millis(400);
/// Crashes this far apart do not count as simultaneous.
const CRASH_INTERVAL: Duration = Duration::from_secs(1);

fn request(number: u32) -> RequestFingerprint {
    let content = RequestContent {
        method: "POST",
        host: "h",
        target: "/",
        caller: b"",
        body: &number.to_le_bytes(),
    };
    content.fingerprint(FingerprintKey::new([1; 16]))
}

fn crash(request: RequestFingerprint, server: &str) -> ObservedCrash {
    ObservedCrash {
        evidence: CrashEvidence {
            fingerprint: request,
            instance: InstanceId::from(server),
        },
        ago: Duration::ZERO,
    }
}

fn report_crashes(group: &mut Group, seen: Vec<ObservedCrash>) {
    let gateway = GatewayId(1);
    group.event(Event::RequestsCrashed { gateway, seen });
}

/// Reports crashes of `servers`, one after the other, under these requests.
fn crash_one_by_one(group: &mut Group, servers: &[&str], requests: &[RequestFingerprint]) {
    for server in servers {
        group.heartbeat(engine(server, 1));
        let crashes = requests.iter().map(|request| crash(*request, server));
        report_crashes(group, crashes.collect());
        group.wait(EVALUATION_TIME + CRASH_INTERVAL);
    }
}

fn group() -> Group {
    Group::new()
}

fn is_rejected(state: &CoordinationState, request: RequestFingerprint) -> bool {
    let suspect = state.evidence().suspect(request);
    suspect.is_some_and(|suspect| suspect.rejected)
}

/// Returns the suspect that the last view update to gateways contains for a request; `None` if it
/// was cleared or never published.
fn published_suspect(group: &Group, request: RequestFingerprint) -> Option<Suspect> {
    let mut changes = group.announced.iter().rev();
    changes.find_map(|change| match change {
        ViewChange::Suspect(suspect) if suspect.fingerprint == request => {
            Some(Some(suspect.clone()))
        }
        ViewChange::Cleared(cleared) if *cleared == request => Some(None),
        _ => None,
    })?
}

#[gtest]
fn the_third_crash_rejects_a_request_that_ran_on_every_crashed_server() {
    let mut group = group();
    crash_one_by_one(&mut group, &["a", "b"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    expect_that!(published_suspect(&group, request(1)), some(anything()));
    crash_one_by_one(&mut group, &["c"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
    expect_that!(
        published_suspect(&group, request(1)).map(|known| known.rejected),
        some(eq(true))
    );
}

#[gtest]
fn a_crash_that_is_reported_repeatedly_counts_once() {
    let mut group = group();
    for _ in 0..5 {
        crash_one_by_one(&mut group, &["a"], &[request(1)]);
    }
    expect_that!(group.state.evidence().crash_count(request(1)), eq(1));
}

#[gtest]
fn simultaneous_crashes_of_many_servers_count_against_no_request() {
    let mut group = group();
    for round in 0..6 {
        let servers = ["a", "b", "c", "d", "e"];
        let crashes = servers
            .iter()
            .zip(0..)
            .map(|(server, number)| crash(request(number), &format!("{server}-{round}")));
        report_crashes(&mut group, crashes.collect());
        group.wait(EVALUATION_TIME + CRASH_INTERVAL);
    }
    for number in 0..5 {
        expect_that!(group.state.evidence().crash_count(request(number)), eq(0));
    }
}

#[gtest]
fn the_next_crash_distinguishes_requests_with_the_same_crashes() {
    let mut group = group();
    crash_one_by_one(&mut group, &["a", "b", "c"], &[request(1), request(2)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    crash_one_by_one(&mut group, &["d"], &[request(2)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    expect_that!(is_rejected(&group.state, request(2)), eq(true));
}

#[gtest]
fn the_third_crash_among_many_others_does_not_reject() {
    let mut group = group();
    for (server, number) in ["a", "b", "c"].iter().zip(0..) {
        crash_one_by_one(&mut group, &[server], &[request(1)]);
        let others = [format!("x{number}"), format!("y{number}")];
        for other in &others {
            crash_one_by_one(&mut group, &[other], &[request(2 + number)]);
        }
    }
    expect_that!(group.state.evidence().crash_count(request(1)), eq(3));
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    crash_one_by_one(&mut group, &["d"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
}

/// Reports three crashes of a service with `servers` other servers. Request 1 is running on all
/// three of the crashed ones, and beside it other requests, different ones on each.
fn crash_beside_other_requests(servers: u32) -> Group {
    let mut group = group();
    for (crashed, number) in ["a", "b", "c"].iter().zip(1..) {
        for other in 0..servers {
            group.heartbeat(engine(&format!("other-{other}"), 1));
        }
        let beside = (0..3).map(|other| request(10 * number + other));
        let running: Vec<_> = [request(1)].into_iter().chain(beside).collect();
        crash_one_by_one(&mut group, &[crashed], &running);
    }
    group
}

/// Failure: a request that crashed no server was rejected, since by chance it was running on the
/// only three servers that had crashed. It had been running beside other requests, and in a service
/// with few servers to be sent to.
#[gtest]
fn the_third_crash_beside_other_requests_on_few_servers_does_not_reject() {
    let mut group = crash_beside_other_requests(4);
    expect_that!(group.state.evidence().crash_count(request(1)), eq(3));
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    crash_one_by_one(&mut group, &["d"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
}

#[gtest]
fn the_third_crash_beside_other_requests_on_many_servers_rejects() {
    let group = crash_beside_other_requests(40);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
}

#[gtest]
fn a_successful_attempt_clears_a_request() {
    let mut group = group();
    crash_one_by_one(&mut group, &["a", "b"], &[request(1)]);
    group.event(Event::RequestsRan(vec![request(1)]));
    expect_that!(group.state.evidence().suspect(request(1)), none());
    expect_that!(published_suspect(&group, request(1)), none());
}

#[gtest]
fn a_rejection_expires_and_the_next_crash_renews_it() {
    let mut group = group();
    crash_one_by_one(&mut group, &["a", "b", "c"], &[request(1)]);
    group.wait(EVIDENCE_LIFETIME);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    expect_that!(group.state.evidence().crash_count(request(1)), eq(2));
    crash_one_by_one(&mut group, &["d"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
}

#[gtest]
fn evidence_is_kept_across_a_change_of_leaders_and_a_snapshot() {
    let mut group = group();
    crash_one_by_one(&mut group, &["a", "b"], &[request(1)]);
    group.change_leader("coordinator-b");
    crash_one_by_one(&mut group, &["c"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
    let restored = CoordinationState::restore(&group.state.snapshot()).expect("a state");
    expect_that!(is_rejected(&restored, request(1)), eq(true));
    expect_that!(restored.evidence().key(), eq(group.state.evidence().key()));
}

#[gtest]
fn new_suspects_displace_no_rejected_request() {
    let mut group = group();
    crash_one_by_one(&mut group, &["a", "b", "c"], &[request(0)]);
    for number in 1..=MAX_SUSPECTS as u32 + 20 {
        report_crashes(
            &mut group,
            vec![crash(request(number), &format!("s-{number}"))],
        );
        group.wait(EVALUATION_TIME);
    }
    let (suspects, rejected) = group.state.evidence().counts();
    expect_that!(suspects, eq(MAX_SUSPECTS));
    expect_that!(rejected, eq(1));
    expect_that!(is_rejected(&group.state, request(0)), eq(true));
}

/// Guards against a live request that crashes servers without end: the record of suspects was full of
/// rejected contents of batch items, which are never the cause, and each new item under which a
/// server crashed took the place of the live request.
#[gtest]
fn contents_of_items_displace_no_crashing_live_request() {
    const ITEMS_PER_ENGINE: u32 = 128;
    let mut group = group();
    let full = u32::try_from(MAX_SUSPECTS).unwrap();
    for first in (0..full).step_by(ITEMS_PER_ENGINE as usize) {
        let items: Vec<_> = (first..first + ITEMS_PER_ENGINE).map(request).collect();
        for round in 0..4 {
            crash_one_by_one(&mut group, &[&format!("e{first}-{round}")], &items);
        }
    }
    let counts = group.state.evidence().counts();
    assert_that!(counts, eq((MAX_SUSPECTS, MAX_SUSPECTS)));
    let live = request(full);
    for round in 1..=8 {
        crash_one_by_one(&mut group, &[&format!("live-{round}")], &[live]);
        let item = request(full + round);
        crash_one_by_one(&mut group, &[&format!("item-{round}")], &[item]);
    }
    expect_that!(is_rejected(&group.state, live), eq(true));
}
