//! One attempt at generating on an engine. Engines are always asked to stream, so that tokens
//! generated before a failure can be resumed elsewhere.

use crate::http::HeaderList;
use crate::upstream::agent::{Connections, InterruptibleClient, UpstreamClient, UpstreamRequest};
use crate::upstream::answer::{ServerAnswer, ServerReply, header_list, refusal};
use crate::upstream::event_reader::{EventReader, StreamError};
use crate::upstream::failure::{failure_of, failure_of_read};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;
use ureq::{Body, http};
use wingshore_request::{AnswerBody, AttemptFailure, FailureKind};
use wingshore_types::platform::{
    CancelRequest, EngineCompletionRequest, EngineStreamEvent, FinishReason, NOT_RUN_HEADER, Usage,
};
use wingshore_types::{ServerId, Token, WeightVersion};

/// Where engines take completions.
const COMPLETIONS: &str = "/v1/completions";
/// Where engines take cancels.
const CANCEL: &str = "/v1/cancel";
/// A cancel is given up after this time; the engine's own deadline then ends the work.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest error body that is read from an engine, in bytes.
const MAX_ERROR_BODY: u64 = 64 * 1024;
/// First status that is an error of the request or the server.
const FIRST_ERROR: u16 = 400;

/// One attempt.
#[derive(Clone, Debug)]
pub struct EngineAttempt<'a> {
    /// The engine.
    pub server: &'a ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What to generate.
    pub request: &'a EngineCompletionRequest,
    /// Everything must be over by then.
    pub timeout: Duration,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEnd {
    /// The final event came: the generation is whole.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// Token counts.
        usage: Usage,
    },
    /// The engine finds fault with the request itself.
    Rejected(ServerAnswer),
    /// It failed; chunks that came before are good.
    Failed(AttemptFailure),
    /// The consumer of the chunks wants no more.
    Stopped,
}

impl EngineAttempt<'_> {
    /// Generates, giving each chunk to `on_chunk` as it comes, until the end or until `on_chunk`
    /// breaks.
    pub fn run(
        &self,
        client: &InterruptibleClient,
        on_chunk: &mut dyn FnMut(WeightVersion, &[Token]) -> ControlFlow<()>,
    ) -> EngineEnd {
        let body = match serde_json::to_vec(self.request) {
            Ok(body) => body,
            Err(error) => return EngineEnd::Failed(self.bad_answer(&error.to_string())),
        };
        let headers = HeaderList::new([
            ("content-type", "application/json"),
            ("accept", "text/event-stream"),
        ]);
        let request = UpstreamRequest {
            address: self.address,
            method: "POST",
            target: COMPLETIONS,
            headers: &headers,
            body: &body,
            timeout: self.timeout,
            connections: Connections::Fresh,
        };
        match client.send(&request) {
            Ok(response) => self.on_head(response, on_chunk),
            Err(error) => EngineEnd::Failed(failure_of(&error, self.server.as_str())),
        }
    }

    /// Cancels the attempt at the engine. Best effort; answers whether the engine took it.
    pub fn cancel(client: &UpstreamClient, address: SocketAddr, request_id: &str) -> bool {
        let cancel = CancelRequest {
            request_id: request_id.to_owned(),
        };
        client
            .post(address, CANCEL, &cancel, CANCEL_TIMEOUT)
            .is_ok()
    }

    fn on_head(
        &self,
        response: http::Response<Body>,
        on_chunk: &mut dyn FnMut(WeightVersion, &[Token]) -> ControlFlow<()>,
    ) -> EngineEnd {
        let status = response.status().as_u16();
        let headers = header_list(response.headers());
        if headers.first(NOT_RUN_HEADER) == Some("true") {
            return EngineEnd::Failed(refusal(self.server.as_str(), status, &headers));
        }
        if status >= FIRST_ERROR {
            return self.on_error_status(response);
        }
        self.read_events(
            EventReader::new(response.into_body().into_reader()),
            on_chunk,
        )
    }

    fn read_events<R: std::io::Read>(
        &self,
        mut events: EventReader<R>,
        on_chunk: &mut dyn FnMut(WeightVersion, &[Token]) -> ControlFlow<()>,
    ) -> EngineEnd {
        loop {
            match events.next_event() {
                Ok(EngineStreamEvent::Chunk {
                    tokens,
                    weight_version,
                }) => {
                    if on_chunk(weight_version, &tokens).is_break() {
                        return EngineEnd::Stopped;
                    }
                }
                Ok(EngineStreamEvent::Finished {
                    finish_reason,
                    usage,
                }) => {
                    return EngineEnd::Finished {
                        reason: finish_reason,
                        usage,
                    };
                }
                Err(StreamError::Read { source }) => {
                    return EngineEnd::Failed(failure_of_read(&source, self.server.as_str()));
                }
                Err(StreamError::Cut) => {
                    return EngineEnd::Failed(self.failure(FailureKind::AnswerCut, "cut short"));
                }
                Err(other) => return EngineEnd::Failed(self.bad_answer(&other.to_string())),
            }
        }
    }

    /// 4xx is the engine's word on the request; 5xx is its own failure.
    fn on_error_status(&self, response: http::Response<Body>) -> EngineEnd {
        let reply = ServerReply::read("POST", self.server.as_str(), response, MAX_ERROR_BODY);
        match reply {
            ServerReply::Answer(answer, AnswerBody::Complete) if answer.status < 500 => {
                EngineEnd::Rejected(answer)
            }
            ServerReply::Answer(answer, _) => {
                EngineEnd::Failed(self.bad_answer(&format!("status {}", answer.status)))
            }
            ServerReply::Failed(failure) => EngineEnd::Failed(failure),
        }
    }

    fn bad_answer(&self, what: &str) -> AttemptFailure {
        self.failure(FailureKind::BadAnswer, what)
    }

    fn failure(&self, kind: FailureKind, what: &str) -> AttemptFailure {
        AttemptFailure {
            kind,
            message: format!("engine `{}`: {what}", self.server),
            retry_after: None,
        }
    }
}
