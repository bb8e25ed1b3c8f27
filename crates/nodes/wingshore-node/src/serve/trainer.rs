//! A trainer's requests: submit prompts, pull a step's batch, acknowledge it, publish a version.
//!
//! All of them may be sent again after a lost answer: samples are known by number, a step's batch
//! is handed over once, and a publication is known by pool and version.

use crate::background::PoolAnnouncer;
use crate::http::{Caller, EdgeAnswer, EdgeError};
use crate::serve::intake::{Intake, take_in};
use crate::serve::trainer_errors::{call_error, control_refusal, ledger_refusal, unexpected};
use crate::serve::whole_answer::serve_whole;
use crate::state::NodeState;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};
use wingshore_types::api::{
    AcknowledgeBody, BatchBody, PublishBody, PullBody, SampleBody, SubmitReply, SubmitRequest,
};
use wingshore_types::configuration::Pool;
use wingshore_types::protocol::control::{ControlReply, ControlRequest};
use wingshore_types::protocol::ledger::{
    Batch, LedgerRefusal, LedgerReply, LedgerRequest, PullRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, IntentId, PoolId, Revision, Sample, StepId, TrainerId, Verdict};

/// Label of a trainer's requests in metrics.
const KIND: &str = "trainer";
/// Timeout of a request to a group when the caller states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait a pull may ask for; part of the interface to trainers.
const MAX_PULL_WAIT: Duration = Duration::from_secs(600);
/// Time for a pull beyond the wait it asks for.
const PULL_MARGIN: Duration = Duration::from_secs(5);
/// Time for the further parts of a large batch, when the caller states no deadline.
const PARTS_TIME: Duration = Duration::from_secs(30);
/// What a trainer asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrainerRequest {
    /// Add prompts.
    Submit(PoolId),
    /// Hand a step's batch over.
    Pull(PoolId, StepId),
    /// The batch is safe with the trainer.
    Acknowledge(PoolId, StepId),
    /// A version is in the weight store.
    Publish(PoolId),
}

/// Serves trainers' requests, with what they need of the node.
#[derive(Clone, Copy)]
pub struct TrainerHandler<'a> {
    /// The node.
    pub node: &'a NodeState,
    /// Announces pools to their ledgers.
    pub announcer: &'a PoolAnnouncer,
}

/// Answer to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct PublishedBody {
    /// The configuration revision that holds it.
    revision: Revision,
}

/// Serves one of a trainer's requests.
pub fn serve(handler: TrainerHandler<'_>, caller: Caller, request: TrainerRequest) {
    serve_whole(handler.node, KIND, caller, |caller| {
        answer(handler, caller, request)
    });
}

fn answer(
    handler: TrainerHandler<'_>,
    caller: &mut Caller,
    request: TrainerRequest,
) -> Result<EdgeAnswer, EdgeError> {
    let intake = take_in(handler.node, caller)?;
    match request {
        TrainerRequest::Submit(pool) => handler.submit(&intake, &pool),
        TrainerRequest::Pull(pool, step) => handler.pull(&intake, &pool, step),
        TrainerRequest::Acknowledge(pool, step) => handler.acknowledge(&intake, &pool, step),
        TrainerRequest::Publish(pool) => handler.publish(&intake, &pool),
    }
}

