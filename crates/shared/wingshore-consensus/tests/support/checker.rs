//! Checks of the safety properties over a whole run, independent of the code under test.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use wingshore_consensus::{Entry, Raft};
use wingshore_types::{LogIndex, ReplicaId};

/// A violated safety property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two members were leader in the same term.
    TwoLeaders { term: u64 },
    /// A member voted for two candidates in one term.
    VotedTwice { term: u64, voter: ReplicaId },
    /// Two members applied different entries at the same index, or a member applied entries out of
    /// order.
    AppliedDiffers { index: LogIndex },
    /// A new leader lacks a committed entry.
    CommittedLost { index: LogIndex, term: u64 },
    /// Two logs agree at an index but differ before it.
    LogMatching { index: LogIndex },
    /// A read under a lease missed an acknowledged write.
    StaleRead {
        applied: LogIndex,
        acknowledged: LogIndex,
    },
    /// Two members held the lease at the same time.
    TwoLeases { first: ReplicaId, second: ReplicaId },
}

/// The applied state of one member: the last index, and a hash over all entries up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    pub index: LogIndex,
    pub log_hash: u64,
}

impl Applied {
    /// Encodes the state as snapshot bytes, padded so that it takes several chunks.
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = self.index.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.log_hash.to_le_bytes());
        bytes.extend_from_slice(&[0xA5; 200]);
        bytes
    }

    /// Decodes snapshot bytes.
    pub fn decode(bytes: &[u8]) -> Self {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        Self {
            index: LogIndex(word(0)),
            log_hash: word(8),
        }
    }
}

/// An entry that a member has applied.
#[derive(Clone, Copy, Debug)]
struct Committed {
    /// Term of the entry.
    term: u64,
    /// Hash over all entries up to this one.
    log_hash: u64,
    /// The term in which it was first applied.
    applied_in_term: u64,
}

/// Records the actions of the members, and checks them.
#[derive(Debug, Default)]
pub struct Checker {
    pub violation: Option<Violation>,
    leaders: BTreeMap<u64, ReplicaId>,
    votes: BTreeMap<(u64, ReplicaId), ReplicaId>,
    committed: BTreeMap<LogIndex, Committed>,
    acknowledged: LogIndex,
    pub reads: u64,
    pub elections: u64,
}

impl Checker {
    fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Returns the number of entries known to be committed.
    pub fn committed_entries(&self) -> usize {
        self.committed.len()
    }

    /// Records that a member granted its vote.
    pub fn on_vote(&mut self, term: u64, voter: ReplicaId, candidate: ReplicaId) {
        let first = *self.votes.entry((term, voter)).or_insert(candidate);
        if first != candidate {
            self.report(Violation::VotedTwice { term, voter });
        }
    }

    /// Records that a member became leader.
    pub fn on_leader(&mut self, raft: &Raft) {
        let term = raft.term();
        let first = *self.leaders.entry(term).or_insert(raft.id());
        self.elections += 1;
        if first != raft.id() {
            self.report(Violation::TwoLeaders { term });
        }
        let lost = self
            .committed
            .range(raft.first_index()..)
            .filter(|(_, committed)| committed.applied_in_term < term)
            .find(|(index, committed)| raft.term_at(**index) != Some(committed.term))
            .map(|(index, committed)| (*index, committed.term));
        if let Some((index, term)) = lost {
            self.report(Violation::CommittedLost { index, term });
        }
    }

    /// Records that a member in term `applied_in_term` applied an entry to the state `before`.
    /// Returns the new state.
    pub fn on_apply(&mut self, applied_in_term: u64, before: Applied, entry: &Entry) -> Applied {
        let index = entry.index;
        let mut hasher = DefaultHasher::new();
        (before.log_hash, index.0, entry.term, &entry.data).hash(&mut hasher);
        let log_hash = hasher.finish();
        let term = entry.term;
        let applied = Committed {
            term,
            log_hash,
            applied_in_term,
        };
        let known = *self.committed.entry(index).or_insert(applied);
        let is_equal = (known.term, known.log_hash) == (term, log_hash);
        if !is_equal || index.0 != before.index.0 + 1 {
            self.report(Violation::AppliedDiffers { index });
        }
        Applied { index, log_hash }
    }

    /// Records that a member restored a snapshot.
    pub fn on_restore(&mut self, index: LogIndex, applied: Applied) {
        let known = self.committed.get(&index).map(|known| known.log_hash);
        if applied.index != index || known != Some(applied.log_hash) {
            self.report(Violation::AppliedDiffers { index });
        }
    }

    /// Records that a leader acknowledged the write at `index` to a client.
    pub fn on_acknowledged(&mut self, index: LogIndex) {
        self.acknowledged = self.acknowledged.max(index);
    }

    /// Records that a leader answered a read from its applied state.
    pub fn on_read(&mut self, applied: LogIndex) {
        self.reads += 1;
        let acknowledged = self.acknowledged;
        if applied < acknowledged {
            self.report(Violation::StaleRead {
                applied,
                acknowledged,
            });
        }
    }

    /// Records which members hold a lease at the same time.
    pub fn on_lease_holders(&mut self, holders: &[ReplicaId]) {
        if let [first, second, ..] = holders {
            self.report(Violation::TwoLeases {
                first: *first,
                second: *second,
            });
        }
    }

    /// Compares the logs of two members: before the last index at which their terms agree, all
    /// terms must agree.
    pub fn on_logs(&mut self, left: &Raft, right: &Raft) {
        let first = left.first_index().max(right.first_index()).0;
        let last = left.last_index().min(right.last_index()).0;
        let mut agreed = false;
        for index in (first..=last).rev().map(LogIndex) {
            let equal = left.term_at(index) == right.term_at(index);
            if agreed && !equal {
                return self.report(Violation::LogMatching { index });
            }
            agreed |= equal;
        }
    }
}
