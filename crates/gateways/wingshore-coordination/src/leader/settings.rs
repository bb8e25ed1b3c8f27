//! Settings of the leader machine.

use super::decisions::capacity_plan::CapacityPolicy;
use super::decisions::usage_reports::UsageDuty;
use super::policy::LeaderPolicy;
use crate::fingerprint::FingerprintKey;
use std::time::Duration;

/// Settings of the leader machine; the same on all members. The defaults are those of tests; sites set
/// their own.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderSettings {
    /// Name of this machine, given to engines as the holder of orders.
    pub node: String,
    /// Key of the site's fingerprints, if this leader is the first one; drawn at random.
    pub fingerprint_key: FingerprintKey,
    /// A server that is silent for this long leaves the registry: some heartbeats.
    pub server_expiry: Duration,
    /// A new leader gives orders only this long after another machine may have given its last: longer
    /// than the lease of a leader, and than an order is under way.
    pub order_handover: Duration,
    /// Reports of usage that the site owes its provider; `None` where it owes none.
    pub usage: Option<UsageDuty>,
    /// Whether the number of servers is ordered from their provider.
    pub orders_servers: bool,
    /// How it is chosen.
    pub capacity: CapacityPolicy,
    /// Whether engines refuse orders whose fence is lower than one that they have seen. Where they
    /// do not check, only time keeps the orders of two machines apart.
    pub engines_check_fences: bool,
    /// Time from an order to the first look at how it went: a load takes 0.9 s.
    pub load_time: Duration,
    /// An ended job is remembered this long: callers may still read it.
    pub job_retention: Duration,
    /// Most bytes that the contents of open jobs may have together: a part of the process's memory.
    pub max_open_job_bytes: usize,
    /// Which mechanisms of choice are on.
    pub policy: LeaderPolicy,
}

impl Default for LeaderSettings {
    fn default() -> Self {
        Self {
            node: String::new(),
            fingerprint_key: FingerprintKey::new([0; 16]),
            server_expiry: Duration::from_secs(6),
            order_handover: Duration::from_millis(3300),
            usage: None,
            orders_servers: false,
            capacity: CapacityPolicy::ByDemand,
            engines_check_fences: false,
            load_time: Duration::from_millis(900),
            job_retention: Duration::from_secs(130),
            max_open_job_bytes: 32 << 20,
            policy: LeaderPolicy::default(),
        }
    }
}