impl TrainerHandler<'_> {
    fn submit(self, intake: &Intake, pool: &PoolId) -> Result<EdgeAnswer, EdgeError> {
        let body: SubmitRequest = parse(&intake.body)?;
        let request = LedgerRequest::Submit {
            pool: pool.clone(),
            prompts: body.prompts,
        };
        match self.ask_ledger(pool, request, intake.deadline(DEFAULT_TIMEOUT))? {
            LedgerReply::Submitted { added, known } => {
                Ok(EdgeAnswer::json(200, &SubmitReply { added, known }))
            }
            other => Err(unexpected(&other)),
        }
    }

    fn pull(self, intake: &Intake, pool: &PoolId, step: StepId) -> Result<EdgeAnswer, EdgeError> {
        let body: PullBody = parse(&intake.body)?;
        let began = Instant::now();
        let wait = Duration::from_millis(body.wait_ms).min(MAX_PULL_WAIT);
        let trainer = body.trainer.clone();
        let request = LedgerRequest::Pull {
            pool: pool.clone(),
            pull: PullRequest {
                trainer: body.trainer,
                step,
                weight_version: body.weight_version,
                count: body.count,
                wait_ms: wait.as_millis() as u64,
            },
        };
        let give_up_at = began + intake.deadline(wait + PULL_MARGIN + PARTS_TIME);
        match self.ask_ledger(pool, request, intake.deadline(wait + PULL_MARGIN))? {
            LedgerReply::Batch(first) => {
                let batch = self.whole_batch(pool, &trainer, *first, give_up_at)?;
                self.check_batch(pool, &batch)?;
                self.node.metrics.on_delivered(&batch, began.elapsed());
                Ok(EdgeAnswer::json(200, &batch_body(batch)))
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Fetches what a large batch has beside its first part. Each part is read from what was
    /// recorded at the hand-over, so a pull that fails in between may be repeated.
    fn whole_batch(
        self,
        pool: &PoolId,
        trainer: &TrainerId,
        first: Batch,
        give_up_at: Instant,
    ) -> Result<Batch, EdgeError> {
        let mut batch = first;
        while batch.samples.len() < batch.total as usize {
            let request = LedgerRequest::BatchPart {
                pool: pool.clone(),
                trainer: trainer.clone(),
                step: batch.step,
                from: batch.samples.len() as u32,
            };
            let left = give_up_at.saturating_duration_since(Instant::now());
            match self.ask_ledger(pool, request, left)? {
                LedgerReply::Batch(part) if !part.samples.is_empty() => {
                    batch.samples.extend(part.samples);
                }
                other => return Err(unexpected(&other)),
            }
        }
        Ok(batch)
    }

    fn acknowledge(
        self,
        intake: &Intake,
        pool: &PoolId,
        step: StepId,
    ) -> Result<EdgeAnswer, EdgeError> {
        let body: AcknowledgeBody = parse(&intake.body)?;
        let request = LedgerRequest::Acknowledge {
            pool: pool.clone(),
            trainer: body.trainer,
            step,
        };
        match self.ask_ledger(pool, request, intake.deadline(DEFAULT_TIMEOUT))? {
            LedgerReply::Done => Ok(EdgeAnswer::json(200, &serde_json::json!({}))),
            other => Err(unexpected(&other)),
        }
    }

    fn publish(self, intake: &Intake, pool: &PoolId) -> Result<EdgeAnswer, EdgeError> {
        let body: PublishBody = parse(&intake.body)?;
        self.find_pool(pool)?;
        let request = GroupRequest::Control(ControlRequest::Publish {
            intent_id: IntentId::of_publication(pool, body.version),
            pool: pool.clone(),
            version: body.version,
        });
        let timeout = intake.deadline(DEFAULT_TIMEOUT);
        let reply = self
            .node
            .groups
            .call(GroupId::Control, request, timeout)
            .map_err(|error| call_error(&error))?;
        match reply {
            GroupReply::Control(ControlReply::Published(revision)) => {
                Ok(EdgeAnswer::json(200, &PublishedBody { revision }))
            }
            GroupReply::Control(ControlReply::Refused(refusal)) => Err(control_refusal(&refusal)),
            other => Err(unexpected(&other)),
        }
    }

    /// Asks the pool's ledger; announces the pool to it first where that is needed.
    fn ask_ledger(
        self,
        id: &PoolId,
        request: LedgerRequest,
        timeout: Duration,
    ) -> Result<LedgerReply, EdgeError> {
        let (pool, revision) = self.find_pool(id)?;
        self.announcer.announce(self.node, &pool, revision);
        let group = GroupId::Ledger(pool.ledger);
        let reply = self.call_ledger(group, request.clone(), timeout)?;
        if reply != LedgerReply::Refused(LedgerRefusal::UnknownPool) {
            return accepted(reply);
        }
        self.announcer.forget(id);
        self.announcer.announce(self.node, &pool, revision);
        accepted(self.call_ledger(group, request, timeout)?)
    }

    fn call_ledger(
        self,
        group: GroupId,
        request: LedgerRequest,
        timeout: Duration,
    ) -> Result<LedgerReply, EdgeError> {
        let reply = self
            .node
            .groups
            .call(group, GroupRequest::Ledger(request), timeout)
            .map_err(|error| call_error(&error))?;
        match reply {
            GroupReply::Ledger(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    fn find_pool(self, id: &PoolId) -> Result<(Pool, Revision), EdgeError> {
        let configuration = self.node.configuration();
        match configuration.pools.get(id) {
            Some(pool) => Ok((pool.clone(), configuration.revision)),
            None => Err(EdgeError::not_run(
                404,
                "unknown_pool",
                format!("pool `{id}` is not configured"),
            )),
        }
    }

    /// What the ledger promises is checked once more before a trainer gets it.
    fn check_batch(self, pool: &PoolId, batch: &Batch) -> Result<(), EdgeError> {
        let broken = batch
            .samples
            .iter()
            .find(|sample| !sample.generation.is_well_formed());
        let Some(sample) = broken else {
            return Ok(());
        };
        let what = format!(
            "sample {} of pool `{pool}` has segments that do not cover its tokens",
            sample.number
        );
        self.node.report_invariant_violation(&what);
        Err(EdgeError {
            status: 500,
            code: "internal".to_owned(),
            verdict: Verdict::Ran,
            message: what,
            retry_after: None,
        })
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, EdgeError> {
    serde_json::from_slice(body).map_err(|error| EdgeError::not_run(400, "invalid_request", error))
}

fn batch_body(batch: Batch) -> BatchBody {
    BatchBody {
        step: batch.step,
        weight_version: batch.weight_version,
        samples: batch.samples.into_iter().map(sample_body).collect(),
    }
}

fn sample_body(sample: Sample) -> SampleBody {
    SampleBody {
        number: sample.number,
        prompt: sample.prompt,
        tokens: sample.generation.tokens,
        segments: sample.generation.segments,
        score: sample.score,
    }
}

fn accepted(reply: LedgerReply) -> Result<LedgerReply, EdgeError> {
    match reply {
        LedgerReply::Refused(refusal) => Err(ledger_refusal(&refusal)),
        reply => Ok(reply),
    }
}
