//! Detection of missing chunks in a snapshot transfer by the answers to the chunks that were sent.
//!
//! - Inputs: each sent chunk, each answer, the number of bytes that the follower has, and the
//!   heartbeat rounds.
//! - Rule: the first unacknowledged chunk is missing once there were as many answers without
//!   progress as chunks behind it. Apart from that, once there are as many answers as sent chunks,
//!   and one of the answers acknowledged nothing new or the leader resent chunks, the bytes that
//!   the follower lacks are a gap. A gap is detected once per acknowledged byte count.
//! - Reason: a chunk that was sent on a new connection overtakes those on the one before it, so
//!   that a single answer without progress shows no loss. A follower of an older build drops and
//!   answers every chunk that is not the next one. A follower that has restarted lacks everything;
//!   without the limit of one gap per byte count it would be sent a window for each answer.
//! - Late answers: once the follower has a chunk, answers to other copies of it are overdue. They
//!   may arrive long after it, as those of overtaken chunks do, so they are counted apart from the
//!   answers to the chunks in flight. Otherwise that count is too low, every window looks like a
//!   gap, and the answers to the resent chunks keep the count too low.
//! - Missing or repeated inputs: if a chunk or an answer is lost, the count does not fall to zero,
//!   and a stall makes the leader resend; no gap is detected until the follower has more bytes than
//!   had been sent by then. Chunks that seem lost at a stall may still be answered, so they stay
//!   counted. A lost answer stays overdue for [`MAX_OVERDUE_ROUNDS`] and conceals one gap at most;
//!   answers without progress still show a missing chunk. A duplicated answer makes the count too
//!   low by one chunk, until the follower has more bytes than had been sent by then.

/// Answers that are overdue for this many heartbeat rounds count as lost: that is the default
/// election timeout, and a path with a longer delay is of no use to a leader.
const MAX_OVERDUE_ROUNDS: u32 = 10;

/// ChunkAnswers counts the unanswered chunks of one snapshot transfer.
#[derive(Debug, Default)]
pub(crate) struct ChunkAnswers {
    /// Number of chunks that were sent and not answered, without those that are overdue.
    outstanding: usize,
    /// Number of unanswered copies of chunks that the follower no longer lacks. Their answers are
    /// late or were lost.
    overdue: usize,
    /// Number of answers without progress since the last progress.
    without_progress: usize,
    /// Number of heartbeat rounds since `overdue` last increased.
    overdue_rounds: u32,
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

    /// Records an answer that acknowledges more than before.
    pub(crate) fn on_progress(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.without_progress = 0;
    }

    /// Records an answer that acknowledges nothing new. Returns whether it is taken for an overdue
    /// one, which says nothing about the chunks in flight.
    pub(crate) fn on_answer_without_progress(&mut self) -> bool {
        self.without_progress += 1;
        let is_overdue = self.overdue > 0;
        if is_overdue {
            self.overdue -= 1;
        } else {
            self.outstanding = self.outstanding.saturating_sub(1);
        }
        is_overdue
    }

    /// Returns whether there were as many answers without progress since the last progress as
    /// chunks behind the first of the `unacknowledged` ones: that one is missing.
    pub(crate) fn is_first_missing(&self, unacknowledged: usize) -> bool {
        self.without_progress + 1 >= unacknowledged
    }

    /// Records the start of a heartbeat round.
    pub(crate) fn on_heartbeat_round(&mut self) {
        self.overdue_rounds = self.overdue_rounds.saturating_add(1);
        if self.overdue_rounds >= MAX_OVERDUE_ROUNDS {
            self.overdue = 0;
        }
    }

    /// Records that an answer acknowledged nothing new, or that the leader resends chunks. The next
    /// chunk began at `next_offset`.
    pub(crate) fn on_out_of_order(&mut self, next_offset: u64) {
        self.out_of_order_through = Some(next_offset);
    }

    /// Records that the follower has `received` bytes, and that `unacknowledged` of the sent chunks
    /// lie beyond them. Once the follower has more bytes than had been sent at the last
    /// `on_out_of_order`, the unacknowledged chunks are unanswered, and any other answers overdue.
    pub(crate) fn on_received(&mut self, received: u64, unacknowledged: usize) {
        let passed_offset = self
            .out_of_order_through
            .take_if(|through| received > *through);
        if passed_offset.is_none() {
            return;
        }
        let newly_overdue = self.outstanding.saturating_sub(unacknowledged);
        if newly_overdue > 0 {
            self.overdue += newly_overdue;
            self.overdue_rounds = 0;
        }
        self.outstanding = unacknowledged;
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
