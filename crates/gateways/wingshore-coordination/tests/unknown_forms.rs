//! Behaviour of the decoders of messages, commands and snapshots on data that a newer build may
//! write.
//!
//! The rules for message formats depend on it: bytes after the end of a message are ignored,
//! whatever they mean; an unknown variant and a truncated value are refused.

use googletest::prelude::*;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use wingshore_coordination::{
    CallReply, Command, CoordinationState, CoordinatorFrame, CoordinatorMessage, GatewayMessage,
    IncomingFrame, ItemOutcome, Reply, Request,
};
use wingshore_types::LogIndex;
use wingshore_types::machine::ReplicatedState;
use wingshore_types::stored::{self, StoredError};

const CALL_REPLIES: &str = include_str!("golden/call_replies.txt");
const COMMANDS: &str = include_str!("golden/commands.txt");
const COORDINATOR_FRAMES: &str = include_str!("golden/coordinator_frames.txt");
const COORDINATOR_MESSAGES: &str = include_str!("golden/coordinator_messages.txt");
const GATEWAY_MESSAGES: &str = include_str!("golden/gateway_messages.txt");
const INCOMING_FRAMES: &str = include_str!("golden/incoming_frames.txt");
const ITEM_OUTCOMES: &str = include_str!("golden/item_outcomes.txt");
const REPLIES: &str = include_str!("golden/replies.txt");
const REQUESTS: &str = include_str!("golden/requests.txt");

/// Trailing bytes that no current build writes, among them variant tags and long integers.
const TRAILING_BYTES: &[&[u8]] = &[&[0], &[1, 1], &[0xff; 12], b"a range or anything else"];

