//! Links to the coordinators, and which of them leads.
//!
//! Owns the state of each link. Whether a link is dialled, kept or given up is decided here, by time
//! alone; what the messages on it mean is not known here.

use crate::runtime::Runtime;
use crate::view_source::Candidate;
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

/// Sent bytes may stay unacknowledged this long; somewhat more than the silence after which a link
/// is given up.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Between attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// A link that was up for this long was no failed attempt.
const STEADY_LINK: Duration = Duration::from_secs(2);
/// An attempt to connect is over after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A coordinator that is silent for this long is disconnected: four of its heartbeats, which come
/// each 300 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// A coordinator's copy of the state is read only if it was heard of within this time: two of its
/// heartbeats.
const COPY_FRESH: Duration = Duration::from_millis(650);

/// The link to one coordinator.
struct CoordinatorLink {
    connection: Option<ConnectionId>,
    up: bool,
    /// When the last attempt to connect began, or its connection ended; one that had lasted counts as
    /// ended long enough ago to be made again at once.
    since: Instant,
    /// When a message of it last came.
    heard: Instant,
    /// Whether it has said that it lives, and with that which formats it speaks.
    introduced: bool,
    /// Other coordinators it knows.
    knows: Vec<SocketAddr>,
    /// Its copy of the state, once it has said that it holds one.
    copy: Option<StateCopy>,
}

/// A coordinator's copy of the state.
#[derive(Clone, Debug)]
pub(crate) struct StateCopy {
    /// The zone that it stands in.
    pub(crate) zone: String,
    /// The last entry of the log that it accounts for.
    pub(crate) revision: LogIndex,
}

impl CoordinatorLink {
    /// Its connection, once it is up.
    fn open_connection(&self) -> Option<ConnectionId> {
        self.connection.filter(|_| self.up)
    }

    /// Its copy, if the link is up and it was heard of lately.
    fn fresh_copy(&self, now: Instant) -> Option<&StateCopy> {
        let is_fresh = self.up && now.since(self.heard) <= COPY_FRESH;
        self.copy.as_ref().filter(|_| is_fresh)
    }

    /// Whether its connection takes too long to come up, or its coordinator is silent.
    fn is_lost(&self, now: Instant) -> bool {
        if self.up {
            now.since(self.heard) >= SILENCE_LIMIT
        } else {
            now.since(self.since) >= CONNECT_TIMEOUT
        }
    }
}

/// All links.
#[derive(Default)]
pub(crate) struct Coordinators {
    links: BTreeMap<SocketAddr, CoordinatorLink>,
    /// Where the connections lead.
    addresses: HashMap<ConnectionId, SocketAddr>,
    /// The coordinator whose leadership is the newest known, while the link is up.
    leader: Option<SocketAddr>,
    refused: RefusedPeers,
}

impl Coordinators {
    /// The connection to the leader.
    pub(crate) fn leader(&self) -> Option<ConnectionId> {
        self.connection(self.leader?)
    }

    /// How long ago the leader was last heard of.
    pub(crate) fn leader_silence(&self, now: Instant) -> Option<Duration> {
        let link = self.links.get(self.leader.as_ref()?)?;
        Some(now.since(link.heard))
    }

    /// The connection to a coordinator, if its link is up.
    pub(crate) fn connection(&self, address: SocketAddr) -> Option<ConnectionId> {
        self.links.get(&address)?.open_connection()
    }

    /// The coordinator that a connection leads to; `None` if it leads elsewhere.
    pub(crate) fn address(&self, connection: ConnectionId) -> Option<SocketAddr> {
        self.addresses.get(&connection).copied()
    }

    /// All connections that are up.
    pub(crate) fn connected(&self) -> Vec<ConnectionId> {
        let links = self.links.values();
        links.filter_map(CoordinatorLink::open_connection).collect()
    }

    /// The connection to a coordinator in `zone` with a fresh copy of the state, unless the leader
    /// stands there.
    pub(crate) fn near_copy(&self, now: Instant, zone: &str) -> Option<ConnectionId> {
        let is_near = |link: &CoordinatorLink| {
            let copy = link.fresh_copy(now);
            copy.is_some_and(|copy| copy.zone == zone)
        };
        let mut near = self.links.iter().filter(|(_, link)| is_near(link));
        if near
            .clone()
            .any(|(address, _)| Some(*address) == self.leader)
        {
            return None;
        }
        near.find_map(|(_, link)| link.connection)
    }

