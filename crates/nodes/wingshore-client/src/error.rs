//! Why a call has no answer.

use snafu::Snafu;
use std::net::SocketAddr;
use wingshore_types::{GroupId, Verdict};

/// A call without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CallError {
    /// No attempt was answered in time.
    #[snafu(display("no answer from group {group} in time, {attempts} attempts; last: {last}"))]
    TimedOut {
        /// The group meant.
        group: GroupId,
        /// How many attempts were made.
        attempts: u32,
        /// How the last one failed.
        last: String,
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// One named process did not answer.
    #[snafu(display("no answer from {address}: {reason}"))]
    Unreachable {
        /// Where it should listen.
        address: SocketAddr,
        /// What failed.
        reason: String,
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// The request is too large to be sent at all.
    #[snafu(display("cannot send the request: {reason}"))]
    Unsendable {
        /// What is wrong with it.
        reason: String,
    },
    /// The client knows no replica to ask.
    #[snafu(display("no replica addresses are known"))]
    NoReplicas,
    /// The client was closed during the call.
    #[snafu(display("the client was closed during the call"))]
    Closed {
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

/// A watch for configuration without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum WatchError {
    /// No answer came.
    #[snafu(display("{source}"))]
    NoAnswer {
        /// Why.
        source: CallError,
    },
    /// The replica refuses it.
    #[snafu(display("{reason}"))]
    Refused {
        /// In its own words.
        reason: String,
    },
    /// An answer came that is none to a watch.
    #[snafu(display("not an answer to a watch: {answer}"))]
    OfAnotherKind {
        /// The answer, as far as it can be shown.
        answer: String,
    },
}

impl CallError {
    /// Whether the request may have run. [`Verdict::NotRun`] only where no byte of any attempt
    /// left this process.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::TimedOut { verdict, .. }
            | Self::Unreachable { verdict, .. }
            | Self::Closed { verdict } => *verdict,
            Self::Unsendable { .. } | Self::NoReplicas => Verdict::NotRun,
        }
    }
}
