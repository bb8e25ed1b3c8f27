//! The replicated state of a claims group.

use super::command::ClaimsCommand;
use super::entry::{Entry, Status};
use super::faults::Faults;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::LogIndex;
use wingshore_types::machine::{ReplicatedState, RestoreError};
use wingshore_types::protocol::claims::{
    ClaimKey, ClaimOutcome, Claimant, ClaimsReply, ClaimsRequest, StoredAnswer,
};
use wingshore_types::snapshot;

/// How long a claim is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// For how long an attempt's own claim, sent again, is granted again. A key is thus remembered for
/// [`RETENTION`] less this time after the latest answer by which anyone could have sent it.
pub const RESEND_WINDOW: Duration = Duration::from_secs(10 * 60);
/// How long a freed claim is kept.
const FREED_RETENTION: Duration = Duration::from_secs(60);
/// Retry-after for a key that is taken, in milliseconds.
const TAKEN_RETRY_AFTER_MS: u64 = 200;
/// Retry-after of a refusal for lack of room, in milliseconds.
pub(super) const FULL_RETRY_AFTER_MS: u64 = 1_000;
/// First byte of a snapshot.
const SNAPSHOT_VERSION: u8 = 1;

/// How much a claims group keeps. It decides replies, so it is part of the state and of snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimsLimits {
    /// Most keys.
    keys: u64,
    /// Most bytes of keys and answers, as estimated.
    bytes: u64,
    /// Largest answer that is kept, in bytes of its body and its content type.
    answer_bytes: u64,
}

impl Default for ClaimsLimits {
    fn default() -> Self {
        Self {
            keys: 1 << 21,
            bytes: 512 << 20,
            answer_bytes: 64 << 10,
        }
    }
}

/// The claimed keys of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClaimsState {
    /// Time added up over all leaders' commands, in milliseconds. It runs behind real time by
    /// what passes without a leader, so that nothing is forgotten early.
    clock_ms: u64,
    limits: ClaimsLimits,
    entries: BTreeMap<ClaimKey, Entry>,
    #[serde(skip)]
    by_expiry: BTreeSet<(u64, ClaimKey)>,
    #[serde(skip)]
    bytes: u64,
    #[serde(skip)]
    faults: Faults,
}

impl ClaimsState {
    /// Switches deliberate faults on or off; for tests only.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Keys kept now.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Estimated bytes of keys and answers.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The answer to a request that would change nothing; it costs no log entry.
    pub(super) fn reply_without_change(&self, request: &ClaimsRequest) -> Option<ClaimsReply> {
        match request {
            ClaimsRequest::Claim {
                key,
                fingerprint,
                claimant,
            } => match self.entries.get(key) {
                Some(entry) => self.reply_for_known_key(entry, *fingerprint, claimant),
                None => None,
            },
            ClaimsRequest::Settle { key, claimant, .. } => match self.entries.get(key) {
                Some(entry) if entry.claimant != *claimant => Some(taken()),
                _ => None,
            },
        }
    }

    /// The reply to a claim of a key that is remembered; `None` when it may be claimed anew.
    fn reply_for_known_key(
        &self,
        entry: &Entry,
        fingerprint: u64,
        claimant: &Claimant,
    ) -> Option<ClaimsReply> {
        let is_own = entry.claimant == *claimant;
        if matches!(entry.status, Status::Freed) {
            return is_own.then(taken);
        }
        if entry.fingerprint != fingerprint {
            return Some(ClaimsReply::Mismatch);
        }
        let granted_until = entry
            .expires_ms
            .saturating_sub(milliseconds(RETENTION - RESEND_WINDOW));
        let reply = match &entry.status {
            Status::InFlight if is_own && self.clock_ms < granted_until => ClaimsReply::Granted,
            Status::InFlight | Status::Unknown if self.faults.grant_taken => return None,
            Status::InFlight | Status::Unknown | Status::Freed => taken(),
            Status::Answered(answer) => ClaimsReply::Answered(answer.clone()),
        };
        Some(reply)
    }

    fn apply_request(&mut self, request: ClaimsRequest) -> ClaimsReply {
        if let Some(reply) = self.reply_without_change(&request) {
            return reply;
        }
        match request {
            ClaimsRequest::Claim {
                key,
                fingerprint,
                claimant,
            } => self.claim(key, fingerprint, claimant),
            ClaimsRequest::Settle {
                key,
                claimant,
                outcome,
            } => self.settle(key, claimant, outcome),
        }
    }

