//! Lifecycle of rollout samples.
//!
//! submitted -> leased -> finished -> scored -> handed over (trainer, step) -> acknowledged.
//!
//! Acknowledged samples are removed.
//!
//! [`LedgerState`] is replicated and changes only by committed [`LedgerCommand`]s. [`LedgerLeader`]
//! runs on the leader of the group: it answers requests that the state alone can answer, holds
//! waiting pulls, expires leases that were not renewed, and proposes all other operations.

mod command;
mod depth;
mod faults;
mod finishing;
mod grants;
mod indexes;
mod leader;
mod lease_clock;
mod leases;
mod numbers;
mod pool;
mod pulls;
mod requests;
mod scoring;
mod stage;
mod state;
mod submissions;
mod waiting_pulls;

pub use command::{LedgerCommand, Operation, PoolSettings};
pub use faults::Faults;
pub use leader::LedgerLeader;
pub use numbers::{NumberLookup, NumberSet};
pub use pool::PoolLedger;
pub use state::LedgerState;
