//! What the HTTP clients and servers of the processes share.
//!
//! Clients call thousands of servers by IP number, which the HTTP library is not made for: its
//! pool compares every idle connection with every other, and its resolver starts a thread for each
//! connection. The library of servers may leave an accepted connection without a thread.

mod agents;
mod nudger;
mod resolver;

pub use agents::AgentPool;
pub use nudger::{Nudger, NudgerThread};
pub use resolver::IpResolver;
