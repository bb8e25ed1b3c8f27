//! What goes into and comes out of [`super::core::EngineCore`].

use super::fence::Judgement;
use std::time::Duration;
use wingshore_types::platform::{EngineCompletionRequest, EngineOrder, EngineStreamEvent};
use wingshore_types::{Token, WeightVersion};

/// What reaches the engine.
#[derive(Clone, Debug)]
pub enum EngineInput {
    /// Time has passed.
    Tick,
    /// A completion is asked for.
    Submit(EngineCompletionRequest),
    /// The attempt is not wanted any more, or its caller is gone.
    Cancel {
        /// The attempt.
        request_id: String,
    },
    /// An order from the control group.
    Order(EngineOrder),
    /// A fetch asked for by [`EngineOutput::FetchWeights`] has ended.
    WeightsFetched {
        /// The version.
        version: WeightVersion,
        /// Whether it is whole.
        succeeded: bool,
    },
    /// A fault is switched on.
    Fault(EngineFault),
}

/// Failure switches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// Nothing happens for a while.
    Freeze(Duration),
    /// The next swap fails partway: the version is then unknown.
    FailNextSwap,
    /// Steps take this many thousandths of their time; 1000 is normal.
    StepTime(u32),
}

impl EngineFault {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Freeze(_) => "freeze",
            Self::FailNextSwap => "fail_next_swap",
            Self::StepTime(_) => "slow",
        }
    }
}

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// A swap failed partway and took its cache with it.
    WeightsLost,
}

impl DropReason {
    /// Its name in errors and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Deadline => "deadline",
            Self::WeightsLost => "weights_lost",
        }
    }
}

/// What the engine asks of its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOutput {
    /// The attempt waits or runs.
    Started {
        /// The attempt.
        request_id: String,
    },
    /// The attempt did not run and will not.
    RefusedNotRun {
        /// The attempt.
        request_id: String,
        /// Why.
        reason: &'static str,
    },
    /// An event of the attempt's stream.
    Event {
        /// The attempt.
        request_id: String,
        /// The event.
        event: EngineStreamEvent,
    },
    /// The attempt is whole; follows its last event.
    Finished {
        /// The attempt, with all its tokens.
        sequence: FinishedSequence,
    },
    /// The attempt ended without a whole answer.
    Dropped {
        /// The attempt.
        request_id: String,
        /// Why.
        reason: DropReason,
    },
    /// The answer to an order.
    OrderAnswered {
        /// The order.
        order: EngineOrder,
        /// The answer.
        judgement: Judgement,
    },
    /// The driver fetches a version and reports [`EngineInput::WeightsFetched`].
    FetchWeights {
        /// The version.
        version: WeightVersion,
        /// Where from.
        source: String,
    },
    /// The version in force changed; `None` is unknown.
    VersionInForce(Option<WeightVersion>),
}

/// A whole generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedSequence {
    /// The attempt.
    pub request_id: String,
    /// Hash of the prompt.
    pub prompt_hash: u64,
    /// Seed.
    pub seed: u64,
    /// All generated tokens.
    pub tokens: Vec<Token>,
}
