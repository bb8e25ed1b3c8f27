//! What stands in the log of a claims group.

use serde::{Deserialize, Serialize};
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsRequest};

/// One entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsCommand {
    /// Time that has passed since this leader's earlier command, in milliseconds. Only durations
    /// are added up, so that no two leaders' clocks are ever compared.
    pub elapsed_ms: u64,
    /// Claims and settlements, in order.
    pub requests: Vec<ClaimsRequest>,
}

/// About how many bytes a request takes in the log.
pub(super) fn estimated_bytes(request: &ClaimsRequest) -> usize {
    /// Bytes of a request besides its key and answer: identifiers, time and framing; an estimate.
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
