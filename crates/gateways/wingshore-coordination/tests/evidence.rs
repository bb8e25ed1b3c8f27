//! What the group learns of requests from servers that ended under them.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, engine};
use wingshore_coordination::{
    BreakCause, CoordinationState, CrashEvidence, EVIDENCE_LIFETIME, Event, FingerprintKey,
    GatewayId, InstanceId, ItemOutcome, ItemText, MAX_SUSPECTS, ObservedCrash, RequestContent,
    RequestFingerprint, Suspect, ViewChange,
};
use wingshore_types::machine::ReplicatedState;

/// Longer than the leader waits for what other gateways have seen.
const WEIGHED: Duration = Duration::from_millis(400);
/// Endings this far apart are not together.
const APART: Duration = Duration::from_secs(1);

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

fn seen(request: RequestFingerprint, server: &str) -> ObservedCrash {
    ObservedCrash {
        evidence: CrashEvidence {
            fingerprint: request,
            instance: InstanceId::from(server),
        },
        ago: Duration::ZERO,
    }
}

fn tell(group: &mut Group, seen: Vec<ObservedCrash>) {
    let gateway = GatewayId(1);
    group.event(Event::RequestsCrashed { gateway, seen });
}

/// Servers end one after the other under these requests.
fn end_one_by_one(group: &mut Group, servers: &[&str], requests: &[RequestFingerprint]) {
    for server in servers {
        group.heartbeat(engine(server, 1));
        let seen = requests.iter().map(|request| seen(*request, server));
        tell(group, seen.collect());
        group.wait(WEIGHED + APART);
    }
}

fn group() -> Group {
    Group::new()
}

fn is_rejected(state: &CoordinationState, request: RequestFingerprint) -> bool {
    let suspect = state.evidence().suspect(request);
    suspect.is_some_and(|suspect| suspect.rejected)
}

/// What gateways learned last of a request.
fn told(group: &Group, request: RequestFingerprint) -> Option<Suspect> {
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
fn the_third_ending_rejects_a_request_that_stood_on_all() {
    let mut group = group();
    end_one_by_one(&mut group, &["a", "b"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    expect_that!(told(&group, request(1)), some(anything()));
    end_one_by_one(&mut group, &["c"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
    expect_that!(
        told(&group, request(1)).map(|known| known.rejected),
        some(eq(true))
    );
}

#[gtest]
fn one_ending_reported_by_several_gateways_counts_once() {
    let mut group = group();
    for _ in 0..5 {
        end_one_by_one(&mut group, &["a"], &[request(1)]);
    }
    expect_that!(group.state.evidence().crash_count(request(1)), eq(1));
}

#[gtest]
fn where_many_servers_end_at_once_no_request_is_the_cause() {
    let mut group = group();
    for round in 0..6 {
        let servers = ["a", "b", "c", "d", "e"];
        let seen = servers
            .iter()
            .zip(0..)
            .map(|(server, number)| seen(request(number), &format!("{server}-{round}")));
        tell(&mut group, seen.collect());
        group.wait(WEIGHED + APART);
    }
    for number in 0..5 {
        expect_that!(group.state.evidence().crash_count(request(number)), eq(0));
    }
}

#[gtest]
fn requests_with_the_same_endings_are_told_apart_by_the_next_one() {
    let mut group = group();
    end_one_by_one(&mut group, &["a", "b", "c"], &[request(1), request(2)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    end_one_by_one(&mut group, &["d"], &[request(2)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    expect_that!(is_rejected(&group.state, request(2)), eq(true));
}

#[gtest]
fn endings_beside_many_others_do_not_reject_at_the_third() {
    let mut group = group();
    for (server, number) in ["a", "b", "c"].iter().zip(0..) {
        end_one_by_one(&mut group, &[server], &[request(1)]);
        let others = [format!("x{number}"), format!("y{number}")];
        for other in &others {
            end_one_by_one(&mut group, &[other], &[request(2 + number)]);
        }
    }
    expect_that!(group.state.evidence().crash_count(request(1)), eq(3));
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    end_one_by_one(&mut group, &["d"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
}

#[gtest]
fn an_attempt_that_goes_well_clears_a_request() {
    let mut group = group();
    end_one_by_one(&mut group, &["a", "b"], &[request(1)]);
    group.event(Event::RequestsRan(vec![request(1)]));
    expect_that!(group.state.evidence().suspect(request(1)), none());
    expect_that!(told(&group, request(1)), none());
}

#[gtest]
fn a_rejected_request_is_let_off_after_a_while_and_rejected_again_by_the_next_ending() {
    let mut group = group();
    end_one_by_one(&mut group, &["a", "b", "c"], &[request(1)]);
    group.wait(EVIDENCE_LIFETIME);
    expect_that!(is_rejected(&group.state, request(1)), eq(false));
    expect_that!(group.state.evidence().crash_count(request(1)), eq(2));
    end_one_by_one(&mut group, &["d"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
}

#[gtest]
fn a_change_of_leaders_and_a_snapshot_forget_nothing() {
    let mut group = group();
    end_one_by_one(&mut group, &["a", "b"], &[request(1)]);
    group.change_leader("coordinator-b");
    end_one_by_one(&mut group, &["c"], &[request(1)]);
    expect_that!(is_rejected(&group.state, request(1)), eq(true));
    let restored = CoordinationState::restore(&group.state.snapshot()).expect("a state");
    expect_that!(is_rejected(&restored, request(1)), eq(true));
    expect_that!(restored.evidence().key(), eq(group.state.evidence().key()));
}

#[gtest]
fn a_caller_with_a_new_such_request_each_time_displaces_no_rejected_one() {
    let mut group = group();
    end_one_by_one(&mut group, &["a", "b", "c"], &[request(0)]);
    for number in 1..=MAX_SUSPECTS as u32 + 20 {
        tell(
            &mut group,
            vec![seen(request(number), &format!("s-{number}"))],
        );
        group.wait(WEIGHED);
    }
    let (suspects, rejected) = group.state.evidence().counts();
    expect_that!(suspects, eq(MAX_SUSPECTS));
    expect_that!(rejected, eq(1));
    expect_that!(is_rejected(&group.state, request(0)), eq(true));
}

/// Seen: an item that ends its engines took the others of its engine with it from one engine to the
/// next, so that all stood on the same endings, and one more was rejected with it.
#[gtest]
fn items_that_may_be_the_cause_run_on_engines_apart_from_each_other() {
    let (mut group, gateway) = Group::with_job(2);
    let both = group.assignments();
    assert_that!(both, len(eq(2)));
    let requests = [request(1), request(2)];
    for server in ["e1", "e2"] {
        let seen = requests.iter().map(|request| seen(*request, server));
        tell(&mut group, seen.collect());
        group.wait(WEIGHED);
    }
    for (assignment, request) in both.iter().zip(requests) {
        let broke_off = ItemOutcome::Interrupted {
            text: ItemText::default(),
            cause: BreakCause::Engine(Some(request)),
        };
        group.end_item(gateway, assignment, broke_off);
    }
    group.heartbeat(engine("e3", 1));
    group.heartbeat(engine("e4", 1));
    expect_that!(
        group.assignments(),
        is_empty(),
        "the last ending is weighed first"
    );
    group.wait(APART);
    let again = group.assignments();
    assert_that!(again, len(eq(2)));
    expect_that!(again[0].instance, not(eq(&again[1].instance)));
}
