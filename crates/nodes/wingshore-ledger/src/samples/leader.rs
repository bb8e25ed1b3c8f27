//! Leader of a ledger group.

use super::command::{LedgerCommand, Operation, PoolSettings};
use super::depth::GenerationDepth;
use super::faults::Faults;
use super::lease_clock::LeaseClock;
use super::pool::{FULL_RETRY_AFTER_MS, PoolLedger};
use super::requests::{answer_from_state, operation_for, request_pool};
use super::scoring::ScoringOffers;
use super::state::LedgerState;
use super::waiting_pulls::WaitingPull;
use crate::batching::ProposalQueue;
use crate::{NoEffect, NoEvent};
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, RequestTag,
};
use wingshore_types::protocol::ledger::{LedgerRefusal, LedgerReply, LedgerRequest};
use wingshore_types::{Epoch, Instant, LeaseId, PoolId, StepId, WeightVersion};

pub(super) type Outputs = LeaderOutputs<LedgerLeader>;

/// What to do when an operation is applied.
#[derive(Debug)]
pub(super) enum Waiter {
    Client(RequestTag),
    /// Sender of a lease request: the durations of the granted leases start when it is applied.
    LeaseClient(RequestTag, PoolId),
    Expiry(PoolId, Vec<LeaseId>),
    HandOver(PoolId, StepId),
    Version,
}

/// Leader state machine of a ledger group.
#[derive(Debug, Default)]
pub struct LedgerLeader {
    queue: ProposalQueue<Operation, Waiter>,
    lease_clock: LeaseClock,
    offers: ScoringOffers,
    depth: GenerationDepth,
    pub(super) waiting_pulls: Vec<WaitingPull>,
    /// Pools with a hand-over that is queued or proposed and not applied yet.
    pub(super) proposed_hand_overs: BTreeSet<PoolId>,
    /// Newest trainer version of each pool that is queued or proposed and not applied yet.
    pub(super) proposed_versions: BTreeMap<PoolId, WeightVersion>,
    pub(super) faults: Faults,
}

impl LedgerLeader {
    /// Creates a leader with injected faults; for tests only.
    pub fn with_faults(faults: Faults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Sets the injected faults; for tests only.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    fn handle(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: LedgerRequest,
        state: &LedgerState,
        out: &mut Outputs,
    ) {
        let known = state.pool(request_pool(&request));
        match (request, known) {
            (request @ LedgerRequest::Configure { .. }, _) => {
                self.configure(tag, request, known, out);
            }
            (_, None) => refuse(tag, LedgerRefusal::UnknownPool, out),
            (LedgerRequest::Renew { pool, leases }, Some(ledger)) => {
                let lost = self.renew(now, &pool, ledger, leases);
                reply(tag, LedgerReply::Lost(lost), out);
            }
            (LedgerRequest::Unscored { pool, most }, Some(ledger)) => {
                let offered = self.offers.offer(now, &pool, ledger, most);
                reply(tag, LedgerReply::Unscored(offered), out);
            }
            (LedgerRequest::Counts { .. }, Some(ledger)) => {
                reply(tag, LedgerReply::Counts(ledger.counts()), out);
            }
            (LedgerRequest::Pull { pool, pull }, Some(_)) => {
                self.depth.record_step_size(&pool, pull.count);
                self.enqueue_pull(now, tag, pool, pull, out);
            }
            (mut request, Some(ledger)) => {
                if let LedgerRequest::Lease { pool, most, .. } = &mut request {
                    *most = (*most).min(self.depth.max_new_leases(pool, ledger));
                }
                self.answer_or_enqueue(tag, request, ledger, out);
            }
        }
    }

    fn answer_or_enqueue(
        &mut self,
        tag: RequestTag,
        request: LedgerRequest,
        ledger: &PoolLedger,
        out: &mut Outputs,
    ) {
        match answer_from_state(&request, ledger) {
            Some(answer) => reply(tag, answer, out),
            None => self.enqueue_request(tag, request, out),
        }
    }

    fn configure(
        &mut self,
        tag: RequestTag,
        request: LedgerRequest,
        known: Option<&PoolLedger>,
        out: &mut Outputs,
    ) {
        let LedgerRequest::Configure {
            pool,
            revision,
            staleness_bound,
            max_open_samples,
            sample_lease_ms,
            idle_weight,
            trainer,
        } = request
        else {
            return;
        };
        if known.is_some_and(|ledger| ledger.settings().revision >= revision) {
            return reply(tag, LedgerReply::Done, out);
        }
        let settings = PoolSettings {
            revision,
            staleness_bound,
            max_open_samples,
            sample_lease_ms,
            idle_weight,
            trainer,
        };
        let operation = Operation::Configure { pool, settings };
        self.enqueue(operation, Waiter::Client(tag), out);
    }

    fn enqueue_request(&mut self, tag: RequestTag, request: LedgerRequest, out: &mut Outputs) {
        let Some(operation) = operation_for(request) else {
            return;
        };
        let waiter = match &operation {
            Operation::Lease { pool, .. } => Waiter::LeaseClient(tag, pool.clone()),
            _ => Waiter::Client(tag),
        };
        self.enqueue(operation, waiter, out);
    }

    pub(super) fn enqueue(&mut self, operation: Operation, waiter: Waiter, out: &mut Outputs) {
        let bytes = operation.estimated_bytes();
        let Err(refused) = self.queue.push(operation, bytes, waiter) else {
            return;
        };
        match refused {
            Waiter::Client(tag) | Waiter::LeaseClient(tag, _) => refuse(
                tag,
                LedgerRefusal::Full {
                    retry_after_ms: FULL_RETRY_AFTER_MS,
                },
                out,
            ),
            // The operations below are proposed again at a later tick.
            Waiter::Expiry(pool, leases) => self.lease_clock.postpone(&pool, &leases),
            Waiter::HandOver(pool, _) => {
                self.proposed_hand_overs.remove(&pool);
            }
            Waiter::Version => self.proposed_versions.clear(),
        }
    }

    fn renew(
        &mut self,
        now: Instant,
        id: &PoolId,
        pool: &PoolLedger,
        leases: Vec<LeaseId>,
    ) -> Vec<LeaseId> {
        let duration_ms = pool.settings().sample_lease_ms;
        let mut lost = Vec::new();
        for lease in leases {
            if pool.is_active(lease) && !self.lease_clock.is_expiring(id, lease) {
                self.lease_clock.start(now, id, lease, duration_ms);
            } else {
                lost.push(lease);
            }
        }
        lost
    }

    fn expire_due(&mut self, now: Instant, state: &LedgerState, out: &mut Outputs) {
        for (id, due) in self.lease_clock.take_due(now) {
            let is_active = |lease: &LeaseId| {
                let pool = state.pool(&id);
                pool.is_some_and(|pool| pool.is_active(*lease))
            };
            let (active, ended): (Vec<_>, Vec<_>) = due.into_iter().partition(is_active);
            self.lease_clock.clear_expiring(&id, &ended);
            if active.is_empty() {
                continue;
            }
            let operation = Operation::Expire {
                pool: id.clone(),
                leases: active.clone(),
            };
            self.enqueue(operation, Waiter::Expiry(id, active), out);
        }
    }

    fn complete_operation(
        &mut self,
        now: Instant,
        waiter: Waiter,
        answer: LedgerReply,
        out: &mut Outputs,
    ) {
        match waiter {
            Waiter::Client(tag) => reply(tag, answer, out),
            Waiter::LeaseClient(tag, pool) => {
                self.start_leases(now, &pool, &answer);
                reply(tag, answer, out);
            }
            Waiter::Expiry(pool, leases) => self.lease_clock.clear_expiring(&pool, &leases),
            Waiter::HandOver(pool, step) => {
                self.proposed_hand_overs.remove(&pool);
                self.refuse_pulls(&pool, step, answer, out);
            }
            Waiter::Version => {}
        }
    }

    fn start_leases(&mut self, now: Instant, pool: &PoolId, answer: &LedgerReply) {
        let LedgerReply::Leases(granted) = answer else {
            return;
        };
        for lease in granted {
            self.lease_clock
                .start(now, pool, lease.lease, lease.duration_ms);
        }
    }

    fn propose(&mut self, out: &mut Outputs) {
        while let Some(proposal) = self.queue.next_proposal() {
            let operations = proposal.operations;
            out.push(LeaderOutput::Propose {
                tag: proposal.tag,
                command: LedgerCommand { operations },
            });
        }
    }
}

impl LeaderMachine for LedgerLeader {
    type State = LedgerState;
    type Request = LedgerRequest;
    type Reply = LedgerReply;
    type Effect = NoEffect;
    type Event = NoEvent;

