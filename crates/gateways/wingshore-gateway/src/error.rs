//! Errors that keep a gateway from starting or running.

use hdrhistogram::CreationError;
use snafu::Snafu;
use wingshore_net::NetError;

/// Errors that keep a gateway from starting or running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// A socket cannot be used.
    #[snafu(display("{source}"))]
    Net {
        /// The error of the reactor.
        source: NetError,
    },
    /// The histograms of answer times cannot be created.
    #[snafu(display("histograms of answer times: {source:?}"))]
    Histogram {
        /// The invalid bound.
        source: CreationError,
    },
}
