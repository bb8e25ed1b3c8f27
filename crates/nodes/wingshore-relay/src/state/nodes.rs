//! Each node's newest acknowledgement, and until when it holds a lease.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::protocol::control::NodeAcknowledgement;
use wingshore_types::{Instant, NodeId, Revision};

/// One boot of a node. A node that starts again holds nothing of its earlier boot's.
pub(super) type NodeProcess = (NodeId, u64);

/// Why the next upstream watch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendReason {
    /// Some node has no lease yet.
    FirstLease,
    /// Nodes renew their leases, or nothing is new.
    Renewal,
}

#[derive(Clone, Debug)]
struct Node {
    in_force: Revision,
    last_acknowledged_at: Instant,
    /// Whether its newest acknowledgement is to be part of the next upstream watch.
    pending: bool,
    /// Whether it is part of the upstream watch that is out, whatever came since.
    in_flight: bool,
    lease_expires_at: Option<Instant>,
}

/// All nodes heard of lately.
#[derive(Debug, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeProcess, Node>,
}

impl NodeTable {
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Takes an acknowledgement in, to be passed on.
    pub(super) fn record_acknowledgement(
        &mut self,
        now: Instant,
        acknowledgement: NodeAcknowledgement,
    ) -> NodeProcess {
        let process = (acknowledgement.node, acknowledgement.boot_id);
        let node = self.nodes.entry(process.clone()).or_insert(Node {
            in_force: Revision(0),
            last_acknowledged_at: now,
            pending: true,
            in_flight: false,
            lease_expires_at: None,
        });
        node.in_force = node.in_force.max(acknowledgement.in_force);
        node.last_acknowledged_at = now;
        node.pending = true;
        process
    }

    /// What is left of the shortest lease among `processes`; zero when one has none, or there
    /// are none.
    pub(super) fn lease_left(&self, now: Instant, processes: &[NodeProcess]) -> Duration {
        let ends = processes.iter().map(|process| {
            let node = self.nodes.get(process);
            node.and_then(|node| node.lease_expires_at)
        });
        let shortest = ends.min().flatten();
        shortest.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// The newest acknowledgement of each node heard of since the last upstream watch, except for
    /// those heard of longer than `limit` ago.
    pub(super) fn take_for_upstream(
        &mut self,
        now: Instant,
        limit: Duration,
    ) -> (Vec<NodeAcknowledgement>, SendReason) {
        let mut acknowledgements = Vec::new();
        let mut reason = SendReason::Renewal;
        for ((name, boot_id), node) in &mut self.nodes {
            let is_fresh = now.since(node.last_acknowledged_at) <= limit;
            node.in_flight = node.pending && is_fresh;
            node.pending = false;
            if !node.in_flight {
                continue;
            }
            if node.lease_expires_at.is_none_or(|until| until <= now) {
                reason = SendReason::FirstLease;
            }
            acknowledgements.push(NodeAcknowledgement {
                node: name.clone(),
                boot_id: *boot_id,
                in_force: node.in_force,
            });
        }
        (acknowledgements, reason)
    }

    /// Upstream has answered: all nodes that were part of its watch hold a lease until then.
    pub(super) fn grant_leases(&mut self, until: Instant) {
        for node in self.nodes.values_mut().filter(|node| node.in_flight) {
            node.in_flight = false;
            node.lease_expires_at = node.lease_expires_at.max(Some(until));
        }
    }

    /// Upstream has not answered: what was part of its watch goes into the next one.
    pub(super) fn requeue_in_flight(&mut self) {
        for node in self.nodes.values_mut().filter(|node| node.in_flight) {
            node.in_flight = false;
            node.pending = true;
        }
    }

    /// Forgets nodes not heard of for `limit`.
    pub(super) fn remove_idle(&mut self, now: Instant, limit: Duration) {
        self.nodes
            .retain(|_, node| node.in_flight || now.since(node.last_acknowledged_at) < limit);
    }
}