/// Returns the names and bytes of the lines of a golden file.
fn lines(golden: &str) -> Vec<(&str, Vec<u8>)> {
    let named = golden.lines().map(|line| line.split_once(' ').unwrap());
    named.map(|(name, digits)| (name, unhex(digits))).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

/// Checks that each line decodes to the same value if more bytes follow it.
fn check_trailing_bytes_are_ignored<T: DeserializeOwned + PartialEq + Debug>(golden: &str) {
    for (name, bytes) in lines(golden) {
        let alone: T = postcard::from_bytes(&bytes).unwrap();
        for more in TRAILING_BYTES {
            let longer = [&bytes, *more].concat();
            let (read, rest): (T, &[u8]) = postcard::take_from_bytes(&longer).unwrap();
            expect_that!(read == alone, eq(true), "{name}: {read:?}");
            expect_that!(rest, eq(*more), "{name}");
            let read: T = postcard::from_bytes(&longer).unwrap();
            expect_that!(read == alone, eq(true), "{name}: {read:?}");
        }
    }
}

/// Checks that no truncated line decodes to a value.
fn check_truncations_are_refused<T: DeserializeOwned + Debug>(golden: &str) {
    for (name, bytes) in lines(golden) {
        for length in 0..bytes.len() {
            let read = postcard::from_bytes::<T>(&bytes[..length]);
            expect_that!(read.is_err(), eq(true), "{name}, {length} bytes: {read:?}");
        }
    }
}

/// Checks that the variant after the last one is refused, whatever follows.
fn check_next_variant_is_refused<T: DeserializeOwned + Debug>(golden: &str) {
    let last = lines(golden).iter().map(|(_, bytes)| bytes[0]).max();
    let mut bytes = vec![last.unwrap() + 1];
    bytes.extend([0; 200]);
    let read = postcard::from_bytes::<T>(&bytes);
    expect_that!(read.is_err(), eq(true), "{read:?}");
}

#[gtest]
fn bytes_after_the_end_of_messages_are_ignored() {
    check_trailing_bytes_are_ignored::<IncomingFrame>(INCOMING_FRAMES);
    check_trailing_bytes_are_ignored::<CoordinatorFrame>(COORDINATOR_FRAMES);
    check_trailing_bytes_are_ignored::<GatewayMessage>(GATEWAY_MESSAGES);
    check_trailing_bytes_are_ignored::<CoordinatorMessage>(COORDINATOR_MESSAGES);
    check_trailing_bytes_are_ignored::<CallReply>(CALL_REPLIES);
    check_trailing_bytes_are_ignored::<Request>(REQUESTS);
    check_trailing_bytes_are_ignored::<Reply>(REPLIES);
    check_trailing_bytes_are_ignored::<ItemOutcome>(ITEM_OUTCOMES);
}

#[gtest]
fn truncated_messages_are_refused() {
    check_truncations_are_refused::<IncomingFrame>(INCOMING_FRAMES);
    check_truncations_are_refused::<CoordinatorFrame>(COORDINATOR_FRAMES);
    check_truncations_are_refused::<GatewayMessage>(GATEWAY_MESSAGES);
    check_truncations_are_refused::<CoordinatorMessage>(COORDINATOR_MESSAGES);
}

#[gtest]
fn unknown_variants_of_messages_are_refused() {
    check_next_variant_is_refused::<IncomingFrame>(INCOMING_FRAMES);
    check_next_variant_is_refused::<CoordinatorFrame>(COORDINATOR_FRAMES);
    check_next_variant_is_refused::<GatewayMessage>(GATEWAY_MESSAGES);
    check_next_variant_is_refused::<CoordinatorMessage>(COORDINATOR_MESSAGES);
    check_next_variant_is_refused::<CallReply>(CALL_REPLIES);
    check_next_variant_is_refused::<Request>(REQUESTS);
    check_next_variant_is_refused::<Reply>(REPLIES);
}

/// A coordinator's hello is inside an envelope and is its last field.
#[gtest]
fn bytes_after_a_hello_of_a_coordinator_are_ignored_in_its_envelope() {
    let hello = lines(COORDINATOR_FRAMES)
        .into_iter()
        .find(|(name, _)| *name == "hello");
    let (_, hello) = hello.unwrap();
    /// Variant tag of frames between coordinators.
    const COORDINATOR: u8 = 2;
    let alone = [&[COORDINATOR], hello.as_slice()].concat();
    let expected: IncomingFrame = postcard::from_bytes(&alone).unwrap();
    for more in TRAILING_BYTES {
        let longer = [&alone, *more].concat();
        let read: IncomingFrame = postcard::from_bytes(&longer).unwrap();
        expect_that!(read, eq(&expected));
    }
}

/// A command with a field that another build has appended must be refused: members that ignored the
/// field would diverge from those that know it. Everything that any build has written is accepted.
#[gtest]
fn bytes_after_the_end_of_commands_are_refused() {
    for (name, bytes) in lines(COMMANDS) {
        let alone = stored::decode::<Command>(&bytes);
        expect_that!(alone, ok(anything()), "{name}");
        for more in TRAILING_BYTES {
            let longer = [&bytes, *more].concat();
            let refused = stored::decode::<Command>(&longer);
            let expected = StoredError::TrailingBytes {
                kind: bytes[0],
                left: more.len(),
            };
            expect_that!(refused, err(eq(&expected)), "{name}");
        }
    }
}

#[gtest]
fn unknown_and_truncated_commands_are_refused() {
    check_next_variant_is_refused::<Command>(COMMANDS);
    check_truncations_are_refused::<Command>(COMMANDS);
}

fn state() -> CoordinationState {
    let mut state = CoordinationState::default();
    for (index, (_, bytes)) in (1..).zip(lines(COMMANDS)) {
        state.apply(LogIndex(index), postcard::from_bytes(&bytes).unwrap());
    }
    state
}

fn refusal(bytes: &[u8]) -> String {
    CoordinationState::restore(bytes).unwrap_err().message
}

#[gtest]
fn a_snapshot_of_a_newer_format_is_refused_by_its_first_byte() {
    let mut bytes = state().snapshot();
    bytes[0] += 1;
    expect_that!(
        refusal(&bytes),
        eq("the state has format 5; this program knows formats up to 4")
    );
}

/// Returns the byte range of the first record of a snapshot, after the format and the record's
/// length.
fn first_record(snapshot: &[u8]) -> std::ops::Range<usize> {
    let length = u32::from_le_bytes(snapshot[1..5].try_into().unwrap());
    5..5 + length as usize
}

/// As with commands: a member that ignored a field would continue with a different state.
#[gtest]
fn bytes_after_the_end_of_a_record_of_a_snapshot_are_refused() {
    let state = state();
    let mut bytes = state.snapshot();
    let record = first_record(&bytes);
    bytes.splice(record.end..record.end, [7, 7, 7]);
    let length = u32::try_from(record.len() + 3).unwrap();
    bytes[1..5].copy_from_slice(&length.to_le_bytes());
    expect_that!(
        refusal(&bytes),
        eq("a record: 3 bytes are left after the end of kind 5")
    );
}

#[gtest]
fn an_unknown_record_of_a_snapshot_is_refused() {
    let mut bytes = state().snapshot();
    /// Tag of the variant after the last one.
    const UNKNOWN: u8 = 6;
    let record = first_record(&bytes);
    bytes[record.start] = UNKNOWN;
    expect_that!(CoordinationState::restore(&bytes).is_err(), eq(true));
}
