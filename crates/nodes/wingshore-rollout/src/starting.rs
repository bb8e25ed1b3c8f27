//! Starts attempts: reserves a slot on an engine and sends the completion request.

use crate::leased::LeasedSample;
use crate::messages::{AttemptId, RolloutOutput};
use crate::runner::{Context, RETRY_BACKOFF, RolloutRunner};
use crate::streams::Attempt;
use std::time::Duration;
use wingshore_routing::{Admitted, Class, Refusal, RefusalCode, RouteRequest};
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::EngineCompletionRequest;
use wingshore_types::{Generation, Instant, LeaseId, ServerId};

/// Time limit of one attempt on the engine, counted from its start.
const ATTEMPT_DEADLINE: Duration = Duration::from_secs(600);
/// Priority of rollouts on engines; higher values are scheduled first. It equals the default
/// priority of live requests.
const ROLLOUT_PRIORITY: i32 = 0;

impl RolloutRunner {
    /// Starts waiting samples until the router refuses one.
    pub(crate) fn start_waiting(&mut self, context: &mut Context<'_>) {
        if context.now < self.refused_until || self.stopping_since.is_some() {
            return;
        }
        for lease in self.leased.startable(context.now) {
            if let Err(refusal) = self.start(context, lease, None) {
                let backoff = refusal.retry_after.unwrap_or(RETRY_BACKOFF);
                self.refused_until = context.now + backoff;
                let running = self.attempts.len() as u32;
                match refusal.code {
                    RefusalCode::NoCapacity => self.window.on_refused(context.now, running),
                    _ => self.window.on_no_engine(running),
                }
                return;
            }
        }
        if self.leased.waiting() == 0 {
            let running = self.attempts.len() as u32;
            self.window.on_all_running(context.now, running);
        }
    }

    /// Starts an attempt to generate a leased sample. `resume` gives the tokens to resume from and
    /// the engine to avoid, in place of those recorded for the sample.
    pub(crate) fn start(
        &mut self,
        context: &mut Context<'_>,
        lease: LeaseId,
        resume: Option<(Generation, ServerId)>,
    ) -> Result<(), Refusal> {
        let Some(sample) = self.leased.get(lease).cloned() else {
            return Ok(());
        };
        let (generation, avoided) = match resume {
            Some((generation, running_on)) => (generation, Some(running_on)),
            None => (sample.partial.clone(), sample.avoided.clone()),
        };
        let is_second = !sample.attempts.is_empty();
        let admitted = self.admit(context, &sample, avoided, is_second)?;
        self.start_on(context, lease, &sample, admitted, generation);
        Ok(())
    }

    /// Starts an attempt to generate a leased sample in an already reserved slot.
    pub(crate) fn start_on(
        &mut self,
        context: &mut Context<'_>,
        lease: LeaseId,
        sample: &LeasedSample,
        admitted: Admitted,
        generation: Generation,
    ) {
        let attempt = self.next_attempt();
        let request = self.engine_request(attempt, sample, &generation);
        context.out.push(RolloutOutput::StartStream {
            attempt,
            server: admitted.server.clone(),
            address: admitted.address,
            request: Box::new(request),
        });
        self.record_attempt(context.now, attempt, lease, admitted, generation);
    }

    /// Reserves a slot for a sample, preferably not on the engine `avoided`; a second attempt never
    /// runs there.
    pub(crate) fn admit(
        &mut self,
        context: &mut Context<'_>,
        sample: &LeasedSample,
        avoided: Option<ServerId>,
        is_second: bool,
    ) -> Result<Admitted, Refusal> {
        let Some(binding) = &self.binding else {
            return Err(missing_binding());
        };
        let mut request = RouteRequest {
            service: binding.pool.service.clone(),
            class: Class::Rollout,
            prefix_hash: Some(hash_tokens(&sample.prompt.tokens)),
            tokens_estimate: sample.prompt.tokens.len() as u32,
            deadline: context.now + ATTEMPT_DEADLINE,
            no_repeat: false,
            excluded: avoided.into_iter().collect(),
            oldest_useful: Some(self.oldest_useful),
        };
        let first = context.router.admit(context.now, &request);
        if first.is_ok() || request.excluded.is_empty() || is_second {
            return first;
        }
        // Fall back to the avoided engine if no other engine is available.
        request.excluded.clear();
        context.router.admit(context.now, &request)
    }

    fn engine_request(
        &self,
        attempt: AttemptId,
        sample: &LeasedSample,
        resume: &Generation,
    ) -> EngineCompletionRequest {
        let binding = self.binding.as_ref();
        let deadline = ATTEMPT_DEADLINE.as_millis();
        EngineCompletionRequest {
            request_id: self.request_id(attempt),
            model: binding.map_or_else(String::new, |binding| binding.model.clone()),
            adapter: None,
            prompt: sample.prompt.tokens.clone(),
            resume: resume.tokens.clone(),
            max_tokens: sample.prompt.max_tokens,
            priority: ROLLOUT_PRIORITY,
            stream: true,
            deadline_ms: u64::try_from(deadline).unwrap_or(u64::MAX),
            seed: sample.prompt.seed,
        }
    }

    fn record_attempt(
        &mut self,
        now: Instant,
        id: AttemptId,
        lease: LeaseId,
        admitted: Admitted,
        generation: Generation,
    ) {
        let resumed_tokens = generation.tokens.len();
        let attempt = Attempt {
            lease,
            ticket: admitted.ticket,
            server: admitted.server,
            address: admitted.address,
            generation,
            resumed_tokens,
            started: now,
            last_event: now,
            leaving_since: None,
            move_target: None,
        };
        self.counters.attempts += 1;
        self.counters.resumed += u64::from(resumed_tokens > 0);
        self.attempts.insert(id, attempt);
        self.leased.update(lease, |sample| sample.attempts.push(id));
    }
}

fn missing_binding() -> Refusal {
    Refusal {
        code: RefusalCode::UnknownService,
        message: "the pool's configuration is not known yet".to_owned(),
        retry_after: None,
    }
}
