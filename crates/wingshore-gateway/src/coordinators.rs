//! Links to the coordinators, and which of them leads.

use crate::process::{Gateway, LinkRole};
use crate::view_following::ViewSourceChange;
use crate::view_source::{Candidate, Choice, ViewSource};
use slog::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    CoordinatorMessage, GatewayHello, GatewayMessage, IncomingFrame, RunningItem,
};
use wingshore_net::{ConnectOptions, ConnectionId, frame};
use wingshore_types::{Instant, LogIndex};

/// Sent bytes may stay unacknowledged this long.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Between attempts to connect.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// A link that was up for this long was no failed attempt.
const STEADY_LINK: Duration = Duration::from_secs(2);
/// An attempt to connect is over after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A coordinator that is silent for this long is disconnected.
const SILENCE: Duration = Duration::from_millis(1200);

/// A coordinator's copy of the state is read only if it was heard of within this time.
const COPY_FRESH: Duration = Duration::from_millis(650);

/// The link to one coordinator.
pub(crate) struct CoordinatorLink {
    connection: Option<ConnectionId>,
    up: bool,
    /// Of the last attempt, or the end of the last connection.
    since: Instant,
    heard: Instant,
    /// Other coordinators it knows.
    knows: Vec<SocketAddr>,
    /// Its copy of the state, once it has said that it holds one.
    copy: Option<StateCopy>,
}

/// A coordinator's copy of the state.
struct StateCopy {
    zone: String,
    /// The last entry of the log that it accounts for.
    revision: LogIndex,
}

impl CoordinatorLink {
    /// Its copy, if the link is up and it was heard of lately.
    fn fresh_copy(&self, now: Instant) -> Option<&StateCopy> {
        let is_fresh = self.up && now.since(self.heard) <= COPY_FRESH;
        self.copy.as_ref().filter(|_| is_fresh)
    }
}

/// All links.
#[derive(Default)]
pub(crate) struct Coordinators {
    links: BTreeMap<SocketAddr, CoordinatorLink>,
    /// The coordinator whose leadership is the newest known, while the link is up.
    leader: Option<SocketAddr>,
    view_source: ViewSource,
}

impl Coordinators {
    /// The connection to the leader.
    pub(crate) fn leader(&self) -> Option<ConnectionId> {
        let link = self.links.get(self.leader.as_ref()?)?;
        link.connection.filter(|_| link.up)
    }

    /// The connection to a coordinator in `zone` that is well, unless the leader stands there.
    pub(crate) fn near_copy(&self, now: Instant, zone: &str) -> Option<ConnectionId> {
        let mut near = self.links.iter().filter(|(_, link)| {
            let copy = link.fresh_copy(now);
            copy.is_some_and(|copy| copy.zone == zone)
        });
        if near
            .clone()
            .any(|(address, _)| Some(*address) == self.leader)
        {
            return None;
        }
        near.find_map(|(_, link)| link.connection)
    }