    fn claim(&mut self, key: ClaimKey, fingerprint: u64, claimant: Claimant) -> ClaimsReply {
        let entry = Entry {
            fingerprint,
            claimant,
            status: Status::InFlight,
            expires_ms: self.expiry(RETENTION),
        };
        self.remove_entry(&key);
        if !self.has_capacity(&key, &entry) {
            return ClaimsReply::Full {
                retry_after_ms: FULL_RETRY_AFTER_MS,
            };
        }
        self.insert_entry(key, entry);
        ClaimsReply::Granted
    }

    fn settle(&mut self, key: ClaimKey, claimant: Claimant, outcome: ClaimOutcome) -> ClaimsReply {
        let Some(mut entry) = self.entries.get(&key).cloned() else {
            return self.settle_before_claim(key, claimant, outcome);
        };
        let is_open = matches!(entry.status, Status::InFlight);
        let is_late_answer =
            matches!(entry.status, Status::Unknown) && matches!(outcome, ClaimOutcome::Answered(_));
        if !is_open && !is_late_answer {
            return ClaimsReply::Settled;
        }
        let (status, retention) = match outcome {
            ClaimOutcome::NotRun => (Status::Freed, FREED_RETENTION),
            ClaimOutcome::Answered(answer) => (
                Status::Answered(self.storable_answer(&key, answer)),
                RETENTION,
            ),
            ClaimOutcome::Unknown => (Status::Unknown, RETENTION),
        };
        entry.status = status;
        entry.expires_ms = self.expiry(retention);
        self.remove_entry(&key);
        self.insert_entry(key, entry);
        ClaimsReply::Settled
    }

    /// An attempt that gave up before it saw its claim granted: should the claim come late, it
    /// must not take the key.
    fn settle_before_claim(
        &mut self,
        key: ClaimKey,
        claimant: Claimant,
        outcome: ClaimOutcome,
    ) -> ClaimsReply {
        let entry = Entry {
            fingerprint: 0,
            claimant,
            status: Status::Freed,
            expires_ms: self.expiry(FREED_RETENTION),
        };
        if outcome == ClaimOutcome::NotRun && self.has_capacity(&key, &entry) {
            self.insert_entry(key, entry);
        }
        ClaimsReply::Settled
    }

    /// The answer, when it is small enough to be kept. That it ran is always kept.
    fn storable_answer(
        &self,
        key: &ClaimKey,
        answer: Option<StoredAnswer>,
    ) -> Option<StoredAnswer> {
        let answer = answer?;
        let size = (answer.body.len() + answer.content_type.len()) as u64;
        let fits = size <= self.limits.answer_bytes && self.bytes + size <= self.limits.bytes;
        (fits && self.entries.contains_key(key)).then_some(answer)
    }

    fn has_capacity(&self, key: &ClaimKey, entry: &Entry) -> bool {
        let has_key = (self.entries.len() as u64) < self.limits.keys;
        has_key && self.bytes + entry.bytes(key) <= self.limits.bytes
    }

    fn expiry(&self, retention: Duration) -> u64 {
        self.clock_ms.saturating_add(milliseconds(retention))
    }

    fn insert_entry(&mut self, key: ClaimKey, entry: Entry) {
        self.bytes += entry.bytes(&key);
        self.by_expiry.insert((entry.expires_ms, key.clone()));
        self.entries.insert(key, entry);
    }

    fn remove_entry(&mut self, key: &ClaimKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes(key);
            self.by_expiry.remove(&(entry.expires_ms, key.clone()));
        }
    }

    fn remove_expired(&mut self) {
        while let Some((expires_ms, key)) = self.by_expiry.first() {
            if *expires_ms > self.clock_ms {
                break;
            }
            let key = key.clone();
            self.remove_entry(&key);
        }
    }

    fn rebuild_derived(&mut self) {
        self.bytes = 0;
        self.by_expiry.clear();
        for (key, entry) in &self.entries {
            self.bytes += entry.bytes(key);
            self.by_expiry.insert((entry.expires_ms, key.clone()));
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn taken() -> ClaimsReply {
    ClaimsReply::Taken {
        retry_after_ms: TAKEN_RETRY_AFTER_MS,
    }
}

impl ReplicatedState for ClaimsState {
    type Command = ClaimsCommand;
    type Reply = Vec<ClaimsReply>;

    fn apply(&mut self, _index: LogIndex, command: ClaimsCommand) -> Vec<ClaimsReply> {
        self.clock_ms = self.clock_ms.saturating_add(command.elapsed_ms);
        self.remove_expired();
        command
            .requests
            .into_iter()
            .map(|request| self.apply_request(request))
            .collect()
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(SNAPSHOT_VERSION, self)
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let mut state: Self = snapshot::decode("claims", SNAPSHOT_VERSION, bytes)?;
        state.rebuild_derived();
        Ok(state)
    }
}
