//! Requests of an execution to the claims group that owns its idempotency key.

use crate::messages::ExecutionOutput;
use crate::specification::ClaimIntent;
use wingshore_types::Verdict;
use wingshore_types::protocol::claims::{ClaimOutcome, ClaimsRequest};

/// Returns the output that claims the key; the claim must be granted before the first byte is sent.
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

/// Returns the output that settles the claim with `outcome`.
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

/// Returns the outcome of a claim whose request failed. The key is released only if no attempt can
/// have run.
pub(crate) fn outcome_of_verdict(verdict: Verdict) -> ClaimOutcome {
    match verdict {
        Verdict::NotRun => ClaimOutcome::NotRun,
        Verdict::MayHaveRun => ClaimOutcome::Unknown,
        Verdict::Ran => ClaimOutcome::Answered(None),
    }
}
