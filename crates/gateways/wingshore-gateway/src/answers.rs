//! Decision: what does a server's answer to a request say, and did the request run?
//!
//! No I/O, no clock. [`answer_matching`](crate::answer_matching) has decided before that the answer
//! belongs to the request.
//!
//! **Inputs.** The status of the answer and the server's statement that it did not run the request.
//!
//! **Rule.** A server's statement that it did not run the request takes precedence, including when
//! the request was meant for another incarnation. A status of 500 or above means that the server
//! ran the request and failed. Any other answer is for the caller.
//!
//! **Why.** A request that may have run must not be treated as not run: only its server's own word
//! counts.
//!
//! **Missing inputs.** Without the statement the request counts as run.

use crate::answer_matching::MatchedAnswer;
use crate::protocol::HeaderNames;
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
}

impl AnswerFacts {
    /// Reads the facts from the answer to a request.
    pub fn read(names: &HeaderNames, answer: &MatchedAnswer) -> Self {
        let head = answer.head();
        Self {
            status: head.status.code(),
            says_not_run: head.headers.get(names.not_run).is_some(),
        }
    }
}

/// Returns the number of requests that run or wait at a server, as its answer reports it.
pub(crate) fn reported_load(names: &HeaderNames, answer: &MatchedAnswer) -> Option<u32> {
    let load = answer.head().headers.text(names.load)?;
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
    /// The server ran the request and failed.
    ServerFailed,
}

/// Classifies an answer by the facts of its head.
pub fn classify_answer(facts: AnswerFacts) -> AnswerKind {
    if facts.says_not_run || facts.status == MISDIRECTED_STATUS {
        AnswerKind::Refused
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
            Self::ServerFailed => Some(Verdict::Ran),
        }
    }

    /// Returns the name shown in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Usable => "answered",
            Self::Refused => "refused by the server",
            Self::ServerFailed => "the server failed",
        }
    }
}

/// Whether a status is a server's own failure, which counts against the attempts of a scoring.
pub fn is_internal_error(status: u16) -> bool {
    status == INTERNAL_ERROR_STATUS
}
