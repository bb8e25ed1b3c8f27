//! Reactor, HTTP/1.1 parsing and binary frames, for processes that serve many peers on one thread.
//!
//! [`Reactor`] owns sockets and their buffers, independent of any protocol. [`http`] reads and
//! writes HTTP/1.1 messages in buffers, independent of sockets. [`frame`] does the same for the
//! length-prefixed `postcard` frames that the processes of a site exchange.

pub mod account;
mod caller;
mod caller_report;
pub mod callers;
mod closing;
mod connection;
mod connection_table;
mod event;
pub mod frame;
pub mod http;
mod id;
mod output;
mod reactor;
mod ready;
mod signals;

pub use caller_report::CallerMetrics;
pub use closing::{ClosingConnections, OutputProgress};
pub use event::{ConnectOptions, NetError, NetEvent};
pub use id::{ConnectionId, ListenerId};
pub use reactor::{MAX_CALLER_BYTES_PER_POLL, Reactor, ReactorWaker};
pub use signals::{SeedSource, Signals};
