//! Settings of a simulated node: those of the real one as far as its decisions need them.

use std::net::SocketAddr;
use std::time::Duration;
use wingshore_request::{ExecutionLimits, WithoutLease};
use wingshore_routing::RouterSettings;
use wingshore_types::{NodeId, PoolId, ZoneId};

/// Deliberate faults of a node's state machines; all are off by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeFaults {
    /// Of requests.
    pub request: wingshore_request::Faults,
    /// Of rollouts.
    pub rollout: wingshore_rollout::Faults,
    /// Of the router.
    pub routing: wingshore_routing::Faults,
    /// A planned stop waits for nothing.
    pub stop_at_once: bool,
}

/// Settings of a [`super::SimNode`].
#[derive(Clone, Debug)]
pub struct SimNodeSettings {
    /// Its name.
    pub node: NodeId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Replicas of all groups.
    pub replicas: Vec<SocketAddr>,
    /// The platform's machine list.
    pub machine_list: Option<SocketAddr>,
    /// Between two readings of it.
    pub machine_list_poll: Duration,
    /// Number of claims groups.
    pub claims_groups: u16,
    /// What it does without a configuration lease.
    pub without_lease: WithoutLease,
    /// How long a planned stop waits for requests in flight.
    pub stop_grace: Duration,
    /// Limits of callers' requests.
    pub limits: ExecutionLimits,
    /// The router.
    pub router: RouterSettings,
    /// One probe is given up after this time.
    pub probe_timeout: Duration,
    /// Pools whose samples it generates.
    pub pools: Vec<PoolId>,
    /// Most rollout streams of each pool.
    pub max_streams: u32,
    /// Most samples of each pool at the scorer.
    pub max_scorings: u32,
    /// When a straggler gets a second attempt.
    pub over_issue: Option<wingshore_rollout::OverIssue>,
    /// Between two ticks of a pool's rollouts.
    pub rollout_tick: Duration,
    /// Deliberate faults.
    pub faults: NodeFaults,
}

impl SimNodeSettings {
    /// The usual settings of a node without rollouts.
    pub fn new(node: &str, zone: &str, replicas: Vec<SocketAddr>) -> Self {
        Self {
            node: NodeId::new(node),
            zone: ZoneId::new(zone),
            replicas,
            machine_list: None,
            machine_list_poll: Duration::from_secs(1),
            claims_groups: 1,
            without_lease: WithoutLease::Refuse,
            stop_grace: Duration::from_secs(10),
            limits: ExecutionLimits::default(),
            router: RouterSettings::default(),
            probe_timeout: Duration::from_millis(500),
            pools: Vec::new(),
            max_streams: 64,
            max_scorings: 16,
            over_issue: None,
            rollout_tick: Duration::from_millis(20),
            faults: NodeFaults::default(),
        }
    }
}
