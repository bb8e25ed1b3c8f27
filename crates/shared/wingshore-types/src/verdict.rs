//! The verdict that every error carries: whether the request may have been executed.

use serde::{Deserialize, Serialize};

/// Whether a failed request was executed, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and will not: no byte was sent to a back end, or the back end
    /// reported that it did not run the request.
    NotRun,
    /// The request may have run, may be running, or may still run.
    MayHaveRun,
    /// The request ran; the answer was lost or is an error of the back end.
    Ran,
}

impl Verdict {
    /// Returns whether a request that must not be repeated may be retried.
    pub fn allows_retry_of_no_repeat(self) -> bool {
        self == Self::NotRun
    }

    /// Combines the verdicts of two attempts of a request: returns `Ran` if either is, else
    /// `MayHaveRun` if either is, else `NotRun`.
    pub fn worse(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

/// Response body of an error: `{"error":{…}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The details of the error.
    pub error: ErrorDetail,
}

/// The details of an error that is returned to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable machine-readable code, for instance `no_capacity`.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable description of the error, its location and the accepted values.
    pub message: String,
    /// Time after which to retry, in milliseconds; absent if a retry is pointless.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
