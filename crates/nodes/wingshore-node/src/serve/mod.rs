//! What the node does with callers' requests.

mod completion_answer;
mod completion_request;
mod completions;
mod edge;
mod execute;
mod forward;
mod intake;
mod trainer;

pub use completion_request::{CompletionRequest, CompletionRequestError, CompletionTarget};
pub use edge::NodeEdge;
