//! Question: which servers of a service does a node use and probe?
//!
//! Inputs: the configured servers and their zones, the node's seed, which of them are usable, whether
//! all were exhausted of late.
//!
//! Rule: servers are ranked by rendezvous hashing over the node's seed, so that each node has its own
//! order, that order is the same after a restart, and one server more or less changes little.
//! The subset is the first servers of that order that are usable, most of them in the node's own
//! zone. Servers passed over stay in it to be probed, so that their return is seen.
//!
//! Why: reports of 10,000 servers would cost each node megabytes a second; what a subset costs does
//! not grow with the fleet.

use crate::fleet::{ByZone, ServerIndex};
use crate::hash::{hash_text, mix};
use wingshore_types::ServerId;
use wingshore_types::configuration::Permille;

/// Servers passed over at most, per usable server wanted.
const MAX_SCAN_FACTOR: usize = 4;
/// Most growth under exhaustion, in sizes as configured.
const MAX_GROWTH_FACTOR: usize = 4;

/// Rank of a server for a node; lower comes first.
pub(crate) fn rank(seed: u64, server: &ServerId) -> u64 {
    mix(seed ^ hash_text(server.as_str()))
}

/// How many servers are wanted, and how that grows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubsetSize {
    base: usize,
    target: usize,
}

impl SubsetSize {
    /// A size as configured.
    pub(crate) fn new(base: u32) -> Self {
        let base = base as usize;
        Self { base, target: base }
    }

    /// Half as many again, up to a limit. Returns whether it grew.
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

    /// Back to the configured size. Returns whether it shrank.
    pub(crate) fn shrink(&mut self) -> bool {
        let did_shrink = self.target > self.base;
        self.target = self.base;
        did_shrink
    }

    /// How many to take from the own zone and from the others, which have so many servers.
    pub(crate) fn split(&self, own: usize, others: usize, share: Permille) -> (usize, usize) {
        let share = usize::from(share.0);
        let for_others = (self.target.saturating_mul(share) / 1000).min(others);
        let from_own = self.target.saturating_sub(for_others).min(own);
        let from_others = self.target.saturating_sub(from_own).min(others);
        (from_own, from_others)
    }
}

/// The members of a subset.
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

/// The shortest start of `ranked` that has `wanted` usable servers, bounded.
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
