//! Why state cannot be measured.

use crate::event_log::EventLogError;
use crate::fleet::FleetError;
use snafu::Snafu;
use std::path::PathBuf;
use wingshore_client::CallError;
use wingshore_types::protocol::wire::GroupReply;

/// Why state cannot be measured.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StateError {
    /// A process cannot be run.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Why.
        source: FleetError,
    },
    /// The log of what was done to processes cannot be written.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// Why.
        source: EventLogError,
    },
    /// A group does not answer.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Why.
        source: CallError,
    },
    /// A group answers something else than was asked for.
    #[snafu(display("unexpected answer to {request}: {reply:?}"))]
    Unexpected {
        /// The request.
        request: &'static str,
        /// The answer.
        reply: Box<GroupReply>,
    },
    /// A file or socket of the measurement itself fails.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Which one.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A condition did not come about.
    #[snafu(display("waited {seconds} s in vain until {what}"))]
    NotReached {
        /// The condition.
        what: String,
        /// How long it was waited for.
        seconds: u64,
    },
    /// The site lacks something.
    #[snafu(display("the site has no {kind}"))]
    Missing {
        /// What.
        kind: &'static str,
    },
    /// A thread of the measurement has panicked.
    #[snafu(display("a thread of the measurement has panicked"))]
    Panicked,
    /// The result cannot be printed.
    #[snafu(display("cannot print the result: {source}"))]
    Print {
        /// Why.
        source: serde_json::Error,
    },
}
