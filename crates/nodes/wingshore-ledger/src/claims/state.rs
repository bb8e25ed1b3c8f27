//! Replicated state of a claims group.

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

/// Time for which a claim is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Time for which a repeated claim of the same attempt is granted again. A key is thus kept for at
/// least [`RETENTION`] minus this time after the last grant that allowed its request to be sent.
pub const RESEND_WINDOW: Duration = Duration::from_secs(10 * 60);
/// Time for which a freed claim is kept.
const FREED_RETENTION: Duration = Duration::from_secs(60);
/// Retry delay for a key that is taken, in milliseconds.
const TAKEN_RETRY_AFTER_MS: u64 = 200;
/// Retry delay when the group is full, in milliseconds.
pub(super) const FULL_RETRY_AFTER_MS: u64 = 1_000;
/// Snapshot format version, the first byte of a snapshot.
const SNAPSHOT_VERSION: u8 = 1;

/// Capacity of a claims group. The limits affect replies, so they are part of the replicated state
/// and of snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimsLimits {
    /// Maximum number of keys.
    keys: u64,
    /// Maximum estimated size of keys and answers, in bytes.
    bytes: u64,
    /// Maximum size of a stored answer: bytes of its body and content type.
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

/// Claimed keys of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClaimsState {
    /// Committed time: sum of the elapsed time in all commands, in milliseconds. It lags behind
    /// real time by the periods without a leader, so that no claim expires early.
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
    /// Sets the injected faults; for tests only.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the estimated size of keys and answers, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the reply to a request that would not change the state and needs no log entry.
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

    /// Returns the reply to a claim of a stored key; `None` if the key may be claimed again.
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

    /// Settles an attempt that gave up before it saw its claim granted. If it did not run, a freed
    /// entry is stored, so that the claim is not granted when it arrives late.
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

    /// Returns the answer if it is small enough to be stored. The fact that the request ran is
    /// always stored.
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
