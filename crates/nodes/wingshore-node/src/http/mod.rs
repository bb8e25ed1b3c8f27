//! The HTTP edge towards callers: framing checks, routes, bodies, answers and event streams.

mod body;
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

pub use body::{BodyError, read_body};
pub use caller::Caller;
pub use event_stream::EventStream;
pub use framing::{BodyLength, FramingError, body_length};
pub use headers::{CallerHeaders, HeaderError, HeaderList, without_hop_by_hop};
pub use respond::{EdgeAnswer, EdgeError};
pub use route::{Route, RouteError, parse_route};
pub use server::{EdgeHandler, EdgeServer, WorkKind};
