//! Decision: which gateways is a client told to use?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The list of ready gateways from the coordinator that this gateway follows; when that
//! coordinator, in touch with the group, last sent anything; the status of this gateway; the
//! client's zone; the longest validity of an answer.
//!
//! **Rule.** While the list was confirmed within [`LIST_LIFETIME`], the client is given the listed
//! gateways that [`gateways_for_client`] selects, this one among them while it is ready. Without
//! such a list it is given this gateway alone, for [`SHORT_VALIDITY`], while this gateway is ready.
//! Otherwise it is told to ask elsewhere.
//!
//! **Why.** Callers ask before almost each request, and one that is sent to a gateway that is gone
//! waits in vain. A gateway without a recent list is certain only of itself, and callers that ask
//! gateways at random still spread over all of them.
//!
//! **Old or missing inputs.** A list outlives its coordinator by its lifetime. Changes that arrive
//! before the whole list of a new coordinator are dropped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    GatewayId, GatewayListUpdate, ListedGateway, ReadyGateway, gateways_for_client,
};
use wingshore_types::Instant;

/// How long a list is used after its coordinator last confirmed it. A silent coordinator is left
/// after 1.2 s, and another has sent its list within a second more.
pub const LIST_LIFETIME: Duration = Duration::from_secs(3);
/// How long a client may use an answer that names one gateway: short, since a client has no second
/// address if that gateway stops.
pub const SHORT_VALIDITY: Duration = Duration::from_millis(500);

/// Whether this gateway serves clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnStatus {
    /// It has no configuration yet.
    Starting,
    /// It serves clients.
    Ready,
    /// A planned stop has begun.
    Stopping,
}

/// Answer to the question which gateways a client may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryAnswer {
    /// Gateways of the list.
    Listed {
        /// Addresses of the gateways.
        addresses: Vec<SocketAddr>,
        /// How long the client may use them.
        validity: Duration,
    },
    /// This gateway alone.
    ItselfAlone {
        /// Its address.
        address: SocketAddr,
        /// How long the client may use it.
        validity: Duration,
    },
    /// No gateway is known; the client may ask another one.
    Unavailable,
}

impl DirectoryAnswer {
    /// Returns the name of the answer for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Listed { .. } => "listed",
            Self::ItselfAlone { .. } => "itself_alone",
            Self::Unavailable => "unavailable",
        }
    }
}

/// A question of a client.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryQuestion<'a> {
    /// Zone of the client.
    pub zone: &'a str,
    /// Status of this gateway.
    pub own_status: OwnStatus,
    /// Longest validity of an answer.
    pub max_validity: Duration,
}

/// A list and its source.
#[derive(Debug)]
struct KnownList {
    gateways: BTreeMap<GatewayId, ListedGateway>,
    confirmed_at: Instant,
}

/// What a gateway knows about the ready gateways of its site.
#[derive(Debug)]
pub struct GatewayDirectory {
    own: ListedGateway,
    /// The coordinator whose list is followed.
    source: Option<SocketAddr>,
    /// Whether that coordinator has sent its whole list.
    has_whole: bool,
    list: Option<KnownList>,
}

impl GatewayDirectory {
    /// Creates a directory without a list; `own` describes this gateway.
    pub fn new(own: ListedGateway) -> Self {
        Self {
            own,
            source: None,
            has_whole: false,
            list: None,
        }
    }

    /// The list is followed at another coordinator from now on, or at none. The list so far stays
    /// in use until it is replaced or too old.
    pub fn follow(&mut self, source: Option<SocketAddr>) {
        self.source = source;
        self.has_whole = false;
    }

    /// Takes an update from a coordinator; drops it if the list is not followed there.
    pub fn update(&mut self, now: Instant, from: SocketAddr, update: GatewayListUpdate) {
        if self.source != Some(from) {
            return;
        }
        match update {
            GatewayListUpdate::Whole(gateways) => {
                self.has_whole = true;
                self.list = Some(KnownList {
                    gateways: by_id(gateways).collect(),
                    confirmed_at: now,
                });
            }
            GatewayListUpdate::Changed { present, gone } => self.change(present, &gone),
        }
    }

    fn change(&mut self, present: Vec<ListedGateway>, gone: &[GatewayId]) {
        let Some(list) = self.list.as_mut().filter(|_| self.has_whole) else {
            return;
        };
        for gateway in gone {
            list.gateways.remove(gateway);
        }
        list.gateways.extend(by_id(present));
    }

    /// A coordinator that is in touch with the group has sent a message: all earlier changes of its
    /// list have arrived.
    pub fn confirmed(&mut self, now: Instant, from: SocketAddr) {
        let is_source = self.has_whole && self.source == Some(from);
        if let Some(list) = self.list.as_mut().filter(|_| is_source) {
            list.confirmed_at = now;
        }
    }

    /// Returns the time since the list was last confirmed; `None` without a list.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let list = self.list.as_ref()?;
        Some(now.since(list.confirmed_at))
    }

    /// Returns whether there is a list that was confirmed recently.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_list(now).is_some()
    }

    /// Returns the number of gateways in the list.
    pub fn listed(&self) -> usize {
        self.list.as_ref().map_or(0, |list| list.gateways.len())
    }

    /// Answers a client.
    pub fn answer(&self, now: Instant, question: &DirectoryQuestion<'_>) -> DirectoryAnswer {
        let is_ready = question.own_status == OwnStatus::Ready;
        let addresses = match question.own_status {
            OwnStatus::Starting => Vec::new(),
            OwnStatus::Ready | OwnStatus::Stopping => self.addresses(now, question.zone, is_ready),
        };
        if !addresses.is_empty() {
            return DirectoryAnswer::Listed {
                addresses,
                validity: question.max_validity,
            };
        }
        if !is_ready {
            return DirectoryAnswer::Unavailable;
        }
        DirectoryAnswer::ItselfAlone {
            address: self.own.front,
            validity: SHORT_VALIDITY.min(question.max_validity),
        }
    }

    /// Returns the addresses for a client by the list; none if the list is too old.
    fn addresses(&self, now: Instant, zone: &str, with_itself: bool) -> Vec<SocketAddr> {
        let Some(list) = self.fresh_list(now) else {
            return Vec::new();
        };
        let own = Some(&self.own).filter(|_| with_itself);
        let others = list.gateways.values();
        let others = others.filter(|gateway| gateway.gateway != self.own.gateway);
        let ready: Vec<ReadyGateway<'_>> = own.into_iter().chain(others).map(place).collect();
        gateways_for_client(&ready, zone)
    }

    fn fresh_list(&self, now: Instant) -> Option<&KnownList> {
        let is_fresh = |list: &&KnownList| now.since(list.confirmed_at) <= LIST_LIFETIME;
        self.list.as_ref().filter(is_fresh)
    }
}

fn by_id(gateways: Vec<ListedGateway>) -> impl Iterator<Item = (GatewayId, ListedGateway)> {
    let gateways = gateways.into_iter();
    gateways.map(|gateway| (gateway.gateway, gateway))
}

fn place(gateway: &ListedGateway) -> ReadyGateway<'_> {
    ReadyGateway {
        front: gateway.front,
        zone: &gateway.zone,
    }
}
