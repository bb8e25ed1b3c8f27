//! Which result texts are moved out of memory, and which callers wait for that. A decision without
//! I/O.
//!
//! Question: which texts are moved to disk now, and does the caller that adds a text wait? Inputs:
//! the sizes of the texts in memory, oldest first; the budget in bytes; since when a batch is being
//! moved; whether the last attempt failed. Rule: beyond the budget the oldest texts are moved, in
//! batches of [`MAX_BATCH_BYTES`], until an eighth of the budget is free. A caller that adds a text
//! waits for the batch where the budget is exceeded by a quarter, unless the disk has failed or
//! hangs; then texts stay in memory, and the move is retried. Why: memory is bounded by the
//! settings and not by how long a site has run, and a slow disk costs memory before it costs time.
//!
//! A released text is noticed only when it is the oldest; its bytes count until then.

use std::collections::VecDeque;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use wingshore_coordination::{PackedText, TextPlace};

/// Size of a batch in bytes, moved with one sync: large enough for the throughput of a disk, small
/// compared with the budget.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Divisor of the budget that gives the part to free, so that not every text causes a sync.
const FREED_DIVISOR: usize = 8;
/// Divisor of the budget that gives the excess from which on callers that add texts wait.
const EXCESS_DIVISOR: usize = 4;
/// Time after which a disk counts as hanging while it moves a batch: a hundred times the time of a
/// sync.
const HANG_TIMEOUT: Duration = Duration::from_millis(100);

/// Text in memory, with its size in bytes.
struct QueuedText {
    text: Weak<PackedText>,
    bytes: usize,
}

/// Texts in memory, oldest first.
pub(crate) struct TextQueue {
    /// Bytes that may stay in memory.
    budget: usize,
    texts: VecDeque<QueuedText>,
    /// Total size of these texts and of the batch that is being moved, in bytes.
    bytes: usize,
    /// Whether the last attempt to move texts failed.
    has_failed: bool,
    /// Since when a batch is being moved.
    moving_since: Option<Instant>,
}

impl TextQueue {
    /// Creates a queue without texts.
    pub(crate) fn new(budget: usize) -> Self {
        Self {
            budget,
            texts: VecDeque::new(),
            bytes: 0,
            has_failed: false,
            moving_since: None,
        }
    }

    /// Returns the size of the texts in memory, including released texts that were not noticed yet.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how many bytes may stay in memory.
    pub(crate) fn budget(&self) -> usize {
        self.budget
    }

    /// Adds a text that is in memory.
    pub(crate) fn push(&mut self, text: &Arc<PackedText>, bytes: usize) {
        self.bytes += bytes;
        self.texts.push_back(QueuedText {
            text: Arc::downgrade(text),
            bytes,
        });
    }

    /// Returns whether texts must be moved to disk.
    pub(crate) fn is_over_budget(&self) -> bool {
        self.bytes > self.budget
    }

    /// Returns whether the budget is exceeded so far that a start waits before it adds more texts.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.bytes > self.budget + self.budget / EXCESS_DIVISOR && !self.has_failed
    }

    /// Returns whether the limit is exceeded and the disk is expected to free memory soon.
    pub(crate) fn should_wait(&self, now: Instant) -> bool {
        let is_hanging = |since| now.saturating_duration_since(since) >= HANG_TIMEOUT;
        self.is_over_limit() && !self.moving_since.is_some_and(is_hanging)
    }

    /// Removes the oldest texts, as many as free part of the budget and fit into one batch. Their
    /// bytes count until they are moved.
    pub(crate) fn take_batch(&mut self, now: Instant) -> Vec<Arc<PackedText>> {
        let target = self.budget - self.budget / FREED_DIVISOR;
        let mut batch = Vec::new();
        let mut taken = 0;
        while self.bytes - taken > target && taken < MAX_BATCH_BYTES {
            let Some(queued) = self.texts.pop_front() else {
                break;
            };
            match queued.text.upgrade() {
                Some(text) => {
                    taken += queued.bytes;
                    batch.push(text);
                }
                None => self.bytes -= queued.bytes,
            }
        }
        if !batch.is_empty() {
            self.moving_since = Some(now);
        }
        batch
    }

    /// Records that a batch of `bytes` bytes is on disk.
    pub(crate) fn moved(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.has_failed = false;
        self.moving_since = None;
    }

    /// Puts back a batch that could not be moved: its texts are the oldest again.
    pub(crate) fn put_back(&mut self, batch: &[Arc<PackedText>]) {
        self.has_failed = true;
        self.moving_since = None;
        for text in batch.iter().rev() {
            if let TextPlace::Memory(bytes) = text.place() {
                self.texts.push_front(QueuedText {
                    text: Arc::downgrade(text),
                    bytes: bytes.len(),
                });
            }
        }
    }
}
