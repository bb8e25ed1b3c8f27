//! Settings of the leader machine.

use super::capacity_plan::CapacityPolicy;
use super::policy::LeaderPolicy;
use super::usage::UsageDuty;
use crate::fingerprint::FingerprintKey;
use std::time::Duration;

/// Settings of the leader machine; the same on all members.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderSettings {
    /// Name of this machine, given to engines as the holder of orders.
    pub node: String,
    /// Key of the site's fingerprints, if this leader is the first one; drawn at random.
    pub fingerprint_key: FingerprintKey,
    /// A server that is not heard of for this long leaves the registry.
    pub server_expiry: Duration,
    /// A new leader gives orders only this long after another machine may have given its last.
    pub order_handover: Duration,
    /// Reports of usage that the site owes its provider; `None` where it owes none.
    pub usage: Option<UsageDuty>,
    /// Whether the number of servers is ordered from their provider.
    pub orders_servers: bool,
    /// How it is chosen.
    pub capacity: CapacityPolicy,
    /// The most that was open at once counts for this long at the least when it is chosen: some steps of
    /// a trainer.
    pub capacity_memory: Duration,
    /// Whether engines refuse orders whose fence is lower than one that they have seen. Where they
    /// do not look, only time keeps the orders of two machines apart.
    pub engines_check_fences: bool,
    /// A new leader waits this long for gateways to tell which items they run.
    pub introduction_time: Duration,
    /// Engines that may load weights at once at any site.
    pub concurrent_loads: usize,
    /// Where there are many engines, one in this many may load at once.
    pub engines_per_load: usize,
    /// Time from an order to the first look at how it went.
    pub load_time: Duration,
    /// Time between further looks.
    pub report_interval: Duration,
    /// An order or look without an answer is over after this time.
    pub engine_timeout: Duration,
    /// An ended job is remembered this long.
    pub job_retention: Duration,
    /// An engine at fault gets no items for this long at first, and twice as long each time.
    pub engine_pause: Duration,
    /// The longest such time.
    pub most_engine_pause: Duration,
    /// A gateway whose connection has ended keeps its items if it is back within this time, counted
    /// from when it was last heard of.
    pub gateway_return: Duration,
    /// A try that its gateway does not speak of for this long is over.
    pub item_silence: Duration,
    /// Most bytes of results in one answer.
    pub page_bytes: usize,
    /// Most bytes that the contents of open jobs may have together.
    pub most_open_job_bytes: usize,
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
            capacity_memory: Duration::from_secs(15),
            engines_check_fences: false,
            introduction_time: Duration::from_millis(300),
            concurrent_loads: 2,
            engines_per_load: 5,
            load_time: Duration::from_millis(900),
            report_interval: Duration::from_millis(150),
            engine_timeout: Duration::from_secs(1),
            job_retention: Duration::from_secs(130),
            engine_pause: Duration::from_millis(250),
            most_engine_pause: Duration::from_secs(4),
            gateway_return: Duration::from_millis(900),
            item_silence: Duration::from_secs(2),
            page_bytes: 900 * 1024,
            most_open_job_bytes: 32 << 20,
            policy: LeaderPolicy::default(),
        }
    }
}
