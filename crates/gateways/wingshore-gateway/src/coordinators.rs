//! Links to the coordinators, and which of them is the leader.
//!
//! Owns the state of each link. Decides by time alone whether a link is connected, kept or closed;
//! the contents of messages are handled elsewhere.

use crate::runtime::Runtime;
use crate::view_source::Candidate;
use bytes::Bytes;
use serde::Serialize;
use slog::{info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    FormatRange, GatewayHello, GatewayMessage, IncomingFrame, RefusedPeers, with_own_formats,
};
use wingshore_net::{ConnectOptions, ConnectionId, frame};
use wingshore_types::{Instant, LogIndex};

/// Limit on the time that sent bytes stay unacknowledged; slightly above [`SILENCE_LIMIT`].
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Interval between attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// A link that was up for at least this long does not count as a failed attempt to connect.
const STABLE_LINK_TIME: Duration = Duration::from_secs(2);
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A coordinator that is silent for this long is disconnected: four heartbeats at 300 ms each.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// A coordinator's copy of the state is read only if a message from the coordinator arrived within
/// this time: two heartbeats at 300 ms each.
const COPY_FRESHNESS_LIMIT: Duration = Duration::from_millis(650);

/// The link to one coordinator.
struct CoordinatorLink {
    connection: Option<ConnectionId>,
    is_connected: bool,
    /// When the last attempt to connect began or the connection ended. The end of a stable
    /// connection is dated back, so that the link is reconnected at once.
    state_since: Instant,
    /// When the last message arrived.
    last_message_at: Instant,
    /// The message format of the link; `None` before the first heartbeat, which carries the
    /// formats that the coordinator supports.
    format: Option<u16>,
    /// Addresses of other coordinators that this one has announced.
    known_coordinators: Vec<SocketAddr>,
    /// The coordinator's copy of the state, once it has announced one.
    copy: Option<StateCopy>,
}

/// A coordinator's copy of the state.
#[derive(Clone, Debug)]
pub(crate) struct StateCopy {
    /// The zone of the coordinator.
    pub(crate) zone: String,
    /// The last log entry applied to the copy.
    pub(crate) revision: LogIndex,
}

impl CoordinatorLink {
    /// Returns the connection if it is up.
    fn open_connection(&self) -> Option<ConnectionId> {
        self.connection.filter(|_| self.is_connected)
    }

    /// Returns the copy of the state if the link is up and a message arrived recently.
    fn fresh_copy(&self, now: Instant) -> Option<&StateCopy> {
        let is_fresh = self.is_connected && now.since(self.last_message_at) <= COPY_FRESHNESS_LIMIT;
        self.copy.as_ref().filter(|_| is_fresh)
    }

    /// Returns whether the connection attempt has timed out or the coordinator is silent.
    fn is_lost(&self, now: Instant) -> bool {
        if self.is_connected {
            now.since(self.last_message_at) >= SILENCE_LIMIT
        } else {
            now.since(self.state_since) >= CONNECT_TIMEOUT
        }
    }
}

/// All links to coordinators.
#[derive(Default)]
pub(crate) struct Coordinators {
    links: BTreeMap<SocketAddr, CoordinatorLink>,
    /// The coordinator's address for each connection.
    addresses: HashMap<ConnectionId, SocketAddr>,
    /// The coordinator with the newest known leadership, while its link is up.
    leader: Option<SocketAddr>,
    refused: RefusedPeers,
}

impl Coordinators {
    /// Returns the connection to the leader.
    pub(crate) fn leader(&self) -> Option<ConnectionId> {
        self.connection(self.leader?)
    }

    /// Returns the time since the last message from the leader.
    pub(crate) fn leader_silence(&self, now: Instant) -> Option<Duration> {
        let link = self.links.get(self.leader.as_ref()?)?;
        Some(now.since(link.last_message_at))
    }

    /// Returns the connection to a coordinator, if its link is up.
    pub(crate) fn connection(&self, address: SocketAddr) -> Option<ConnectionId> {
        self.links.get(&address)?.open_connection()
    }

