//! Which texts of results leave memory, and who waits for that. A decision without I/O.
//!
//! Question: which texts move to disk now, and does whoever brings a text wait? Inputs: the bytes
//! of the texts in memory, oldest first; the budget in bytes; since when a batch is being moved;
//! whether the last attempt failed. Rule: beyond the budget the oldest texts move, in batches of
//! [`MAX_BATCH_BYTES`], until an eighth of the budget is free. Beyond the budget by a quarter
//! whoever brings one waits for the batch, unless the disk has failed or hangs; then texts stay in
//! memory and are tried again. Why: memory is bounded by the settings and not by how long a site
//! has run, and a slow disk costs memory before it costs time.
//!
//! A text that was released is noticed only when it is the oldest; until then its bytes count.

use std::collections::VecDeque;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use wingshore_coordination::{PackedText, TextPlace};

/// Bytes that are moved with one sync: long enough for a disk's speed, short beside the budget.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Texts move until this part of the budget is free, so that not each text brings on a sync.
const FREED_PART: usize = 8;
/// Beyond the budget by this part of it, whoever brings more waits.
const TOLERATED_PART: usize = 4;
/// A batch that takes longer than this to be moved is on a disk that hangs: a hundred times what a
/// sync takes.
const HANGING_AFTER: Duration = Duration::from_millis(100);

/// A text in memory, and its bytes.
struct HeldText {
    text: Weak<PackedText>,
    bytes: usize,
}

/// Texts in memory, oldest first.
pub(crate) struct TextQueue {
    /// Bytes that may stay in memory.
    budget: usize,
    texts: VecDeque<HeldText>,
    /// Sum of their bytes, with those of the batch that is being moved.
    bytes: usize,
    /// Whether the last attempt to move texts failed.
    is_stuck: bool,
    /// Since when a batch is being moved.
    moving_since: Option<Instant>,
}

impl TextQueue {
    /// No texts yet.
    pub(crate) fn new(budget: usize) -> Self {
        Self {
            budget,
            texts: VecDeque::new(),
            bytes: 0,
            is_stuck: false,
            moving_since: None,
        }
    }

    /// Bytes of the texts in memory, with those of texts that were released and not yet noticed.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes that may stay in memory.
    pub(crate) fn budget(&self) -> usize {
        self.budget
    }

    /// Adds a text that is in memory.
    pub(crate) fn push(&mut self, text: &Arc<PackedText>, bytes: usize) {
        self.bytes += bytes;
        self.texts.push_back(HeldText {
            text: Arc::downgrade(text),
            bytes,
        });
    }

    /// Whether texts are to move to disk.
    pub(crate) fn is_over_budget(&self) -> bool {
        self.bytes > self.budget
    }

    /// Whether there is so much that a start waits before it brings more.
    pub(crate) fn is_crowded(&self) -> bool {
        self.bytes > self.budget + self.budget / TOLERATED_PART && !self.is_stuck
    }

    /// Whether it is crowded, and there is soon to be room.
    pub(crate) fn makes_room(&self, now: Instant) -> bool {
        let hangs = |since| now.saturating_duration_since(since) >= HANGING_AFTER;
        self.is_crowded() && !self.moving_since.is_some_and(hangs)
    }

    /// Takes out the oldest texts, as many as free a part of the budget and go with one sync. Their
    /// bytes go on counting until they are moved.
    pub(crate) fn take_batch(&mut self, now: Instant) -> Vec<Arc<PackedText>> {
        let target = self.budget - self.budget / FREED_PART;
        let mut batch = Vec::new();
        let mut taken = 0;
        while self.bytes - taken > target && taken < MAX_BATCH_BYTES {
            let Some(held) = self.texts.pop_front() else {
                break;
            };
            match held.text.upgrade() {
                Some(text) => {
                    taken += held.bytes;
                    batch.push(text);
                }
                None => self.bytes -= held.bytes,
            }
        }
        if !batch.is_empty() {
            self.moving_since = Some(now);
        }
        batch
    }

    /// A batch is on disk.
    pub(crate) fn moved(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.is_stuck = false;
        self.moving_since = None;
    }

    /// A batch could not be moved: its texts are the oldest again.
    pub(crate) fn put_back(&mut self, batch: &[Arc<PackedText>]) {
        self.is_stuck = true;
        self.moving_since = None;
        for text in batch.iter().rev() {
            if let TextPlace::Memory(bytes) = text.place() {
                self.texts.push_front(HeldText {
                    text: Arc::downgrade(text),
                    bytes: bytes.len(),
                });
            }
        }
    }
}
