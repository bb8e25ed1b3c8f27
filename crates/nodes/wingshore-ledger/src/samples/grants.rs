//! Question: which node generates which sample, and what is kept of the generation when a lease
//! ends?
//!
//! Inputs: the pending samples in queue order; the node, its boot id and the number of samples it
//! requests; the partial generation of the lease.
//!
//! Rule: leases are granted in queue order: the oldest submission first, and within a submission
//! the largest token limit first, so that stragglers start early. A node that requests leases with
//! another boot id loses the leases of its earlier boots. The partial generation of an ended lease
//! is kept for the next attempt if none of its tokens is too old and it is at least as long as the
//! stored one.
//!
//! Missing input: when a node stops renewing, its leases expire by the leader's clock and the
//! tokens that it generated under them are lost.

use super::pool::{MAX_TOKENS_PER_ANSWER, PoolLedger, check_generation};
use super::stage::{Holder, OpenSample, QueueKey, Stage};
use wingshore_types::protocol::ledger::{LedgerReply, SampleLease};
use wingshore_types::{Generation, LeaseId, NodeId, SampleNumber};

/// Maximum number of leases granted by one request.
const MAX_LEASES_PER_REQUEST: u32 = 256;

impl PoolLedger {
    /// Returns whether a lease request would change the state.
    pub(super) fn lease_changes_state(&self, node: &NodeId, boot_id: u64, most: u32) -> bool {
        let old_boots = self.indexes.leases.leases_of_other_boots(node, boot_id);
        let grants = most > 0 && !self.indexes.pending.is_empty();
        grants || !old_boots.is_empty()
    }

    pub(super) fn lease(&mut self, node: NodeId, boot_id: u64, most: u32) -> LedgerReply {
        let ended = self.indexes.leases.leases_of_other_boots(&node, boot_id);
        self.expire(&ended);
        let chosen = self.next_pending(most.min(MAX_LEASES_PER_REQUEST));
        let holder = Holder { node, boot_id };
        let granted = chosen
            .into_iter()
            .filter_map(|key| self.grant(key.number(), &holder))
            .collect();
        LedgerReply::Leases(granted)
    }

    pub(super) fn expire(&mut self, leases: &[LeaseId]) -> LedgerReply {
        for lease in leases {
            self.end_lease(*lease, None);
        }
        LedgerReply::Done
    }

    pub(super) fn return_lease(&mut self, lease: LeaseId, partial: Generation) -> LedgerReply {
        let Some(number) = self.indexes.leases.sample(lease) else {
            return LedgerReply::Done;
        };
        let most = self.open.get(&number).map(|open| open.prompt.max_tokens);
        if let Err(refusal) = check_generation(&partial, most.unwrap_or(0)) {
            return LedgerReply::Refused(refusal);
        }
        self.end_lease(lease, Some(partial));
        LedgerReply::Done
    }

    /// Returns the next samples to lease, as many as fit into one answer and at least one.
    fn next_pending(&self, most: u32) -> Vec<QueueKey> {
        let mut tokens = 0;
        let mut chosen = Vec::new();
        for key in self.indexes.pending.iter().take(most as usize) {
            if tokens >= MAX_TOKENS_PER_ANSWER {
                break;
            }
            tokens += self
                .open
                .get(&key.number())
                .map_or(0, OpenSample::token_count);
            chosen.push(*key);
        }
        chosen
    }

    fn grant(&mut self, number: SampleNumber, holder: &Holder) -> Option<SampleLease> {
        let sample = self.open.get(&number)?;
        let Stage::Pending { partial } = &sample.stage else {
            return None;
        };
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let granted = SampleLease {
            lease,
            prompt: sample.prompt.clone(),
            partial: partial.clone(),
            oldest_useful: self.oldest_useful(),
            duration_ms: self.settings.sample_lease_ms,
        };
        let stage = Stage::Leased {
            lease,
            holder: holder.clone(),
            partial: partial.clone(),
        };
        self.set_stage(number, stage);
        Some(granted)
    }

    /// Ends an active lease. A newer partial generation replaces the stored one if it is not too
    /// old and at least as long.
    fn end_lease(&mut self, lease: LeaseId, newer: Option<Generation>) {
        let Some(number) = self.indexes.leases.sample(lease) else {
            return;
        };
        let kept = match self.open.get(&number).map(|sample| &sample.stage) {
            Some(Stage::Leased { partial, .. }) => partial.clone(),
            _ => Generation::default(),
        };
        let is_better = |newer: &Generation| {
            !self.is_too_old(newer.oldest_version()) && newer.tokens.len() >= kept.tokens.len()
        };
        let partial = newer.filter(is_better).unwrap_or(kept);
        self.set_stage(number, Stage::Pending { partial });
    }
}
