//! Idempotency claims: comparison with a reference model, and single scenarios.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use support::Group;
use wingshore_ledger::claims::{
    ClaimsCommand, ClaimsLeader, ClaimsState, Faults, RESEND_WINDOW, RETENTION,
};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::claims::{
    ClaimKey, ClaimOutcome, Claimant, ClaimsReply, ClaimsRequest, StoredAnswer,
};
use wingshore_types::{Instant, LogIndex, NodeId};

const RETENTION_MS: u64 = RETENTION.as_millis() as u64;
const RESEND_MS: u64 = RESEND_WINDOW.as_millis() as u64;
const FREED_MS: u64 = 60_000;

fn key(name: u8) -> ClaimKey {
    ClaimKey {
        service: "fare-api".to_owned(),
        key: format!("tap-{name}"),
    }
}

fn claimant(attempt: u64) -> Claimant {
    Claimant {
        node: NodeId::new("validator"),
        boot_id: 1,
        attempt,
    }
}

fn claim(name: u8, fingerprint: u64, attempt: u64) -> ClaimsRequest {
    ClaimsRequest::Claim {
        key: key(name),
        fingerprint,
        claimant: claimant(attempt),
    }
}

fn settle(name: u8, attempt: u64, outcome: ClaimOutcome) -> ClaimsRequest {
    ClaimsRequest::Settle {
        key: key(name),
        claimant: claimant(attempt),
        outcome,
    }
}

fn answered(body: &[u8]) -> ClaimOutcome {
    ClaimOutcome::Answered(Some(StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.to_vec(),
    }))
}

fn taken() -> ClaimsReply {
    ClaimsReply::Taken {
        retry_after_ms: 200,
    }
}

fn group() -> Group<ClaimsLeader> {
    Group::new(ClaimsState::default(), ClaimsLeader::default())
}

/// Stored state of a key: fingerprint, attempt, last outcome, expiry in milliseconds.
type ModelEntry = (u64, u64, Option<ClaimOutcome>, u64);

/// Reference model of the claim rules over a plain map.
#[derive(Default)]
struct Model {
    now_ms: u64,
    keys: BTreeMap<u8, ModelEntry>,
}

impl Model {
    fn claim(&mut self, name: u8, fingerprint: u64, attempt: u64) -> ClaimsReply {
        if let Some((known, holder, outcome, expires)) = self.keys.get(&name) {
            let is_recent = expires - self.now_ms > RETENTION_MS - RESEND_MS;
            let is_own = *holder == attempt;
            match outcome {
                Some(ClaimOutcome::NotRun) if is_own => return taken(),
                Some(ClaimOutcome::NotRun) => {}
                _ if *known != fingerprint => return ClaimsReply::Mismatch,
                Some(ClaimOutcome::Answered(answer)) => {
                    return ClaimsReply::Answered(answer.clone());
                }
                None if is_own && is_recent => return ClaimsReply::Granted,
                None | Some(ClaimOutcome::Unknown) => return taken(),
            }
        }
        let expiry = self.now_ms + RETENTION_MS;
        self.keys.insert(name, (fingerprint, attempt, None, expiry));
        ClaimsReply::Granted
    }

    fn settle(&mut self, name: u8, attempt: u64, outcome: ClaimOutcome) -> ClaimsReply {
        let is_not_run = outcome == ClaimOutcome::NotRun;
        let retention = if is_not_run { FREED_MS } else { RETENTION_MS };
        let expiry = self.now_ms + retention;
        match self.keys.get_mut(&name) {
            Some((_, holder, ..)) if *holder != attempt => return taken(),
            Some((_, _, settled, expires)) => {
                let is_late_answer = matches!(settled, Some(ClaimOutcome::Unknown))
                    && matches!(outcome, ClaimOutcome::Answered(_));
                if settled.is_none() || is_late_answer {
                    *settled = Some(outcome);
                    *expires = expiry;
                }
            }
            None if is_not_run => {
                self.keys.insert(name, (0, attempt, Some(outcome), expiry));
            }
            None => {}
        }
        ClaimsReply::Settled
    }

    fn advance_time(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        let now_ms = self.now_ms;
        self.keys.retain(|_, (.., expires)| *expires > now_ms);
    }
}

