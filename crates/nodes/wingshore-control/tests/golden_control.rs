//! Stored bytes of the control group's log entries and snapshots stay compatible.
//!
//! A golden file has one line for each example: its name and its bytes in hexadecimal digits. A
//! line never changes, since the next release must read the logs and snapshots of this one. A new
//! kind of entry adds a line, which the failing test prints.

mod support;

use googletest::prelude::*;
use std::fmt::Write;
use support::site::{MODEL_SERVICE, POOL, Site, engine_name, server, set_admission};
use support::{apply, plan_of};
use wingshore_control::{ControlCommand, ControlState, StepResult};
use wingshore_types::configuration::{Admission, ConfigurationChange};
use wingshore_types::ids::{IntentId, LogIndex, PlanId, Revision};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::control::{Intent, PlanState};
use wingshore_types::{ServerId, WeightVersion};

fn propose(intent_id: u128, base_revision: Option<u64>, intent: Intent) -> ControlCommand {
    ControlCommand::Propose {
        intent_id: IntentId(intent_id),
        base_revision: base_revision.map(Revision),
        intent,
    }
}

fn confirm(intent_id: u128, plan: u64) -> ControlCommand {
    ControlCommand::Confirm {
        intent_id: IntentId(intent_id),
        plan: PlanId(plan),
    }
}

fn cancel(intent_id: u128, plan: u64) -> ControlCommand {
    ControlCommand::Cancel {
        intent_id: IntentId(intent_id),
        plan: PlanId(plan),
    }
}

fn publish(intent_id: u128, version: u64) -> ControlCommand {
    ControlCommand::Publish {
        intent_id: IntentId(intent_id),
        pool: POOL.into(),
        version: WeightVersion(version),
    }
}

fn advance(plan: u64, step: u32, result: StepResult) -> ControlCommand {
    ControlCommand::AdvancePlan {
        plan: PlanId(plan),
        step,
        result,
    }
}

fn swap_time() -> ControlCommand {
    ControlCommand::RecordSwapTime {
        service: MODEL_SERVICE.into(),
        milliseconds: 4_321,
    }
}

fn engine(number: u32) -> ServerId {
    engine_name(number).as_str().into()
}

fn drain(number: u32) -> Intent {
    Intent::Drain(engine(number))
}

fn move_pool(version: u64) -> Intent {
    Intent::MovePool {
        pool: POOL.into(),
        version: WeightVersion(version),
    }
}

fn failed() -> StepResult {
    StepResult::Failed {
        reason: "the engine is gone".to_owned(),
    }
}

