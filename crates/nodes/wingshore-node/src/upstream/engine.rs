//! Runs one generation attempt on an engine. Engines always stream, so that after a failure another
//! engine can resume from the tokens generated so far.

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

/// Path on engines that accepts completions.
const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path on engines that accepts cancellations.
const CANCEL_PATH: &str = "/v1/cancel";
/// Timeout of a cancellation; after it, the engine's own deadline ends the work.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an error body read from an engine, in bytes.
const MAX_ERROR_BODY_BYTES: u64 = 64 * 1024;
/// First HTTP status that denotes an error of the request or the server.
const FIRST_ERROR_STATUS: u16 = 400;

/// One generation attempt on an engine.
#[derive(Clone, Debug)]
pub struct EngineAttempt<'a> {
    /// Identity of the engine.
    pub server: &'a ServerId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The completion request.
    pub request: &'a EngineCompletionRequest,
    /// Timeout of the whole attempt.
    pub timeout: Duration,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEnd {
    /// The final event arrived: the generation is complete.
    Finished {
        /// Why the generation ended.
        reason: FinishReason,
        /// Token counts.
        usage: Usage,
    },
    /// The engine rejected the request as invalid.
    Rejected(ServerAnswer),
    /// The attempt failed; the chunks received before are valid.
    Failed(AttemptFailure),
    /// The consumer of the chunks ended the attempt.
    Stopped,
}

impl EngineAttempt<'_> {
    /// Runs the attempt and passes each chunk to `on_chunk` as it arrives, until the generation
    /// ends or `on_chunk` returns `Break`.
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
            target: COMPLETIONS_PATH,
            headers: &headers,
            body: &body,
            timeout: self.timeout,
            connections: Connections::Fresh,
        };
        match client.send(&request) {
            Ok(response) => self.read_response(response, on_chunk),
            Err(error) => EngineEnd::Failed(failure_of(&error, self.server.as_str())),
        }
    }

    /// Cancels the attempt at the engine (best effort). Returns whether the engine accepted it.
    pub fn cancel(client: &UpstreamClient, address: SocketAddr, request_id: &str) -> bool {
        let cancel = CancelRequest {
            request_id: request_id.to_owned(),
        };
        client
            .post(address, CANCEL_PATH, &cancel, CANCEL_TIMEOUT)
            .is_ok()
    }

    fn read_response(
        &self,
        response: http::Response<Body>,
        on_chunk: &mut dyn FnMut(WeightVersion, &[Token]) -> ControlFlow<()>,
    ) -> EngineEnd {
        let status = response.status().as_u16();
        let headers = header_list(response.headers());
        if headers.first(NOT_RUN_HEADER) == Some("true") {
            return EngineEnd::Failed(refusal(self.server.as_str(), status, &headers));
        }
        if status >= FIRST_ERROR_STATUS {
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
                Err(StreamError::Truncated) => {
                    return EngineEnd::Failed(self.failure(FailureKind::AnswerCut, "cut short"));
                }
                Err(other) => return EngineEnd::Failed(self.bad_answer(&other.to_string())),
            }
        }
    }

    /// Maps an error status: 4xx is a rejection of the request, 5xx a failure of the engine.
    fn on_error_status(&self, response: http::Response<Body>) -> EngineEnd {
        let reply = ServerReply::read("POST", self.server.as_str(), response, MAX_ERROR_BODY_BYTES);
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
