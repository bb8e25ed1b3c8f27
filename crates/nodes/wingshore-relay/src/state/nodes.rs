//! The newest acknowledgement and the lease of each node process.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::protocol::control::NodeAcknowledgement;
use wingshore_types::{Instant, NodeId, Revision};

/// A node and its boot id. A restarted node does not inherit the lease of its earlier boot.
pub(super) type NodeProcess = (NodeId, u64);

/// Why the next upstream watch is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendReason {
    /// Some node has no lease yet.
    FirstLease,
    /// Nodes renew their leases, or there are no acknowledgements to forward.
    Renewal,
}

#[derive(Clone, Debug)]
struct Node {
    in_force: Revision,
    last_acknowledged_at: Instant,
    /// Whether the newest acknowledgement must be included in the next upstream watch.
    pending: bool,
    /// Whether the upstream watch in flight includes an acknowledgement of the node, even if a
    /// newer one was received since.
    in_flight: bool,
    lease_expires_at: Option<Instant>,
}

/// All node processes with a recent acknowledgement.
#[derive(Debug, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeProcess, Node>,
}

impl NodeTable {
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Records an acknowledgement to be forwarded upstream.
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

    /// Returns the remainder of the shortest lease among `processes`; zero if one has no lease or
    /// `processes` is empty.
    pub(super) fn lease_left(&self, now: Instant, processes: &[NodeProcess]) -> Duration {
        let ends = processes.iter().map(|process| {
            let node = self.nodes.get(process);
            node.and_then(|node| node.lease_expires_at)
        });
        let shortest = ends.min().flatten();
        shortest.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Marks as in flight and returns the newest acknowledgement of each node that sent one since
    /// the last upstream watch, except for those older than `limit`.
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

    /// Grants a lease until `until` to all nodes in the upstream watch that was answered.
    pub(super) fn grant_leases(&mut self, until: Instant) {
        for node in self.nodes.values_mut().filter(|node| node.in_flight) {
            node.in_flight = false;
            node.lease_expires_at = node.lease_expires_at.max(Some(until));
        }
    }

    /// Queues the acknowledgements of a failed upstream watch for the next one.
    pub(super) fn requeue_in_flight(&mut self) {
        for node in self.nodes.values_mut().filter(|node| node.in_flight) {
            node.in_flight = false;
            node.pending = true;
        }
    }

    /// Removes nodes without an acknowledgement for `limit`, unless one is in flight.
    pub(super) fn remove_idle(&mut self, now: Instant, limit: Duration) {
        self.nodes
            .retain(|_, node| node.in_flight || now.since(node.last_acknowledged_at) < limit);
    }
}
