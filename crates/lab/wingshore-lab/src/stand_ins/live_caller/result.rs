//! What came of one request of a live caller.

use crate::events::ReceivedCompletion;
use std::time::Duration;
use wingshore_types::{ErrorBody, Verdict};

/// What came of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallResult {
    /// HTTP status; 0 when there was no whole answer.
    pub status: u16,
    /// The verdict of an error.
    pub verdict: Option<Verdict>,
    /// Hash of the body, or of a completion's tokens.
    pub answer_hash: u64,
    /// Whether the answer, good or bad, was whole.
    pub whole: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// A whole completion.
    pub completion: Option<ReceivedCompletion>,
}

impl CallResult {
    /// Whether nothing is gained by sending a keyed charge again.
    pub fn is_final(&self) -> bool {
        self.whole && (self.status == 200 || self.verdict == Some(Verdict::Ran))
    }
}

/// The verdict of an error answer; none of any other answer.
pub fn verdict_of(body: &[u8]) -> Option<Verdict> {
    let error: ErrorBody = serde_json::from_slice(body).ok()?;
    Some(error.error.verdict)
}
