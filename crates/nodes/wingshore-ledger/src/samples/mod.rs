//! The life of rollout samples.
//!
//! submitted -> leased -> finished -> scored -> handed over (trainer, step) -> acknowledged, freed.
//!
//! [`LedgerState`] is replicated: it changes by committed [`LedgerCommand`]s only. [`LedgerLeader`]
//! runs on the group's leader: it answers what can be answered from the state, lets pulls wait,
//! ends leases that were not renewed, and proposes the rest.

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
pub use numbers::{Membership, NumberSet};
pub use pool::PoolLedger;
pub use state::LedgerState;
