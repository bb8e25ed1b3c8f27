//! Durable storage of replicated groups: a segmented log, snapshots, and the identity that binds
//! a data folder to one replica.
//!
//! What a [`GroupStore::write`] reports as done is on disk. A crash at any instruction leaves a
//! state in which all reported batches are there, followed at most by the one batch that was
//! being written. Damage to anything that was reported as done is distinguished from such a torn tail:
//! the start is refused, naming file and offset.
//!
//! All access to disk goes through [`FileSystem`], so that tests and simulations can lose
//! unsynced data, tear writes and crash at any call; see [`memory`].

mod blob_index;
mod blobs;
mod error;
mod file_system;
mod folder;
mod frame;
mod journal;
pub mod memory;
mod patient;
mod real;
mod segment;
mod snapshot;
mod store;

pub use blobs::{BlobFiles, BlobWriter, StoredBlob};
pub use error::StorageError;
pub use file_system::{File, FileRange, FileReader, FileSystem, Lock, ReadableFile};
pub use folder::{DataFolder, Identity};
pub use patient::{PatientStore, with_space};
pub use real::RealFileSystem;
pub use store::GroupStore;
