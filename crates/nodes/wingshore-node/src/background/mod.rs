//! Threads that run beside the callers' requests: probes, the configuration watch, the machine
//! list, background calls. Each keeps a part of the node's state up to date or empties its queue.

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
