//! Decision: is what a server sent the answer to the request, and did the request run?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The status of the answer, and what its header lines show: the server's word that it has
//! not run the request, the identity of the request, the server's signature.
//!
//! **Rule.** A server's word that it has not run the request is believed first, also where the request
//! was meant for another incarnation. An answer that does not bear the request's identity, or a success
//! without a signature, is not the answer: something between the gateway and the server made it, and the
//! request may have run. A status of 500 and above says that the server ran the request and failed.
//!
//! **Why.** Proxies and cuts yield answers that no server gave; a request whose answer is lost must not
//! be taken as not run.
//!
//! **Missing inputs.** A line that is not there counts as not shown: the cautious case.

use crate::protocol::HeaderNames;
use wingshore_net::http::AnswerHead;
use wingshore_types::verdict::Verdict;

/// Status by which a server says that a request was meant for another incarnation of a server.
pub(crate) const MISDIRECTED: u16 = 421;
/// From this status on an answer says that the server failed.
const SERVER_FAILURES_FROM: u16 = 500;
/// Status by which a server says that it ran the request itself and failed.
const INTERNAL_ERROR: u16 = 500;

/// What an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Its status code.
    pub status: u16,
    /// Whether it says that the request was not run.
    pub says_not_run: bool,
    /// Whether it bears the identity of the request.
    pub is_own: bool,
    /// Whether it bears a server's signature.
    pub is_signed: bool,
}

impl AnswerFacts {
    /// What the head of an answer shows to the request of this identity.
    pub fn read(names: &HeaderNames, request: &[u8], head: &AnswerHead) -> Self {
        Self {
            status: head.status,
            says_not_run: head.headers.get(names.not_run).is_some(),
            is_own: head.headers.get(names.request_id) == Some(request),
            is_signed: head.headers.get(names.signature).is_some(),
        }
    }

    /// Whether a server made it for the request.
    pub fn is_genuine(self) -> bool {
        self.is_own && self.is_signed
    }
}

/// The requests that run or wait at a server, by the head of its answer.
pub(crate) fn read_load(names: &HeaderNames, head: &AnswerHead) -> Option<u32> {
    let load = head.headers.text(names.load)?;
    let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(running + waiting)
}

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The answer to the request.
    Usable,
    /// The server refused the request.
    Refused,
    /// No server made it for this request.
    Foreign,
    /// The server ran the request and failed.
    ServerFailed,
}

/// What the answer with these facts is.
pub fn classify_answer(facts: AnswerFacts) -> AnswerKind {
    let is_success = (200..300).contains(&facts.status);
    if facts.says_not_run || facts.status == MISDIRECTED {
        AnswerKind::Refused
    } else if !facts.is_own || (is_success && !facts.is_signed) {
        AnswerKind::Foreign
    } else if facts.status >= SERVER_FAILURES_FROM {
        AnswerKind::ServerFailed
    } else {
        AnswerKind::Usable
    }
}

impl AnswerKind {
    /// Whether the request may have run; `None` for the answer to it.
    pub fn verdict(self) -> Option<Verdict> {
        match self {
            Self::Usable => None,
            Self::Refused => Some(Verdict::NotRun),
            Self::Foreign => Some(Verdict::MayHaveRun),
            Self::ServerFailed => Some(Verdict::Ran),
        }
    }

    /// In words, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Usable => "answered",
            Self::Refused => "refused by the server",
            Self::Foreign => "not the answer",
            Self::ServerFailed => "the server failed",
        }
    }
}

/// Whether a status counts as a failure of the server's own, against the attempts of a scoring.
pub fn is_internal_error(status: u16) -> bool {
    status == INTERNAL_ERROR
}