    /// The coordinators that the view can be followed at, seen from `zone`.
    pub(crate) fn view_candidates(&self, now: Instant, zone: &str) -> Vec<Candidate> {
        let links = self.links.iter();
        links
            .filter_map(|(address, link)| {
                let copy = link.fresh_copy(now)?;
                Some(Candidate {
                    address: *address,
                    is_near: copy.zone == zone,
                    leads: Some(*address) == self.leader,
                    revision: copy.revision,
                })
            })
            .collect()
    }

    /// Where there is to be a link: `seeds`, and what other coordinators know. Forgets other
    /// addresses that there is no connection to.
    pub(crate) fn wanted(&mut self, seeds: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let mut wanted = seeds;
        for link in self.links.values() {
            wanted.extend(&link.knows);
        }
        wanted.sort_unstable();
        wanted.dedup();
        self.links
            .retain(|address, link| link.connection.is_some() || wanted.contains(address));
        wanted
    }

    /// Connects to a coordinator that there is no connection to, if it is time to. Gives a connection
    /// that is lost instead, which the caller is to end.
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
                None if now.since(link.since) < CONNECT_INTERVAL => return None,
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
        let before = self.links.remove(&address);
        let link = CoordinatorLink {
            connection,
            up: false,
            since: now,
            heard: now,
            introduced: false,
            knows: before.map(|link| link.knows).unwrap_or_default(),
            copy: None,
        };
        self.links.insert(address, link);
        None
    }

    /// A connection has come up.
    pub(crate) fn link_up(&mut self, runtime: &Runtime, address: SocketAddr) {
        let now = runtime.now;
        let Some(link) = self.links.get_mut(&address) else {
            return;
        };
        link.up = true;
        link.heard = now;
        info!(runtime.logger, "coordinator reached"; "address" => %address);
    }

    /// A connection has ended, or is to.
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
            if link.up {
                info!(runtime.logger, "coordinator lost"; "address" => %address);
            }
            // A link that broke after a while is dialled again at once: the leader keeps the items
            // of this gateway for a moment only.
            let was_steady = link.up && now.since(link.since) >= STEADY_LINK;
            link.connection = None;
            link.up = false;
            link.since = if was_steady {
                now - CONNECT_INTERVAL
            } else {
                now
            };
        }
        if self.leader == Some(address) {
            self.leader = None;
        }
    }

    /// A message of a coordinator has come.
    pub(crate) fn heard(&mut self, now: Instant, address: SocketAddr) {
        if let Some(link) = self.links.get_mut(&address) {
            link.heard = now;
        }
    }

    /// A coordinator has said that it lives, with `rest` after that: whether it can be spoken with. The
    /// first time on a link it says there which formats it speaks.
    pub(crate) fn speaks_with(
        &mut self,
        runtime: &Runtime,
        address: SocketAddr,
        rest: &[u8],
    ) -> bool {
        let Some(link) = self.links.get_mut(&address) else {
            return false;
        };
        if std::mem::replace(&mut link.introduced, true) {
            return true;
        }
        let Err(refusal) = self.refused.negotiate(address, rest) else {
            return true;
        };
        runtime.metrics.peer_refused();
        if refusal.is_first {
            warn!(runtime.logger, "peer refused: no common format";
                "address" => %address, "peer_formats" => %refusal,
                "own_formats" => %FormatRange::OWN);
        }
        false
    }

    /// A coordinator leads.
    pub(crate) fn set_leader(&mut self, address: SocketAddr) {
        self.leader = Some(address);
    }

    /// A coordinator has said which others it knows, if that has changed, and how far its copy of
    /// the state is.
    pub(crate) fn heartbeat(
        &mut self,
        address: SocketAddr,
        coordinators: Option<Vec<SocketAddr>>,
        copy: Option<StateCopy>,
    ) {
        if let Some(link) = self.links.get_mut(&address) {
            if let Some(coordinators) = coordinators {
                link.knows = coordinators;
            }
            link.copy = copy;
        }
    }

    /// Sends a message to the leader; without one it is dropped.
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

/// Sends a hello to a coordinator, with the formats that are spoken here.
pub(crate) fn send_hello(runtime: &mut Runtime, connection: ConnectionId, hello: GatewayHello) {
    let frame = IncomingFrame::Gateway(hello);
    send_frame(runtime, connection, &with_own_formats(&frame));
}

fn send_frame<M: Serialize>(runtime: &mut Runtime, connection: ConnectionId, frame: &M) {
    match frame::encode(frame) {
        Ok(bytes) => runtime.reactor.send(connection, &bytes),
        Err(error) => warn!(runtime.logger, "frame not encoded"; "error" => %error),
    }
}
