//! Threads that run beside the callers' requests.

mod call_runner;
mod machines;
mod pools;
mod probes;
mod watch;

pub use call_runner::BackgroundCallRunner;
pub use machines::read_machine_list;
pub use pools::PoolAnnouncer;
pub use probes::Prober;
pub use watch::NodeWatch;
