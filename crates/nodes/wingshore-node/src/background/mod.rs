//! Background threads: probes, the configuration watch, the machine list and background calls.
//! Each thread keeps a part of the node's state up to date or processes a queue of the node.

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
