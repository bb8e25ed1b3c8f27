//! Detection of gaps in a snapshot transfer: the follower lacks bytes that were sent, although no
//! chunk is in flight any more.
//!
//! - Inputs: each sent chunk, each answer, and the number of bytes that the follower has.
//! - Rule: once there are as many answers as sent chunks, and one of the answers acknowledged
//!   nothing new or the leader resent chunks, the bytes that the follower lacks are a gap. A gap is
//!   detected once per acknowledged byte count.
//! - Reason: a follower of an older build drops and answers every chunk that is not the next one. A
//!   follower that has restarted lacks everything; without the limit of one gap per byte count it
//!   would be sent a window for each answer.
//! - Missing or repeated inputs: if a chunk or an answer is lost, the count does not fall to zero,
//!   and a stall makes the leader resend; no gap is detected until the follower has more bytes than
//!   had been sent by then. Chunks that seem lost at a stall may still be answered, so they stay
//!   counted: a count that is too low makes every window look like a gap. A duplicated answer makes
//!   the count too low by one chunk, until the follower has more bytes than had been sent by then.

/// ChunkAnswers counts the unanswered chunks of one snapshot transfer.
#[derive(Debug, Default)]
pub(crate) struct ChunkAnswers {
    /// Number of chunks that were sent and not answered.
    outstanding: usize,
    /// Offset of the next chunk when an answer last acknowledged nothing new or the leader last
    /// resent chunks. Until the follower has more bytes, it may have dropped chunks that arrived
    /// out of order.
    out_of_order_through: Option<u64>,
    /// Bytes that the follower had when a gap was last detected.
    gap_found_at: Option<u64>,
}

impl ChunkAnswers {
    /// Records that a chunk was sent.
    pub(crate) fn on_sent(&mut self) {
        self.outstanding += 1;
    }

    /// Records an answer to a chunk.
    pub(crate) fn on_answer(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records that an answer acknowledged nothing new, or that the leader resends chunks. The next
    /// chunk began at `next_offset`.
    pub(crate) fn on_out_of_order(&mut self, next_offset: u64) {
        self.out_of_order_through = Some(next_offset);
    }

    /// Records that the follower has `received` bytes, and that `unacknowledged` of the sent chunks
    /// lie beyond them. Once the follower has more bytes than had been sent at the last
    /// `on_out_of_order`, the unacknowledged chunks are exactly the unanswered ones.
    pub(crate) fn on_received(&mut self, received: u64, unacknowledged: usize) {
        let passed_offset = self
            .out_of_order_through
            .take_if(|through| received > *through);
        if passed_offset.is_some() {
            self.outstanding = unacknowledged;
        }
    }

    /// Returns whether a gap that was not detected before separates the `received` bytes of the
    /// follower from the first `sent` bytes, and records it.
    pub(crate) fn detect_gap(&mut self, received: u64, sent: u64) -> bool {
        let is_answered = self.outstanding == 0 && self.out_of_order_through.is_some();
        let is_new = self.gap_found_at != Some(received);
        let has_gap = sent > received && is_answered && is_new;
        if has_gap {
            self.gap_found_at = Some(received);
        }
        has_gap
    }
}
