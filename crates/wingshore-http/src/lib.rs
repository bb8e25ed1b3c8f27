//! What the HTTP clients of nodes and replicas share. They call thousands of servers by IP
//! number, which the HTTP library is not made for: its pool compares every idle connection with
//! every other, and its resolver starts a thread for each connection.

mod agents;
mod resolver;

pub use agents::AgentPool;
pub use resolver::IpResolver;
