//! Gathers operations into few log commands.
//!
//! The first operation is proposed at once. While [`MAX_IN_FLIGHT`] proposals wait for their
//! commit, further operations queue up and share the next proposal, so that load makes batches
//! larger instead of making the log longer.

use std::collections::{BTreeMap, VecDeque};
use wingshore_types::machine::ProposalTag;

/// Most proposals that wait for their commit at once.
pub const MAX_IN_FLIGHT: usize = 4;
/// Most operations in one proposal.
pub const MAX_OPERATIONS: usize = 512;
/// A proposal takes no further operation beyond this size, in bytes.
pub const MAX_PROPOSAL_BYTES: usize = 1 << 20;
/// Most bytes that queue; operations beyond it are refused.
pub const MAX_QUEUED_BYTES: usize = 64 << 20;
/// Most operations that queue; operations beyond it are refused.
pub const MAX_QUEUED_OPERATIONS: usize = 65_536;

/// An operation that waits to be proposed, with what to do once it is applied.
#[derive(Debug)]
struct Queued<O, W> {
    operation: O,
    waiting: W,
    bytes: usize,
}

/// A proposal that is ready to go out.
#[derive(Debug)]
pub struct Proposal<O> {
    /// Comes back when it is applied.
    pub tag: ProposalTag,
    /// Its operations, in the order they came.
    pub operations: Vec<O>,
}

/// Operations on their way into the log; `W` says who waits for each one's reply.
#[derive(Debug)]
pub struct ProposalQueue<O, W> {
    queue: VecDeque<Queued<O, W>>,
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
    pub fn push(&mut self, operation: O, bytes: usize, waiting: W) -> Result<(), W> {
        let too_many = self.queue.len() >= MAX_QUEUED_OPERATIONS;
        let too_large = self.queued_bytes.saturating_add(bytes) > MAX_QUEUED_BYTES;
        if too_many || (too_large && !self.queue.is_empty()) {
            return Err(waiting);
        }
        self.queued_bytes += bytes;
        self.queue.push_back(Queued {
            operation,
            waiting,
            bytes,
        });
        Ok(())
    }

    /// The next proposal, when there is something to propose and room in flight.
    pub fn next_proposal(&mut self) -> Option<Proposal<O>> {
        if self.queue.is_empty() {
            return None;
        }
        self.forced_proposal()
    }

    /// The next proposal even when it holds no operation; `None` only when too many are in
    /// flight. An empty one carries the passing of time.
    pub fn forced_proposal(&mut self) -> Option<Proposal<O>> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let (operations, waiting) = self.take_batch();
        let tag = ProposalTag(self.next_tag);
        self.next_tag += 1;
        self.in_flight.insert(tag, waiting);
        Some(Proposal { tag, operations })
    }

    /// Those who wait for the replies of an applied proposal, in the order of its operations.
    pub fn applied(&mut self, tag: ProposalTag) -> Vec<W> {
        self.in_flight.remove(&tag).unwrap_or_default()
    }

    /// Whether nothing queues and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    fn take_batch(&mut self) -> (Vec<O>, Vec<W>) {
        let mut operations = Vec::new();
        let mut waiting = Vec::new();
        let mut bytes = 0;
        while operations.len() < MAX_OPERATIONS && bytes < MAX_PROPOSAL_BYTES {
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            bytes += queued.bytes;
            operations.push(queued.operation);
            waiting.push(queued.waiting);
        }
        self.queued_bytes -= bytes;
        (operations, waiting)
    }
}
