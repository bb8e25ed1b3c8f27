//! Heartbeats of servers that were forwarded to the leader and are not answered. A decision without
//! I/O.
//!
//! Question: when is the server told that nobody could acknowledge its heartbeat? Rule: when the
//! leader has not answered for [`FORWARD_TIMEOUT`]. The heartbeat may count all the same; a server
//! repeats it.

use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::ServerRecord;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// A heartbeat that the leader has not acknowledged is answered as unavailable after this time: a
/// server gives a call up after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);

/// A heartbeat that was forwarded to the leader.
pub(crate) struct ForwardedHeartbeat {
    /// Whoever waits for the answer.
    pub(crate) caller: ConnectionId,
    /// What the server said of itself.
    pub(crate) server: ServerRecord,
    /// When it was forwarded.
    pub(crate) since: Instant,
}

/// All of them that are not answered, by the number that the leader answers with.
#[derive(Default)]
pub(crate) struct ForwardedHeartbeats {
    by_id: HashMap<u64, ForwardedHeartbeat>,
    next_id: u64,
}

impl ForwardedHeartbeats {
    /// A heartbeat is forwarded; gives its number.
    pub(crate) fn add(&mut self, forwarded: ForwardedHeartbeat) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, forwarded);
        id
    }

    /// The leader has answered.
    pub(crate) fn take(&mut self, id: u64) -> Option<ForwardedHeartbeat> {
        self.by_id.remove(&id)
    }

    /// Takes out those that have waited for too long.
    pub(crate) fn take_late(&mut self, now: Instant) -> Vec<ForwardedHeartbeat> {
        let is_late =
            |forwarded: &ForwardedHeartbeat| now.since(forwarded.since) >= FORWARD_TIMEOUT;
        let late = self.by_id.extract_if(|_, forwarded| is_late(forwarded));
        late.map(|(_, forwarded)| forwarded).collect()
    }
}
