//! Errors that keep a coordinator from starting or from running on.

use snafu::Snafu;
use wingshore_group::HostError;
use wingshore_net::NetError;
use wingshore_storage::StorageError;

/// Error that keeps a coordinator from starting or from running on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoordinatorError {
    /// The data folder or the log cannot be used.
    #[snafu(display("{source}"))]
    Storage {
        /// Error of the storage.
        source: StorageError,
    },
    /// The group cannot run on.
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
