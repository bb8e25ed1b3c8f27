//! Handling of messages and stored bytes that a newer build may write.
//!
//! Bytes after the end of a message are ignored. An unknown variant and a truncated message are
//! rejected. Stored values start with their format version, and an unknown version is rejected at
//! the start.

use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use wingshore_consensus::{Faults, Limits, Message, Raft, RaftConfig, Timing};
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::snapshot_spool::MemorySpool;
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Encoded hard state: format version, term 1, no vote, enrolled.
const HARD_STATE_OF_TERM_1: &[u8] = &[1, 1, 0, 1];

const MESSAGES: &str = include_str!("golden/messages.txt");

fn messages() -> Vec<(&'static str, Vec<u8>)> {
    let named = MESSAGES.lines().map(|line| line.split_once(' ').unwrap());
    named
        .map(|(name, digits)| (name, decode_hex(digits)))
        .collect()
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

#[gtest]
fn bytes_after_the_end_of_messages_are_ignored() {
    for (name, bytes) in messages() {
        let alone: Message = postcard::from_bytes(&bytes).unwrap();
        let longer = [bytes.as_slice(), &[0xff, 1, 0]].concat();
        let read: Message = postcard::from_bytes(&longer).unwrap();
        expect_that!(read, eq(&alone), "{name}");
    }
}

#[gtest]
fn messages_that_end_too_early_are_refused() {
    for (name, bytes) in messages() {
        for length in 0..bytes.len() {
            let read = postcard::from_bytes::<Message>(&bytes[..length]);
            expect_that!(read.is_err(), eq(true), "{name}, {length} bytes: {read:?}");
        }
    }
}

#[gtest]
fn an_unknown_message_is_refused() {
    let last = messages().iter().map(|(_, bytes)| bytes[1]).max().unwrap();
    let mut bytes = vec![7, last + 1];
    bytes.extend([0; 100]);
    let read = postcard::from_bytes::<Message>(&bytes);
    expect_that!(read.is_err(), eq(true), "{read:?}");
}

fn membership() -> Membership {
    let member = Member {
        id: ReplicaId(1),
        address: ([10, 2, 3, 4], 7000).into(),
    };
    Membership {
        voters: vec![member],
        learners: Vec::new(),
    }
}

/// Returns the error of a member that starts with this recovered storage, or "it starts".
fn start_result(recovered: RecoveredLog) -> String {
    let config = RaftConfig {
        id: ReplicaId(1),
        bootstrap: None,
        random: ChaCha8Rng::seed_from_u64(1),
        timing: Timing::default(),
        limits: Limits::default(),
        faults: Faults::default(),
        spool: Arc::new(MemorySpool),
    };
    match Raft::new(Instant::ZERO, config, recovered, &mut Vec::new()) {
        Ok(_) => "it starts".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn with_snapshot(format: u8) -> RecoveredLog {
    let mut bytes = postcard::to_allocvec(&(format, membership())).unwrap();
    bytes.extend([9, 8, 7]);
    let snapshot = StoredSnapshot {
        index: LogIndex(300),
        term: 7,
        data: bytes.into(),
    };
    RecoveredLog {
        snapshot: Some(snapshot),
        ..RecoveredLog::default()
    }
}

#[gtest]
fn a_snapshot_of_a_newer_format_is_refused_at_the_start() {
    expect_that!(start_result(with_snapshot(2)), eq("it starts"));
    expect_that!(
        start_result(with_snapshot(3)),
        eq("snapshot has format 3; this program knows 2")
    );
}

#[gtest]
fn a_hard_state_of_a_newer_format_is_refused_at_the_start() {
    let recovered = RecoveredLog {
        hard_state: Some(vec![2, 7, 0, 0]),
        ..RecoveredLog::default()
    };
    expect_that!(
        start_result(recovered),
        eq("hard state has format 2; this program knows 1")
    );
}

#[gtest]
fn an_entry_of_an_unknown_kind_is_refused_at_the_start() {
    let record = LogRecord {
        index: LogIndex(1),
        term: 1,
        data: vec![3, 1, 2],
    };
    let recovered = RecoveredLog {
        hard_state: Some(HARD_STATE_OF_TERM_1.to_vec()),
        records: vec![record],
        ..RecoveredLog::default()
    };
    expect_that!(
        start_result(recovered),
        eq("log record 1 has no known kind")
    );
}
