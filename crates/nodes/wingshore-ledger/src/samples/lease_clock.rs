//! When leases run out, by the leader's own clock.
//!
//! Question: when does a sample's lease end without a word of its node?
//!
//! Inputs: the leader's clock, when each lease was granted or renewed last, the lease duration of
//! the pool in milliseconds.
//!
//! Rule: a lease ends one duration after its grant was applied or it was renewed. Once its end is
//! on the way into the log it can no longer be renewed.
//!
//! Deadlines live in the leader's memory only. A renewal therefore costs no log entry, and a new
//! leader, whose clock has another origin, gives every active lease a fresh full duration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::{Instant, LeaseId, PoolId};

type LeaseKey = (PoolId, LeaseId);

/// Deadlines of active leases.
#[derive(Debug, Default)]
pub(super) struct LeaseClock {
    deadlines: BTreeMap<LeaseKey, Instant>,
    by_deadline: BTreeSet<(Instant, LeaseKey)>,
    /// Leases whose end is on its way into the log: too late to renew.
    expiring: BTreeSet<LeaseKey>,
}

impl LeaseClock {
    /// Starts a lease, or renews it.
    pub(super) fn start(&mut self, now: Instant, pool: &PoolId, lease: LeaseId, duration_ms: u64) {
        let key = (pool.clone(), lease);
        let deadline = now + Duration::from_millis(duration_ms);
        if let Some(earlier) = self.deadlines.insert(key.clone(), deadline) {
            self.by_deadline.remove(&(earlier, key.clone()));
        }
        self.by_deadline.insert((deadline, key));
    }

    /// Whether the end of the lease is on its way into the log.
    pub(super) fn is_expiring(&self, pool: &PoolId, lease: LeaseId) -> bool {
        self.expiring.contains(&(pool.clone(), lease))
    }

    /// Takes the leases that have run out by now, by pool. Each is then expiring, until
    /// [`LeaseClock::clear_expiring`].
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

    /// The end of these leases had no room in the queue: they are due at the next tick, and may be
    /// renewed until then.
    pub(super) fn postpone(&mut self, pool: &PoolId, leases: &[LeaseId]) {
        self.clear_expiring(pool, leases);
        for lease in leases {
            self.start(Instant::ZERO, pool, *lease, 0);
        }
    }

    /// The end of these leases was applied, or was not needed any more.
    pub(super) fn clear_expiring(&mut self, pool: &PoolId, leases: &[LeaseId]) {
        for lease in leases {
            self.expiring.remove(&(pool.clone(), *lease));
        }
    }
}
