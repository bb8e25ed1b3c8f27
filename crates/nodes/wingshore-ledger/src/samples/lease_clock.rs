//! Lease expiry by the leader's own clock.
//!
//! Question: when does the lease of a sample expire without a message from its node?
//!
//! Inputs: the leader's clock, the time at which each lease was granted or last renewed, the lease
//! duration of the pool in milliseconds.
//!
//! Rule: a lease expires one duration after its grant was applied or after its last renewal. Once
//! its expiry is proposed, it can no longer be renewed.
//!
//! Deadlines are held in the leader's memory only, so a renewal adds no log entry. The clock of a
//! new leader has another origin, so every active lease gets its full duration again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::{Instant, LeaseId, PoolId};

type LeaseKey = (PoolId, LeaseId);

/// Deadlines of active leases.
#[derive(Debug, Default)]
pub(super) struct LeaseClock {
    deadlines: BTreeMap<LeaseKey, Instant>,
    by_deadline: BTreeSet<(Instant, LeaseKey)>,
    /// Leases whose expiry is proposed and not applied yet: they can no longer be renewed.
    expiring: BTreeSet<LeaseKey>,
}

impl LeaseClock {
    /// Starts or renews a lease.
    pub(super) fn start(&mut self, now: Instant, pool: &PoolId, lease: LeaseId, duration_ms: u64) {
        let key = (pool.clone(), lease);
        let deadline = now + Duration::from_millis(duration_ms);
        if let Some(earlier) = self.deadlines.insert(key.clone(), deadline) {
            self.by_deadline.remove(&(earlier, key.clone()));
        }
        self.by_deadline.insert((deadline, key));
    }

    /// Returns whether the expiry of the lease is proposed and not applied yet.
    pub(super) fn is_expiring(&self, pool: &PoolId, lease: LeaseId) -> bool {
        self.expiring.contains(&(pool.clone(), lease))
    }

    /// Removes and returns the leases that are expired at `now`, by pool. They count as expiring
    /// until [`LeaseClock::clear_expiring`] is called.
    pub(super) fn take_due(&mut self, now: Instant) -> BTreeMap<PoolId, Vec<LeaseId>> {
        let mut due: BTreeMap<PoolId, Vec<LeaseId>> = BTreeMap::new();
        while let Some((deadline, _)) = self.by_deadline.first() {
            if *deadline > now {
                break;
            }
            if let Some((_, key)) = self.by_deadline.pop_first() {
                self.deadlines.remove(&key);
                self.expiring.insert(key.clone());
                due.entry(key.0).or_default().push(key.1);
            }
        }
        due
    }

    /// Reschedules leases whose expiry did not fit into the queue: they are due at the next tick
    /// and may be renewed until then.
    pub(super) fn postpone(&mut self, pool: &PoolId, leases: &[LeaseId]) {
        self.clear_expiring(pool, leases);
        for lease in leases {
            self.start(Instant::ZERO, pool, *lease, 0);
        }
    }

    /// Clears the expiring mark of leases whose expiry was applied or is no longer needed.
    pub(super) fn clear_expiring(&mut self, pool: &PoolId, leases: &[LeaseId]) {
        for lease in leases {
            self.expiring.remove(&(pool.clone(), *lease));
        }
    }
}
