//! Answers and errors sent to callers.

use std::time::Duration;
use wingshore_types::{ErrorBody, ErrorDetail, Verdict};

/// Converts milliseconds to seconds, the unit of `Retry-After`.
const MILLISECONDS_PER_SECOND: u64 = 1000;

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers; connection-specific ones are left out when the answer is sent.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl EdgeAnswer {
    /// Creates an answer with a content type.
    pub fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type".to_owned(), content_type.to_owned())],
            body,
        }
    }

    /// Creates a plain-text answer.
    pub fn text(status: u16, body: &str) -> Self {
        Self::new(
            status,
            "text/plain; charset=utf-8",
            body.as_bytes().to_vec(),
        )
    }

    /// Creates a JSON answer.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(error) => Self::text(500, &format!("cannot encode the answer: {error}")),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// An error as sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeError {
    /// HTTP status.
    pub status: u16,
    /// Stable error code.
    pub code: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong, where, and what is allowed.
    pub message: String,
    /// When the caller may retry; `None` if retrying never helps.
    pub retry_after: Option<Duration>,
}

impl EdgeError {
    /// Creates an error for a request that was refused and did not run.
    pub fn not_run(status: u16, code: &str, message: impl ToString) -> Self {
        Self {
            status,
            code: code.to_owned(),
            verdict: Verdict::NotRun,
            message: message.to_string(),
            retry_after: None,
        }
    }

    /// Sets when the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the JSON body.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code.clone(),
                verdict: self.verdict,
                message: self.message.clone(),
                retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            },
        }
    }

    /// Returns the complete answer; `Retry-After` is in seconds, rounded up.
    pub fn answer(&self) -> EdgeAnswer {
        let answer = EdgeAnswer::json(self.status, &self.body());
        match self.retry_after {
            Some(after) => {
                let seconds = (after.as_millis() as u64).div_ceil(MILLISECONDS_PER_SECOND);
                answer.with_header("Retry-After", &seconds.to_string())
            }
            None => answer,
        }
    }
}

impl From<wingshore_request::RequestError> for EdgeError {
    fn from(error: wingshore_request::RequestError) -> Self {
        Self {
            status: error.code.status(),
            code: error.code.as_str().to_owned(),
            verdict: error.verdict,
            message: error.message,
            retry_after: error.retry_after,
        }
    }
}
