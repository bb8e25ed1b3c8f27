//! Tests of the encodings of all messages between members and of everything that a member writes to
//! storage.

mod golden;

use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use wingshore_consensus::{
    AppendRejection, AppendRequest, Body, Entry, EntryKind, Faults, HeartbeatRequest, Input,
    Limits, Message, Output, Raft, RaftConfig, SnapshotChunk, Timing, VoteRequest,
};
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot, WriteBatch};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::snapshot_spool::MemorySpool;
use wingshore_types::{Instant, LogIndex, ReplicaId};

fn vote_request() -> VoteRequest {
    VoteRequest {
        last_index: LogIndex(300),
        last_term: 6,
        transfer: true,
    }
}

fn entries() -> Vec<Entry> {
    let kinds = [EntryKind::Empty, EntryKind::Command, EntryKind::Membership];
    let entry = |(index, kind)| Entry {
        index: LogIndex(index),
        term: 7,
        kind,
        data: match kind {
            EntryKind::Empty => Arc::from([]),
            EntryKind::Command | EntryKind::Membership => Arc::from([1, 2, 200]),
        },
    };
    (301..).zip(kinds).map(entry).collect()
}

fn bodies() -> Vec<Body> {
    vec![
        Body::PreVote(vote_request()),
        Body::PreVoteReply {
            campaign_term: 8,
            granted: true,
        },
        Body::Vote(vote_request()),
        Body::VoteReply { granted: true },
        Body::Append(AppendRequest {
            prev_index: LogIndex(300),
            prev_term: 6,
            entries: entries(),
            commit_index: LogIndex(299),
        }),
        Body::AppendAccepted {
            match_index: LogIndex(303),
        },
        Body::AppendRejected(AppendRejection {
            rejected_index: LogIndex(300),
            hint_index: LogIndex(290),
            hint_term: 5,
            last_index: LogIndex(295),
        }),
        Body::Heartbeat(HeartbeatRequest {
            round: 1000,
            commit_index: LogIndex(299),
            commit_term: 6,
        }),
        Body::HeartbeatReply {
            round: 1000,
            needs_log: true,
        },
        Body::SnapshotChunk(SnapshotChunk {
            index: LogIndex(300),
            term: 6,
            total: 100_000,
            offset: 512,
            data: vec![1, 2, 200],
        }),
        Body::SnapshotReceived {
            index: LogIndex(300),
            received: 515,
        },
        Body::TimeoutNow,
    ]
}

fn body_name(body: &Body) -> &'static str {
    match body {
        Body::PreVote(_) => "pre_vote",
        Body::PreVoteReply { .. } => "pre_vote_reply",
        Body::Vote(_) => "vote",
        Body::VoteReply { .. } => "vote_reply",
        Body::Append(_) => "append",
        Body::AppendAccepted { .. } => "append_accepted",
        Body::AppendRejected(_) => "append_rejected",
        Body::Heartbeat(_) => "heartbeat",
        Body::HeartbeatReply { .. } => "heartbeat_reply",
        Body::SnapshotChunk(_) => "snapshot_chunk",
        Body::SnapshotReceived { .. } => "snapshot_received",
        Body::TimeoutNow => "timeout_now",
    }
}

#[gtest]
fn message_encoding_is_stable() {
    let message = |body| Message { term: 7, body };
    let messages: Vec<Message> = bodies().into_iter().map(message).collect();
    let encoded = messages.iter().map(|message| {
        let bytes = postcard::to_allocvec(message).unwrap();
        let read: Message = postcard::from_bytes(&bytes).unwrap();
        expect_that!(&read, eq(message));
        (body_name(&message.body), bytes)
    });
    let encoded: Vec<_> = encoded.collect();
    golden::check(include_str!("golden/messages.txt"), &encoded);
}

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: ([10, 2, 3, 4], 7000).into(),
    }
}

fn founding() -> Membership {
    Membership {
        voters: vec![member(1)],
        learners: Vec::new(),
    }
}

fn config(bootstrap: Option<Membership>) -> RaftConfig {
    RaftConfig {
        id: ReplicaId(1),
        bootstrap,
        random: ChaCha8Rng::seed_from_u64(1),
        timing: Timing::default(),
        limits: Limits::default(),
        faults: Faults::default(),
        spool: Arc::new(MemorySpool),
    }
}

/// A single-member group; the member becomes leader after it has campaigned.
struct SingleMember {
    raft: Raft,
    now: Instant,
    writes: Vec<WriteBatch>,
}

