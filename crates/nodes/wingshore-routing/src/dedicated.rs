//! Dedicated engines: decides how many engines of a service are reserved for live requests, and
//! which ones.
//!
//! Inputs: the live share in thousandths, the slots of an engine, the recent peak of live requests
//! in flight, and the names of the engines.
//!
//! A step of an engine takes longer the more sequences its batch holds, so a live request that runs
//! beside many rollouts is slow even if it gets its slot at once. In a service of at least
//! [`MIN_SERVERS`] engines the live share is therefore not only spread over all engines: a few
//! *dedicated* engines serve live requests first and get no rollouts while live requests need them.
//! All nodes order the engines by the same hash of their names, so they agree on the dedicated
//! engines without exchanging messages.
//!
//! The number of dedicated engines never exceeds the live share of the engines, and is no higher
//! than the recent peak of live demand requires. Engines that are not needed are available to
//! rollouts like any other. If there was no live request in the period over which the peak is kept,
//! no engine is dedicated.

use crate::fleet::ServerIndex;
use crate::hash::{hash_text, mix};
use wingshore_types::ServerId;
use wingshore_types::configuration::Permille;

/// Minimum number of servers of a service with dedicated engines; smaller services share all.
const MIN_SERVERS: usize = 8;
/// Utilization of the slots of a dedicated engine, in thousandths, above which another engine is
/// dedicated.
const TARGET_UTILIZATION: u64 = 500;
/// Maximum number of dedicated engines considered for one live request.
pub(crate) const MAX_CANDIDATES: usize = 4;

/// Returns the sort key of a server in the order that all nodes share; lower keys are dedicated
/// first.
pub(crate) fn shared_rank(server: &ServerId) -> u64 {
    mix(hash_text(server.as_str()))
}

/// Dedicated engines of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct DedicatedEngines {
    /// Number of servers of the service.
    servers: usize,
    /// Maximum number of engines that may be dedicated.
    max: usize,
    /// Open servers that may be dedicated, with their positions in the shared order, sorted by
    /// position.
    pub(crate) open: Vec<(usize, ServerIndex)>,
}

impl DedicatedEngines {
    /// Recomputes the limits for a service of `servers` servers.
    pub(crate) fn resize(&mut self, servers: usize, live_share: Permille, is_engine_service: bool) {
        let is_split = live_share.0 > 0 && live_share < Permille::WHOLE;
        let may_have_any = is_engine_service && is_split && servers >= MIN_SERVERS;
        self.servers = servers;
        self.max = match may_have_any {
            true => servers * usize::from(live_share.0) / usize::from(Permille::WHOLE.0),
            false => 0,
        };
    }

    /// Returns the number of servers of the service.
    pub(crate) fn servers(&self) -> usize {
        self.servers
    }

    /// Returns whether the server at a position of the shared order may be dedicated.
    pub(crate) fn includes(&self, position: usize) -> bool {
        position < self.max
    }

    /// Returns the number of dedicated engines for a peak of `peak` live requests on `used` servers
    /// of `slots` slots each.
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
