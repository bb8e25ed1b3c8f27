//! Decision: which revision of the configuration is in force on every node?
//!
//! Inputs: acknowledgements of node processes with the time of their arrival, the counted lease
//! ([`crate::LeaderSettings::lease_with_margin`]), the revision proved to be in force by an earlier
//! leader, the newest committed revision.
//!
//! A node acts on its configuration until its lease runs out, counted from its *sending* of a
//! watch. The leader counts from the *arrival* and adds a margin for drift, so its count never ends
//! before the node's. A revision is in force everywhere once each node that may hold a lease has
//! acknowledged it. A new leader does not know which leases the previous leader granted: until one
//! whole lease has passed, it reports only the revision that was proved and committed earlier.
//!
//! Missing input: a silent node counts as holding its lease until the lease has expired; the leader
//! waits for it.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::ids::{NodeId, Revision};
use wingshore_types::protocol::control::NodeAcknowledgement;

/// A process of a node, as node and boot id. Two processes of one node, the older one perhaps
/// frozen, each have a lease of their own.
type NodeProcess = (NodeId, u64);

#[derive(Clone, Copy, Debug)]
struct NodeLease {
    in_force: Revision,
    ends: Instant,
}

/// Configuration leases that nodes may hold.
#[derive(Debug, Default)]
pub(crate) struct NodeLeases {
    leases: BTreeMap<NodeProcess, NodeLease>,
    leadership_began: Instant,
    /// How long after `leadership_began` nodes may hold leases of an earlier leader.
    earlier_leases_for: Option<Duration>,
    /// The highest revision reported as in force so far: it stays in force, since every later
    /// answer to a node carries it or a later one.
    everywhere: Revision,
}

impl NodeLeases {
    /// Creates the table at the beginning of a leadership. `proven` is the newest revision that an
    /// earlier leader proved to be in force everywhere, `committed` the newest revision. If
    /// `committed` is the empty configuration, nodes with leases of an earlier leader can hold
    /// nothing else, and there is nothing to wait for.
    pub(crate) fn new(
        now: Instant,
        lease_with_margin: Duration,
        proven: Revision,
        committed: Revision,
    ) -> Self {
        let is_initial = committed == Revision::default();
        Self {
            leases: BTreeMap::new(),
            leadership_began: now,
            earlier_leases_for: (!is_initial).then_some(lease_with_margin),
            everywhere: proven,
        }
    }

    /// Raises the assumed length of an earlier leader's leases to `lease_with_margin`.
    pub(crate) fn extend_earlier_leases(&mut self, lease_with_margin: Duration) {
        self.earlier_leases_for = self
            .earlier_leases_for
            .map(|known| known.max(lease_with_margin));
    }

    /// Records the acknowledgements of a watch that arrived at `now`; each renews a lease.
    pub(crate) fn acknowledge(
        &mut self,
        now: Instant,
        lease_with_margin: Duration,
        acknowledgements: Vec<NodeAcknowledgement>,
    ) {
        for acknowledgement in acknowledgements {
            let process = (acknowledgement.node, acknowledgement.boot_id);
            let lease = self.leases.entry(process).or_insert(NodeLease {
                in_force: acknowledgement.in_force,
                ends: now,
            });
            // Watches of one process may arrive out of order.
            lease.in_force = lease.in_force.max(acknowledgement.in_force);
            lease.ends = lease.ends.max(now + lease_with_margin);
        }
    }

    /// Removes expired leases and updates the revision that the others prove to be in force.
    pub(crate) fn update(&mut self, now: Instant, committed: Revision) {
        self.leases.retain(|_, lease| lease.ends > now);
        if self
            .earlier_leases_for
            .is_some_and(|long| now < self.leadership_began + long)
        {
            return;
        }
        let lowest = self.leases.values().map(|lease| lease.in_force).min();
        let proven = lowest.unwrap_or(committed).min(committed);
        self.everywhere = self.everywhere.max(proven);
    }

    /// Returns the nodes that hold a lease and have not acknowledged `committed`.
    pub(crate) fn behind(&self, committed: Revision) -> Vec<NodeId> {
        let behind = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.in_force < committed);
        let mut nodes: Vec<NodeId> = behind.map(|((node, _), _)| node.clone()).collect();
        nodes.dedup();
        nodes
    }

    /// Returns the number of node processes that hold a lease, and of those that have not
    /// acknowledged `committed`.
    pub(crate) fn counts(&self, committed: Revision) -> (usize, usize) {
        let leases = self.leases.values();
        let behind = leases.filter(|lease| lease.in_force < committed).count();
        (self.leases.len(), behind)
    }

    /// Returns the newest revision known to be in force everywhere, as of the last update.
    pub(crate) fn everywhere(&self) -> Revision {
        self.everywhere
    }

    /// Returns the node processes that hold a lease, with the revision that each has in force.
    pub(crate) fn nodes(&self) -> Vec<NodeAcknowledgement> {
        let acknowledgement =
            |((node, boot_id), lease): (&NodeProcess, &NodeLease)| NodeAcknowledgement {
                node: node.clone(),
                boot_id: *boot_id,
                in_force: lease.in_force,
            };
        self.leases.iter().map(acknowledgement).collect()
    }
}
