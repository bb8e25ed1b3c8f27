//! What an execution asks of the claims group that holds its idempotency key.

use crate::messages::ExecutionOutput;
use crate::specification::ClaimIntent;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsRequest};

/// The claim of the key, to be granted before the first byte leaves.
pub(crate) fn claim_output(claim: &ClaimIntent) -> ExecutionOutput {
    ExecutionOutput::Claim {
        group: claim.group,
        request: ClaimsRequest::Claim {
            key: claim.key.clone(),
            fingerprint: claim.fingerprint,
            claimant: claim.claimant.clone(),
        },
    }
}

/// The report of how the claim ended.
pub(crate) fn settle_output(claim: &ClaimIntent, outcome: ClaimOutcome) -> ExecutionOutput {
    ExecutionOutput::Settle {
        group: claim.group,
        request: ClaimsRequest::Settle {
            key: claim.key.clone(),
            claimant: claim.claimant.clone(),
            outcome,
        },
    }
}

/// How a claim ends whose request was given up: the key is freed only when no attempt can have run.
pub(crate) fn outcome_of_verdict(verdict: Verdict) -> ClaimOutcome {
    match verdict {
        Verdict::NotRun => ClaimOutcome::NotRun,
        Verdict::MayHaveRun => ClaimOutcome::Unknown,
        Verdict::Ran => ClaimOutcome::Answered(None),
    }
}