    fn on_leadership(
        &mut self,
        now: Instant,
        _epoch: Epoch,
        state: &LedgerState,
        _out: &mut Outputs,
    ) {
        *self = Self::with_faults(self.faults);
        for (id, pool) in state.pools() {
            let duration_ms = pool.settings().sample_lease_ms;
            for lease in pool.leases() {
                self.lease_clock.start(now, id, lease, duration_ms);
            }
        }
    }

    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: LedgerRequest,
        state: &LedgerState,
        out: &mut Outputs,
    ) {
        let is_pull = matches!(request, LedgerRequest::Pull { .. });
        self.handle(now, tag, request, state, out);
        if is_pull {
            self.advance_pulls(now, state, out);
        }
        self.propose(out);
    }

    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        replies: Vec<LedgerReply>,
        state: &LedgerState,
        out: &mut Outputs,
    ) {
        let waiters = self.queue.take_waiters(tag);
        for (waiter, answer) in waiters.into_iter().zip(replies) {
            self.complete_operation(now, waiter, answer, out);
        }
        self.proposed_versions.retain(|pool, version| {
            let known = state.pool(pool).map(PoolLedger::trainer_version);
            known.is_some_and(|known| known < *version)
        });
        self.advance_pulls(now, state, out);
        self.propose(out);
    }

    fn on_event(
        &mut self,
        _now: Instant,
        event: NoEvent,
        _state: &LedgerState,
        _out: &mut Outputs,
    ) {
        match event {}
    }

    fn on_tick(&mut self, now: Instant, state: &LedgerState, out: &mut Outputs) {
        self.expire_due(now, state, out);
        self.offers.prune(state.pools());
        self.advance_pulls(now, state, out);
        self.propose(out);
    }
}

pub(super) fn reply(tag: RequestTag, reply: LedgerReply, out: &mut Outputs) {
    out.push(LeaderOutput::Reply { tag, reply });
}

pub(super) fn refuse(tag: RequestTag, refusal: LedgerRefusal, out: &mut Outputs) {
    reply(tag, LedgerReply::Refused(refusal), out);
}
