//! Connections that this coordinator makes to other coordinators. A decision without I/O.
//!
//! Question: which addresses to connect to now, and which attempts to cancel? Inputs: the wanted
//! addresses (members and seeds) and the time. Rule: one connection per address. A connection that
//! has ended, or was not established within [`CONNECT_TIMEOUT`], is retried [`CONNECT_INTERVAL`]
//! later; a connection to an address that is no longer wanted is closed. An outdated list of
//! addresses only costs attempts to connect to machines that no longer exist.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::Instant;

/// Time between the end of one connection to an address and the next attempt; short compared with
/// the election timeout.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an attempt to connect is cancelled: hundreds of round trips within a region,
/// and no longer than the election timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Connection to an address, or the last attempt to connect.
struct Dial<K> {
    connection: Option<K>,
    is_connected: bool,
    /// When the attempt started, or the connection ended.
    changed_at: Instant,
}

/// Next step for an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialStep<K> {
    /// Connect to the address.
    Connect,
    /// Cancel this attempt, which has timed out.
    Abandon(K),
    /// Do nothing now.
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
    /// Returns the next step for a wanted address.
    pub fn next_step(&self, now: Instant, address: SocketAddr) -> DialStep<K> {
        let Some(dial) = self.by_address.get(&address) else {
            return DialStep::Connect;
        };
        let age = now.since(dial.changed_at);
        match dial.connection {
            Some(connection) if !dial.is_connected && age >= CONNECT_TIMEOUT => {
                DialStep::Abandon(connection)
            }
            Some(_) => DialStep::Wait,
            None if age < CONNECT_INTERVAL => DialStep::Wait,
            None => DialStep::Connect,
        }
    }

    /// Records that an attempt has started; `connection` is `None` where the system could not
    /// create one.
    pub fn attempt_started(&mut self, now: Instant, address: SocketAddr, connection: Option<K>) {
        let dial = Dial {
            connection,
            is_connected: false,
            changed_at: now,
        };
        self.by_address.insert(address, dial);
    }

    /// Records that the connection to an address is established.
    pub fn connected(&mut self, address: SocketAddr) {
        if let Some(dial) = self.by_address.get_mut(&address) {
            dial.is_connected = true;
        }
    }

    /// Records that the connection to an address has ended.
    pub fn disconnected(&mut self, now: Instant, address: SocketAddr) {
        if let Some(dial) = self.by_address.get_mut(&address) {
            dial.connection = None;
            dial.is_connected = false;
            dial.changed_at = now;
        }
    }

    /// Forgets addresses that are no longer wanted, and returns their connections.
    pub fn retain_wanted(&mut self, wanted: &[SocketAddr]) -> Vec<K> {
        let mut unwanted = Vec::new();
        self.by_address.retain(|address, dial| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                unwanted.extend(dial.connection);
            }
            is_wanted
        });
        unwanted
    }
}
