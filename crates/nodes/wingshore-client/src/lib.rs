//! Client of the replicated groups: finds the leader, follows hints, sends again until it has an
//! answer or the time is up.
//!
//! [`GroupClient`] calls groups; all calls of a process share one connection per replica.
//! [`ConfigurationWatcher`] keeps a node's or relay's long poll for configuration going.

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