#[derive(Clone, Debug)]
enum Action {
    Claim(u8, u64, u64),
    Settle(u8, u64, ClaimOutcome),
    Pass(u64),
    Restore,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let outcome = prop_oneof![
        Just(ClaimOutcome::NotRun),
        Just(ClaimOutcome::Unknown),
        Just(ClaimOutcome::Answered(None)),
        any::<[u8; 2]>().prop_map(|body| answered(&body)),
    ];
    let pass = prop_oneof![0..FREED_MS * 2, 0..RETENTION_MS];
    let action = prop_oneof![
        8 => (0..3u8, prop::bool::weighted(0.1), 0..3u64)
            .prop_map(|(name, other, attempt)| Action::Claim(name, u64::from(other), attempt)),
        8 => (0..3u8, 0..3u64, outcome)
            .prop_map(|(name, attempt, outcome)| Action::Settle(name, attempt, outcome)),
        2 => pass.prop_map(Action::Pass),
        1 => Just(Action::Restore),
    ];
    prop::collection::vec(action, 1..80)
}

fn apply(
    state: &mut impl ReplicatedState<Command = ClaimsCommand, Reply = Vec<ClaimsReply>>,
    elapsed_ms: u64,
    requests: Vec<ClaimsRequest>,
) -> Vec<ClaimsReply> {
    let command = ClaimsCommand {
        elapsed_ms,
        requests,
    };
    state.apply(LogIndex(1), command)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn claims_match_the_model(actions in actions()) {
        let mut state = ClaimsState::default();
        let mut model = Model::default();
        for action in actions {
            match action {
                Action::Claim(name, fingerprint, attempt) => {
                    let reply = apply(&mut state, 0, vec![claim(name, fingerprint, attempt)]);
                    prop_assert_eq!(reply, vec![model.claim(name, fingerprint, attempt)]);
                }
                Action::Settle(name, attempt, outcome) => {
                    let request = settle(name, attempt, outcome.clone());
                    let reply = apply(&mut state, 0, vec![request]);
                    prop_assert_eq!(reply, vec![model.settle(name, attempt, outcome)]);
                }
                Action::Pass(elapsed_ms) => {
                    apply(&mut state, elapsed_ms, vec![]);
                    model.advance_time(elapsed_ms);
                }
                Action::Restore => {
                    let snapshot = state.snapshot();
                    let bytes = state.bytes();
                    state = ClaimsState::restore(&snapshot).expect("own snapshot is valid");
                    prop_assert_eq!(state.snapshot(), snapshot);
                    prop_assert_eq!(state.bytes(), bytes);
                }
            }
            prop_assert_eq!(state.len(), model.keys.len());
        }
    }

    #[test]
    fn a_key_runs_once(actions in actions()) {
        prop_assert_eq!(unsafe_grants(ClaimsState::default(), actions), 0);
    }
}

/// Counts grants of a key whose request may have run already. Independent of the model: between two
/// grants to different attempts, the first settlement of the earlier attempt must have been that
/// the request did not run, or the retention must have passed.
fn unsafe_grants(
    mut state: impl ReplicatedState<Command = ClaimsCommand, Reply = Vec<ClaimsReply>>,
    actions: Vec<Action>,
) -> u32 {
    let mut unsafe_grants = 0;
    let mut now_ms = 0;
    // Key -> (attempt, time of its latest grant, whether the attempt has settled).
    let mut may_have_run: BTreeMap<u8, (u64, u64, bool)> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Claim(name, fingerprint, attempt) => {
                let reply = apply(&mut state, 0, vec![claim(name, fingerprint, attempt)]);
                if reply == vec![ClaimsReply::Granted] {
                    let earlier = may_have_run.insert(name, (attempt, now_ms, false));
                    let is_safe = earlier.is_none_or(|(holder, at_ms, settled)| {
                        (holder == attempt && !settled)
                            || now_ms >= at_ms + RETENTION_MS - RESEND_MS
                    });
                    unsafe_grants += u32::from(!is_safe);
                }
            }
            Action::Settle(name, attempt, outcome) => {
                let is_not_run = outcome == ClaimOutcome::NotRun;
                apply(&mut state, 0, vec![settle(name, attempt, outcome)]);
                match may_have_run.get_mut(&name) {
                    Some((holder, _, settled)) if *holder == attempt && !*settled => {
                        *settled = true;
                        if is_not_run {
                            may_have_run.remove(&name);
                        }
                    }
                    _ => {}
                }
            }
            Action::Pass(elapsed_ms) => {
                now_ms += elapsed_ms;
                apply(&mut state, elapsed_ms, vec![]);
            }
            Action::Restore => {}
        }
    }
    unsafe_grants
}

#[gtest]
fn granting_a_taken_key_is_detected() {
    let mut state = ClaimsState::default();
    state.set_faults(Faults { grant_taken: true });
    let actions = vec![Action::Claim(1, 0, 1), Action::Claim(1, 0, 2)];
    expect_that!(unsafe_grants(state, actions), eq(1));
}

