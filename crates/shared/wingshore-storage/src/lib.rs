//! Durable storage of replicated groups: a segmented log, snapshots, and the identity that binds
//! a data folder to one replica.
//!
//! A batch is durable once [`GroupStore::write`] returns success. A crash at any instruction
//! leaves all acknowledged batches, followed at most by the batch that was being written. Damage
//! to acknowledged data is distinguished from such a torn tail: opening the store then fails with
//! the file and the offset.
//!
//! All disk access goes through [`FileSystem`], so that tests and simulations can drop unsynced
//! data, tear writes and crash at any call; see [`memory`].

mod blob_index;
mod blobs;
mod error;
mod file_system;
mod folder;
mod frame;
mod journal;
pub mod memory;
mod real;
mod retrying_store;
mod segment;
mod snapshot;
mod store;

pub use blobs::{BlobFiles, BlobWriter, StoredBlob};
pub use error::StorageError;
pub use file_system::{File, FileRange, FileReader, FileSystem, Lock, ReadableFile};
pub use folder::{DataFolder, Identity};
pub use real::RealFileSystem;
pub use retrying_store::{RetryingStore, retry_while_full};
pub use store::GroupStore;
