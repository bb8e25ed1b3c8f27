//! Threads that run beside the callers' requests.

mod errand_queue;
mod errands;
mod machines;
mod pools;
mod probes;
mod watch;

pub use errand_queue::{Errand, Errands};
pub use errands::ErrandRunner;
pub use machines::read_machine_list;
pub use pools::PoolAnnouncer;
pub use probes::Prober;
pub use watch::NodeWatch;
