//! Reads a complete answer of a back end.

use crate::http::HeaderList;
use crate::upstream::failure::failure_of_read;
use std::time::Duration;
use ureq::{Body, Error, http};
use wingshore_request::{AnswerBody, AttemptFailure, FailureKind};
use wingshore_types::platform::NOT_RUN_HEADER;

/// First status of a final answer; the informational statuses below it have no body.
const FIRST_FINAL_STATUS: u16 = 200;
/// Status "204 No Content", which has no body.
const NO_CONTENT: u16 = 204;
/// Status "304 Not Modified", which has no body.
const NOT_MODIFIED: u16 = 304;

/// Answer of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderList,
    /// The part of the body that was received.
    pub body: Vec<u8>,
}

/// Outcome of a request after the head of its answer has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerReply {
    /// An answer, complete or truncated.
    Answer(ServerAnswer, AnswerBody),
    /// No usable answer.
    Failed(AttemptFailure),
}

impl ServerReply {
    /// Reads an answer to its declared end, with at most `limit` bytes of body.
    pub fn read(method: &str, server: &str, response: http::Response<Body>, limit: u64) -> Self {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        let headers = header_list(&parts.headers);
        if headers.first(NOT_RUN_HEADER) == Some("true") {
            return Self::Failed(refusal(server, status, &headers));
        }
        let is_declared = has_no_body(method, status) || has_declared_end(&headers);
        let read = body.into_with_config().limit(limit).read_to_vec();
        match read {
            Ok(body) => {
                let end = if is_declared {
                    AnswerBody::Complete
                } else {
                    AnswerBody::Truncated
                };
                Self::Answer(
                    ServerAnswer {
                        status,
                        headers,
                        body,
                    },
                    end,
                )
            }
            Err(error) => Self::Failed(body_failure(error, server, limit)),
        }
    }
}

/// Returns the failure of an attempt that the server declared as not run.
pub fn refusal(server: &str, status: u16, headers: &HeaderList) -> AttemptFailure {
    let seconds = headers
        .first("retry-after")
        .and_then(|value| value.trim().parse().ok());
    AttemptFailure {
        kind: FailureKind::RefusedByServer,
        message: format!("`{server}` refused with status {status} and did not run the request"),
        retry_after: seconds.map(Duration::from_secs),
    }
}

/// Returns the headers of an answer, without those whose values are not text.
pub fn header_list(headers: &http::HeaderMap) -> HeaderList {
    HeaderList::new(headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str(), value))
    }))
}

fn has_no_body(method: &str, status: u16) -> bool {
    method == "HEAD"
        || status < FIRST_FINAL_STATUS
        || status == NO_CONTENT
        || status == NOT_MODIFIED
}

/// Returns whether the headers declare the end of the body. A body that is delimited by the end of
/// the connection cannot be distinguished from a truncated one.
fn has_declared_end(headers: &HeaderList) -> bool {
    headers.first("content-length").is_some()
        || headers
            .all("transfer-encoding")
            .any(|value| value.to_ascii_lowercase().contains("chunked"))
}

fn body_failure(error: Error, server: &str, limit: u64) -> AttemptFailure {
    if let Error::BodyExceedsLimit(_) = error {
        return AttemptFailure {
            kind: FailureKind::AnswerTooLarge,
            message: format!("the answer of `{server}` has more than {limit} bytes"),
            retry_after: None,
        };
    }
    failure_of_read(&error.into_io(), server)
}
