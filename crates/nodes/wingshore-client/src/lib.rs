//! Client of the replicated groups: finds the leader, follows leader hints, and retries until a
//! reply arrives or the call times out.
//!
//! [`GroupClient`] calls groups; all calls of a process share one connection per replica.
//! [`ConfigurationWatcher`] long-polls for configuration on behalf of a node or relay.

mod call;
mod error;
mod lock;
mod multiplexed;
mod pool;
mod retry;
mod route;
mod watch;
mod watcher;

pub use call::GroupClient;
pub use error::{CallError, WatchError};
pub use retry::{Backoff, attempt_timeout};
pub use route::Route;
pub use watch::WatchAnswer;
pub use watcher::{ConfigurationWatcher, WatchHandler};
