//! Progress reports of the snapshots that a leader sends to members whose log is too far behind. No
//! I/O.
//!
//! Question: which transfer has started, is in progress or has ended since the last update, and how
//! many bytes were sent meanwhile? Input: the progress of each transfer ([`SnapshotSending`]), at
//! each update. Rule: the start and the end of each transfer are reported, and its progress once
//! per [`REPORT_INTERVAL`]. Why: a member that is still being sent the state does not help the
//! group to tolerate losses, and only the leader knows how long that will last. Old or missing
//! input: a transfer that is no longer listed has ended; its last known progress is reported.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_group::SnapshotSending;
use wingshore_types::{Instant, ReplicaId};

/// Time between two reports of a transfer in progress.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Phase of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendingPhase {
    /// The transfer has started.
    Started,
    /// The transfer is in progress.
    InProgress,
    /// The transfer has ended: the member holds the snapshot, or the transfer was cancelled.
    Ended,
}

/// Report of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendingReport {
    /// Phase of the transfer.
    pub phase: SendingPhase,
    /// Last known progress.
    pub sending: SnapshotSending,
    /// Time since the transfer was first listed.
    pub age: Duration,
}

/// Result of an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendingUpdate {
    /// Reports that are due.
    pub reports: Vec<SendingReport>,
    /// Bytes sent since the last update, including those sent again.
    pub sent: u64,
    /// Bytes sent again since the last update.
    pub sent_again: u64,
}

/// Sending with the times of its start and of its last report.
#[derive(Clone, Copy)]
struct TrackedSending {
    sending: SnapshotSending,
    started_at: Instant,
    reported_at: Instant,
}

impl TrackedSending {
    fn report(&self, phase: SendingPhase, now: Instant) -> SendingReport {
        SendingReport {
            phase,
            sending: self.sending,
            age: now.since(self.started_at),
        }
    }
}

/// Snapshots that this coordinator is sending as leader, by receiver.
#[derive(Default)]
pub struct SentStates {
    sendings: BTreeMap<ReplicaId, TrackedSending>,
}

impl SentStates {
    /// Takes the current progress of all transfers; returns the reports and byte counts since the
    /// last update.
    pub fn update(&mut self, now: Instant, sendings: &[SnapshotSending]) -> SendingUpdate {
        let mut update = SendingUpdate::default();
        self.end_unlisted(now, sendings, &mut update);
        for sending in sendings {
            self.update_one(now, *sending, &mut update);
        }
        update
    }

    /// Returns how many members are being sent the state.
    pub fn receivers(&self) -> usize {
        self.sendings.len()
    }

    /// Returns how many bytes these members still lack.
    pub fn bytes_left(&self) -> u64 {
        let sendings = self.sendings.values().map(|known| known.sending);
        sendings
            .map(|sending| sending.total.saturating_sub(sending.received))
            .sum()
    }

    /// Removes the transfers that are no longer listed, and reports their end.
    fn end_unlisted(
        &mut self,
        now: Instant,
        sendings: &[SnapshotSending],
        update: &mut SendingUpdate,
    ) {
        let is_listed = |known: &TrackedSending| {
            let is_same_sending = |sending: &&SnapshotSending| is_same(sending, &known.sending);
            sendings.iter().any(|sending| is_same_sending(&sending))
        };
        self.sendings.retain(|_, known| {
            let is_in_progress = is_listed(known);
            if !is_in_progress {
                update.reports.push(known.report(SendingPhase::Ended, now));
            }
            is_in_progress
        });
    }

    /// Updates one transfer, and reports its start or progress where that is due.
    fn update_one(&mut self, now: Instant, sending: SnapshotSending, update: &mut SendingUpdate) {
        let before = self.sendings.get(&sending.to).copied();
        let (sent, sent_again) = before.map_or((0, 0), |known| {
            (known.sending.sent, known.sending.sent_again)
        });
        update.sent += sending.sent.saturating_sub(sent);
        update.sent_again += sending.sent_again.saturating_sub(sent_again);
        let mut known = before.unwrap_or(TrackedSending {
            sending,
            started_at: now,
            reported_at: now,
        });
        known.sending = sending;
        if before.is_none() {
            update
                .reports
                .push(known.report(SendingPhase::Started, now));
        } else if now.since(known.reported_at) >= REPORT_INTERVAL {
            known.reported_at = now;
            update
                .reports
                .push(known.report(SendingPhase::InProgress, now));
        }
        self.sendings.insert(sending.to, known);
    }
}

/// Returns whether two progress values belong to one transfer: the same member and snapshot,
/// without a restart.
fn is_same(now: &SnapshotSending, before: &SnapshotSending) -> bool {
    (now.to, now.index) == (before.to, before.index) && now.sent >= before.sent
}
