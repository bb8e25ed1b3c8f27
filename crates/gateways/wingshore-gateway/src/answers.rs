//! Decision: is what a server sent the answer to the request, and did the request run?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The status of the answer and three header fields: the server's statement that it did
//! not run the request, the request ID, and the server's signature.
//!
//! **Rule.** A server's statement that it did not run the request takes precedence, including when
//! the request was meant for another incarnation. An answer without the request's ID, or a success
//! without a signature, is not the answer: an intermediary generated it, and the request may have
//! run. A status of 500 or above means that the server ran the request and failed.
//!
//! **Why.** Proxies and broken connections can yield answers that no server generated. A request
//! whose answer was lost must not be treated as not run.
//!
//! **Missing inputs.** A missing header field counts as not set, which is the cautious case.

use crate::protocol::HeaderNames;
use wingshore_net::http::AnswerHead;
use wingshore_types::verdict::Verdict;

/// Status of a server that got a request meant for another incarnation (421 Misdirected Request).
pub(crate) const MISDIRECTED_STATUS: u16 = 421;
/// The lowest status that reports a failure of the server.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;
/// Status of a server that ran the request itself and failed.
const INTERNAL_ERROR_STATUS: u16 = 500;

/// The facts that the head of an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The status code.
    pub status: u16,
    /// Whether the server states that it did not run the request.
    pub says_not_run: bool,
    /// Whether it carries the ID of the request.
    pub matches_request_id: bool,
    /// Whether it carries a server's signature.
    pub is_signed: bool,
}

impl AnswerFacts {
    /// Reads the facts from the head of an answer to the request with this ID.
    pub fn read(names: &HeaderNames, request: &[u8], head: &AnswerHead) -> Self {
        Self {
            status: head.status,
            says_not_run: head.headers.get(names.not_run).is_some(),
            matches_request_id: head.headers.get(names.request_id) == Some(request),
            is_signed: head.headers.get(names.signature).is_some(),
        }
    }

    /// Whether a server generated the answer for this request.
    pub fn is_genuine(self) -> bool {
        self.matches_request_id && self.is_signed
    }
}

/// Returns the number of requests that run or wait at a server, as its answer reports it.
pub(crate) fn reported_load(names: &HeaderNames, head: &AnswerHead) -> Option<u32> {
    let load = head.headers.text(names.load)?;
    let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(running + waiting)
}

/// The classification of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The answer to the request.
    Usable,
    /// The server refused the request.
    Refused,
    /// No server generated it for this request.
    Foreign,
    /// The server ran the request and failed.
    ServerFailed,
}

/// Classifies an answer by the facts of its head.
pub fn classify_answer(facts: AnswerFacts) -> AnswerKind {
    let is_success = (200..300).contains(&facts.status);
    if facts.says_not_run || facts.status == MISDIRECTED_STATUS {
        AnswerKind::Refused
    } else if !facts.matches_request_id || (is_success && !facts.is_signed) {
        AnswerKind::Foreign
    } else if facts.status >= FIRST_SERVER_ERROR_STATUS {
        AnswerKind::ServerFailed
    } else {
        AnswerKind::Usable
    }
}

impl AnswerKind {
    /// Returns whether the request may have run; `None` for a usable answer.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            Self::Usable => None,
            Self::Refused => Some(Verdict::NotRun),
            Self::Foreign => Some(Verdict::MayHaveRun),
            Self::ServerFailed => Some(Verdict::Ran),
        }
    }

    /// Returns the name shown in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Usable => "answered",
            Self::Refused => "refused by the server",
            Self::Foreign => "not the answer",
            Self::ServerFailed => "the server failed",
        }
    }
}

/// Whether a status is a server's own failure, which counts against the attempts of a scoring.
pub fn is_internal_error(status: u16) -> bool {
    status == INTERNAL_ERROR_STATUS
}
