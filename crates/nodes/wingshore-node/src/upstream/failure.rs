//! Decides from an error of the HTTP client whether the request of a failed attempt may have run.
//!
//! Only a connection error proves that the request did not run. After any other error before the
//! head of the answer, and after any error while reading the body, the request may have run: once
//! a byte was sent, only the server knows. A wrong "did not run" would run a request twice that
//! must not be repeated. An error of an unknown kind counts as a lost connection, after which the
//! request may have run.

use crate::upstream::agent::UnknownStatus;
use crate::upstream::connector::ConnectError;
use std::io;
use ureq::Error;
use wingshore_request::{AttemptFailure, FailureKind};

/// Returns the failure for an error before the head of the answer. Only connection errors mean
/// that the request did not run.
pub fn failure_of(error: &Error, server: &str) -> AttemptFailure {
    let kind = match error {
        Error::Other(source) if source.is::<ConnectError>() => FailureKind::ConnectFailed,
        Error::Other(source) if source.is::<UnknownStatus>() => FailureKind::BadAnswer,
        Error::Timeout(_) => FailureKind::TimedOut,
        Error::Protocol(_) | Error::LargeResponseHeader(..) => FailureKind::BadAnswer,
        _ => FailureKind::ConnectionLost,
    };
    AttemptFailure {
        kind,
        message: format!("`{server}`: {error}"),
        retry_after: None,
    }
}

/// Returns the failure for an error while reading the body of an answer.
pub fn failure_of_read(error: &io::Error, server: &str) -> AttemptFailure {
    let kind = match error.kind() {
        io::ErrorKind::TimedOut => FailureKind::TimedOut,
        _ => FailureKind::AnswerCut,
    };
    AttemptFailure {
        kind,
        message: format!("`{server}`: {error}"),
        retry_after: None,
    }
}
