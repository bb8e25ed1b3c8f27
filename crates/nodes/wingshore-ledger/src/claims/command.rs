//! Log entries of a claims group.

use serde::{Deserialize, Serialize};
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsRequest};

/// A log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsCommand {
    /// Time since the previous command of the same leader, in milliseconds. Committed time is the
    /// sum of these durations, so clocks of different leaders are never compared.
    pub elapsed_ms: u64,
    /// Claims and settlements, in the order in which they are applied.
    pub requests: Vec<ClaimsRequest>,
}

/// Returns the estimated size of a request in the log, in bytes.
pub(super) fn estimated_bytes(request: &ClaimsRequest) -> usize {
    /// Estimated size of a request in bytes without its key and answer: identifiers, time, framing.
    const FIXED: usize = 64;
    let (key, answer) = match request {
        ClaimsRequest::Claim { key, .. } => (key, 0),
        ClaimsRequest::Settle { key, outcome, .. } => (key, answer_bytes(outcome)),
    };
    FIXED + key.service.len() + key.key.len() + answer
}

fn answer_bytes(outcome: &ClaimOutcome) -> usize {
    match outcome {
        ClaimOutcome::Answered(Some(answer)) => answer.body.len() + answer.content_type.len(),
        _ => 0,
    }
}
