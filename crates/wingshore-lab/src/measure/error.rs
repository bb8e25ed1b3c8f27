//! Why something cannot be measured.

use crate::fleet::FleetError;
use crate::http_client::HttpError;
use snafu::Snafu;

/// Why something cannot be measured.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// The site cannot be run.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Why.
        source: FleetError,
    },
    /// A request got no whole answer.
    #[snafu(display("{source}"), context(false))]
    Http {
        /// Why.
        source: HttpError,
    },
    /// A request got another answer than was measured for.
    #[snafu(display("{what} was answered with status {status}: {body}"))]
    Answer {
        /// The request.
        what: &'static str,
        /// Its status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// A stream ended without a token.
    #[snafu(display("the stream from {url} has no token: {message}"))]
    Stream {
        /// Where it came from.
        url: String,
        /// Why.
        message: String,
    },
    /// The site was not ready in time.
    #[snafu(display("the node was not ready within {seconds} s"))]
    NotReady {
        /// The limit.
        seconds: u64,
    },
    /// The site has no process of this kind.
    #[snafu(display("the site has no {kind}"))]
    Missing {
        /// Which kind.
        kind: &'static str,
    },
    /// Counters of a process cannot be read.
    #[snafu(display("cannot read {path}: {message}"))]
    ProcessCounters {
        /// The file.
        path: String,
        /// Why.
        message: String,
    },
    /// The result cannot be printed.
    #[snafu(display("cannot print the result: {source}"))]
    Print {
        /// Why.
        source: serde_json::Error,
    },
}
