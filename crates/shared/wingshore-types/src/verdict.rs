//! Whether a request may have run: the verdict that every error carries.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It did not run and will not: no byte left for a back end, or the back end reported so itself.
    NotRun,
    /// It may have run, may be running, or may still run.
    MayHaveRun,
    /// It ran; the answer is lost or is an error of the back end itself.
    Ran,
}

impl Verdict {
    /// Whether a request that must not be repeated may be sent again.
    pub fn allows_retry_of_no_repeat(self) -> bool {
        self == Self::NotRun
    }

    /// The verdict of two attempts of one request: the one that admits more execution.
    pub fn worse(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

/// Body of an error answer: `{"error":{…}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// One error as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable machine-readable code, for instance `no_capacity`.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong, where, and what is allowed.
    pub message: String,
    /// When asking again makes sense, in milliseconds; absent where it never does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