    /// Returns the address of the coordinator at the other end of a connection; `None` if the peer
    /// is not a coordinator.
    pub(crate) fn address(&self, connection: ConnectionId) -> Option<SocketAddr> {
        self.addresses.get(&connection).copied()
    }

    /// Returns whether messages of `format` can be sent to a coordinator.
    pub(crate) fn speaks(&self, address: SocketAddr, format: u16) -> bool {
        let known = self.links.get(&address).and_then(|link| link.format);
        known.is_some_and(|known| known >= format)
    }

    /// Returns whether messages of `format` can be sent to the leader.
    pub(crate) fn leader_speaks(&self, format: u16) -> bool {
        self.leader
            .is_some_and(|address| self.speaks(address, format))
    }

    /// Returns whether a coordinator whose link is up knows a leader.
    pub(crate) fn is_leader_known(&self) -> bool {
        let mut links = self.links.values();
        links.any(|link| link.is_connected && link.copy.is_some())
    }

    /// Returns all connections that are up.
    pub(crate) fn connected(&self) -> Vec<ConnectionId> {
        let links = self.links.values();
        links.filter_map(CoordinatorLink::open_connection).collect()
    }

    /// Returns the connection to a coordinator in `zone` with a fresh copy of the state; `None` if
    /// the leader has such a copy in `zone` too.
    pub(crate) fn near_copy(&self, now: Instant, zone: &str) -> Option<ConnectionId> {
        let is_same_zone = |link: &CoordinatorLink| {
            let copy = link.fresh_copy(now);
            copy.is_some_and(|copy| copy.zone == zone)
        };
        let mut near = self.links.iter().filter(|(_, link)| is_same_zone(link));
        if near
            .clone()
            .any(|(address, _)| Some(*address) == self.leader)
        {
            return None;
        }
        near.find_map(|(_, link)| link.connection)
    }

    /// Returns the coordinators from which a gateway in `zone` can follow the view.
    pub(crate) fn view_candidates(&self, now: Instant, zone: &str) -> Vec<Candidate> {
        let links = self.links.iter();
        links
            .filter_map(|(address, link)| {
                let copy = link.fresh_copy(now)?;
                Some(Candidate {
                    address: *address,
                    is_same_zone: copy.zone == zone,
                    is_leader: Some(*address) == self.leader,
                    revision: copy.revision,
                })
            })
            .collect()
    }

    /// Returns the addresses to keep links to: `seeds`, and the addresses that connected or listed
    /// coordinators announced. Drops other links that have no connection.
    pub(crate) fn target_addresses(&mut self, seeds: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut targets = seeds;
        for link in self.links.values() {
            targets.extend(&link.known_coordinators);
        }
        targets.sort_unstable();
        targets.dedup();
        self.links
            .retain(|address, link| link.connection.is_some() || targets.contains(address));
        targets
    }

    /// Connects to a coordinator without a connection, if the connect interval has passed. Returns
    /// an existing connection that is lost, which the caller must close.
    #[must_use]
    pub(crate) fn dial(
        &mut self,
        runtime: &mut Runtime,
        address: SocketAddr,
    ) -> Option<ConnectionId> {
        let now = runtime.now;
        if let Some(link) = self.links.get(&address) {
            match link.connection {
                Some(connection) => return link.is_lost(now).then_some(connection),
                None if now.since(link.state_since) < CONNECT_INTERVAL => return None,
                None => {}
            }
        }
        let options = ConnectOptions {
            unacknowledged_limit: UNACKNOWLEDGED_LIMIT,
        };
        let connection = runtime.reactor.connect(address, options);
        if let Some(connection) = connection {
            self.addresses.insert(connection, address);
        }
        let previous = self.links.remove(&address);
        let link = CoordinatorLink {
            connection,
            is_connected: false,
            state_since: now,
            last_message_at: now,
            format: None,
            known_coordinators: previous
                .map(|link| link.known_coordinators)
                .unwrap_or_default(),
            copy: None,
        };
        self.links.insert(address, link);
        None
    }

