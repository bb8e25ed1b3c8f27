//! Identifiers, messages and traits shared by every crate of wingshore.
//!
//! Nothing here does I/O. Types that cross a process boundary derive serde: those under
//! [`protocol`] travel as `postcard` frames between wingshore's own processes, those under
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