#[gtest]
fn a_claim_of_a_dead_node_stays_taken_until_the_retention_has_passed() {
    let mut group = group();
    expect_that!(group.call(claim(1, 7, 1)), some(eq(&ClaimsReply::Granted)));
    group.advance_time(RETENTION - Duration::from_secs(60));
    group.change_leader(ClaimsLeader::default(), Instant::ZERO);
    group.advance_time(Duration::from_secs(50));
    expect_that!(group.call(claim(1, 7, 2)), some(eq(&taken())));
    group.advance_time(Duration::from_secs(30));
    expect_that!(group.call(claim(1, 7, 2)), some(eq(&ClaimsReply::Granted)));
}

#[gtest]
fn committed_time_takes_few_log_entries_and_none_without_keys() {
    let mut group = group();
    group.advance_time(Duration::from_secs(600));
    expect_that!(group.log.len(), eq(0));
    group.call(claim(1, 7, 1));
    group.advance_time(Duration::from_secs(600));
    expect_that!(group.log.len(), le(62));
}

#[gtest]
fn repeats_are_answered_without_a_log_entry() {
    let mut group = group();
    group.call(claim(1, 7, 1));
    group.call(settle(1, 1, answered(b"charged")));
    let length = group.log.len();
    for attempt in 1..10 {
        let reply = group.call(claim(1, 7, attempt));
        expect_that!(
            reply,
            some(matches_pattern!(ClaimsReply::Answered(some(anything()))))
        );
    }
    expect_that!(group.call(claim(1, 8, 2)), some(eq(&ClaimsReply::Mismatch)));
    expect_that!(group.log.len(), eq(length));
}

#[gtest]
fn a_claim_applied_after_its_attempt_gave_up_is_not_granted() {
    let mut group = group();
    let gave_up = group.call(settle(1, 1, ClaimOutcome::NotRun));
    expect_that!(gave_up, some(eq(&ClaimsReply::Settled)));
    expect_that!(group.call(claim(1, 7, 1)), some(eq(&taken())));
    expect_that!(group.call(claim(1, 7, 2)), some(eq(&ClaimsReply::Granted)));
}

/// Capacity limits of a group, encoded as in its snapshots.
#[derive(Clone, Copy, Serialize)]
struct Limits {
    keys: u64,
    bytes: u64,
    answer_bytes: u64,
}

const DEFAULT_LIMITS: Limits = Limits {
    keys: 1 << 21,
    bytes: 512 << 20,
    answer_bytes: 64 << 10,
};

/// Returns an empty state with the given limits, restored from a snapshot that contains them.
fn state_with_limits(limits: Limits) -> ClaimsState {
    let empty = |limits| {
        let (clock_ms, entries) = (0_u64, 0_u64);
        let mut snapshot = vec![1];
        snapshot.extend(postcard::to_allocvec(&(clock_ms, limits, entries)).unwrap());
        snapshot
    };
    assert_eq!(ClaimsState::default().snapshot(), empty(DEFAULT_LIMITS));
    ClaimsState::restore(&empty(limits)).unwrap()
}

#[gtest]
fn a_full_group_refuses_new_keys_and_removes_none() {
    let cases = [
        (
            "keys",
            Limits {
                keys: 3,
                ..DEFAULT_LIMITS
            },
        ),
        (
            "bytes",
            Limits {
                bytes: 1_500,
                ..DEFAULT_LIMITS
            },
        ),
    ];
    for (name, limits) in cases {
        let mut state = state_with_limits(limits);
        let replies: Vec<ClaimsReply> = (0..9)
            .flat_map(|key| apply(&mut state, 0, vec![claim(key, 7, 1)]))
            .collect();
        let granted = replies
            .iter()
            .filter(|r| **r == ClaimsReply::Granted)
            .count();
        expect_that!(granted, all!(ge(1), le(4)), "{name}");
        let last = replies.last();
        expect_that!(
            last,
            some(matches_pattern!(ClaimsReply::Full { .. })),
            "{name}"
        );
        expect_that!(
            apply(&mut state, 0, vec![claim(0, 7, 2)]),
            eq(&vec![taken()])
        );
        apply(&mut state, RETENTION_MS, vec![]);
        expect_that!(state.len(), eq(0));
        expect_that!(state.bytes(), eq(0));
    }
}

#[gtest]
fn answers_that_are_too_large_are_remembered_as_run() {
    let mut state = state_with_limits(Limits {
        answer_bytes: 100,
        ..DEFAULT_LIMITS
    });
    apply(&mut state, 0, vec![claim(1, 7, 1)]);
    apply(&mut state, 0, vec![settle(1, 1, answered(&[0; 101]))]);
    let reply = apply(&mut state, 0, vec![claim(1, 7, 2)]);
    expect_that!(reply, eq(&vec![ClaimsReply::Answered(None)]));
}
