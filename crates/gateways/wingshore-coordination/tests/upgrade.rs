//! Upgrades: logs and snapshots of the previous release are decoded correctly.
//!
//! The fixtures were written by the release before tenants, server incarnations and usage reports,
//! from the entries that `upgrade/commands.rs` lists: its log (`commands.bin`), its snapshot
//! (`snapshot.bin`), and the complete state as one value (`whole.bin`), the form of the releases
//! before that. Without the earlier forms of the structures that have gained fields, each of the
//! three is misread, since the codec identifies fields by their order only.

#[path = "upgrade/commands.rs"]
mod commands;
mod support;

use commands::commands_of_fixture;
use googletest::prelude::*;
use wingshore_coordination::{Command, CoordinationState, ItemId, JobId, NoBody};
use wingshore_types::LogIndex;
use wingshore_types::machine::ReplicatedState;

fn state_of(commands: Vec<Command>) -> CoordinationState {
    let mut state = CoordinationState::default();
    for command in commands {
        state.apply(LogIndex(1), command);
    }
    state
}

#[gtest]
fn a_log_of_the_previous_release_is_applied_correctly() {
    let bytes = include_bytes!("fixtures/commands.bin");
    let read: Vec<Command> = postcard::from_bytes(bytes).unwrap();
    expect_that!(read.len(), eq(commands_of_fixture().len()));
    expect_that!(state_of(read) == state_of(commands_of_fixture()), eq(true));
}

#[gtest]
fn a_snapshot_of_the_previous_release_is_restored_fully() {
    let restored = CoordinationState::restore(include_bytes!("fixtures/snapshot.bin")).unwrap();
    expect_that!(restored == state_of(commands_of_fixture()), eq(true));
}

/// The oldest form contains no evidence; everything else is restored.
#[gtest]
fn a_state_written_as_one_value_is_restored() {
    let restored = CoordinationState::restore(include_bytes!("fixtures/whole.bin")).unwrap();
    let expected = state_of(commands_of_fixture());
    expect_that!(restored.configuration(), eq(expected.configuration()));
    expect_that!(restored.servers(), eq(expected.servers()));
    expect_that!(restored.jobs(), eq(expected.jobs()));
    expect_that!(restored.named_versions(), eq(expected.named_versions()));
    expect_that!(restored.order_holder(), eq(expected.order_holder()));
    expect_that!(restored.member_nodes(), eq(expected.member_nodes()));
    expect_that!(restored.retired_members(), eq(expected.retired_members()));
}

/// Guards against the empty rest of a dropped request that passes for the request: a snapshot keeps
/// the names of an ended job's items in the place of their contents.
#[gtest]
fn an_ended_job_of_the_previous_release_offers_no_contents() {
    for snapshot in [
        &include_bytes!("fixtures/snapshot.bin")[..],
        include_bytes!("fixtures/whole.bin"),
    ] {
        let restored = CoordinationState::restore(snapshot).unwrap();
        let ended = &restored.jobs()[&JobId::from("job-2")];
        expect_that!(ended.ended, eq(true));
        expect_that!(ended.item_count(), eq(2));
        let first = ended.item_id(0).expect("the name of an item");
        expect_that!(first, eq(&ItemId::from("job-2-0")));
        expect_that!(ended.open_contents(), none());
        expect_that!(ended.item_contents(0), none());
        expect_that!(ended.item_body(first), err(eq(NoBody::JobEnded)));
        let open = &restored.jobs()[&JobId::from("job-0")];
        let submitted = support::job("job-0", 8);
        expect_that!(open.open_contents(), some(eq(&*submitted)));
        let unlisted = &submitted.items[1];
        expect_that!(open.item_body(&unlisted.id), ok(eq(&unlisted.body[..])));
    }
}

/// This release restores its own snapshots, including state that earlier releases do not have.
#[gtest]
fn a_snapshot_of_this_release_is_read_back() {
    let state = state_of(commands_of_fixture());
    let restored = CoordinationState::restore(&state.snapshot()).unwrap();
    expect_that!(restored == state, eq(true));
}
