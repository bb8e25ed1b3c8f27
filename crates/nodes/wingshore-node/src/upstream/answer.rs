//! A back end's answer, read whole.

use crate::http::HeaderList;
use crate::upstream::failure::failure_of_read;
use std::time::Duration;
use ureq::{Body, Error, http};
use wingshore_request::{AnswerBody, AttemptFailure, FailureKind};
use wingshore_types::platform::NOT_RUN_HEADER;

/// Statuses below this one have no body of their own.
const FIRST_FINAL_STATUS: u16 = 200;
/// No content.
const NO_CONTENT: u16 = 204;
/// Not modified.
const NOT_MODIFIED: u16 = 304;

/// A back end's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderList,
    /// As much of the body as came.
    pub body: Vec<u8>,
}

/// What came of a request whose answer's head arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerReply {
    /// An answer, whole or cut.
    Answer(ServerAnswer, AnswerBody),
    /// No usable answer.
    Failed(AttemptFailure),
}

impl ServerReply {
    /// Reads an answer to its declared end, `limit` bytes of body at most.
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

/// A server's own word that it did not run the request.
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

/// Headers of an answer; values that are not text are left out.
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

/// A body that ends with its connection cannot be told from one that was cut.
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
