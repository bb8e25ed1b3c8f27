//! Engines kept for live requests.
//!
//! An engine's step takes longer the more sequences its batch holds, so a live request beside
//! many rollouts is slow however early it gets its slot. In a service of some size the live share
//! is therefore not spread over all engines alone: a few engines, the *homes*, serve live requests
//! first and are given no rollouts while live requests need them. All nodes order the engines
//! alike, by a hash of their names, so they agree on the homes without a word.
//!
//! Homes are never more than the live share of the engines, and only as many as the recent peak of
//! live demand asks for; the others are lent to rollouts like any engine.

use crate::fleet::ServerIndex;
use crate::hash::{hash_text, mix};
use wingshore_types::ServerId;
use wingshore_types::configuration::Permille;

/// Smaller services share all their engines.
const LEAST_SERVERS: usize = 8;
/// A home serves this part of its slots, in thousandths, before another one is kept.
const FILL: u64 = 500;
/// Homes that one live request is offered, at most.
pub(crate) const MOST_OFFERED: usize = 4;

/// A server's place in the order that all nodes share; lower becomes a home first.
pub(crate) fn shared_rank(server: &ServerId) -> u64 {
    mix(hash_text(server.as_str()))
}

/// The homes of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homes {
    /// Servers of the service.
    servers: usize,
    /// Most homes.
    most: usize,
    /// Open servers that may be homes, with their places in the order, first ones first.
    pub(crate) open: Vec<(usize, ServerIndex)>,
}

impl Homes {
    /// Sizes for a service of so many servers.
    pub(crate) fn resize(&mut self, servers: usize, live_share: Permille, is_engines: bool) {
        let is_split = live_share.0 > 0 && live_share < Permille::WHOLE;
        let may_have_homes = is_engines && is_split && servers >= LEAST_SERVERS;
        self.servers = servers;
        self.most = match may_have_homes {
            true => servers * usize::from(live_share.0) / usize::from(Permille::WHOLE.0),
            false => 0,
        };
    }

    /// Servers of the service.
    pub(crate) fn servers(&self) -> usize {
        self.servers
    }

    /// Whether a place in the order may be a home.
    pub(crate) fn includes(&self, place: usize) -> bool {
        place < self.most
    }

    /// How many are kept now, while live requests took up to `peak` slots on so many `used`
    /// servers of `slots` slots each.
    pub(crate) fn kept(&self, peak: u32, used: usize, slots: u32) -> usize {
        if peak == 0 || self.most == 0 {
            return 0;
        }
        let demand = u64::from(peak) * 1000 * self.servers as u64;
        let capacity = u64::from(slots) * FILL * used.max(1) as u64;
        let wanted = demand.div_ceil(capacity.max(1));
        usize::try_from(wanted).unwrap_or(self.most).min(self.most)
    }
}
