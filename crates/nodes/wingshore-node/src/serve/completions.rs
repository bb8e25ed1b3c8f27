//! Serves completions by model or pool, buffered or streamed.

use crate::http::{Caller, EdgeAnswer, EdgeError, EventStream};
use crate::serve::completion_answer::{CompletionBody, CompletionHead};
use crate::serve::completion_request::{CompletionRequest, CompletionTarget};
use crate::serve::execute::{AttemptResult, Attempts, execute};
use crate::serve::intake::{ReceivedRequest, read_request};
use crate::serve::whole_answer::{internal_error, replayed_answer, storable_answer};
use crate::state::NodeState;
use crate::upstream::{EngineAttempt, EngineEnd, InterruptibleClient, ServerAnswer};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use wingshore_request::{
    AnswerBody, AttemptEnd, FailureKind, FinalAnswer, RequestSpecification, SendAttempt,
};
use wingshore_routing::{Class, RouteRequest};
use wingshore_types::api::SERVER_HEADER;
use wingshore_types::configuration::{Configuration, Service, ServiceKind};
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{EngineCompletionRequest, FinishReason, Usage};
use wingshore_types::protocol::claims::StoredAnswer;
use wingshore_types::{Generation, ServerId, Token, WeightVersion};

/// Request kind of completions in metrics.
const KIND: &str = "completion";
/// Path used in the fingerprints of completions with an idempotency key.
const PATH: &str = "/v1/completions";
/// Last event of a complete stream.
const DONE_EVENT: &str = "[DONE]";

/// Serves `POST /v1/completions`.
pub fn serve(node: &NodeState, mut caller: Caller) {
    let started = Instant::now();
    let _in_flight = node.metrics.begin(KIND);
    let code = match prepare(node, &mut caller) {
        Ok(prepared) => complete(node, caller, prepared),
        Err(error) => {
            caller.respond(error.answer());
            error.code
        }
    };
    node.metrics.on_answered(KIND, &code, started.elapsed());
}

/// A validated request that is ready for execution.
struct PreparedRequest {
    request: CompletionRequest,
    model: String,
    priority: i32,
    specification: RequestSpecification,
}

fn prepare(node: &NodeState, caller: &mut Caller) -> Result<PreparedRequest, EdgeError> {
    let received = read_request(node, caller)?;
    let request = CompletionRequest::parse(&received.body)
        .map_err(|error| EdgeError::not_run(400, "invalid_request", error))?;
    if request.stream && !caller.supports_chunks() {
        let message = "streams need HTTP/1.1";
        return Err(EdgeError::not_run(400, "invalid_request", message));
    }
    let configuration = node.configuration();
    let (service, model) = find_service(&configuration, &request.target)?;
    Ok(PreparedRequest {
        specification: specification(node, &received, service, &request),
        model: model.to_owned(),
        priority: received.headers.priority,
        request,
    })
}

fn find_service<'a>(
    configuration: &'a Configuration,
    target: &CompletionTarget,
) -> Result<(&'a Service, &'a str), EdgeError> {
    let mut found = configuration.services.values().filter_map(|service| {
        let ServiceKind::Engines { model } = &service.kind else {
            return None;
        };
        let wanted = match target {
            CompletionTarget::Model(name) => name == model,
            CompletionTarget::Pool(pool) => configuration
                .pools
                .get(pool)
                .is_some_and(|pool| pool.service == service.id),
        };
        wanted.then_some((service, model.as_str()))
    });
    match (found.next(), found.next()) {
        (Some(only), None) => Ok(only),
        (Some(_), Some(_)) => Err(EdgeError::not_run(
            400,
            "ambiguous_model",
            "several services serve this model; name a pool",
        )),
        (None, _) => Err(EdgeError::not_run(
            404,
            "unknown_model",
            "no configured service serves this model or pool",
        )),
    }
}

fn specification(
    node: &NodeState,
    received: &ReceivedRequest,
    service: &Service,
    request: &CompletionRequest,
) -> RequestSpecification {
    let default = Duration::from_millis(service.default_deadline_ms);
    let route = RouteRequest {
        service: service.id.clone(),
        class: Class::Live,
        prefix_hash: Some(hash_tokens(&request.prompt)),
        tokens_estimate: request.prompt.len() as u32,
        deadline: node.clock.now() + received.deadline(default),
        no_repeat: received.headers.no_repeat.unwrap_or(false),
        excluded: Vec::new(),
        oldest_useful: None,
    };
    RequestSpecification {
        route,
        claim: received.claim(node, &service.id, "POST", PATH),
    }
}

