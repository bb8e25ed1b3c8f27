//! Process of a gateway: the shared ingress of a site.
//!
//! One thread owns all sockets. Clients' requests are forwarded to servers within the attempts,
//! timeouts and kinds of their routes. Items of batch jobs run on engines as assigned by the
//! coordination group's leader. Calls about batch jobs are sent to that leader; reads of results go
//! to a copy of the state in the gateway's zone first. All state is soft: a gateway may be killed
//! at any time. An [`IngressProtocol`] translates the protocols of callers and servers.

mod admission;
mod answer_matching;
mod answers;
mod attempt_timeouts;
mod attempts;
mod balance;
mod call_policy;
mod calls;
mod clients;
mod coordinators;
mod crash_reports;
mod crashes;
mod encode;
mod environment;
mod error;
mod event_stream;
mod exchange;
mod fingerprints;
mod forward;
mod forward_ends;
mod forward_log;
mod gateway_directory;
mod ids;
mod item_attempt;
mod item_policy;
mod items;
mod limit;
mod metrics;
mod passed_stream;
mod process;
mod protocol;
mod request_suspicion;
mod running_attempt;
mod runtime;
mod scoring;
mod scoring_load;
mod scoring_policy;
mod scoring_start;
mod second_attempt;
mod second_attempt_services;
mod second_attempts;
mod send_attempt;
mod servers;
mod service_latency;
mod settings;
mod site;
mod split;
mod start_estimate;
mod streams;
mod suspects;
mod timers;
mod trial_table;
mod trials;
mod unmatched;
mod upstream;
mod usage;
mod view;
mod view_following;
mod view_source;

pub use answer_matching::{
    AnswerError, ExpectedAnswer, MAX_MISMATCHED_ANSWERS, MAX_MISMATCHED_BYTES, MatchedAnswer,
    MatchedPart, MatchingReader, MismatchedAnswer, UnidentifiedAnswer,
};
pub use answers::{AnswerFacts, AnswerKind, classify_answer, is_internal_error};
pub use attempt_timeouts::{
    StopProgress, answer_deadline, connect_deadline, is_request_admitted, is_stream_admitted,
    kept_until, request_timeout,
};
pub use attempts::{
    AttemptHistory, NextStep, RetryContext, RetryLimits, failure_answer, next_step,
};
pub use balance::Balancer;
pub use call_policy::call_time_limit;
pub use crashes::CrashDetector;
pub use error::GatewayError;
pub use event_stream::{EventReader, StreamEvent, take_complete_events};
pub use gateway_directory::{
    DirectoryAnswer, DirectoryQuestion, GatewayDirectory, LIST_LIFETIME, OwnStatus, SHORT_VALIDITY,
};
pub use item_policy::{ItemAnswer, classify_item_answer, is_upload_due};
pub use limit::{ConcurrencyLimit, LoadSignal};
pub use process::Gateway;
pub use protocol::{
    BatchAnswer, BatchCall, HeaderNames, IngressProtocol, OwnAnswer, ReadPage, ReadResult,
};
pub use scoring_load::ScoringLoads;
pub use scoring_policy::{ScoringEnd, end_with_answer, end_without_answer, max_scorings};
pub use scoring_start::{
    ScoringLeader, ScoringStart, is_leaderless_start_due, may_start_without_leader, scoring_start,
};
pub use second_attempt::{
    Requester, SecondAttemptBudget, SecondAttemptContext, is_second_possible, may_start_second,
    second_attempt_delay,
};
pub use service_latency::ServiceLatencies;
pub use settings::{GatewayPolicy, GatewaySettings};
pub use start_estimate::StartEstimate;
pub use view::{UpdateOutcome, View};
pub use view_source::{Candidate, ChoiceInputs, ViewSource};
