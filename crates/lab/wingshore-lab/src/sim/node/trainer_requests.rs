//! Trainers' requests: submit, pull, acknowledge, publish.

use super::core::{GroupPurpose, NodeContext};
use crate::hashing::hash_bytes;
use crate::process::{Answer, Call};
use crate::sim::client::CallResult;
use crate::wiring::{InboundCall, failed, not_run};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::api::{BatchBody, SampleBody, SubmitReply};
use wingshore_types::configuration::Pool;
use wingshore_types::protocol::control::{ControlRefusal, ControlReply, ControlRequest};
use wingshore_types::protocol::ledger::{
    Batch, LedgerRefusal, LedgerReply, LedgerRequest, PullRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, IntentId, PoolId, Revision, StepId, Verdict};

/// How long a group is asked.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// One announcement of a pool is tried for this long.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a pull beyond the wait it asks for.
const PULL_MARGIN: Duration = Duration::from_secs(5);
/// When to ask again after a group did not answer.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a trainer's request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The pool is being announced to the ledger.
    Announcing,
    /// The group is asked.
    Asking,
}

/// One request in flight.
struct TrainerRequest {
    pool: Pool,
    revision: Revision,
    group: GroupId,
    body: GroupRequest,
    timeout: Duration,
    stage: Stage,
    was_unknown: bool,
}

/// The requests in flight, and which pools were announced to their ledgers.
#[derive(Default)]
pub struct TrainerRequests {
    open: BTreeMap<InboundCall, TrainerRequest>,
    announced: BTreeMap<PoolId, Pool>,
}

impl TrainerRequests {
    /// Whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes a trainer's call.
    pub fn on_call(&mut self, context: &mut NodeContext<'_>, caller: InboundCall, call: Call) {
        if let Err(refusal) = context.core.may_admit(context.now) {
            return caller.answer(refusal.answer(), context.out);
        }
        let Some((id, body, timeout)) = request_of(call) else {
            return caller.answer(not_run("not_found", None), context.out);
        };
        let configuration = context.core.configuration();
        let Some(pool) = configuration.pools.get(&id).cloned() else {
            return caller.answer(not_run("unknown_pool", Some(RETRY_AFTER)), context.out);
        };
        context.record_revision();
        let is_to_ledger = matches!(body, GroupRequest::Ledger(_));
        let request = TrainerRequest {
            group: if is_to_ledger {
                GroupId::Ledger(pool.ledger)
            } else {
                GroupId::Control
            },
            revision: configuration.revision,
            pool,
            body,
            timeout,
            stage: Stage::Asking,
            was_unknown: false,
        };
        if is_to_ledger && !self.is_announced(&request.pool) {
            self.announce(context, caller, request);
        } else {
            self.ask(context, caller, request);
        }
    }

    /// A group has answered, or not.
    pub fn on_result(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        result: CallResult,
    ) {
        let Some(mut request) = self.open.remove(&caller) else {
            return;
        };
        if request.stage == Stage::Announcing {
            if result == Ok(GroupReply::Ledger(LedgerReply::Done)) {
                let pool = request.pool.clone();
                self.announced.insert(pool.id.clone(), pool);
            }
            return self.ask(context, caller, request);
        }
        let unknown = GroupReply::Ledger(LedgerReply::Refused(LedgerRefusal::UnknownPool));
        if result == Ok(unknown) && !request.was_unknown {
            request.was_unknown = true;
            self.announced.remove(&request.pool.id);
            return self.announce(context, caller, request);
        }
        caller.answer(answer_of(result), context.out);
    }

    fn is_announced(&self, pool: &Pool) -> bool {
        let known = self.announced.get(&pool.id);
        known.is_some_and(|known| is_same_to_ledger(known, pool))
    }

    fn announce(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        mut request: TrainerRequest,
    ) {
        let pool = &request.pool;
        let body = GroupRequest::Ledger(LedgerRequest::Configure {
            pool: pool.id.clone(),
            revision: request.revision,
            staleness_bound: pool.staleness_bound,
            max_open_samples: pool.max_open_samples,
            sample_lease_ms: pool.sample_lease_ms,
            idle_weight: pool.idle_weight,
            trainer: pool.trainer.clone(),
        });
        let purpose = GroupPurpose::Trainer(caller);
        context.ask(request.group, body, ANNOUNCE_TIMEOUT, purpose);
        request.stage = Stage::Announcing;
        self.open.insert(caller, request);
    }

    fn ask(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        mut request: TrainerRequest,
    ) {
        let (body, purpose) = (request.body.clone(), GroupPurpose::Trainer(caller));
        context.ask(request.group, body, request.timeout, purpose);
        request.stage = Stage::Asking;
        self.open.insert(caller, request);
    }
}

