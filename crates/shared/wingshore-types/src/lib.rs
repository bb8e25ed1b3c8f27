//! Identifiers, messages and traits shared by all crates of wingshore.
//!
//! This crate does no I/O. Types that cross a process boundary implement the serde traits: those
//! in [`protocol`] are sent as `postcard` frames between wingshore processes, those in
//! [`platform`] and [`api`] as JSON over HTTP.

pub mod api;
pub mod blob;
pub mod codec;
pub mod configuration;
pub mod generator;
pub mod ids;
pub mod log;
pub mod machine;
pub mod platform;
pub mod protocol;
pub mod sample;
pub mod snapshot;
pub mod snapshot_data;
pub mod snapshot_spool;
pub mod stored;
pub mod time;
pub mod verdict;

pub use ids::{
    Epoch, GroupId, IntentId, LeaseId, LogIndex, NodeId, OrderSequence, PlanId, PoolId, ReplicaId,
    RequestId, Revision, SampleNumber, ServerId, ServiceId, StepId, TrainerId, WeightVersion,
    ZoneId,
};
pub use sample::{Generation, Prompt, Sample, Segment, Token};
pub use time::{Instant, doubled_backoff};
pub use verdict::{ErrorBody, ErrorDetail, Verdict};
