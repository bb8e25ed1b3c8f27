//! What an error of the HTTP client says about the execution of the request.

use crate::upstream::connector::ConnectError;
use std::io;
use ureq::Error;
use wingshore_request::{AttemptFailure, FailureKind};

/// The failure that an error before the answer's head means. Only errors of connecting say that
/// the request did not run.
pub fn failure_of(error: &Error, server: &str) -> AttemptFailure {
    let kind = match error {
        Error::Other(source) if source.is::<ConnectError>() => FailureKind::ConnectFailed,
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

/// The failure that an error while reading an answer's body means.
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
