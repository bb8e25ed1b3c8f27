//! What callers and servers of a deployment speak, as the deployment translates it.
//!
//! A gateway knows requests, calls and answers; their bytes are known to the implementation of
//! [`IngressProtocol`] alone.

use std::time::Duration;
use wingshore_coordination::{ApiKey, ItemId, ItemState, JobId, JobPage, JobSubmission, TextError};
use wingshore_net::http::{Headers, HttpAnswer, RequestHead, WholeRequest};

/// Names of the headers that a gateway reads or sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of a request; servers answer with the same.
    pub request_id: &'static str,
    /// What a client shows its key in.
    pub authorization: &'static str,
    /// The tenant that a request is run for; set by gateways only.
    pub tenant: &'static str,
    /// Milliseconds that the sender will wait.
    pub deadline: &'static str,
    /// The incarnation of a server that a request is meant for.
    pub expected_instance: &'static str,
    /// The weight version that a request is meant for.
    pub expected_version: &'static str,
    /// A server's word that it has not run the request.
    pub not_run: &'static str,
    /// On every answer of a server itself.
    pub signature: &'static str,
    /// A server's requests running, requests waiting and slots, joined by commas.
    pub load: &'static str,
    /// The last event that the receiver of a stream has.
    pub last_event: &'static str,
    /// Rank of a request at an engine.
    pub priority: &'static str,
    /// The weight version that makes what follows.
    pub version: &'static str,
}

/// A call about a batch job.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchCall {
    /// Results from a position on.
    Read {
        /// The job.
        job: JobId,
        /// The first position.
        from: u64,
        /// How long the answer may wait.
        wait: Duration,
    },
    /// The body of an item.
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
    /// The same call, whose answer is held for at most `limit`.
    pub(crate) fn held_for_at_most(self, limit: Duration) -> Self {
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

/// What to answer to a call about a batch job.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchAnswer {
    /// The job is accepted.
    Accepted,
    /// Results.
    Page(ReadPage),
    /// Body of an item.
    Item(Vec<u8>),
    /// The job is ended.
    Ended,
    /// There is no such job or item.
    Unknown,
    /// The call had no effect; the client may retry it after this time.
    Unavailable(Duration),
    /// The call may or may not take effect.
    Uncertain,
    /// The call is refused; says why.
    Refused(String),
}

/// Results of a job from a position on, as a client reads them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadPage {
    /// Items of the job.
    pub total: u64,
    /// Position of the first result here.
    pub from: u64,
    /// Results in order.
    pub results: Vec<ReadResult>,
}

/// One result, as a client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// The item.
    pub id: ItemId,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events, separated by line feeds.
    pub text: String,
    /// The weight versions that made them.
    pub versions: Vec<u64>,
    /// What its scorer said; `None` without one.
    pub score: Option<String>,
}

impl ReadPage {
    /// The page with its texts unpacked.
    ///
    /// # Errors
    /// When a text is damaged.
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

/// A gateway's own answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnAnswer {
    /// No route for this host and path.
    NoRoute,
    /// The route asks for a key, and none that is in force was shown.
    Unauthorized,
    /// Not run; the client may retry it after this time.
    NotRun(Duration),
    /// Not run: servers have ended under it. It is not rejected any more after this time at the
    /// earliest.
    Rejected(Duration),
    /// Not run: it did not arrive whole in time.
    TooSlow,
    /// It may have run; no answer of a server came whole.
    Broken,
    /// It may have run; its time is over.
    OutOfTime,
}

impl OwnAnswer {
    /// The answer in a word.
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
    /// The answer in a word.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted | Self::Page(_) | Self::Item(_) | Self::Ended => "answered",
            Self::Unknown => "nothing_there",
            Self::Unavailable(_) => "unavailable",
            Self::Uncertain => "uncertain",
            Self::Refused(_) => "refused",
        }
    }

    /// What is wrong with a call that is refused; empty otherwise.
    pub fn reason(&self) -> &str {
        match self {
            Self::Refused(reason) => reason,
            _ => "",
        }
    }
}

/// Translates what callers and servers speak.
pub trait IngressProtocol {
    /// Names of headers.
    fn header_names(&self) -> &HeaderNames;
    /// The key that a caller shows; `None` without one.
    fn read_key(&self, headers: &Headers) -> Option<ApiKey>;
    /// Reads a call about a batch job; `None` when the request is none.
    fn read_batch_call(&self, head: &RequestHead) -> Option<BatchCall>;
    /// Reads a batch job.
    ///
    /// # Errors
    /// Says what is wrong, where, and what is allowed.
    fn read_submission(&self, request: &WholeRequest) -> Result<JobSubmission, String>;
    /// Writes the answer to a call about a batch job.
    fn write_batch(&self, answer: &BatchAnswer) -> HttpAnswer;
    /// Writes an answer of the gateway's own.
    fn write_own(&self, answer: &OwnAnswer) -> HttpAnswer;
    /// Writes the answer to the question whether the gateway is ready.
    fn write_ready(&self, head: &RequestHead, ready: bool) -> HttpAnswer;
}
