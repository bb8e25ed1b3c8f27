//! Scoring of finished samples.
//!
//! Question: how often is a score requested, and how long does the runner wait for it?
//!
//! Inputs: unscored samples that the ledger offers, the scorer's answers, `score_concurrency`.
//!
//! Rule: each sample is sent immediately and retried after a failure or a timeout, up to
//! [`MAX_SCORE_ATTEMPTS`] attempts in total. Then the runner drops it, and the ledger offers it
//! again later, to this node or another. A score that is not finite counts as a failure.
//!
//! Why: scoring twice is harmless, because the ledger keeps only the first score of a generation.

use crate::messages::{RolloutOutput, ScoreCallId};
use crate::reports::ReportKey;
use crate::runner::{Context, RETRY_BACKOFF, RolloutRunner};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::platform::ScoreRequest;
use wingshore_types::protocol::ledger::{LedgerRequest, UnscoredSample};
use wingshore_types::{Instant, LeaseId, SampleNumber};

/// Timeout of one request to the scorer.
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of requests to the scorer for one sample before the runner drops it.
const MAX_SCORE_ATTEMPTS: u32 = 4;
/// Time beyond [`SCORE_TIMEOUT`] in which the driver may report the result, before the request is
/// treated as unanswered.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

type TaskKey = (SampleNumber, LeaseId);

/// A sample that is being scored or waits for a retry.
#[derive(Clone, Debug)]
struct ScoreTask {
    sample: UnscoredSample,
    requests: u32,
    call: Option<ScoreCallId>,
    /// Timeout of the call in flight, or the time of the next request if there is none.
    due: Instant,
}

/// Samples that are being scored or wait for a retry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scoring {
    tasks: BTreeMap<TaskKey, ScoreTask>,
    calls: BTreeMap<ScoreCallId, TaskKey>,
    next_call: u64,
}

impl Scoring {
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }

    fn due(&self, now: Instant) -> Vec<TaskKey> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.due <= now)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Creates the next request for a task, due for a retry at `due`. Removes the task and returns
    /// `None` after [`MAX_SCORE_ATTEMPTS`].
    fn start_request(&mut self, key: TaskKey, due: Instant) -> Option<(ScoreCallId, ScoreRequest)> {
        self.remove_call(key);
        let task = self.tasks.get_mut(&key)?;
        if task.requests >= MAX_SCORE_ATTEMPTS {
            self.tasks.remove(&key);
            return None;
        }
        self.next_call += 1;
        let call = ScoreCallId(self.next_call);
        task.requests += 1;
        task.call = Some(call);
        task.due = due;
        self.calls.insert(call, key);
        let request = ScoreRequest {
            sample_id: task.sample.number,
            prompt: task.sample.prompt.clone(),
            tokens: task.sample.tokens.clone(),
        };
        Some((call, request))
    }

    fn remove_call(&mut self, key: TaskKey) {
        if let Some(call) = self.tasks.get_mut(&key).and_then(|task| task.call.take()) {
            self.calls.remove(&call);
        }
    }

    /// Drops all samples that are not scored yet; the ledger offers them to other nodes.
    pub(crate) fn clear(&mut self) {
        self.tasks.clear();
        self.calls.clear();
    }
}

impl RolloutRunner {
    /// Returns how many more samples may be sent to the scorer.
    pub(crate) fn free_scoring_slots(&self) -> u32 {
        let busy = self.scoring.len() as u32;
        self.settings.score_concurrency.saturating_sub(busy)
    }

    pub(crate) fn start_scoring(&mut self, context: &mut Context<'_>, sample: UnscoredSample) {
        let key = (sample.number, sample.lease);
        if self.stopping_since.is_some() || self.scoring.tasks.contains_key(&key) {
            return;
        }
        let task = ScoreTask {
            sample,
            requests: 0,
            call: None,
            due: context.now,
        };
        self.scoring.tasks.insert(key, task);
        self.request_score(context, key);
    }

    pub(crate) fn on_scored(
        &mut self,
        context: &mut Context<'_>,
        call: ScoreCallId,
        score: Option<f64>,
    ) {
        let Some(key) = self.scoring.calls.remove(&call) else {
            return;
        };
        let due = context.now + RETRY_BACKOFF;
        match score.filter(|score| score.is_finite()) {
            Some(score) => {
                self.scoring.tasks.remove(&key);
                self.report_score(context, key, score);
            }
            None => {
                if let Some(task) = self.scoring.tasks.get_mut(&key) {
                    task.call = None;
                    task.due = due;
                }
            }
        }
    }

    pub(crate) fn retry_scoring(&mut self, context: &mut Context<'_>) {
        for key in self.scoring.due(context.now) {
            self.request_score(context, key);
        }
    }

    fn request_score(&mut self, context: &mut Context<'_>, key: TaskKey) {
        let Some(binding) = &self.binding else {
            return;
        };
        let address = binding.pool.scorer;
        let due = context.now + SCORE_TIMEOUT + ANSWER_MARGIN;
        if let Some((call, request)) = self.scoring.start_request(key, due) {
            context.out.push(RolloutOutput::Score {
                call,
                address,
                request: Box::new(request),
                timeout: SCORE_TIMEOUT,
            });
        }
    }

    fn report_score(&mut self, context: &mut Context<'_>, key: TaskKey, score: f64) {
        let (sample, lease) = key;
        let request = LedgerRequest::Score {
            pool: self.pool.clone(),
            sample,
            lease,
            score,
        };
        let key = ReportKey::Score(sample, lease);
        self.reports.add(context.now, key, request);
    }
}
