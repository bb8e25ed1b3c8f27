//! Why a gateway cannot start or go on.

use snafu::Snafu;
use wingshore_net::NetError;

/// Why a gateway cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// A socket cannot be used.
    #[snafu(display("{source}"))]
    Net {
        /// From the reactor.
        source: NetError,
    },
}
