//! Connections to the other members, and the members' addresses.

use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::thread;
use wingshore_settings::FoundingMember;
use wingshore_transport::{ConnectionHandle, FrameHandler, Peer, PeerOptions};
use wingshore_types::protocol::membership::{Member, Membership};
use wingshore_types::protocol::wire::Frame;
use wingshore_types::{GroupId, ReplicaId};

/// One outgoing connection for each other member of any group, and the connections that other
/// replicas have opened. A replica replies on an incoming connection while it has no connection of
/// its own to the sender: a new member knows no addresses until it has received the membership.
pub(crate) struct Peers {
    site: String,
    own_id: ReplicaId,
    logger: Logger,
    handler: OnceLock<Weak<dyn FrameHandler>>,
    table: Mutex<Table>,
}

#[derive(Default)]
struct Table {
    /// Addresses from the settings; the membership of a group overrides them.
    founding: BTreeMap<ReplicaId, SocketAddr>,
    memberships: BTreeMap<GroupId, Membership>,
    outgoing: BTreeMap<ReplicaId, Arc<Peer>>,
    incoming: BTreeMap<ReplicaId, ConnectionHandle>,
    closed: bool,
}

impl Peers {
    /// Creates the table without any connection.
    pub(crate) fn new(
        site: &str,
        own_id: ReplicaId,
        founding: &[FoundingMember],
        logger: Logger,
    ) -> Self {
        let founding = founding
            .iter()
            .map(|member| (member.id, member.address))
            .collect();
        Self {
            site: site.to_owned(),
            own_id,
            logger,
            handler: OnceLock::new(),
            table: Mutex::new(Table {
                founding,
                ..Table::default()
            }),
        }
    }

    /// Sets the handler of received frames; to be called once, before the first membership.
    pub(crate) fn set_handler(&self, handler: &Arc<dyn FrameHandler>) {
        // The handler is set only once.
        let _ = self.handler.set(Arc::downgrade(handler));
    }

    /// Queues a consensus message, or drops it if there is no connection.
    pub(crate) fn send(&self, to: ReplicaId, group: GroupId, message: Vec<u8>) {
        let (outgoing, incoming) = {
            let table = self.lock();
            let outgoing = table.outgoing.get(&to).cloned();
            (outgoing, table.incoming.get(&to).cloned())
        };
        match (outgoing.filter(|peer| peer.is_connected()), incoming) {
            (Some(peer), _) => {
                peer.send_consensus(group, message);
            }
            (None, Some(connection)) => {
                // The consensus protocol retransmits lost messages.
                let _ = connection.send(&Frame::Consensus { group, message });
            }
            (None, None) => {}
        }
    }

    /// Sets the members of a group; opens and closes connections accordingly.
    pub(crate) fn set_members(&self, group: GroupId, membership: &Membership) {
        let mut table = self.lock();
        if table.closed {
            return;
        }
        table.memberships.insert(group, membership.clone());
        let required_peers = table.required_peers(self.own_id);
        let obsolete = table.take_obsolete(&required_peers);
        for (id, address) in required_peers {
            if !table.outgoing.contains_key(&id) {
                self.connect(&mut table, id, address);
            }
        }
        drop(table);
        close_in_background(obsolete);
    }

    /// Returns the address of a replica, if known.
    pub(crate) fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.lock().addresses().remove(&id)
    }

    /// Records the connection on which a replica last sent a message.
    pub(crate) fn record_incoming(&self, id: ReplicaId, connection: &ConnectionHandle) {
        let mut table = self.lock();
        let known = table.incoming.get(&id).map(ConnectionHandle::id);
        if known != Some(connection.id()) {
            table.incoming.insert(id, connection.clone());
        }
    }

    /// Removes a connection that was closed.
    pub(crate) fn remove_incoming(&self, connection: &ConnectionHandle) {
        let mut table = self.lock();
        table
            .incoming
            .retain(|_, known| known.id() != connection.id());
    }

    /// Closes all connections permanently.
    pub(crate) fn close(&self) {
        let outgoing = {
            let mut table = self.lock();
            table.closed = true;
            table.incoming.clear();
            std::mem::take(&mut table.outgoing)
        };
        drop(outgoing);
    }

    fn connect(&self, table: &mut Table, id: ReplicaId, address: SocketAddr) {
        let Some(handler) = self.handler.get().and_then(Weak::upgrade) else {
            return;
        };
        let options = PeerOptions {
            address,
            expected: Some(id),
            site: self.site.clone(),
            replica: Some(self.own_id),
            seed: self.own_id.0 ^ id.0.rotate_left(32),
        };
        match Peer::start(options, handler) {
            Ok(peer) => {
                info!(self.logger, "connecting to member"; "member" => id.0, "address" => %address);
                table.outgoing.insert(id, Arc::new(peer));
            }
            Err(error) => {
                warn!(self.logger, "cannot connect to member"; "member" => id.0, "error" => %error);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Returns the address of each known replica.
    fn addresses(&self) -> BTreeMap<ReplicaId, SocketAddr> {
        let mut addresses = self.founding.clone();
        for member in self.members() {
            addresses.insert(member.id, member.address);
        }
        addresses
    }

    /// Returns the members that need an outgoing connection, with their addresses.
    fn required_peers(&self, own_id: ReplicaId) -> BTreeMap<ReplicaId, SocketAddr> {
        self.members()
            .filter(|member| member.id != own_id)
            .map(|member| (member.id, member.address))
            .collect()
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        self.memberships
            .values()
            .flat_map(|membership| membership.voters.iter().chain(&membership.learners))
    }

    /// Removes and returns the connections to replicas that left or changed their address.
    fn take_obsolete(
        &mut self,
        required_peers: &BTreeMap<ReplicaId, SocketAddr>,
    ) -> Vec<Arc<Peer>> {
        let mut obsolete = Vec::new();
        self.outgoing.retain(|id, peer| {
            let keep = required_peers.get(id) == Some(&peer.address());
            if !keep {
                obsolete.push(Arc::clone(peer));
            }
            keep
        });
        obsolete
    }
}

/// Closes connections on a separate thread: closing may wait for a connection attempt, which must
/// not block a group's thread.
fn close_in_background(peers: Vec<Arc<Peer>>) {
    if peers.is_empty() {
        return;
    }
    // If no thread can be started, dropping the closure closes the connections on this thread.
    let _ = thread::Builder::new()
        .name("peer-close".to_owned())
        .spawn(move || drop(peers));
}