    /// Records that a connection is up.
    pub(crate) fn link_up(&mut self, runtime: &Runtime, address: SocketAddr) {
        let now = runtime.now;
        let Some(link) = self.links.get_mut(&address) else {
            return;
        };
        link.is_connected = true;
        link.last_message_at = now;
        info!(runtime.logger, "coordinator reached"; "address" => %address);
    }

    /// Closes a connection and records its end.
    pub(crate) fn link_ended(
        &mut self,
        runtime: &mut Runtime,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        let now = runtime.now;
        runtime.reactor.close(connection);
        self.addresses.remove(&connection);
        if let Some(link) = self.links.get_mut(&address) {
            if link.is_connected {
                info!(runtime.logger, "coordinator lost"; "address" => %address);
            }
            // A stable link that broke is reconnected at once: the leader keeps the items of a
            // disconnected gateway only briefly.
            let was_stable = link.is_connected && now.since(link.state_since) >= STABLE_LINK_TIME;
            link.connection = None;
            link.is_connected = false;
            link.state_since = if was_stable {
                now - CONNECT_INTERVAL
            } else {
                now
            };
        }
        if self.leader == Some(address) {
            self.leader = None;
        }
    }

    /// Records the arrival of a message from a coordinator.
    pub(crate) fn record_message(&mut self, now: Instant, address: SocketAddr) {
        if let Some(link) = self.links.get_mut(&address) {
            link.last_message_at = now;
        }
    }

    /// Handles the formats in a heartbeat: returns whether the coordinator shares a format with
    /// this gateway. Only the first heartbeat on a link carries the coordinator's formats, in
    /// `rest`, the bytes after the message.
    pub(crate) fn shares_format(
        &mut self,
        runtime: &Runtime,
        address: SocketAddr,
        rest: &[u8],
    ) -> bool {
        let Some(link) = self.links.get_mut(&address) else {
            return false;
        };
        if link.format.is_some() {
            return true;
        }
        let refusal = match self.refused.negotiate(address, rest) {
            Ok(format) => {
                link.format = Some(format);
                return true;
            }
            Err(refusal) => refusal,
        };
        runtime.metrics.peer_refused();
        if refusal.is_first {
            warn!(runtime.logger, "peer refused: no common format";
                "address" => %address, "peer_formats" => %refusal,
                "own_formats" => %FormatRange::OWN);
        }
        false
    }

    /// Records the coordinator that leads.
    pub(crate) fn set_leader(&mut self, address: SocketAddr) {
        self.leader = Some(address);
    }

    /// Records the contents of a heartbeat: the other coordinators, if the list has changed, and
    /// the copy of the state.
    pub(crate) fn heartbeat(
        &mut self,
        address: SocketAddr,
        coordinators: Option<Vec<SocketAddr>>,
        copy: Option<StateCopy>,
    ) {
        if let Some(link) = self.links.get_mut(&address) {
            if let Some(coordinators) = coordinators {
                link.known_coordinators = coordinators;
            }
            link.copy = copy;
        }
    }

    /// Sends a message to the leader; drops it if there is no leader.
    pub(crate) fn report(&self, runtime: &mut Runtime, message: GatewayMessage) {
        if let Some(leader) = self.leader() {
            send(runtime, leader, message);
        }
    }
}

/// Sends a message to a coordinator.
pub(crate) fn send(runtime: &mut Runtime, connection: ConnectionId, message: GatewayMessage) {
    send_frame(runtime, connection, &IncomingFrame::FromGateway(message));
}

/// Sends a hello to a coordinator, with the formats that this gateway supports.
pub(crate) fn send_hello(runtime: &mut Runtime, connection: ConnectionId, hello: GatewayHello) {
    let frame = IncomingFrame::Gateway(hello);
    send_frame(runtime, connection, &with_own_formats(&frame));
}

fn send_frame<M: Serialize>(runtime: &mut Runtime, connection: ConnectionId, frame: &M) {
    match frame::encode(frame) {
        Ok(bytes) => {
            let reactor = &mut runtime.reactor;
            reactor.send_shared(connection, &Bytes::from(bytes));
        }
        Err(error) => warn!(runtime.logger, "cannot encode frame"; "error" => %error),
    }
}
