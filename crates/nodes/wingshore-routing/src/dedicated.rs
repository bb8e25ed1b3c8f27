//! Question: how many engines does a service keep for live requests alone, and which ones?
//!
//! Inputs: the live share in thousandths, the slots of an engine, the recent peak of live requests in
//! flight, the names of the engines.
//!
//! Why: an engine's step takes longer the more sequences its batch holds, so a live request beside
//! many rollouts is slow however early it gets its slot. In a service of some size the live share
//! is therefore not spread over all engines alone: a few *dedicated* engines serve live requests
//! first and are given no rollouts while live requests need them. All nodes order the engines
//! alike, by a hash of their names, so they agree on them without a message.
//!
//! Rule: they are never more than the live share of the engines, and only as many as the recent peak of
//! live demand asks for; the others are lent to rollouts like any engine.
//!
//! Missing input: without live requests within the memory of the peak, none is dedicated.

use crate::fleet::ServerIndex;
use crate::hash::{hash_text, mix};
use wingshore_types::ServerId;
use wingshore_types::configuration::Permille;

/// Smaller services share all their engines.
const MIN_SERVERS: usize = 8;
/// A dedicated engine serves this part of its slots, in thousandths, before another one is added.
const TARGET_UTILIZATION: u64 = 500;
/// Most dedicated engines that one live request is offered.
pub(crate) const MAX_CANDIDATES: usize = 4;

/// A server's place in the order that all nodes share; lower is dedicated first.
pub(crate) fn shared_rank(server: &ServerId) -> u64 {
    mix(hash_text(server.as_str()))
}

/// The dedicated engines of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct DedicatedEngines {
    /// Servers of the service.
    servers: usize,
    /// Most engines that may be dedicated.
    max: usize,
    /// Open servers that may be dedicated, with their places in the order, first ones first.
    pub(crate) open: Vec<(usize, ServerIndex)>,
}

impl DedicatedEngines {
    /// Sizes for a service of so many servers.
    pub(crate) fn resize(&mut self, servers: usize, live_share: Permille, is_engine_service: bool) {
        let is_split = live_share.0 > 0 && live_share < Permille::WHOLE;
        let may_have_any = is_engine_service && is_split && servers >= MIN_SERVERS;
        self.servers = servers;
        self.max = match may_have_any {
            true => servers * usize::from(live_share.0) / usize::from(Permille::WHOLE.0),
            false => 0,
        };
    }

    /// Servers of the service.
    pub(crate) fn servers(&self) -> usize {
        self.servers
    }

    /// Whether a place in the order may be dedicated.
    pub(crate) fn includes(&self, position: usize) -> bool {
        position < self.max
    }

    /// How many are dedicated now, while live requests took up to `peak` slots on so many `used`
    /// servers of `slots` slots each.
    pub(crate) fn count(&self, peak: u32, used: usize, slots: u32) -> usize {
        if peak == 0 || self.max == 0 {
            return 0;
        }
        let demand = u64::from(peak) * 1000 * self.servers as u64;
        let capacity = u64::from(slots) * TARGET_UTILIZATION * used.max(1) as u64;
        let wanted = demand.div_ceil(capacity.max(1));
        usize::try_from(wanted).unwrap_or(self.max).min(self.max)
    }
}
