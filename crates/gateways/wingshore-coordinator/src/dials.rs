//! Connections that this coordinator makes to others. A decision without I/O.
//!
//! Question: whom to connect to now, and which attempt to give up? Inputs: the addresses that are
//! wanted (members and seeds), the time. Rule: one connection an address; one that ended, or did
//! not come up within [`CONNECT_TIMEOUT`], is made again [`CONNECT_INTERVAL`] after that; the
//! connection to an address that is not wanted any more is closed. A list that is out of date costs
//! attempts to machines that are gone, nothing else.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::Instant;

/// Between the end of one connection to an address and the next attempt; short beside the election
/// timeout.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// An attempt to connect is over after this time; hundreds of round trips within a region, and no
/// longer than the election timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection to an address, or the last attempt.
struct Dial<K> {
    connection: Option<K>,
    is_up: bool,
    since: Instant,
}

/// What is to be done about an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialStep<K> {
    /// Connect to it.
    Connect,
    /// End this attempt: it takes too long.
    Abandon(K),
    /// Nothing now.
    Wait,
}

/// Connections that this coordinator makes, by address.
pub struct Dials<K> {
    by_address: BTreeMap<SocketAddr, Dial<K>>,
}

impl<K> Default for Dials<K> {
    fn default() -> Self {
        Self {
            by_address: BTreeMap::new(),
        }
    }
}

impl<K: Copy> Dials<K> {
    /// What is to be done about an address that is wanted.
    pub fn next_step(&self, now: Instant, address: SocketAddr) -> DialStep<K> {
        let Some(dial) = self.by_address.get(&address) else {
            return DialStep::Connect;
        };
        let age = now.since(dial.since);
        match dial.connection {
            Some(connection) if !dial.is_up && age >= CONNECT_TIMEOUT => {
                DialStep::Abandon(connection)
            }
            Some(_) => DialStep::Wait,
            None if age < CONNECT_INTERVAL => DialStep::Wait,
            None => DialStep::Connect,
        }
    }

    /// An attempt has begun; without a connection where the system had none.
    pub fn attempt_started(&mut self, now: Instant, address: SocketAddr, connection: Option<K>) {
        let dial = Dial {
            connection,
            is_up: false,
            since: now,
        };
        self.by_address.insert(address, dial);
    }

    /// The connection to an address is up.
    pub fn connected(&mut self, address: SocketAddr) {
        if let Some(dial) = self.by_address.get_mut(&address) {
            dial.is_up = true;
        }
    }

    /// The connection to an address has ended.
    pub fn disconnected(&mut self, now: Instant, address: SocketAddr) {
        if let Some(dial) = self.by_address.get_mut(&address) {
            dial.connection = None;
            dial.is_up = false;
            dial.since = now;
        }
    }

    /// Forgets addresses that are not wanted any more; gives their connections.
    pub fn retain_wanted(&mut self, wanted: &[SocketAddr]) -> Vec<K> {
        let mut others = Vec::new();
        self.by_address.retain(|address, dial| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                others.extend(dial.connection);
            }
            is_wanted
        });
        others
    }
}
