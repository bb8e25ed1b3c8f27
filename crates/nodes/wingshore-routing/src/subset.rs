//! Subsetting: decides which servers of a service a node uses and probes.
//!
//! Inputs: the configured servers and their zones, the node's seed, which servers are usable, and
//! whether all slots were recently exhausted.
//!
//! Servers are ranked by rendezvous hashing with the node's seed. Each node thus has its own order,
//! the order is the same after a restart, and adding or removing a server changes little. The
//! subset consists of the first usable servers in that order, most of them in the node's own zone.
//! Unusable servers in between stay in the subset and are probed, so that their recovery is
//! detected.
//!
//! Reports of 10,000 servers would cost each node megabytes per second; the cost of a subset does
//! not grow with the number of servers.

use crate::fleet::{ByZone, ServerIndex};
use crate::hash::{hash_text, mix};
use wingshore_types::ServerId;
use wingshore_types::configuration::Permille;

/// Maximum number of servers scanned per wanted usable server.
const MAX_SCAN_FACTOR: usize = 4;
/// Maximum size of a subset under exhaustion, as a multiple of the configured size.
const MAX_GROWTH_FACTOR: usize = 4;

/// Returns the rank of a server for a node; lower ranks come first.
pub(crate) fn rank(seed: u64, server: &ServerId) -> u64 {
    mix(seed ^ hash_text(server.as_str()))
}

/// Target size of a subset, which grows under exhaustion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubsetSize {
    base: usize,
    target: usize,
}

impl SubsetSize {
    /// Creates a size with the configured value.
    pub(crate) fn new(base: u32) -> Self {
        let base = base as usize;
        Self { base, target: base }
    }

    /// Grows the size by half, up to a limit. Returns whether it grew.
    pub(crate) fn grow(&mut self) -> bool {
        let most = self.base.saturating_mul(MAX_GROWTH_FACTOR);
        let grown = self
            .target
            .saturating_add(self.target.div_ceil(2))
            .min(most);
        let did_grow = grown > self.target;
        self.target = grown;
        did_grow
    }

    /// Resets the size to the configured value. Returns whether it shrank.
    pub(crate) fn shrink(&mut self) -> bool {
        let did_shrink = self.target > self.base;
        self.target = self.base;
        did_shrink
    }

    /// Returns the numbers of servers to take from the own zone and from the other zones, which
    /// have `own` and `others` servers; `share` is the share of the other zones.
    pub(crate) fn split(&self, own: usize, others: usize, share: Permille) -> (usize, usize) {
        let share = usize::from(share.0);
        let for_others = (self.target.saturating_mul(share) / 1000).min(others);
        let from_own = self.target.saturating_sub(for_others).min(own);
        let from_others = self.target.saturating_sub(from_own).min(others);
        (from_own, from_others)
    }
}

/// Returns the members of a subset.
pub(crate) fn members(
    ranked: &ByZone,
    size: SubsetSize,
    other_zones: Permille,
    is_usable: impl Fn(ServerIndex) -> bool,
) -> ByZone {
    let (own, others) = size.split(ranked.own.len(), ranked.others.len(), other_zones);
    ByZone {
        own: shortest_prefix(&ranked.own, own, &is_usable).to_vec(),
        others: shortest_prefix(&ranked.others, others, &is_usable).to_vec(),
    }
}

/// Returns the shortest prefix of `ranked` with `target` usable servers, at most
/// `target * MAX_SCAN_FACTOR` servers long.
fn shortest_prefix(
    ranked: &[ServerIndex],
    target: usize,
    is_usable: impl Fn(ServerIndex) -> bool,
) -> &[ServerIndex] {
    let bound = target.saturating_mul(MAX_SCAN_FACTOR).min(ranked.len());
    let mut found = 0;
    for (position, server) in ranked[..bound].iter().enumerate() {
        if found == target {
            return &ranked[..position];
        }
        if is_usable(*server) {
            found += 1;
        }
    }
    &ranked[..bound]
}
