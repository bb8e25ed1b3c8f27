//! Encoding of the commands and snapshots of a claims group.

mod golden;

use golden::{check, check_snapshots};
use googletest::prelude::*;
use wingshore_ledger::claims::{ClaimsCommand, ClaimsState};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::claims::{
    ClaimKey, ClaimOutcome, Claimant, ClaimsReply, ClaimsRequest, StoredAnswer,
};
use wingshore_types::{LogIndex, NodeId};

const ATTEMPT: u64 = 70_000;

fn key(name: &str) -> ClaimKey {
    ClaimKey {
        service: "llm".to_owned(),
        key: name.to_owned(),
    }
}

fn claimant(attempt: u64) -> Claimant {
    Claimant {
        node: NodeId::new("gateway-1"),
        boot_id: 300,
        attempt,
    }
}

fn claim(name: &str) -> ClaimsRequest {
    ClaimsRequest::Claim {
        key: key(name),
        fingerprint: 0x1234_5678_9abc_def0,
        claimant: claimant(ATTEMPT),
    }
}

fn settle(name: &str, outcome: ClaimOutcome) -> ClaimsRequest {
    ClaimsRequest::Settle {
        key: key(name),
        claimant: claimant(ATTEMPT),
        outcome,
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: vec![0, 1, 127, 128, 255],
    }
}

fn requests() -> Vec<ClaimsRequest> {
    vec![
        claim("in-flight"),
        settle("answered", ClaimOutcome::Answered(Some(answer()))),
        settle("answered", ClaimOutcome::Answered(None)),
        settle("not-run", ClaimOutcome::NotRun),
        settle("unknown", ClaimOutcome::Unknown),
    ]
}

fn commands() -> Vec<ClaimsCommand> {
    let with_one = |request| ClaimsCommand {
        elapsed_ms: 10_000,
        requests: vec![request],
    };
    let mut commands = vec![ClaimsCommand {
        elapsed_ms: 5_000_000_000,
        requests: Vec::new(),
    }];
    commands.extend(requests().into_iter().map(with_one));
    commands.push(ClaimsCommand {
        elapsed_ms: 0,
        requests: requests(),
    });
    commands
}

fn name_of_command(command: &ClaimsCommand) -> &'static str {
    match command.requests.as_slice() {
        [] => "time_alone",
        [request] => name_of_request(request),
        _ => "several_requests",
    }
}

fn name_of_request(request: &ClaimsRequest) -> &'static str {
    match request {
        ClaimsRequest::Claim { .. } => "claim",
        ClaimsRequest::Settle { outcome, .. } => match outcome {
            ClaimOutcome::NotRun => "settle_not_run",
            ClaimOutcome::Answered(Some(_)) => "settle_answered",
            ClaimOutcome::Answered(None) => "settle_answered_unkept",
            ClaimOutcome::Unknown => "settle_unknown",
        },
    }
}

#[gtest]
fn commands_of_the_log_keep_their_bytes() {
    let golden = include_str!("golden/claims_commands.txt");
    check(golden, &commands(), name_of_command);
}

/// Returns a state with one key of each status.
fn state_of_every_status() -> ClaimsState {
    let mut state = ClaimsState::default();
    let outcomes = [
        ("answered", ClaimOutcome::Answered(Some(answer()))),
        ("answered-unkept", ClaimOutcome::Answered(None)),
        ("freed", ClaimOutcome::NotRun),
        ("unknown", ClaimOutcome::Unknown),
    ];
    let mut requests = vec![claim("in-flight")];
    for (name, outcome) in outcomes {
        requests.push(claim(name));
        requests.push(settle(name, outcome));
    }
    requests.push(settle("settled-before-claim", ClaimOutcome::NotRun));
    let command = ClaimsCommand {
        elapsed_ms: 123_456,
        requests,
    };
    let replies = state.apply(LogIndex(1), command);
    assert!(
        replies
            .iter()
            .all(|reply| matches!(reply, ClaimsReply::Granted | ClaimsReply::Settled))
    );
    assert_eq!(state.len(), 6);
    state
}

#[gtest]
fn snapshots_keep_their_bytes() {
    let examples = [
        ("empty", ClaimsState::default()),
        ("every_status", state_of_every_status()),
    ];
    check_snapshots(include_str!("golden/claims_snapshots.txt"), &examples);
}
