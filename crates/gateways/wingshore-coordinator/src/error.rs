//! Errors that prevent a coordinator from starting or continuing.

use snafu::Snafu;
use wingshore_group::HostError;
use wingshore_net::NetError;
use wingshore_storage::StorageError;

/// Error that prevents a coordinator from starting or continuing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoordinatorError {
    /// The data folder or the log cannot be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Error of the storage.
        source: StorageError,
    },
    /// The group cannot continue.
    #[snafu(display("{source}"))]
    Group {
        /// Error of the group's host.
        source: HostError,
    },
    /// A socket cannot be used.
    #[snafu(display("{source}"))]
    Net {
        /// Error of the reactor.
        source: NetError,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start the writer thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}
