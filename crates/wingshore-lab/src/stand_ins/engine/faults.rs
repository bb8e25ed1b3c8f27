//! `POST /lab/faults` on an engine.

use super::messages::EngineFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Body of `POST /lab/faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultRequest {
    /// The process dies at once.
    Crash,
    /// Nothing is answered for a while.
    Freeze {
        /// How long, in milliseconds.
        milliseconds: u64,
    },
    /// The next swap fails partway; the version is then unknown.
    FailNextSwap,
    /// Steps take longer, or their normal time again.
    Slow {
        /// Thousandths of the normal step time.
        step_time_permille: u32,
    },
}

impl FaultRequest {
    /// The fault for the core; `None` ends the process.
    pub fn core_fault(self) -> Option<EngineFault> {
        match self {
            Self::Crash => None,
            Self::Freeze { milliseconds } => {
                Some(EngineFault::Freeze(Duration::from_millis(milliseconds)))
            }
            Self::FailNextSwap => Some(EngineFault::FailNextSwap),
            Self::Slow { step_time_permille } => Some(EngineFault::StepTime(step_time_permille)),
        }
    }

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Freeze { .. } => "freeze",
            Self::FailNextSwap => "fail_next_swap",
            Self::Slow { .. } => "slow",
        }
    }
}
