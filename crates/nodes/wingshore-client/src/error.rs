//! Errors of calls and watches.

use snafu::Snafu;
use std::net::SocketAddr;
use wingshore_types::{GroupId, Verdict};

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CallError {
    /// No attempt received a usable reply in time.
    #[snafu(display("no answer from group {group} in time, {attempts} attempts; last: {last}"))]
    TimedOut {
        /// The group that was called.
        group: GroupId,
        /// Number of attempts made.
        attempts: u32,
        /// Why the last attempt failed.
        last: String,
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// The process at the given address did not reply.
    #[snafu(display("no answer from {address}: {reason}"))]
    Unreachable {
        /// Address of the process.
        address: SocketAddr,
        /// Why the last attempt failed.
        reason: String,
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// The request cannot be encoded, for example because it is too large.
    #[snafu(display("cannot send the request: {reason}"))]
    Unsendable {
        /// Why the request cannot be encoded.
        reason: String,
    },
    /// The client knows no replica addresses.
    #[snafu(display("no replica addresses are known"))]
    NoReplicas,
    /// The client was closed during the call.
    #[snafu(display("the client was closed during the call"))]
    Closed {
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

/// Why a configuration watch failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum WatchError {
    /// The call failed.
    #[snafu(display("{source}"))]
    NoAnswer {
        /// The error of the call.
        source: CallError,
    },
    /// The replica rejected the watch.
    #[snafu(display("{reason}"))]
    Refused {
        /// The reason that the replica gave.
        reason: String,
    },
    /// The reply is not an answer to a watch.
    #[snafu(display("unexpected reply to a watch: {answer}"))]
    UnexpectedAnswer {
        /// Debug representation of the reply.
        answer: String,
    },
}

impl CallError {
    /// Returns whether the request may have run: [`Verdict::NotRun`] only if no byte of any attempt
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
