//! The protocol of a deployment's callers and servers, as seen by the gateway.
//!
//! A gateway handles requests, calls and answers; only the implementation of [`IngressProtocol`]
//! knows their encoding.

use crate::gateway_directory::DirectoryAnswer;
use std::time::Duration;
use wingshore_coordination::{ApiKey, ItemId, ItemState, JobId, JobPage, JobSubmission, TextError};
use wingshore_net::http::{Headers, HttpAnswer, RequestHead, WholeRequest};

/// Names of the headers that a gateway reads or sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifier of a request; servers repeat it in their answers.
    pub request_id: &'static str,
    /// Credentials of a client: its API key.
    pub authorization: &'static str,
    /// The tenant that a request runs for; set by gateways only.
    pub tenant: &'static str,
    /// How long the sender waits for an answer, in milliseconds.
    pub deadline: &'static str,
    /// The incarnation of a server that a request is meant for.
    pub expected_instance: &'static str,
    /// The weight version that a request is meant for.
    pub expected_version: &'static str,
    /// Set by a server that has not run the request.
    pub not_run: &'static str,
    /// Set on every answer that a server itself generated.
    pub signature: &'static str,
    /// A server's load: running requests, waiting requests and slots, separated by commas.
    pub load: &'static str,
    /// Identifier of the last event that the receiver of a stream has.
    pub last_event: &'static str,
    /// Priority of a request at an engine.
    pub priority: &'static str,
    /// The weight version that generates the following events.
    pub version: &'static str,
}

/// A call about a batch job.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchCall {
    /// Reads results from a position on.
    Read {
        /// The job.
        job: JobId,
        /// The first position.
        from: u64,
        /// How long the answer may be delayed until there are results.
        wait: Duration,
    },
    /// Reads the body of an item.
    ReadItem {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// Ends the job.
    End {
        /// The job.
        job: JobId,
    },
}

impl BatchCall {
    /// Returns the same call with its wait limited to `limit`.
    pub(crate) fn with_max_wait(self, limit: Duration) -> Self {
        match self {
            Self::Read { job, from, wait } => Self::Read {
                job,
                from,
                wait: wait.min(limit),
            },
            Self::ReadItem { .. } | Self::End { .. } => self,
        }
    }
}

/// Answer to a call about a batch job.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchAnswer {
    /// The job is accepted.
    Accepted,
    /// Results of a job.
    Page(ReadPage),
    /// The body of an item.
    Item(Vec<u8>),
    /// The job is ended.
    Ended,
    /// There is no such job or item.
    Unknown,
    /// The call had no effect; the client may retry it after this time.
    Unavailable(Duration),
    /// The call may or may not take effect.
    Uncertain,
    /// The call is refused for this reason.
    Refused(String),
}

/// Results of a job from a position on, as a client reads them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadPage {
    /// Number of items of the job.
    pub total: u64,
    /// Position of the first result of this page.
    pub from: u64,
    /// Results in order.
    pub results: Vec<ReadResult>,
}

/// One result, as a client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// The item.
    pub id: ItemId,
    /// How the item ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds.
    pub text: String,
    /// The weight versions that generated the text.
    pub versions: Vec<u64>,
    /// The score of the text; `None` without one.
    pub score: Option<String>,
}

impl ReadPage {
    /// Unpacks the texts of a page.
    ///
    /// # Errors
    /// Fails if a text is damaged.
    pub fn unpack(page: &JobPage) -> Result<Self, TextError> {
        let results = page.results.iter().map(|result| {
            Ok(ReadResult {
                id: result.id.clone(),
                state: result.state,
                text: result.text.unpack()?,
                versions: result.versions.clone(),
                score: result.score.clone(),
            })
        });
        Ok(Self {
            total: page.total,
            from: page.from,
            results: results.collect::<Result<_, TextError>>()?,
        })
    }
}

/// Answer that a gateway generates itself for a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnAnswer {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none that is in force.
    Unauthorized,
    /// The request was not run; the client may retry it after this time.
    NotRun(Duration),
    /// The request was not run, because servers crashed while running it. It stays rejected for at
    /// least this time.
    Rejected(Duration),
    /// The request was not run, because it did not arrive completely in time.
    TooSlow,
    /// The request may have run; no server's answer arrived completely.
    Broken,
    /// The request may have run; it timed out.
    OutOfTime,
}

impl OwnAnswer {
    /// Returns the name of the answer for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::NotRun(_) => "not_run",
            Self::Rejected(_) => "rejected",
            Self::TooSlow => "too_slow",
            Self::Broken => "broken",
            Self::OutOfTime => "out_of_time",
        }
    }
}

impl BatchAnswer {
    /// Returns the name of the answer for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted | Self::Page(_) | Self::Item(_) | Self::Ended => "answered",
            Self::Unknown => "nothing_there",
            Self::Unavailable(_) => "unavailable",
            Self::Uncertain => "uncertain",
            Self::Refused(_) => "refused",
        }
    }

    /// Returns the length in bytes of the returned body of an item; `None` for other answers.
    pub fn item_bytes(&self) -> Option<usize> {
        match self {
            Self::Item(body) => Some(body.len()),
            _ => None,
        }
    }

    /// Returns the reason of a refusal; empty for other answers.
    pub fn reason(&self) -> &str {
        match self {
            Self::Refused(reason) => reason,
            _ => "",
        }
    }
}

/// Translates the protocol of callers and servers.
pub trait IngressProtocol {
    /// Returns the names of the headers.
    fn header_names(&self) -> &HeaderNames;
    /// Returns the API key of a caller; `None` without one.
    fn read_key(&self, headers: &Headers) -> Option<ApiKey>;
    /// Reads a call about a batch job; `None` if the request is not such a call.
    fn read_batch_call(&self, head: &RequestHead) -> Option<BatchCall>;
    /// Reads the submission of a batch job, and frees the request's body on the way.
    ///
    /// # Errors
    /// Returns a message that says what is wrong, where, and what is allowed.
    fn read_submission(&self, request: WholeRequest) -> Result<JobSubmission, String>;
    /// Writes the answer to a call about a batch job.
    fn write_batch(&self, answer: &BatchAnswer) -> HttpAnswer;
    /// Writes an answer that the gateway generated itself.
    fn write_own(&self, answer: &OwnAnswer) -> HttpAnswer;
    /// Reads the question which gateways a client may use, and returns the client's zone; `None`
    /// if the request is another one.
    fn read_directory_question(&self, head: &RequestHead) -> Option<String>;
    /// Writes the answer to that question.
    fn write_directory(&self, answer: &DirectoryAnswer) -> HttpAnswer;
    /// Writes the answer to a readiness check.
    fn write_ready(&self, head: &RequestHead, ready: bool) -> HttpAnswer;
}
