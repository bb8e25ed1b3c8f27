//! Settings of the leader machine.

use super::decisions::capacity_plan::CapacityPolicy;
use super::decisions::usage_reports::UsageDuty;
use super::policy::LeaderPolicy;
use crate::fingerprint::FingerprintKey;
use std::time::Duration;

/// Settings of the leader machine; all members of a group use the same ones. The defaults are for
/// tests; each site sets its own values.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderSettings {
    /// Name of this machine; engines receive it as the holder of orders.
    pub node: String,
    /// Random key for request fingerprints, used only if the group has no key yet.
    pub fingerprint_key: FingerprintKey,
    /// A server without a heartbeat for this time is removed from the registry; several heartbeat
    /// intervals.
    pub server_expiry: Duration,
    /// Time that a new leader waits before its first order, counted from the last moment at which
    /// another machine may have sent one. Longer than the leader lease, and longer than an order
    /// can be in flight.
    pub order_handover: Duration,
    /// Usage reports that the provider requires; `None` if it requires none.
    pub usage: Option<UsageDuty>,
    /// Whether the leader orders servers from their provider.
    pub orders_servers: bool,
    /// How the number of servers to order is chosen.
    pub capacity: CapacityPolicy,
    /// Whether engines refuse orders whose fence is lower than the highest one they have seen. If
    /// they do not, only `order_handover` separates the orders of two machines.
    pub engines_check_fences: bool,
    /// Time from an order to the first poll of its progress; a load takes 0.9 s.
    pub load_time: Duration,
    /// Time for which an ended job is kept, so that callers can still read it.
    pub job_retention: Duration,
    /// Limit for the contents of all open jobs together, in bytes: a part of the process's memory.
    pub max_open_job_bytes: usize,
    /// The heuristics that are enabled.
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