/// Executes and answers the request. Returns the code for the metrics.
fn complete(node: &NodeState, caller: Caller, prepared: PreparedRequest) -> String {
    let id = node.next_engine_request_id();
    let mut attempts = CompletionAttempts {
        node,
        head: CompletionHead::new(format!("cmpl-{id}"), prepared.model.clone()),
        seed: prepared.request.seed.unwrap_or_else(|| node.next_attempt()),
        request: prepared.request,
        model: prepared.model,
        priority: prepared.priority,
        stores_answer: prepared.specification.claim.is_some(),
        output: Output::NotStarted(Box::new(caller)),
        generation: Generation::default(),
        finished: None,
        rejected: None,
        server: None,
    };
    let answer = execute(node, KIND, prepared.specification, &mut attempts);
    match answer {
        Some(answer) => attempts.answer(answer),
        None => "caller_gone".to_owned(),
    }
}

/// Progress of the answer to the caller.
enum Output {
    /// Nothing has been written yet.
    NotStarted(Box<Caller>),
    /// The head of an event stream has been written.
    Streaming(EventStream),
    /// The caller has disconnected.
    Disconnected,
}

/// Runs attempts at engines. An attempt after a failed one resumes from the tokens received so far
/// instead of generating them again.
struct CompletionAttempts<'a> {
    node: &'a NodeState,
    head: CompletionHead,
    request: CompletionRequest,
    model: String,
    priority: i32,
    seed: u64,
    stores_answer: bool,
    output: Output,
    generation: Generation,
    finished: Option<(FinishReason, Usage)>,
    rejected: Option<ServerAnswer>,
    server: Option<ServerId>,
}

impl Attempts for CompletionAttempts<'_> {
    fn attempt(&mut self, send: &SendAttempt) -> AttemptResult {
        let node = self.node;
        let timeout = node.clock.time_left(send.deadline);
        let request = self.engine_request(timeout);
        let attempt = EngineAttempt {
            server: &send.server,
            address: send.address,
            request: &request,
            timeout,
        };
        self.server = Some(send.server.clone());
        let client = InterruptibleClient::default();
        let end = attempt.run(&client, &mut |version, tokens| {
            self.on_chunk(version, tokens)
        });
        match end {
            EngineEnd::Finished { reason, usage } => {
                self.finished = Some((reason, usage));
                AttemptResult::Ended(AttemptEnd::Answered {
                    status: 200,
                    body: AnswerBody::Complete,
                    stored_answer: self.answer_to_store(reason, usage),
                })
            }
            EngineEnd::Rejected(answer) => {
                let status = answer.status;
                self.rejected = Some(answer);
                AttemptResult::Ended(AttemptEnd::Answered {
                    status,
                    body: AnswerBody::Complete,
                    stored_answer: None,
                })
            }
            EngineEnd::Failed(failure) => {
                if failure.kind == FailureKind::TimedOut {
                    node.cancel_at_engine(send.address, &request.request_id);
                }
                AttemptResult::Ended(AttemptEnd::Failed(failure))
            }
            EngineEnd::Stopped => {
                node.cancel_at_engine(send.address, &request.request_id);
                AttemptResult::CallerDisconnected
            }
        }
    }
}

