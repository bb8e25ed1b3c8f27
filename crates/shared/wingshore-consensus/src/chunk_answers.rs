//! Answers to the chunks of a snapshot: when does a follower lack some of what was sent, although nothing is
//! under way any more?
//!
//! - Inputs: each chunk that is sent, each answer, how much the follower has.
//! - Rule: once as many answers have come as chunks were sent, and one of them brought no news or the leader went
//!   back, what the follower lacks is a gap. It is found once for each acknowledged byte.
//! - Why: a follower of an older build drops each chunk that is not the next one, and answers each. One that has
//!   restarted lacks all; without the bound it would be sent a window for each answer.
//! - Old or missing inputs: where a chunk or an answer is lost the count does not fall to zero, and a stall lets the
//!   leader go back; until the follower has more than was sent by then no gap is found. What seems lost at a stall may still be
//!   answered, so that it stays counted: a count that is too low makes each window look like a gap. An answer that
//!   comes twice does that for one chunk, until the follower has more than was sent by then.

/// Counts the answers to the chunks of one snapshot.
#[derive(Debug, Default)]
pub(crate) struct ChunkAnswers {
    /// Chunks that were sent and not answered.
    outstanding: usize,
    /// Where the next chunk began at the last disorder: until the follower has more, some of what was sent
    /// may have been dropped for its order.
    out_of_order_through: Option<u64>,
    /// Bytes the follower had when a gap was found last.
    gap_found_at: Option<u64>,
}

impl ChunkAnswers {
    /// A chunk is sent.
    pub(crate) fn on_sent(&mut self) {
        self.outstanding += 1;
    }

    /// An answer has come.
    pub(crate) fn on_answer(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// An answer brought no news, or the leader goes back; the next chunk began at `next_offset`.
    pub(crate) fn on_out_of_order(&mut self, next_offset: u64) {
        self.out_of_order_through = Some(next_offset);
    }

    /// The follower has `received` bytes, and `unacknowledged` of the chunks that were sent are behind them. Once
    /// it has more than was sent at the last disorder, those are what is not answered.
    pub(crate) fn on_received(&mut self, received: u64, unacknowledged: usize) {
        let settled = self
            .out_of_order_through
            .take_if(|through| received > *through);
        if settled.is_some() {
            self.outstanding = unacknowledged;
        }
    }

    /// Whether the follower, which has `received` bytes of the first `sent`, lacks some for a gap that was not
    /// found before.
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