    /// The coordinator to follow the view at from now on, if it is another one.
    pub(crate) fn choose_view_source(
        &mut self,
        now: Instant,
        (zone, salt): (&str, u64),
        known: Option<LogIndex>,
    ) -> Option<ViewSourceChange> {
        let links = self.links.iter();
        let candidates = links.filter_map(|(address, link)| {
            let copy = link.fresh_copy(now)?;
            Some(Candidate {
                address: *address,
                is_near: copy.zone == zone,
                leads: Some(*address) == self.leader,
                revision: copy.revision,
            })
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let before = self.view_source.current();
        let choice = Choice {
            candidates: &candidates,
            known,
            salt,
        };
        let address = self.view_source.choose(now, &choice)?;
        Some(ViewSourceChange {
            before: before.and_then(|before| self.connection(before)),
            address,
            connection: self.connection(address)?,
        })
    }

    fn connection(&self, address: SocketAddr) -> Option<ConnectionId> {
        let link = self.links.get(&address)?;
        link.connection.filter(|_| link.up)
    }

    /// How long ago the leader was last heard of.
    pub(crate) fn leader_silence(&self, now: Instant) -> Option<Duration> {
        let link = self.links.get(self.leader.as_ref()?)?;
        Some(now.since(link.heard))
    }

    /// All connections that are up.
    pub(crate) fn connected(&self) -> Vec<ConnectionId> {
        self.links
            .values()
            .filter(|link| link.up)
            .filter_map(|link| link.connection)
            .collect()
    }
}

impl Gateway {
    /// Connects to all known coordinators there is no connection to.
    pub(crate) fn dial_coordinators(&mut self, now: Instant) {
        let mut wanted = self.settings.seed_addresses();
        for link in self.site.coordinators.links.values() {
            wanted.extend(&link.knows);
        }
        wanted.sort_unstable();
        wanted.dedup();
        self.site
            .coordinators
            .links
            .retain(|address, link| link.connection.is_some() || wanted.contains(address));
        for address in wanted {
            self.dial(now, address);
        }
    }

    fn dial(&mut self, now: Instant, address: SocketAddr) {
        if let Some(link) = self.site.coordinators.links.get(&address) {
            let is_late = !link.up && now.since(link.since) >= CONNECT_TIMEOUT;
            let is_silent = link.up && now.since(link.heard) >= SILENCE;
            match link.connection {
                Some(connection) if is_late || is_silent => {
                    return self.on_link_ended(now, connection, address);
                }
                Some(_) => return,
                None if now.since(link.since) < CONNECT_INTERVAL => return,
                None => {}
            }
        }
        let options = ConnectOptions {
            unacknowledged_limit: UNACKNOWLEDGED_LIMIT,
        };
        let connection = self.runtime.reactor.connect(address, options);
        if let Some(connection) = connection {
            self.links.insert(connection, LinkRole { address });
        }
        let knows = self
            .site
            .coordinators
            .links
            .remove(&address)
            .map(|link| link.knows)
            .unwrap_or_default();
        let link = CoordinatorLink {
            connection,
            up: false,
            since: now,
            heard: now,
            knows,
            copy: None,
        };
        self.site.coordinators.links.insert(address, link);
    }

    pub(crate) fn on_link_up(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        let Some(link) = self.site.coordinators.links.get_mut(&address) else {
            return;
        };
        link.up = true;
        link.heard = now;
        info!(self.runtime.logger, "coordinator reached"; "address" => %address);
        let hello = GatewayHello {
            gateway: self.id,
            node: self.settings.node.clone(),
            front: self.settings.front,
            zone: self.site.zone.clone(),
            region: self.settings.region.clone(),
            status: self.status(),
        };
        self.send_frame(connection, &IncomingFrame::Gateway(hello));
    }

    pub(crate) fn on_link_ended(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        self.runtime.reactor.close(connection);
        self.links.remove(&connection);
        if let Some(link) = self.site.coordinators.links.get_mut(&address) {
            if link.up {
                info!(self.runtime.logger, "coordinator lost"; "address" => %address);
            }
            // A link that broke after a while is tried again at once: the leader keeps the items of
            // this gateway for a moment only.
            let was_steady = link.up && now.since(link.since) >= STEADY_LINK;
            link.connection = None;
            link.up = false;
            link.since = if was_steady {
                now - CONNECT_INTERVAL
            } else {
                now
            };
        }
        if self.site.coordinators.leader == Some(address) {
            self.site.coordinators.leader = None;
        }
        self.site.coordinators.view_source.link_ended(address);
        self.follow_view(now);
        self.calls_lost(now, connection);
    }

    pub(crate) fn on_link_input(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        loop {
            let Some(input) = self.runtime.reactor.input(connection) else {
                return;
            };
            match frame::decode::<CoordinatorMessage>(input) {
                Ok(Some(message)) => self.on_coordinator(now, connection, address, message),
                Ok(None) => return,
                Err(error) => {
                    warn!(self.runtime.logger, "link closed"; "error" => %error);
                    return self.on_link_ended(now, connection, address);
                }
            }
        }
    }

    fn on_coordinator(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        address: SocketAddr,
        message: CoordinatorMessage,
    ) {
        if let Some(link) = self.site.coordinators.links.get_mut(&address) {
            link.heard = now;
        }
        match message {
            CoordinatorMessage::Leading { epoch } => {
                if self.site.view.led(epoch) {
                    info!(self.runtime.logger, "leader"; "address" => %address, "epoch" => epoch.0,
                        "configuration" => self.site.view.version());
                    self.site.coordinators.leader = Some(address);
                    self.tell_running(connection);
                    self.tell_untold_evidence(now);
                    self.resend_calls(now);
                    self.start_scorings(now);
                    self.usage.tell_all();
                    self.tell_usage();
                }
            }
            CoordinatorMessage::View(update) => self.on_view(now, connection, update),
            CoordinatorMessage::Reply { id, reply } => {
                self.on_call_reply(now, connection, id, reply)
            }
            CoordinatorMessage::Assign(assignment) => self.begin_item(now, *assignment),
            CoordinatorMessage::Interrupt { assignment } => self.interrupt_item(assignment),
            CoordinatorMessage::HandInFrom { assignment, held } => {
                self.items.hand_in_from(assignment, held);
            }
            CoordinatorMessage::Release { assignment } => self.release_item(assignment),
            CoordinatorMessage::Score(assignment) => self.begin_scoring(now, assignment),
            CoordinatorMessage::ReleaseScoring { scoring } => self.release_scoring(now, scoring),
            CoordinatorMessage::Alive {
                coordinators,
                zone,
                copy,
                wall,
            } => {
                self.site_clock.heard(now, address, wall);
                if let Some(link) = self.site.coordinators.links.get_mut(&address) {
                    if let Some(coordinators) = coordinators {
                        link.knows = coordinators;
                    }
                    link.copy = copy.map(|revision| StateCopy { zone, revision });
                }
                self.follow_view(now);
            }
        }
    }

    /// Tells a new leader which items run here; the ends that were not told follow.
    fn tell_running(&mut self, connection: ConnectionId) {
        let items: Vec<RunningItem> = self.items.running().collect();
        let scorings = self.scorings.running().collect();
        let message = GatewayMessage::Running { items, scorings };
        self.send_frame(connection, &IncomingFrame::FromGateway(message));
        self.tell_ended_items(connection);
        self.tell_ended_scorings(connection);
    }

    /// Tells all coordinators how this gateway stands.
    pub(crate) fn tell_status(&mut self) {
        let message = IncomingFrame::FromGateway(GatewayMessage::Status(self.status()));
        for connection in self.site.coordinators.connected() {
            self.send_frame(connection, &message);
        }
    }

    /// Tells the leader how far the items are that run here.
    pub(crate) fn tell_progress(&mut self) {
        let Some(leader) = self.site.coordinators.leader() else {
            return;
        };
        let progress = self.items.progress();
        if !progress.is_empty() {
            let message = GatewayMessage::Progress(progress);
            self.send_frame(leader, &IncomingFrame::FromGateway(message));
        }
        let scorings = self.scorings.in_hand();
        if !scorings.is_empty() {
            let message = GatewayMessage::Scoring(scorings);
            self.send_frame(leader, &IncomingFrame::FromGateway(message));
        }
    }

    pub(crate) fn send_frame(&mut self, connection: ConnectionId, frame: &IncomingFrame) {
        match frame::encode(frame) {
            Ok(bytes) => self.runtime.reactor.send(connection, &bytes),
            Err(error) => warn!(self.runtime.logger, "frame not encoded"; "error" => %error),
        }
    }
}