impl CompletionAttempts<'_> {
    fn engine_request(&self, timeout: Duration) -> EngineCompletionRequest {
        EngineCompletionRequest {
            request_id: self.node.next_engine_request_id(),
            model: self.model.clone(),
            adapter: self.request.adapter.clone(),
            prompt: self.request.prompt.clone(),
            resume: self.generation.tokens.clone(),
            max_tokens: self.request.max_tokens,
            priority: self.priority,
            stream: true,
            deadline_ms: timeout.as_millis() as u64,
            seed: self.seed,
        }
    }

    fn on_chunk(&mut self, version: WeightVersion, tokens: &[Token]) -> ControlFlow<()> {
        self.generation.append(version, tokens);
        if !self.request.stream {
            return ControlFlow::Continue(());
        }
        let event = CompletionBody::chunk(&self.head, version, tokens);
        match serde_json::to_string(&event) {
            Ok(event) if self.write_event(&event).is_ok() => ControlFlow::Continue(()),
            _ => {
                self.output = Output::Disconnected;
                ControlFlow::Break(())
            }
        }
    }

    /// Writes an event; before the first event, also the head of the stream.
    fn write_event(&mut self, event: &str) -> std::io::Result<()> {
        if let Output::NotStarted(_) = self.output {
            let server = self.server.as_ref().map_or("", ServerId::as_str);
            let headers = [(SERVER_HEADER, server)];
            if let Output::NotStarted(caller) =
                std::mem::replace(&mut self.output, Output::Disconnected)
            {
                self.output = Output::Streaming(caller.into_event_stream(&headers)?);
            }
        }
        match &mut self.output {
            Output::Streaming(stream) => stream.event(event),
            Output::NotStarted(_) | Output::Disconnected => {
                Err(std::io::ErrorKind::BrokenPipe.into())
            }
        }
    }

    fn answer_to_store(&self, reason: FinishReason, usage: Usage) -> Option<StoredAnswer> {
        if !self.stores_answer || self.request.stream {
            return None;
        }
        let body = CompletionBody::whole(&self.head, &self.generation, reason, usage);
        let body = serde_json::to_vec(&body).ok()?;
        storable_answer(200, "application/json", &body)
    }

    /// Sends the final answer to the caller. Returns the code for the metrics.
    fn answer(mut self, answer: FinalAnswer) -> String {
        match answer {
            FinalAnswer::Forward { .. } => match (self.rejected.take(), self.finished) {
                (Some(rejected), _) => self.answer_rejection(&rejected),
                (None, Some((reason, usage))) => self.answer_success(reason, usage),
                (None, None) => {
                    let error =
                        internal_error(self.node, "a completion ended without its final event");
                    self.answer_error(&error)
                }
            },
            FinalAnswer::Replay(stored) => {
                if let Output::NotStarted(caller) = self.output {
                    caller.respond(replayed_answer(stored));
                }
                "ok".to_owned()
            }
            FinalAnswer::Error(error) => self.answer_error(&EdgeError::from(error)),
        }
    }

    fn answer_success(mut self, reason: FinishReason, usage: Usage) -> String {
        if self.request.stream {
            return match self.end_stream(reason, usage) {
                Ok(()) => "ok".to_owned(),
                Err(_) => "caller_gone".to_owned(),
            };
        }
        let body = CompletionBody::whole(&self.head, &self.generation, reason, usage);
        let mut answer = EdgeAnswer::json(200, &body);
        if let Some(server) = &self.server {
            answer = answer.with_header(SERVER_HEADER, server.as_str());
        }
        if let Output::NotStarted(caller) = self.output {
            caller.respond(answer);
        }
        "ok".to_owned()
    }

    fn end_stream(&mut self, reason: FinishReason, usage: Usage) -> std::io::Result<()> {
        let end = CompletionBody::end(&self.head, reason, usage);
        let end = serde_json::to_string(&end).map_err(std::io::Error::other)?;
        self.write_event(&end)?;
        self.write_event(DONE_EVENT)?;
        match std::mem::replace(&mut self.output, Output::Disconnected) {
            Output::Streaming(stream) => stream.finish(),
            Output::NotStarted(_) | Output::Disconnected => Ok(()),
        }
    }

    /// Answers that the engine rejected the request, with the engine's message and the verdict that
    /// the request ran.
    fn answer_rejection(self, rejected: &ServerAnswer) -> String {
        let text = String::from_utf8_lossy(&rejected.body).into_owned();
        let error = EdgeError {
            status: rejected.status,
            code: "rejected_by_engine".to_owned(),
            verdict: wingshore_types::Verdict::Ran,
            message: text,
            retry_after: None,
        };
        self.answer_error(&error)
    }

    /// Sends an error: as a plain answer if the stream has not started, otherwise as the last
    /// event, without `[DONE]`.
    fn answer_error(self, error: &EdgeError) -> String {
        match self.output {
            Output::NotStarted(caller) => caller.respond(error.answer()),
            Output::Streaming(mut stream) => {
                let event = serde_json::to_string(&error.body()).unwrap_or_default();
                // A failed write is ignored: the caller has disconnected.
                let _ = stream.event(&event).and_then(|()| stream.finish());
            }
            Output::Disconnected => {}
        }
        error.code.clone()
    }
}