impl SingleMember {
    fn start(recovered: RecoveredLog) -> Self {
        let raft = Raft::new(
            Instant::ZERO,
            config(Some(founding())),
            recovered,
            &mut Vec::new(),
        )
        .unwrap();
        Self {
            raft,
            now: Instant::ZERO,
            writes: Vec::new(),
        }
    }

    /// Advances the time, and reports each write as durable.
    fn run(&mut self) {
        for _ in 0..4 {
            self.now = self.now + Duration::from_millis(500);
            self.step(Input::Tick);
        }
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.raft.step(self.now, input, &mut out);
        self.raft.flush(self.now, &mut out).unwrap();
        for output in out {
            if let Output::Write { token, batch } = output {
                self.writes.push(batch);
                self.step(Input::Persisted { token });
            }
        }
    }
}

/// Returns a member whose writes contain hard states, an entry of each kind, and a snapshot.
fn member_with_all_record_kinds() -> SingleMember {
    let mut single = SingleMember::start(RecoveredLog::default());
    single.run();
    single.raft.propose(vec![1, 2, 200]).unwrap();
    single.run();
    let learner = Member {
        address: ([10, 2, 3, 5], 7000).into(),
        ..member(5_000_000_000)
    };
    single.raft.add_learner(learner, &mut Vec::new()).unwrap();
    single.run();
    single.raft.compact(vec![9, 8, 7]).unwrap();
    single.run();
    single
}

#[gtest]
fn stored_encoding_is_stable() {
    let single = member_with_all_record_kinds();
    let mut examples = Vec::new();
    for batch in &single.writes {
        if let Some(hard_state) = &batch.hard_state {
            examples.push(("hard_state", hard_state.clone()));
        }
        for record in &batch.append {
            examples.push(("record", record.data.clone()));
        }
        if let Some(snapshot) = &batch.snapshot {
            examples.push(("snapshot", snapshot.data.to_bytes().unwrap().to_vec()));
        }
    }
    golden::check(include_str!("golden/persisted.txt"), &examples);
}

#[gtest]
fn stored_records_are_recovered() {
    let written = member_with_all_record_kinds();
    let mut recovered = RecoveredLog::default();
    for batch in written.writes {
        recovered.hard_state = batch.hard_state.or(recovered.hard_state);
        recovered.records.extend(batch.append);
    }
    let restarted = SingleMember::start(recovered);
    expect_that!(restarted.raft.term(), eq(written.raft.term()));
    expect_that!(restarted.raft.last_index(), eq(written.raft.last_index()));
    expect_that!(restarted.raft.membership(), eq(written.raft.membership()));
}

/// In the previous snapshot format the length of the state precedes the state.
#[gtest]
fn both_snapshot_formats_are_decoded() {
    let state = vec![9_u8, 8, 7];
    let with_length = postcard::to_allocvec(&(1_u8, founding(), &state)).unwrap();
    let mut without_length = postcard::to_allocvec(&(2_u8, founding())).unwrap();
    without_length.extend(&state);
    let examples = [
        ("with_length", with_length.clone()),
        ("to_the_end", without_length.clone()),
    ];
    golden::check(include_str!("golden/snapshots.txt"), &examples);
    for data in [with_length, without_length] {
        let snapshot = StoredSnapshot {
            index: LogIndex(300),
            term: 7,
            data: data.into(),
        };
        let recovered = RecoveredLog {
            snapshot: Some(snapshot),
            ..RecoveredLog::default()
        };
        let mut out = Vec::new();
        let raft = Raft::new(Instant::ZERO, config(None), recovered, &mut out).unwrap();
        expect_that!(raft.membership(), eq(&founding()));
        let restored = out.into_iter().find_map(|output| match output {
            Output::Restore { index, state } => Some((index, state.to_bytes().unwrap().to_vec())),
            _ => None,
        });
        expect_that!(restored, some(eq(&(LogIndex(300), state.clone()))));
    }
}

/// A log record of an unknown kind must be rejected, not skipped.
#[gtest]
fn a_record_of_an_unknown_kind_is_refused() {
    let hard_state = member_with_all_record_kinds().writes.remove(0).hard_state;
    let recovered = RecoveredLog {
        hard_state,
        snapshot: None,
        records: vec![LogRecord {
            index: LogIndex(1),
            term: 1,
            data: vec![3],
        }],
    };
    let started = Raft::new(Instant::ZERO, config(None), recovered, &mut Vec::new());
    expect_that!(started.is_err(), eq(true));
}
