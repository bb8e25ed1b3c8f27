//! Shared parts of the HTTP clients and servers.
//!
//! Clients call thousands of servers by IP address, which the HTTP client library is not designed
//! for: its pool compares every idle connection with every other, and its resolver starts a thread
//! for each connection. The HTTP server library may leave an accepted connection without a thread, and
//! waits for the rest of a body when a request is dropped.

mod agents;
mod nudger;
mod resolver;
mod responder;

pub use agents::AgentPool;
pub use nudger::{Nudger, NudgerThread};
pub use resolver::IpResolver;
pub use responder::Responder;
