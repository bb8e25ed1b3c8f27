//! What the node does with callers' requests.

mod completion_answer;
mod completion_request;
mod completions;
mod edge;
mod execute;
mod forward;
mod intake;
mod trainer;
mod trainer_errors;
mod whole_answer;

pub use edge::NodeEdge;
