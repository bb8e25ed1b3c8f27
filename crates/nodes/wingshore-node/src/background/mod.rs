//! Threads that run beside the callers' requests.

mod errands;
mod machines;
mod pools;
mod probes;
mod watch;

pub use errands::{Errand, ErrandRunner, Errands};
pub use machines::read_machine_list;
pub use pools::PoolAnnouncer;
pub use probes::Prober;
pub use watch::NodeWatch;
