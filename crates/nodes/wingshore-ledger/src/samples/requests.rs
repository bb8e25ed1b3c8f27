//! Mapping of requests to a ledger group: the pool, an answer that needs no log entry, or the log
//! operation.

use super::command::Operation;
use super::pool::PoolLedger;
use wingshore_types::PoolId;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};

/// Returns the pool of a request.
pub(super) fn request_pool(request: &LedgerRequest) -> &PoolId {
    match request {
        LedgerRequest::Configure { pool, .. }
        | LedgerRequest::Submit { pool, .. }
        | LedgerRequest::Lease { pool, .. }
        | LedgerRequest::Renew { pool, .. }
        | LedgerRequest::Return { pool, .. }
        | LedgerRequest::Finish { pool, .. }
        | LedgerRequest::Unscored { pool, .. }
        | LedgerRequest::Score { pool, .. }
        | LedgerRequest::Pull { pool, .. }
        | LedgerRequest::BatchPart { pool, .. }
        | LedgerRequest::Acknowledge { pool, .. }
        | LedgerRequest::Counts { pool } => pool,
    }
}

/// Returns the answer to a request that would not change the state and needs no log entry.
pub(super) fn answer_from_state(request: &LedgerRequest, pool: &PoolLedger) -> Option<LedgerReply> {
    match request {
        LedgerRequest::Submit { prompts, .. } => pool.answer_submission(prompts),
        LedgerRequest::Lease {
            node,
            boot_id,
            most,
            ..
        } => {
            let changes = pool.lease_changes_state(node, *boot_id, *most);
            (!changes).then(|| LedgerReply::Leases(Vec::new()))
        }
        LedgerRequest::Return { lease, .. } => {
            (!pool.is_active(*lease)).then_some(LedgerReply::Done)
        }
        LedgerRequest::Score { sample, lease, .. } => {
            (!pool.awaits_score(*sample, *lease)).then_some(LedgerReply::First(false))
        }
        LedgerRequest::BatchPart {
            trainer,
            step,
            from,
            ..
        } => Some(match pool.batch_part(trainer, *step, *from) {
            Ok(part) => LedgerReply::Batch(Box::new(part)),
            Err(refusal) => LedgerReply::Refused(refusal),
        }),
        LedgerRequest::Acknowledge { trainer, step, .. } => {
            let repeated = pool.is_acknowledged(*step) && *trainer == pool.settings().trainer;
            repeated.then_some(LedgerReply::Done)
        }
        _ => None,
    }
}

/// Returns the log operation of a request, if the request maps directly to one.
pub(super) fn operation_for(request: LedgerRequest) -> Option<Operation> {
    match request {
        LedgerRequest::Submit { pool, prompts } => Some(Operation::Submit { pool, prompts }),
        LedgerRequest::Acknowledge {
            pool,
            trainer,
            step,
        } => Some(Operation::Acknowledge {
            pool,
            trainer,
            step,
        }),
        LedgerRequest::Lease { .. }
        | LedgerRequest::Return { .. }
        | LedgerRequest::Finish { .. }
        | LedgerRequest::Score { .. } => operation_for_node_request(request),
        LedgerRequest::Configure { .. }
        | LedgerRequest::Renew { .. }
        | LedgerRequest::Unscored { .. }
        | LedgerRequest::Pull { .. }
        | LedgerRequest::BatchPart { .. }
        | LedgerRequest::Counts { .. } => None,
    }
}

/// Returns the log operation of a node's request about its leases.
fn operation_for_node_request(request: LedgerRequest) -> Option<Operation> {
    let operation = match request {
        LedgerRequest::Lease {
            pool,
            node,
            boot_id,
            most,
        } => Operation::Lease {
            pool,
            node,
            boot_id,
            most,
        },
        LedgerRequest::Return {
            pool,
            lease,
            partial,
        } => Operation::Return {
            pool,
            lease,
            partial,
        },
        LedgerRequest::Finish {
            pool,
            sample,
            lease,
            generation,
        } => Operation::Finish {
            pool,
            sample,
            lease,
            generation,
        },
        LedgerRequest::Score {
            pool,
            sample,
            lease,
            score,
        } => Operation::Score {
            pool,
            sample,
            lease,
            score,
        },
        _ => return None,
    };
    Some(operation)
}
