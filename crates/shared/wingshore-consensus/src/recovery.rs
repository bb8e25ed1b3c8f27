//! Starting a member from what storage recovered.
//!
//! Records that a snapshot overrides are dropped; a gap, a damaged value, or a record of a term that the
//! hard state does not know stops the start.

use crate::config::RaftConfig;
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

/// Term of the entry that holds the founding membership, equal on every founding member.
const BOOTSTRAP_TERM: u64 = 1;

/// Why a member cannot start.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RecoveryError {
    /// A setting does not fit.
    #[snafu(display("{source}"))]
    Settings {
        /// Which.
        source: ConfigError,
    },
    /// Recovered bytes do not decode.
    #[snafu(display("{source}"))]
    Damaged {
        /// Which.
        source: CodecError,
    },
    /// Records do not follow one another, or the snapshot.
    #[snafu(display("log record {found} follows {last}; allowed is the next index"))]
    Gap {
        /// The last index before the gap.
        last: LogIndex,
        /// The record after the gap.
        found: LogIndex,
    },
    /// A record without the hard state that is always written before it.
    #[snafu(display("log record {index} has term {term}, above the recovered term {known}"))]
    Term {
        /// The record.
        index: LogIndex,
        /// Its term.
        term: u64,
        /// The recovered term.
        known: u64,
    },
}

impl Raft {
    /// Starts a member at `now` from what storage recovered; pushes the state to restore.
    ///
    /// A founding member with nothing recovered begins with the founding membership as its first
    /// entry. A member with neither waits to be taken in as a learner.
    ///
    /// # Errors
    /// When a setting does not fit, or what was recovered cannot be used.
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
        // Its bytes are not needed any more, and may be many.
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

    /// Takes over the records after the snapshot. Records that do not agree with the snapshot
    /// are from before it replaced the log, and go.
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

    /// Begins a founding member's log, unless it has begun.
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

/// Whether the records continue the snapshot at `index`: they hold its last entry with its term,
/// or begin right after it, or there are none.
fn agrees_with_snapshot(records: &[LogRecord], index: LogIndex, term: u64) -> bool {
    let Some(first) = records.first() else {
        return true;
    };
    if first.index.0 == index.0 + 1 {
        return true;
    }
    if first.index > index {
        // A gap, which the caller reports.
        return true;
    }
    records
        .iter()
        .any(|record| record.index == index && record.term == term)
}
