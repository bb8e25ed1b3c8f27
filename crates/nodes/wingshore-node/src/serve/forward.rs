//! Forwards requests to live services unchanged.

use crate::http::{Caller, EdgeAnswer, EdgeError, HeaderList, without_hop_by_hop};
use crate::serve::execute::{AttemptResult, Attempts, execute};
use crate::serve::intake::{ReceivedRequest, read_request};
use crate::serve::whole_answer::{
    internal_error, replayed_answer, serve_buffered, storable_answer,
};
use crate::state::NodeState;
use crate::upstream::{Connections, ServerAnswer, ServerReply, UpstreamRequest, failure_of};
use std::time::Duration;
use wingshore_request::{AnswerBody, AttemptEnd, FinalAnswer, RequestSpecification, SendAttempt};
use wingshore_routing::{Class, RouteRequest};
use wingshore_types::api::{DEADLINE_HEADER, SERVER_HEADER};
use wingshore_types::configuration::{Service, ServiceKind};
use wingshore_types::protocol::claims::StoredAnswer;
use wingshore_types::{ServerId, ServiceId};

/// Content type of a stored answer whose server sent none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";
/// Methods that change nothing on a server, so that repeating them is safe.
const SAFE_METHODS: &[&str] = &["GET", "HEAD", "OPTIONS"];
/// Request kind of forwarded requests in metrics.
const KIND: &str = "forward";

/// Forwards a request to a server of `service`.
pub fn serve(node: &NodeState, caller: Caller, service: ServiceId, target: &str) {
    serve_buffered(node, KIND, caller, |caller| {
        forward(node, caller, service, target)
    });
}

fn forward(
    node: &NodeState,
    caller: &mut Caller,
    id: ServiceId,
    target: &str,
) -> Result<EdgeAnswer, EdgeError> {
    let received = read_request(node, caller)?;
    let configuration = node.configuration();
    let service = configuration
        .services
        .get(&id)
        .ok_or_else(|| unknown_service(&id))?;
    if service.kind != ServiceKind::Live {
        return Err(EdgeError::not_run(
            400,
            "not_a_live_service",
            format!("service `{id}` has engines; use /v1/completions"),
        ));
    }
    let specification = specification(node, &received, service, caller.method(), target);
    let mut attempts = ForwardAttempts {
        node,
        method: caller.method(),
        target,
        headers: without_hop_by_hop(caller.headers()),
        body: &received.body,
        stores_answer: specification.claim.is_some(),
        last_answer: None,
    };
    let answer = execute(node, KIND, specification, &mut attempts);
    match answer {
        Some(FinalAnswer::Forward { .. }) => forwarded_answer(node, attempts.last_answer),
        Some(FinalAnswer::Replay(stored)) => Ok(replayed_answer(stored)),
        Some(FinalAnswer::Error(error)) => Err(error.into()),
        None => Err(internal_error(
            node,
            "a forwarded request ended without an answer",
        )),
    }
}

fn specification(
    node: &NodeState,
    received: &ReceivedRequest,
    service: &Service,
    method: &str,
    target: &str,
) -> RequestSpecification {
    let default = Duration::from_millis(service.default_deadline_ms);
    let is_safe = SAFE_METHODS.contains(&method);
    let route = RouteRequest {
        service: service.id.clone(),
        class: Class::Live,
        prefix_hash: None,
        tokens_estimate: 0,
        deadline: node.clock.now() + received.deadline(default),
        no_repeat: received.headers.no_repeat.unwrap_or(!is_safe),
        excluded: Vec::new(),
        oldest_useful: None,
    };
    RequestSpecification {
        route,
        claim: received.claim(node, &service.id, method, target),
    }
}

/// Runs attempts at live servers.
struct ForwardAttempts<'a> {
    node: &'a NodeState,
    method: &'a str,
    target: &'a str,
    headers: HeaderList,
    body: &'a [u8],
    stores_answer: bool,
    last_answer: Option<(ServerId, ServerAnswer)>,
}

impl Attempts for ForwardAttempts<'_> {
    fn attempt(&mut self, send: &SendAttempt) -> AttemptResult {
        let timeout = self.node.clock.time_left(send.deadline);
        let headers = self
            .headers
            .with(DEADLINE_HEADER, &timeout.as_millis().to_string());
        let request = UpstreamRequest {
            address: send.address,
            method: self.method,
            target: self.target,
            headers: &headers,
            body: self.body,
            timeout,
            connections: if send.fresh_connection {
                Connections::Fresh
            } else {
                Connections::Pooled
            },
        };
        let server = send.server.as_str();
        let response = match self.node.upstream.send(&request) {
            Ok(response) => response,
            Err(error) => {
                return AttemptResult::Ended(AttemptEnd::Failed(failure_of(&error, server)));
            }
        };
        let limit = self.node.settings.http.max_answer_body;
        let end = match ServerReply::read(self.method, server, response, limit) {
            ServerReply::Failed(failure) => AttemptEnd::Failed(failure),
            ServerReply::Answer(answer, body) => self.on_answer(send, answer, body),
        };
        AttemptResult::Ended(end)
    }
}

impl ForwardAttempts<'_> {
    fn on_answer(
        &mut self,
        send: &SendAttempt,
        answer: ServerAnswer,
        body: AnswerBody,
    ) -> AttemptEnd {
        let end = AttemptEnd::Answered {
            status: answer.status,
            body,
            stored_answer: self.answer_to_store(&answer),
        };
        self.last_answer = Some((send.server.clone(), answer));
        end
    }

    fn answer_to_store(&self, answer: &ServerAnswer) -> Option<StoredAnswer> {
        if !self.stores_answer {
            return None;
        }
        let content_type = answer.headers.first("content-type");
        let content_type = content_type.unwrap_or(DEFAULT_CONTENT_TYPE);
        storable_answer(answer.status, content_type, &answer.body)
    }
}

fn forwarded_answer(
    node: &NodeState,
    last_answer: Option<(ServerId, ServerAnswer)>,
) -> Result<EdgeAnswer, EdgeError> {
    let Some((server, answer)) = last_answer else {
        return Err(internal_error(
            node,
            "an attempt was to be forwarded that has no answer",
        ));
    };
    let mut headers: Vec<(String, String)> = without_hop_by_hop(&answer.headers)
        .iter()
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    // An answer to HEAD declares the length of a body that is not sent.
    if let Some(length) = answer.headers.first("content-length") {
        headers.push(("content-length".to_owned(), length.to_owned()));
    }
    headers.push((SERVER_HEADER.to_owned(), server.as_str().to_owned()));
    Ok(EdgeAnswer {
        status: answer.status,
        headers,
        body: answer.body,
    })
}

fn unknown_service(id: &ServiceId) -> EdgeError {
    EdgeError::not_run(
        404,
        "unknown_service",
        format!("service `{id}` is not configured"),
    )
}
