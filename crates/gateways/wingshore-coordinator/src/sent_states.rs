//! What there is to tell of the states that a leader sends to members that lack too much of the log. No
//! I/O.
//!
//! Question: which sending has begun, goes on or is over since the last update, and how many bytes were
//! sent meanwhile? Input: how far each sending is ([`SnapshotSending`]), at each update. Rule: the
//! begin and the end of each one are told, and while it goes on where it is, once in
//! [`REPORT_INTERVAL`]. Why: a member whose state is on its way bears no loss, and only the leader
//! knows how long that will last. Old or missing input: a sending that is no longer listed is over;
//! what was last known of it is told.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_group::SnapshotSending;
use wingshore_types::{Instant, ReplicaId};

/// Between two reports of a sending that goes on.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What has become of a sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendingPhase {
    /// It has begun.
    Started,
    /// It goes on.
    InProgress,
    /// It is over: the member has it, or was given up.
    Ended,
}

/// A sending, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendingReport {
    /// What has become of it.
    pub phase: SendingPhase,
    /// How far it was when it was last seen.
    pub sending: SnapshotSending,
    /// Time since it was first seen.
    pub age: Duration,
}

/// What one look has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendingUpdate {
    /// What there is to tell.
    pub reports: Vec<SendingReport>,
    /// Bytes sent since the last update, those sent again among them.
    pub sent: u64,
    /// Bytes sent again since the last update.
    pub sent_again: u64,
}

#[derive(Clone, Copy)]
struct Known {
    sending: SnapshotSending,
    since: Instant,
    told: Instant,
}

impl Known {
    fn report(&self, phase: SendingPhase, now: Instant) -> SendingReport {
        SendingReport {
            phase,
            sending: self.sending,
            age: now.since(self.since),
        }
    }
}

/// The states that this coordinator, as leader, is sending.
#[derive(Default)]
pub struct SentStates {
    known: BTreeMap<ReplicaId, Known>,
}

impl SentStates {
    /// Takes how far each sending is now.
    pub fn update(&mut self, now: Instant, sendings: &[SnapshotSending]) -> SendingUpdate {
        let mut update = SendingUpdate::default();
        self.end_others(now, sendings, &mut update);
        for sending in sendings {
            self.see(now, *sending, &mut update);
        }
        update
    }

    /// Members that are being sent the state.
    pub fn receivers(&self) -> usize {
        self.known.len()
    }

    /// Bytes that these members lack.
    pub fn bytes_left(&self) -> u64 {
        let sendings = self.known.values().map(|known| known.sending);
        sendings
            .map(|sending| sending.total.saturating_sub(sending.received))
            .sum()
    }

    fn end_others(
        &mut self,
        now: Instant,
        sendings: &[SnapshotSending],
        update: &mut SendingUpdate,
    ) {
        let is_under_way = |known: &Known| {
            let of_same = |sending: &&SnapshotSending| is_same(sending, &known.sending);
            sendings.iter().any(|sending| of_same(&sending))
        };
        self.known.retain(|_, known| {
            let goes_on = is_under_way(known);
            if !goes_on {
                update.reports.push(known.report(SendingPhase::Ended, now));
            }
            goes_on
        });
    }

    fn see(&mut self, now: Instant, sending: SnapshotSending, update: &mut SendingUpdate) {
        let before = self.known.get(&sending.to).copied();
        let (sent, sent_again) = before.map_or((0, 0), |known| {
            (known.sending.sent, known.sending.sent_again)
        });
        update.sent += sending.sent.saturating_sub(sent);
        update.sent_again += sending.sent_again.saturating_sub(sent_again);
        let mut known = before.unwrap_or(Known {
            sending,
            since: now,
            told: now,
        });
        known.sending = sending;
        if before.is_none() {
            update
                .reports
                .push(known.report(SendingPhase::Started, now));
        } else if now.since(known.told) >= REPORT_INTERVAL {
            known.told = now;
            update
                .reports
                .push(known.report(SendingPhase::InProgress, now));
        }
        self.known.insert(sending.to, known);
    }
}

/// Whether two looks have seen one sending: it is to the same member, of the same state, and did not
/// begin anew.
fn is_same(now: &SnapshotSending, before: &SnapshotSending) -> bool {
    (now.to, now.index) == (before.to, before.index) && now.sent >= before.sent
}
