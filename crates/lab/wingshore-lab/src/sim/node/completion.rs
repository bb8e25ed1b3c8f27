//! Completions of live callers, streamed from engines; tokens of failed attempts are resumed.

use super::core::NodeContext;
use super::requests::{Attempts, Progress, refused};
use super::upstream::{News, failure_of};
use crate::process::{Answer, Call, CompletionCall};
use crate::wiring::{InboundCall, NotTaken, failed};
use std::time::Duration;
use wingshore_request::{AnswerBody, AttemptEnd, FinalAnswer, RequestSpecification};
use wingshore_routing::{Class, RouteRequest};
use wingshore_types::Generation;
use wingshore_types::configuration::{Configuration, Service, ServiceKind};
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{EngineCompletionRequest, EngineStreamEvent};

/// Priority of live completions.
const PRIORITY: i32 = 0;
/// Status of a whole completion.
const OK: u16 = 200;

/// A completion on its way through engines.
pub struct Completion {
    call: CompletionCall,
    generation: Generation,
    attempt: String,
    end: Option<EngineStreamEvent>,
    caller_gone: bool,
}

impl Completion {
    /// Admits a completion.
    pub fn take_in(
        context: &mut NodeContext<'_>,
        call: CompletionCall,
    ) -> Result<(Self, RequestSpecification), NotTaken> {
        context.core.may_admit(context.now)?;
        let configuration = context.core.configuration();
        let Some(service) = service_of(&configuration, &call.model) else {
            return Err(NotTaken {
                code: "unknown_model",
                retry_after: None,
            });
        };
        let route = RouteRequest {
            service: service.id.clone(),
            class: Class::Live,
            prefix_hash: Some(hash_tokens(&call.prompt)),
            tokens_estimate: call.prompt.len() as u32,
            deadline: context.now + call.deadline,
            no_repeat: false,
            excluded: Vec::new(),
            oldest_useful: None,
        };
        let completion = Self {
            call,
            generation: Generation::default(),
            attempt: String::new(),
            end: None,
            caller_gone: false,
        };
        Ok((completion, RequestSpecification { route, claim: None }))
    }
}

impl Attempts for Completion {
    fn call(&mut self, context: &mut NodeContext<'_>, timeout: Duration) -> Call {
        self.attempt = context.core.next_engine_request_id();
        Call::Generate(EngineCompletionRequest {
            request_id: self.attempt.clone(),
            model: self.call.model.clone(),
            adapter: None,
            prompt: self.call.prompt.clone(),
            resume: self.generation.tokens.clone(),
            max_tokens: self.call.max_tokens,
            priority: PRIORITY,
            stream: true,
            deadline_ms: timeout.as_millis() as u64,
            seed: self.call.seed,
        })
    }

    fn on_news(
        &mut self,
        context: &mut NodeContext<'_>,
        caller: InboundCall,
        news: News,
    ) -> Progress {
        match news {
            News::Answer(Answer::Stream(event)) => match &event {
                EngineStreamEvent::Chunk {
                    tokens,
                    weight_version,
                } => {
                    self.generation.append(*weight_version, tokens);
                    if self.caller_gone {
                        return Progress::CallerDisconnected;
                    }
                    caller.answer(Answer::Stream(event), context.out);
                    Progress::GoesOn
                }
                EngineStreamEvent::Finished { .. } => {
                    self.end = Some(event);
                    Progress::Ended(AttemptEnd::Answered {
                        status: OK,
                        body: AnswerBody::Complete,
                        stored_answer: None,
                    })
                }
            },
            other => Progress::Ended(AttemptEnd::Failed(failure_of(&other))),
        }
    }

    fn engine_attempt(&self) -> Option<&str> {
        Some(&self.attempt)
    }

    fn on_caller_gone(&mut self) {
        self.caller_gone = true;
    }

    fn answer(&mut self, answer: FinalAnswer) -> Answer {
        match answer {
            FinalAnswer::Forward { .. } => match self.end.take() {
                Some(end) => Answer::Stream(end),
                None => failed("internal"),
            },
            FinalAnswer::Replay(_) => failed("internal"),
            FinalAnswer::Error(error) => refused(&error),
        }
    }
}

fn service_of<'a>(configuration: &'a Configuration, model: &str) -> Option<&'a Service> {
    let serves = |service: &&Service| matches!(&service.kind, ServiceKind::Engines { model: served } if served == model);
    let mut found = configuration.services.values().filter(serves);
    found.next().filter(|_| found.next().is_none())
}
