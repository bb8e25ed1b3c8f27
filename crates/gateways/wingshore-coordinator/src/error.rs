//! Why a coordinator cannot start or go on.

use snafu::Snafu;
use wingshore_group::HostError;
use wingshore_net::NetError;
use wingshore_storage::StorageError;

/// Why a coordinator cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoordinatorError {
    /// The data folder or the log cannot be used.
    #[snafu(display("{source}"))]
    Storage {
        /// From the storage.
        source: StorageError,
    },
    /// The group cannot go on.
    #[snafu(display("{source}"))]
    Group {
        /// From the group's host.
        source: HostError,
    },
    /// A socket cannot be used.
    #[snafu(display("{source}"))]
    Net {
        /// From the reactor.
        source: NetError,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start the thread that writes: {source}"))]
    Thread {
        /// From the system.
        source: std::io::Error,
    },
}
