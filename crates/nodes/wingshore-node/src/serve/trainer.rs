//! Serves the requests of trainers: submit prompts, pull a step's batch, acknowledge it, publish a
//! version.
//!
//! All of them are idempotent and may be repeated after a lost answer: samples are identified by
//! number, a step's batch is handed over only once, and a publication is identified by pool and
//! version.

use crate::background::PoolAnnouncer;
use crate::http::{Caller, EdgeAnswer, EdgeError};
use crate::serve::intake::{ReceivedRequest, read_request};
use crate::serve::trainer_errors::{call_error, control_refusal, ledger_refusal, unexpected_reply};
use crate::serve::whole_answer::serve_buffered;
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

/// Request kind of trainers' requests in metrics.
const KIND: &str = "trainer";
/// Timeout of a request to a group when the caller states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait that a pull may request. Part of the public API.
const MAX_PULL_WAIT: Duration = Duration::from_secs(600);
/// Time allowed for a pull in addition to its requested wait.
const PULL_MARGIN: Duration = Duration::from_secs(5);
/// Time allowed for the remaining parts of a large batch when the caller sets no deadline.
const BATCH_PARTS_TIMEOUT: Duration = Duration::from_secs(30);

/// A trainer's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrainerRequest {
    /// Adds prompts to a pool.
    Submit(PoolId),
    /// Hands over the batch of a step.
    Pull(PoolId, StepId),
    /// Confirms that the trainer has stored the batch of a step.
    Acknowledge(PoolId, StepId),
    /// Announces that a weight version is in the weight store.
    Publish(PoolId),
}

/// Serves trainers' requests.
#[derive(Clone, Copy)]
pub struct TrainerHandler<'a> {
    /// State of the node.
    pub node: &'a NodeState,
    /// Announces pools to their ledgers.
    pub announcer: &'a PoolAnnouncer,
}

/// Answer to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct PublishedBody {
    /// Configuration revision that contains the published version.
    revision: Revision,
}

/// Serves a trainer's request.
pub fn serve(handler: TrainerHandler<'_>, caller: Caller, request: TrainerRequest) {
    serve_buffered(handler.node, KIND, caller, |caller| {
        answer(handler, caller, request)
    });
}

fn answer(
    handler: TrainerHandler<'_>,
    caller: &mut Caller,
    request: TrainerRequest,
) -> Result<EdgeAnswer, EdgeError> {
    let received = read_request(handler.node, caller)?;
    match request {
        TrainerRequest::Submit(pool) => handler.submit(&received, &pool),
        TrainerRequest::Pull(pool, step) => handler.pull(&received, &pool, step),
        TrainerRequest::Acknowledge(pool, step) => handler.acknowledge(&received, &pool, step),
        TrainerRequest::Publish(pool) => handler.publish(&received, &pool),
    }
}

impl TrainerHandler<'_> {
    fn submit(self, received: &ReceivedRequest, pool: &PoolId) -> Result<EdgeAnswer, EdgeError> {
        let body: SubmitRequest = parse(&received.body)?;
        let request = LedgerRequest::Submit {
            pool: pool.clone(),
            prompts: body.prompts,
        };
        match self.ask_ledger(pool, request, received.deadline(DEFAULT_TIMEOUT))? {
            LedgerReply::Submitted { added, known } => {
                Ok(EdgeAnswer::json(200, &SubmitReply { added, known }))
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    fn pull(
        self,
        received: &ReceivedRequest,
        pool: &PoolId,
        step: StepId,
    ) -> Result<EdgeAnswer, EdgeError> {
        let body: PullBody = parse(&received.body)?;
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
        let batch_deadline = began + received.deadline(wait + PULL_MARGIN + BATCH_PARTS_TIMEOUT);
        match self.ask_ledger(pool, request, received.deadline(wait + PULL_MARGIN))? {
            LedgerReply::Batch(first) => {
                let batch = self.complete_batch(pool, &trainer, *first, batch_deadline)?;
                self.check_batch(pool, &batch)?;
                self.node.metrics.on_delivered(&batch, began.elapsed());
                Ok(EdgeAnswer::json(200, &batch_body(batch)))
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Fetches the remaining parts of a large batch. The ledger reads each part from what it
    /// recorded at the hand-over, so a pull that fails in between may be repeated.
    fn complete_batch(
        self,
        pool: &PoolId,
        trainer: &TrainerId,
        first: Batch,
        batch_deadline: Instant,
    ) -> Result<Batch, EdgeError> {
        let mut batch = first;
        while batch.samples.len() < batch.total as usize {
            let request = LedgerRequest::BatchPart {
                pool: pool.clone(),
                trainer: trainer.clone(),
                step: batch.step,
                from: batch.samples.len() as u32,
            };
            let left = batch_deadline.saturating_duration_since(Instant::now());
            match self.ask_ledger(pool, request, left)? {
                LedgerReply::Batch(part) if !part.samples.is_empty() => {
                    batch.samples.extend(part.samples);
                }
                other => return Err(unexpected_reply(&other)),
            }
        }
        Ok(batch)
    }

    fn acknowledge(
        self,
        received: &ReceivedRequest,
        pool: &PoolId,
        step: StepId,
    ) -> Result<EdgeAnswer, EdgeError> {
        let body: AcknowledgeBody = parse(&received.body)?;
        let request = LedgerRequest::Acknowledge {
            pool: pool.clone(),
            trainer: body.trainer,
            step,
        };
        match self.ask_ledger(pool, request, received.deadline(DEFAULT_TIMEOUT))? {
            LedgerReply::Done => Ok(EdgeAnswer::json(200, &serde_json::json!({}))),
            other => Err(unexpected_reply(&other)),
        }
    }

    fn publish(self, received: &ReceivedRequest, pool: &PoolId) -> Result<EdgeAnswer, EdgeError> {
        let body: PublishBody = parse(&received.body)?;
        self.find_pool(pool)?;
        let request = GroupRequest::Control(ControlRequest::Publish {
            intent_id: IntentId::of_publication(pool, body.version),
            pool: pool.clone(),
            version: body.version,
        });
        let timeout = received.deadline(DEFAULT_TIMEOUT);
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
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Calls the pool's ledger, after announcing the pool to it if necessary.
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
            return refusal_as_error(reply);
        }
        self.announcer.forget(id);
        self.announcer.announce(self.node, &pool, revision);
        refusal_as_error(self.call_ledger(group, request, timeout)?)
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
            other => Err(unexpected_reply(&other)),
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

    /// Checks again that the samples are well-formed, which the ledger guarantees, before a trainer
    /// receives them.
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

fn refusal_as_error(reply: LedgerReply) -> Result<LedgerReply, EdgeError> {
    match reply {
        LedgerReply::Refused(refusal) => Err(ledger_refusal(&refusal)),
        reply => Ok(reply),
    }
}
