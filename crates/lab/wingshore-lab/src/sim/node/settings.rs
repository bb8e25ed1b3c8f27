//! Settings of a simulated node: those of the real one as far as scenarios and tests vary them.

use std::net::SocketAddr;
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
    /// Pools whose samples it generates.
    pub pools: Vec<PoolId>,
    /// When a straggler gets a second attempt.
    pub over_issue: Option<wingshore_rollout::SecondAttemptPolicy>,
    /// Deliberate faults.
    pub faults: NodeFaults,
}

impl SimNodeSettings {
    /// A node without rollouts and without a machine list.
    pub fn new(node: &str, zone: &str, replicas: Vec<SocketAddr>) -> Self {
        Self {
            node: NodeId::new(node),
            zone: ZoneId::new(zone),
            replicas,
            machine_list: None,
            pools: Vec::new(),
            over_issue: None,
            faults: NodeFaults::default(),
        }
    }
}
