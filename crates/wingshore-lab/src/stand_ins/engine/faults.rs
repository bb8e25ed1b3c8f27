//! `POST /lab/faults` on an engine.

use super::messages::EngineFault;
use serde::{Deserialize, Serialize};

/// Body of `POST /lab/faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultRequest {
    /// The next swap fails partway; the version is then unknown.
    FailNextSwap,
}

impl FaultRequest {
    /// The fault for the core.
    pub fn core_fault(self) -> EngineFault {
        match self {
            Self::FailNextSwap => EngineFault::FailNextSwap,
        }
    }

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::FailNextSwap => "fail_next_swap",
        }
    }
}
