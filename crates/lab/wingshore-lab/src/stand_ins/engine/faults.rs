//! `POST /lab/faults` on an engine.

use serde::{Deserialize, Serialize};

/// Body of `POST /lab/faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultRequest {
    /// The next swap fails partway; the version is then unknown.
    FailNextSwap,
}
