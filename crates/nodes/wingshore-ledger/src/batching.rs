//! Gathers operations into few log commands.
//!
//! Question: when is an operation proposed, together with which others, and when is it refused?
//!
//! Inputs: the size of each operation in bytes, as estimated, and what was committed.
//!
//! Rule: the first operation is proposed at once. While [`MAX_IN_FLIGHT`] proposals wait for their
//! commit, further operations queue up and share the next proposal. An operation that finds the
//! queue full is refused, and nothing of it is kept.
//!
//! Why: load makes batches larger instead of making the log longer, and a group that cannot commit
//! holds a bounded amount of memory.

use std::collections::{BTreeMap, VecDeque};
use wingshore_types::machine::ProposalTag;

/// Most proposals that wait for their commit at once.
const MAX_IN_FLIGHT: usize = 4;
/// Most operations in one proposal.
const MAX_OPERATIONS: usize = 512;
/// A proposal takes no further operation beyond this size, in bytes.
const MAX_PROPOSAL_BYTES: usize = 1 << 20;
/// Most bytes that queue; operations beyond it are refused.
const MAX_QUEUED_BYTES: usize = 64 << 20;
/// Most operations that queue; operations beyond it are refused.
const MAX_QUEUED_OPERATIONS: usize = 65_536;

/// An operation that waits to be proposed, with what to do once it is applied.
#[derive(Debug)]
struct QueuedOperation<O, W> {
    operation: O,
    waiter: W,
    bytes: usize,
}

/// A proposal that is ready to go out.
#[derive(Debug)]
pub(crate) struct Proposal<O> {
    /// Named again when the proposal is applied.
    pub(crate) tag: ProposalTag,
    /// Its operations, in the order they came.
    pub(crate) operations: Vec<O>,
}

/// Operations on their way into the log; `W` says who waits for each one's reply.
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
    /// Adds an operation of about `bytes` bytes.
    ///
    /// # Errors
    /// Gives `waiting` back when the queue is full; nothing was added.
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

    /// The next proposal, when there is something to propose and room in flight.
    pub(crate) fn next_proposal(&mut self) -> Option<Proposal<O>> {
        if self.queue.is_empty() {
            return None;
        }
        self.next_proposal_even_if_empty()
    }

    /// The next proposal even when it holds no operation; `None` only when too many are in
    /// flight. An empty one carries the passing of time.
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

    /// Those who wait for the replies of an applied proposal, in the order of its operations.
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
