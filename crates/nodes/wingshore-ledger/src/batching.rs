//! Batches operations into log commands.
//!
//! Question: when is an operation proposed, which operations share its proposal, and when is it
//! refused?
//!
//! Inputs: the estimated size of each operation in bytes, and the proposals that were committed.
//!
//! Rule: an operation is proposed at once while fewer than [`MAX_IN_FLIGHT`] proposals wait for
//! their commit. Otherwise it is queued and shares the next proposal with other queued operations.
//! An operation that arrives when the queue is full is refused and not stored.
//!
//! Why: under load the batches grow instead of the number of log entries, and a group that cannot
//! commit uses a bounded amount of memory.

use std::collections::{BTreeMap, VecDeque};
use wingshore_types::machine::ProposalTag;

/// Maximum number of proposals that wait for their commit at once.
const MAX_IN_FLIGHT: usize = 4;
/// Maximum number of operations in one proposal.
const MAX_OPERATIONS: usize = 512;
/// Size in bytes from which a proposal takes no further operation.
const MAX_PROPOSAL_BYTES: usize = 1 << 20;
/// Maximum size of the queue in bytes; operations beyond it are refused.
const MAX_QUEUED_BYTES: usize = 64 << 20;
/// Maximum number of queued operations; further ones are refused.
const MAX_QUEUED_OPERATIONS: usize = 65_536;

/// An operation that waits to be proposed, and the waiter for its reply.
#[derive(Debug)]
struct QueuedOperation<O, W> {
    operation: O,
    waiter: W,
    bytes: usize,
}

/// A proposal that is ready to be appended to the log.
#[derive(Debug)]
pub(crate) struct Proposal<O> {
    /// Identifies the proposal when it is applied.
    pub(crate) tag: ProposalTag,
    /// Operations in order of arrival.
    pub(crate) operations: Vec<O>,
}

/// Operations that are queued or proposed and not applied yet; `W` identifies the waiter for the
/// reply of each operation.
#[derive(Debug)]
pub(crate) struct ProposalQueue<O, W> {
    queue: VecDeque<QueuedOperation<O, W>>,
    queued_bytes: usize,
    in_flight: BTreeMap<ProposalTag, Vec<W>>,
    next_tag: u64,
}

impl<O, W> Default for ProposalQueue<O, W> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: BTreeMap::new(),
            next_tag: 0,
        }
    }
}

impl<O, W> ProposalQueue<O, W> {
    /// Queues an operation with an estimated size of `bytes` bytes.
    ///
    /// # Errors
    /// Returns `waiter` when the queue is full; the operation is then not queued.
    pub(crate) fn push(&mut self, operation: O, bytes: usize, waiter: W) -> Result<(), W> {
        let too_many = self.queue.len() >= MAX_QUEUED_OPERATIONS;
        let too_large = self.queued_bytes.saturating_add(bytes) > MAX_QUEUED_BYTES;
        if too_many || (too_large && !self.queue.is_empty()) {
            return Err(waiter);
        }
        self.queued_bytes += bytes;
        self.queue.push_back(QueuedOperation {
            operation,
            waiter,
            bytes,
        });
        Ok(())
    }

    /// Returns the next proposal, if an operation is queued and fewer than [`MAX_IN_FLIGHT`]
    /// proposals wait for their commit.
    pub(crate) fn next_proposal(&mut self) -> Option<Proposal<O>> {
        if self.queue.is_empty() {
            return None;
        }
        self.next_proposal_even_if_empty()
    }

    /// Returns the next proposal even if no operation is queued; `None` only while
    /// [`MAX_IN_FLIGHT`] proposals wait for their commit. An empty proposal advances committed
    /// time.
    pub(crate) fn next_proposal_even_if_empty(&mut self) -> Option<Proposal<O>> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let (operations, waiters) = self.take_batch();
        let tag = ProposalTag(self.next_tag);
        self.next_tag += 1;
        self.in_flight.insert(tag, waiters);
        Some(Proposal { tag, operations })
    }

    /// Removes an applied proposal and returns the waiters for its replies, in the order of its
    /// operations.
    pub(crate) fn take_waiters(&mut self, tag: ProposalTag) -> Vec<W> {
        self.in_flight.remove(&tag).unwrap_or_default()
    }

    fn take_batch(&mut self) -> (Vec<O>, Vec<W>) {
        let mut operations = Vec::new();
        let mut waiters = Vec::new();
        let mut bytes = 0;
        while operations.len() < MAX_OPERATIONS && bytes < MAX_PROPOSAL_BYTES {
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            bytes += queued.bytes;
            operations.push(queued.operation);
            waiters.push(queued.waiter);
        }
        self.queued_bytes -= bytes;
        (operations, waiters)
    }
}
