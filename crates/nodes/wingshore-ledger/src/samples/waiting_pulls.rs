//! Pulls that wait on the leader until their samples are ready.
//!
//! A pull waits for the time it requests, at most [`MAX_PULL_WAIT`], and is then refused with the
//! number of ready samples. It is answered immediately when its step is recorded, when waiting
//! cannot help, or when [`MAX_WAITING_PULLS`] already wait. Waiting pulls are held in the leader's
//! memory only: the trainer pulls again after a leader change.

use super::command::Operation;
use super::leader::{LedgerLeader, Outputs, Waiter, refuse, reply};
use super::pool::PoolLedger;
use super::pulls::{PullStatus, not_ready, partial_batch};
use super::state::LedgerState;
use std::time::Duration;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::ledger::{Batch, LedgerRefusal, LedgerReply, PullRequest};
use wingshore_types::{Instant, PoolId, StepId};

/// Maximum waiting time of a pull, regardless of the time it requests.
const MAX_PULL_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of pulls that wait at once; further ones are refused immediately.
const MAX_WAITING_PULLS: usize = 256;

/// Pull that waits for enough ready samples.
#[derive(Debug)]
pub(super) struct WaitingPull {
    tag: RequestTag,
    pool: PoolId,
    pull: PullRequest,
    deadline: Instant,
}

impl LedgerLeader {
    pub(super) fn enqueue_pull(
        &mut self,
        now: Instant,
        tag: RequestTag,
        pool: PoolId,
        pull: PullRequest,
        out: &mut Outputs,
    ) {
        if self.waiting_pulls.len() >= MAX_WAITING_PULLS {
            return refuse(tag, not_ready(0), out);
        }
        let wait = Duration::from_millis(pull.wait_ms).min(MAX_PULL_WAIT);
        self.waiting_pulls.push(WaitingPull {
            tag,
            pool,
            pull,
            deadline: now + wait,
        });
    }

    /// Answers the pulls that can be answered now and proposes the operations that the others need.
    pub(super) fn advance_pulls(&mut self, now: Instant, state: &LedgerState, out: &mut Outputs) {
        for waiting in std::mem::take(&mut self.waiting_pulls) {
            let Some(pool) = state.pool(&waiting.pool) else {
                refuse(waiting.tag, LedgerRefusal::UnknownPool, out);
                continue;
            };
            if let Some(answer) = self.advance_pull(now, &waiting, pool, out) {
                reply(waiting.tag, answer, out);
            } else {
                self.waiting_pulls.push(waiting);
            }
        }
    }

    fn advance_pull(
        &mut self,
        now: Instant,
        waiting: &WaitingPull,
        pool: &PoolLedger,
        out: &mut Outputs,
    ) -> Option<LedgerReply> {
        match pool.pull_status(&waiting.pull) {
            Err(refusal) => Some(LedgerReply::Refused(refusal)),
            Ok(PullStatus::Recorded(_)) if self.faults.forget_handover => {
                Some(self.answer_with_new_batch(waiting, pool, out))
            }
            Ok(PullStatus::Recorded(batch)) => Some(first_part(batch)),
            Ok(PullStatus::NewerVersion) => {
                self.propose_version(waiting, out);
                None
            }
            Ok(PullStatus::Ready) => {
                self.propose_hand_over(waiting, out);
                let early = self.faults.answer_before_commit;
                early.then(|| first_part(&pool.preview_batch(&waiting.pull)))
            }
            Ok(PullStatus::Waiting { ready }) if now >= waiting.deadline => {
                Some(LedgerReply::Refused(not_ready(ready)))
            }
            Ok(PullStatus::Waiting { .. }) => None,
        }
    }

    fn propose_version(&mut self, waiting: &WaitingPull, out: &mut Outputs) {
        let version = waiting.pull.weight_version;
        let proposed = self.proposed_versions.get(&waiting.pool);
        if proposed.is_some_and(|newest| *newest >= version) {
            return;
        }
        self.proposed_versions.insert(waiting.pool.clone(), version);
        let operation = Operation::ObserveVersion {
            pool: waiting.pool.clone(),
            version,
        };
        self.enqueue(operation, Waiter::Version, out);
    }

    fn propose_hand_over(&mut self, waiting: &WaitingPull, out: &mut Outputs) {
        if !self.proposed_hand_overs.insert(waiting.pool.clone()) {
            return;
        }
        let operation = Operation::HandOver {
            pool: waiting.pool.clone(),
            pull: waiting.pull.clone(),
        };
        let waiter = Waiter::HandOver(waiting.pool.clone(), waiting.pull.step);
        self.enqueue(operation, waiter, out);
    }

    /// Injected fault [`super::Faults::forget_handover`]: answers with other samples for the same
    /// step.
    fn answer_with_new_batch(
        &mut self,
        waiting: &WaitingPull,
        pool: &PoolLedger,
        out: &mut Outputs,
    ) -> LedgerReply {
        self.propose_hand_over(waiting, out);
        first_part(&pool.preview_batch(&waiting.pull))
    }

    /// Refuses the waiting pulls of a step whose hand-over was refused as invalid. After any other
    /// reply they continue to wait.
    pub(super) fn refuse_pulls(
        &mut self,
        pool: &PoolId,
        step: StepId,
        answer: LedgerReply,
        out: &mut Outputs,
    ) {
        if !matches!(answer, LedgerReply::Refused(LedgerRefusal::Invalid { .. })) {
            return;
        }
        let of_step =
            |waiting: &mut WaitingPull| waiting.pool == *pool && waiting.pull.step == step;
        for waiting in self.waiting_pulls.extract_if(.., of_step) {
            reply(waiting.tag, answer.clone(), out);
        }
    }
}

fn first_part(batch: &Batch) -> LedgerReply {
    LedgerReply::Batch(Box::new(partial_batch(batch, 0)))
}
