//! Why a replica cannot start or go on.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use wingshore_group::HostError;
use wingshore_storage::StorageError;
use wingshore_transport::BindError;
use wingshore_types::GroupId;

/// Why a replica cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ReplicaError {
    /// The data folder cannot be used.
    #[snafu(display("data folder: {source}"))]
    Folder {
        /// Why.
        source: StorageError,
    },
    /// A group's storage cannot be opened or written.
    #[snafu(display("storage of group {group}: {source}"))]
    Storage {
        /// Which group.
        group: GroupId,
        /// Why.
        source: StorageError,
    },
    /// A group cannot start or go on.
    #[snafu(display("group {group}: {source}"))]
    Host {
        /// Which group.
        group: GroupId,
        /// Why.
        source: HostError,
    },
    /// A thread of a group has panicked.
    #[snafu(display("a thread of group {group} has panicked"))]
    Panicked {
        /// Which group.
        group: GroupId,
    },
    /// The address for frames cannot be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Why.
        source: BindError,
    },
    /// The address for health and metrics cannot be listened on.
    #[snafu(display("cannot listen on the admin address {address}: {message}"))]
    Admin {
        /// Where.
        address: SocketAddr,
        /// Why.
        message: String,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start the thread {name}: {source}"))]
    Thread {
        /// Which.
        name: String,
        /// From the system.
        source: io::Error,
    },
}
