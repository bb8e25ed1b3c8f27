//! Encoding of the commands and snapshots of a ledger group.

mod golden;

use golden::{check, check_snapshots};
use googletest::prelude::*;
use wingshore_ledger::samples::{LedgerCommand, LedgerState, Operation, PoolSettings};
use wingshore_types::configuration::Permille;
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::ledger::{LedgerCounts, LedgerReply, PullRequest};
use wingshore_types::{
    Generation, LeaseId, LogIndex, NodeId, PoolId, Prompt, Revision, SampleNumber, StepId,
    TrainerId, WeightVersion,
};

fn pool() -> PoolId {
    PoolId::new("pool-1")
}

fn trainer() -> TrainerId {
    TrainerId::new("trainer-1")
}

fn settings() -> PoolSettings {
    PoolSettings {
        revision: Revision(300),
        staleness_bound: 2,
        max_open_samples: 5_000,
        sample_lease_ms: 10_000,
        idle_weight: Permille(900),
        trainer: trainer(),
    }
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        number: SampleNumber(number),
        tokens: vec![7, 70_000, u32::MAX],
        max_tokens: 200,
        seed: 5_000_000_000 + number,
    }
}

fn generation() -> Generation {
    let mut generation = Generation::default();
    generation.append(WeightVersion(130), &[1, 200]);
    generation.append(WeightVersion(131), &[70_000]);
    generation
}

fn submit(numbers: impl IntoIterator<Item = u64>) -> Operation {
    Operation::Submit {
        pool: pool(),
        prompts: numbers.into_iter().map(prompt).collect(),
    }
}

fn lease(most: u32) -> Operation {
    Operation::Lease {
        pool: pool(),
        node: NodeId::new("node-1"),
        boot_id: 300,
        most,
    }
}

fn finish(sample: u64, lease: u64) -> Operation {
    Operation::Finish {
        pool: pool(),
        sample: SampleNumber(sample),
        lease: LeaseId(lease),
        generation: generation(),
    }
}

fn score(sample: u64, lease: u64) -> Operation {
    Operation::Score {
        pool: pool(),
        sample: SampleNumber(sample),
        lease: LeaseId(lease),
        score: -0.375,
    }
}

fn return_lease(lease: u64) -> Operation {
    Operation::Return {
        pool: pool(),
        lease: LeaseId(lease),
        partial: generation(),
    }
}

fn observe(version: u64) -> Operation {
    Operation::ObserveVersion {
        pool: pool(),
        version: WeightVersion(version),
    }
}

fn hand_over(step: u64, count: u32) -> Operation {
    Operation::HandOver {
        pool: pool(),
        pull: PullRequest {
            trainer: trainer(),
            step: StepId(step),
            weight_version: WeightVersion(131),
            count,
            wait_ms: 30_000,
        },
    }
}

fn acknowledge(step: u64) -> Operation {
    Operation::Acknowledge {
        pool: pool(),
        trainer: trainer(),
        step: StepId(step),
    }
}

fn operations() -> Vec<Operation> {
    vec![
        Operation::Configure {
            pool: pool(),
            settings: settings(),
        },
        submit([300, 301]),
        lease(16),
        Operation::Expire {
            pool: pool(),
            leases: vec![LeaseId(4), LeaseId(5_000_000_000)],
        },
        return_lease(5),
        finish(300, 6),
        score(300, 6),
        observe(131),
        hand_over(41, 256),
        acknowledge(41),
    ]
}

fn commands() -> Vec<LedgerCommand> {
    let with_one = |operation| LedgerCommand {
        operations: vec![operation],
    };
    let mut commands = vec![LedgerCommand::default()];
    commands.extend(operations().into_iter().map(with_one));
    commands.push(LedgerCommand {
        operations: operations(),
    });
    commands
}

fn name_of_command(command: &LedgerCommand) -> &'static str {
    match command.operations.as_slice() {
        [] => "no_operation",
        [operation] => name_of_operation(operation),
        _ => "several_operations",
    }
}

fn name_of_operation(operation: &Operation) -> &'static str {
    match operation {
        Operation::Configure { .. } => "configure",
        Operation::Submit { .. } => "submit",
        Operation::Lease { .. } => "lease",
        Operation::Expire { .. } => "expire",
        Operation::Return { .. } => "return",
        Operation::Finish { .. } => "finish",
        Operation::Score { .. } => "score",
        Operation::ObserveVersion { .. } => "observe_version",
        Operation::HandOver { .. } => "hand_over",
        Operation::Acknowledge { .. } => "acknowledge",
    }
}

#[gtest]
fn commands_of_the_log_keep_their_bytes() {
    let golden = include_str!("golden/samples_commands.txt");
    check(golden, &commands(), name_of_command);
}

fn state_after(operations: Vec<Operation>) -> LedgerState {
    let mut state = LedgerState::default();
    let replies = state.apply(LogIndex(1), LedgerCommand { operations });
    for reply in replies {
        assert!(!matches!(reply, LedgerReply::Refused(_)), "{reply:?}");
    }
    state
}

/// Returns a pool with a sample in each stage, with and without a partial generation where the
/// stage allows one. Lease ids count from 0, in the order of the sample numbers.
fn state_of_every_stage() -> LedgerState {
    let state = state_after(vec![
        Operation::Configure {
            pool: pool(),
            settings: settings(),
        },
        submit(300..306),
        lease(5),
        finish(300, 0),
        score(300, 0),
        finish(301, 1),
        score(301, 1),
        hand_over(41, 1),
        hand_over(42, 1),
        acknowledge(41),
        finish(302, 2),
        score(302, 2),
        finish(303, 3),
        finish(303, 3),
        return_lease(4),
        lease(1),
        submit([306, 307]),
        lease(2),
        return_lease(6),
    ]);
    let pool = state.pool(&pool()).unwrap();
    let expected = LedgerCounts {
        pending: 2,
        leased: 2,
        finished: 1,
        scored: 1,
        handed_over: 1,
        acknowledged: 1,
        duplicates_dropped: 1,
        regenerated: 0,
    };
    assert_eq!(pool.counts(), expected);
    state
}

#[gtest]
fn snapshots_keep_their_bytes() {
    let examples = [
        ("empty", LedgerState::default()),
        ("every_stage", state_of_every_stage()),
    ];
    check_snapshots(include_str!("golden/samples_snapshots.txt"), &examples);
}
