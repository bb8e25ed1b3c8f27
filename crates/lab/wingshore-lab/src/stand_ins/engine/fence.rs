//! Fencing of orders: only those above the highest seen are taken, and the same order again gets
//! its first answer.

use std::collections::BTreeMap;
use wingshore_types::platform::{FencedReply, OrderFence};

/// How many answers are kept for orders that come again.
const ANSWERS_KEPT: usize = 1024;

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Taken; it will be carried out.
    Accepted,
    /// Not above the highest order seen.
    Fenced(FencedReply),
}

/// What the fence says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// The answer.
    pub answer: OrderAnswer,
    /// Whether the answer was given before; then nothing is to be done.
    pub repeated: bool,
}

/// Remembers the orders an engine has seen since its start.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: OrderFence,
    last_accepted: Option<OrderFence>,
    answers: BTreeMap<OrderFence, OrderAnswer>,
}

impl Fence {
    /// Judges an order and remembers the answer.
    pub fn judge(&mut self, fence: OrderFence) -> Judgement {
        if let Some(answer) = self.answers.get(&fence) {
            return Judgement {
                answer: *answer,
                repeated: true,
            };
        }
        let answer = self.first_answer(fence);
        self.remember(fence, answer);
        Judgement {
            answer,
            repeated: false,
        }
    }

    /// The last order that was taken.
    pub fn last_accepted(&self) -> Option<OrderFence> {
        self.last_accepted
    }

    fn first_answer(&mut self, fence: OrderFence) -> OrderAnswer {
        if fence > self.highest {
            self.highest = fence;
            self.last_accepted = Some(fence);
            return OrderAnswer::Accepted;
        }
        OrderAnswer::Fenced(FencedReply {
            highest_epoch: self.highest.epoch,
            highest_sequence: self.highest.sequence,
        })
    }

    fn remember(&mut self, fence: OrderFence, answer: OrderAnswer) {
        self.answers.insert(fence, answer);
        if self.answers.len() > ANSWERS_KEPT {
            self.answers.pop_first();
        }
    }
}
