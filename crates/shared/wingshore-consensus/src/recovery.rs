//! Start of a member from recovered storage.
//!
//! Records that a snapshot replaces are dropped. A gap, a damaged value, or a record with a term
//! above the term of the hard state prevents the start.

use crate::config::RaftConfig;
use crate::election_events::ElectionReporter;
use crate::entry::{CodecError, Entry, HardState, SnapshotContents};
use crate::interface::Output;
use crate::log::RaftLog;
use crate::members::Members;
use crate::persistence::Persistence;
use crate::raft::Raft;
use crate::role::Role;
use crate::timing::ConfigError;
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeSet;
use std::sync::Weak;
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot};
use wingshore_types::protocol::membership::Membership;
use wingshore_types::{Instant, LogIndex};

/// Term of the entry that contains the founding membership; the same on every founding member.
const BOOTSTRAP_TERM: u64 = 1;

/// Reason why a member cannot start.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RecoveryError {
    /// A setting is invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The invalid setting.
        source: ConfigError,
    },
    /// Recovered bytes cannot be decoded.
    #[snafu(display("{source}"))]
    Damaged {
        /// The decoding error.
        source: CodecError,
    },
    /// The records are not consecutive, or do not continue the snapshot.
    #[snafu(display("log record {found} follows {last}; allowed is the next index"))]
    Gap {
        /// The last index before the gap.
        last: LogIndex,
        /// Index of the record after the gap.
        found: LogIndex,
    },
    /// A record has a term above that of the hard state, which is always written before the record.
    #[snafu(display("log record {index} has term {term}, above the recovered term {known}"))]
    Term {
        /// Index of the record.
        index: LogIndex,
        /// Its term.
        term: u64,
        /// The recovered term.
        known: u64,
    },
}

impl Raft {
    /// Starts a member at `now` from recovered storage, and emits the state to restore.
    ///
    /// A founding member with empty storage starts its log with the founding membership. A member
    /// with neither waits until it is added as a learner.
    ///
    /// # Errors
    /// Returns an error if a setting is invalid, or the recovered data cannot be used.
    pub fn new(
        now: Instant,
        config: RaftConfig,
        recovered: RecoveredLog,
        out: &mut Vec<Output>,
    ) -> Result<Self, RecoveryError> {
        config.timing.check().context(SettingsSnafu)?;
        let hard_state = decode_hard_state(recovered.hard_state.as_deref())?;
        let snapshot = recovered.snapshot;
        let contents = decode_snapshot(snapshot.as_ref())?;
        let (base_index, base_term) = snapshot
            .as_ref()
            .map_or((LogIndex(0), 0), |snapshot| (snapshot.index, snapshot.term));
        // The snapshot's bytes are not needed any more, and may take much memory.
        drop(snapshot);
        let mut raft = Self {
            id: config.id,
            random: config.random,
            timing: config.timing,
            limits: config.limits,
            faults: config.faults,
            term: hard_state.term,
            vote: hard_state.vote,
            enrolled: hard_state.enrolled,
            log: RaftLog::new(base_index, base_term),
            members: Members::default(),
            snapshot_index: base_index,
            recent_snapshot: Weak::new(),
            awaiting_snapshot: BTreeSet::new(),
            role: Role::Follower,
            leader: None,
            commit_index: base_index,
            last_applied: base_index,
            applied_since_flush: 0,
            verified_index: LogIndex(0),
            acknowledgement_pending: false,
            spool: config.spool,
            incoming: None,
            last_contact: now,
            election_deadline: now,
            election_reporter: ElectionReporter::default(),
            persistence: Persistence::default(),
            deferred: Vec::new(),
        };
        if let Some(contents) = contents {
            raft.members = Members::new(contents.membership);
            out.push(Output::Restore {
                index: base_index,
                state: contents.state,
            });
        }
        raft.recover_records(recovered.records)?;
        if let Some(founding) = config.bootstrap {
            raft.bootstrap(&founding)?;
        }
        raft.reset_election_deadline(now);
        out.push(Output::MembershipChanged(raft.members.current().clone()));
        Ok(raft)
    }

    /// Appends the recovered records after the snapshot to the log. Records that do not match the
    /// snapshot were written before it replaced the log, and are discarded.
    fn recover_records(&mut self, records: Vec<LogRecord>) -> Result<(), RecoveryError> {
        let base_index = self.log.base_index();
        let agrees = agrees_with_snapshot(&records, base_index, self.log.last_term());
        let first = records.first().map(|first| first.index);
        if agrees {
            let newer = records
                .into_iter()
                .filter(|record| record.index > base_index);
            for record in newer {
                self.recover_record(&record)?;
            }
        }
        self.persistence = Persistence::recovered(self.log.last_index());
        if !agrees {
            self.persistence.discard_all_records();
        } else if first.is_some_and(|first| first <= base_index) {
            self.persistence.discard(base_index);
        }
        Ok(())
    }

    fn recover_record(&mut self, record: &LogRecord) -> Result<(), RecoveryError> {
        let last = self.log.last_index();
        let found = record.index;
        ensure!(found.0 == last.0 + 1, GapSnafu { last, found });
        ensure!(
            record.term <= self.term,
            TermSnafu {
                index: found,
                term: record.term,
                known: self.term
            }
        );
        let entry = Entry::from_record(record).context(DamagedSnafu)?;
        if let Some(membership) = entry.decode_membership().context(DamagedSnafu)? {
            self.members.append(found, membership);
        }
        self.log.append(entry);
        Ok(())
    }

    /// Starts a founding member's log, unless it already has entries or a snapshot.
    fn bootstrap(&mut self, founding: &Membership) -> Result<(), RecoveryError> {
        if self.snapshot_index > LogIndex(0) || self.log.last_index() > LogIndex(0) {
            return Ok(());
        }
        let index = LogIndex(1);
        let entry = Entry::membership(index, BOOTSTRAP_TERM, founding).context(DamagedSnafu)?;
        self.log.append(entry);
        self.members.append(index, founding.clone());
        self.term = self.term.max(BOOTSTRAP_TERM);
        self.enrolled = true;
        self.persistence.hard_state_changed();
        Ok(())
    }
}

fn decode_hard_state(bytes: Option<&[u8]>) -> Result<HardState, RecoveryError> {
    let decoded = bytes.map(HardState::decode).transpose();
    Ok(decoded.context(DamagedSnafu)?.unwrap_or_default())
}

fn decode_snapshot(
    snapshot: Option<&StoredSnapshot>,
) -> Result<Option<SnapshotContents>, RecoveryError> {
    let decoded = snapshot.map(SnapshotContents::decode).transpose();
    decoded.context(DamagedSnafu)
}

/// Returns whether the records continue the snapshot at `index`: they contain its last entry with
/// the same term, start right after it, or are empty.
fn agrees_with_snapshot(records: &[LogRecord], index: LogIndex, term: u64) -> bool {
    let Some(first) = records.first() else {
        return true;
    };
    if first.index.0 == index.0 + 1 {
        return true;
    }
    if first.index > index {
        // The caller reports the gap.
        return true;
    }
    records
        .iter()
        .any(|record| record.index == index && record.term == term)
}
