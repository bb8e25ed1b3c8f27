//! Errors that keep a gateway from starting or running.

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
}
