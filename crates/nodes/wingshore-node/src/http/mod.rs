//! The HTTP edge towards callers: framing checks, routes, bodies, answers and event streams.
//!
//! Owns the listening socket, the threads that read and answer requests, and the state of the
//! callers' connections. Relies on the HTTP library to parse request heads and on an
//! [`EdgeHandler`] for answers; does not depend on the node's state.

mod body;
mod body_memory;
mod body_readers;
mod caller;
mod connections;
mod event_stream;
mod framing;
mod headers;
mod listener;
mod open_connections;
mod respond;
mod route;
mod server;
mod work;

pub use body::BodyError;
pub use body_memory::BodyMemory;
pub use caller::Caller;
pub use event_stream::EventStream;
pub use headers::{CallerHeaders, HeaderList, without_hop_by_hop};
pub use respond::{EdgeAnswer, EdgeError};
pub use route::{Route, RouteError};
pub use server::EdgeServer;
pub use work::EdgeHandler;