/// Returns each command with each variant of its contents.
fn commands() -> Vec<(&'static str, ControlCommand)> {
    let large = 0x0123_4567_89ab_cdef_0123_4567_89ab_cdef;
    let change = set_admission("engine-00001", Admission::Draining);
    vec![
        (
            "propose_apply",
            propose(large, None, Intent::Apply(vec![change])),
        ),
        ("propose_move", propose(2, Some(300), move_pool(131))),
        ("propose_drain", propose(3, Some(0), drain(1))),
        (
            "propose_restore",
            propose(4, None, Intent::Restore(engine(1))),
        ),
        ("confirm", confirm(large, 300)),
        ("cancel", cancel(6, 7)),
        ("publish", publish(7, 131)),
        (
            "advance_done",
            advance(300, 129, StepResult::Done { steps: 2 }),
        ),
        (
            "advance_in_force",
            advance(7, 0, StepResult::InForce(Revision(300))),
        ),
        ("advance_failed", advance(7, 1, failed())),
        ("record_swap_time", swap_time()),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

/// Returns the bytes of each line of a golden file.
fn stored(golden: &str) -> Vec<Vec<u8>> {
    let digits = golden.lines().map(|line| line.split_once(' ').unwrap().1);
    digits.map(unhex).collect()
}

fn check(golden: &str, examples: &[(&str, Vec<u8>)]) {
    let mut expected = String::new();
    for (name, bytes) in examples {
        writeln!(expected, "{name} {}", hex(bytes)).unwrap();
    }
    let stored: Vec<&str> = golden.lines().collect();
    let found: Vec<&str> = expected.lines().collect();
    expect_that!(stored, eq(&found));
}

#[gtest]
fn commands_of_the_log_keep_their_bytes() {
    let golden = include_str!("golden/commands.txt");
    let encoded = |(name, command): &(&'static str, ControlCommand)| {
        (*name, postcard::to_allocvec(command).unwrap())
    };
    let examples: Vec<(&str, Vec<u8>)> = commands().iter().map(encoded).collect();
    check(golden, &examples);
    let read = stored(golden);
    expect_that!(read.len(), eq(commands().len()));
    for (bytes, (name, command)) in read.iter().zip(commands()) {
        let read: ControlCommand = postcard::from_bytes(bytes).unwrap();
        expect_that!(read, eq(&command), "{name}");
    }
}

/// Returns the state after these commands; their answers are not checked.
fn state_after(commands: Vec<ControlCommand>) -> ControlState {
    let mut state = ControlState::default();
    for (index, command) in (1..).zip(commands) {
        state.apply(LogIndex(index), command);
    }
    state
}

fn initial_commands(site: &Site) -> Vec<ControlCommand> {
    vec![
        propose(1, None, Intent::Apply(site.changes())),
        confirm(2, 1),
    ]
}

/// Returns a state with open plans that use each kind of resource: set of members, server, service,
/// pool and weights.
fn open_plans() -> ControlState {
    let mut commands = initial_commands(&Site::planned(2));
    let remove_service = ConfigurationChange::RemoveService("fare-api".into());
    let remove_live =
        (0..3).map(|n| ConfigurationChange::RemoveServer(format!("live-{n}").as_str().into()));
    let removal = remove_live.chain([remove_service]).collect();
    let added = server("engine-00009", MODEL_SERVICE, 9);
    commands.extend([
        publish(8, 9),
        propose(3, None, drain(1)),
        propose(4, None, move_pool(9)),
        propose(5, None, Intent::Apply(removal)),
        propose(6, Some(1), drain(0)),
        propose(7, None, Intent::Drain("engine-99999".into())),
        propose(
            11,
            None,
            Intent::Apply(vec![ConfigurationChange::PutServer(added)]),
        ),
        confirm(9, 2),
        confirm(10, 99),
        swap_time(),
    ]);
    state_after(commands)
}

/// Returns a state with closed plans in each final state, engines held by one of them, and a
/// revision proved in force.
fn closed_plans() -> ControlState {
    let mut commands = initial_commands(&Site::planned(3));
    commands.extend([
        advance(1, 0, StepResult::InForce(Revision(9))),
        publish(3, 9),
        propose(4, None, move_pool(9)),
        propose(5, None, move_pool(8)),
        confirm(6, 2),
        advance(2, 1, failed()),
        propose(7, None, drain(1)),
        cancel(8, 4),
    ]);
    let mut state = state_after(commands);
    let open: Vec<(PlanId, PlanState)> = state
        .open_plans()
        .map(|plan| (plan.id, plan.state.clone()))
        .collect();
    for (id, found) in open {
        if let PlanState::Running { next_step } = found {
            let command = advance(id.0, next_step, StepResult::InForce(Revision(9)));
            state.apply(LogIndex(100), command);
        }
    }
    state
}

#[gtest]
fn snapshots_keep_their_bytes() {
    let states = [
        ("empty", ControlState::default()),
        ("open_plans", open_plans()),
        ("closed_plans", closed_plans()),
    ];
    let golden = include_str!("golden/snapshots.txt");
    let examples = states
        .each_ref()
        .map(|(name, state)| (*name, state.snapshot()));
    check(golden, &examples);
    let read = stored(golden);
    expect_that!(read.len(), eq(states.len()));
    for (bytes, (name, state)) in read.iter().zip(&states) {
        let restored = ControlState::restore(bytes).unwrap();
        expect_that!(restored == *state, eq(true), "{name}");
    }
}

#[gtest]
fn the_snapshots_hold_plans_of_each_state() {
    let plans = |state: &ControlState| {
        let states = state.plans().map(|plan| plan.state.clone());
        states.collect::<Vec<PlanState>>()
    };
    expect_that!(
        plans(&open_plans()),
        elements_are![
            pat!(PlanState::Running { .. }),
            pat!(PlanState::Running { .. }),
            eq(&PlanState::Proposed),
            eq(&PlanState::Proposed),
            eq(&PlanState::Proposed),
        ]
    );
    expect_that!(
        plans(&closed_plans()),
        elements_are![
            eq(&PlanState::Done),
            pat!(PlanState::Failed { .. }),
            pat!(PlanState::Stale { .. }),
            eq(&PlanState::Cancelled),
        ]
    );
    expect_that!(closed_plans().is_held(&engine(1)), eq(true));
    expect_that!(closed_plans().proven_in_force(), gt(Revision(0)));
    expect_that!(
        open_plans().swap_time(&MODEL_SERVICE.into()),
        some(eq(4_321))
    );
}

/// A retry after an upgrade gets its first answer, which is found by a hash of the request.
#[gtest]
fn a_resend_finds_its_first_answer_in_a_stored_snapshot() {
    let bytes = &stored(include_str!("golden/snapshots.txt"))[1];
    let mut state = ControlState::restore(bytes).unwrap();
    let before = state.plans().count();
    let plan = plan_of(apply(&mut state, propose(3, None, drain(1))));
    expect_that!(plan.id, eq(PlanId(2)));
    expect_that!(plan.state, eq(&PlanState::Proposed));
    expect_that!(state.plans().count(), eq(before));
}
