//! Errors of a replica.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use wingshore_group::HostError;
use wingshore_storage::StorageError;
use wingshore_transport::BindError;
use wingshore_types::GroupId;

/// A reason why a replica cannot start or continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ReplicaError {
    /// The data folder cannot be used.
    #[snafu(display("data folder: {source}"))]
    Folder {
        /// Cause.
        source: StorageError,
    },
    /// A group's storage cannot be opened or written.
    #[snafu(display("storage of group {group}: {source}"))]
    Storage {
        /// Group concerned.
        group: GroupId,
        /// Cause.
        source: StorageError,
    },
    /// A group cannot start or continue.
    #[snafu(display("group {group}: {source}"))]
    Host {
        /// Group concerned.
        group: GroupId,
        /// Cause.
        source: HostError,
    },
    /// A thread of a group has panicked.
    #[snafu(display("a thread of group {group} has panicked"))]
    Panicked {
        /// Group concerned.
        group: GroupId,
    },
    /// The listen address for frames cannot be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: BindError,
    },
    /// The admin address, for health and metrics, cannot be bound.
    #[snafu(display("cannot listen on the admin address {address}: {message}"))]
    Admin {
        /// Admin address from the settings.
        address: SocketAddr,
        /// Cause, as reported by the HTTP library.
        message: String,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start the thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
}