/// What a trainer's call asks of a group, of which pool, and for how long.
fn request_of(call: Call) -> Option<(PoolId, GroupRequest, Duration)> {
    let (pool, request, timeout) = match call {
        Call::Submit { pool, body } => {
            let prompts = body.prompts;
            let id = pool.clone();
            (id, LedgerRequest::Submit { pool, prompts }, DEFAULT_TIMEOUT)
        }
        Call::Pull { pool, step, body } => {
            let pull = PullRequest {
                trainer: body.trainer,
                step: StepId(step),
                weight_version: body.weight_version,
                count: body.count,
                wait_ms: body.wait_ms,
            };
            let timeout = Duration::from_millis(body.wait_ms) + PULL_MARGIN;
            (pool.clone(), LedgerRequest::Pull { pool, pull }, timeout)
        }
        Call::Acknowledge { pool, step, body } => {
            let id = pool.clone();
            let request = LedgerRequest::Acknowledge {
                pool,
                trainer: body.trainer,
                step: StepId(step),
            };
            (id, request, DEFAULT_TIMEOUT)
        }
        Call::Publish { pool, body } => {
            let request = GroupRequest::Control(ControlRequest::Publish {
                intent_id: IntentId::of_publication(&pool, body.version),
                pool: pool.clone(),
                version: body.version,
            });
            return Some((pool, request, DEFAULT_TIMEOUT));
        }
        _ => return None,
    };
    Some((pool, GroupRequest::Ledger(request), timeout))
}

fn answer_of(result: CallResult) -> Answer {
    let reply = match result {
        Ok(reply) => reply,
        Err(verdict) => return refused(verdict, "group_unavailable", Some(RETRY_AFTER)),
    };
    match reply {
        GroupReply::Ledger(LedgerReply::Submitted { added, known }) => {
            Answer::Submitted(SubmitReply { added, known })
        }
        GroupReply::Ledger(LedgerReply::Batch(batch)) => batch_answer(*batch),
        GroupReply::Ledger(LedgerReply::Done) | GroupReply::Control(ControlReply::Published(_)) => {
            Answer::Done
        }
        GroupReply::Ledger(LedgerReply::Refused(refusal)) => ledger_refusal(&refusal),
        GroupReply::Control(ControlReply::Refused(refusal)) => control_refusal(&refusal),
        _ => failed("bad_answer"),
    }
}

/// What the ledger promises is checked once more before a trainer gets it.
fn batch_answer(batch: Batch) -> Answer {
    let is_sound = |sample: &wingshore_types::Sample| sample.generation.is_well_formed();
    if !batch.samples.iter().all(is_sound) {
        return refused(Verdict::Ran, "internal", None);
    }
    let samples = batch.samples.into_iter().map(|sample| SampleBody {
        number: sample.number,
        prompt: sample.prompt,
        tokens: sample.generation.tokens,
        segments: sample.generation.segments,
        score: sample.score,
    });
    let body = BatchBody {
        step: batch.step,
        weight_version: batch.weight_version,
        samples: samples.collect(),
    };
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let body_hash = hash_bytes(&bytes);
    Answer::Batch { body, body_hash }
}

fn ledger_refusal(refusal: &LedgerRefusal) -> Answer {
    let (code, retry_after) = match refusal {
        LedgerRefusal::UnknownPool => ("unknown_to_ledger", Some(RETRY_AFTER)),
        LedgerRefusal::Full { retry_after_ms } => ("ledger_full", after(*retry_after_ms)),
        LedgerRefusal::NotReady { retry_after_ms, .. } => ("not_ready", after(*retry_after_ms)),
        LedgerRefusal::WrongStep { .. } => ("wrong_step", None),
        LedgerRefusal::WrongTrainer { .. } => ("wrong_trainer", None),
        LedgerRefusal::Invalid { .. } => ("invalid_request", None),
    };
    refused(Verdict::NotRun, code, retry_after)
}

fn control_refusal(refusal: &ControlRefusal) -> Answer {
    let code = match refusal {
        ControlRefusal::Invalid { .. } => "invalid_request",
        ControlRefusal::Conflict { .. } => "conflict",
        ControlRefusal::UnknownPlan(_) | ControlRefusal::WrongState { .. } => "refused",
    };
    refused(Verdict::NotRun, code, None)
}

fn refused(verdict: Verdict, code: &str, retry_after: Option<Duration>) -> Answer {
    Answer::Refused {
        verdict,
        code: code.to_owned(),
        retry_after,
    }
}

fn after(milliseconds: u64) -> Option<Duration> {
    Some(Duration::from_millis(milliseconds))
}

fn is_same_to_ledger(one: &Pool, other: &Pool) -> bool {
    one.ledger == other.ledger
        && one.staleness_bound == other.staleness_bound
        && one.max_open_samples == other.max_open_samples
        && one.sample_lease_ms == other.sample_lease_ms
        && one.trainer == other.trainer
}
