//! Decision: which revision of the configuration is in force on every node?
//!
//! Inputs: acknowledgements of node processes with the time of their arrival, the counted lease
//! ([`crate::LeaderSettings::counted_lease`]), the revision proved by an earlier leader, the newest
//! committed one.
//!
//! A node acts on its configuration until its lease runs out, counted from its *sending* of a
//! watch. The leader counts from the *arrival* and adds a margin for drift, so its count never ends
//! before the node's. A revision is in force everywhere once each node that may hold a lease has
//! acknowledged it. A new leader does not know which leases the one before it gave: until one
//! whole lease has passed, it vouches only for what was proved and committed earlier.
//!
//! Missing input: a node that is silent holds its lease until that has run out, and is waited for.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::ids::{NodeId, Revision};
use wingshore_types::protocol::control::NodeAcknowledgement;

/// One process of a node: two processes of one node, the older one perhaps frozen, each have a
/// lease of their own.
type NodeProcess = (NodeId, u64);

#[derive(Clone, Copy, Debug)]
struct NodeLease {
    in_force: Revision,
    ends: Instant,
}

/// All leases that may be held.
#[derive(Debug, Default)]
pub(crate) struct NodeLeases {
    leases: BTreeMap<NodeProcess, NodeLease>,
    began: Instant,
    /// For so long there may be leases of an earlier leader.
    unknown_for: Option<Duration>,
    /// The highest revision reported so far: it stays in force, since every later answer to a node
    /// carries it or a later one.
    everywhere: Revision,
}

impl NodeLeases {
    /// At the beginning of a leadership: `proven` was in force everywhere by an earlier proof, and
    /// `committed` is the newest revision. Where that is the empty configuration, nodes with leases
    /// of an earlier leader can hold nothing else, and there is nothing to wait for.
    pub(crate) fn new(
        now: Instant,
        counted_lease: Duration,
        proven: Revision,
        committed: Revision,
    ) -> Self {
        let nothing_to_hold = committed == Revision::default();
        Self {
            leases: BTreeMap::new(),
            began: now,
            unknown_for: (!nothing_to_hold).then_some(counted_lease),
            everywhere: proven,
        }
    }

    /// Leases are longer than was thought: so may be those of an earlier leader.
    pub(crate) fn lengthen(&mut self, counted_lease: Duration) {
        self.unknown_for = self.unknown_for.map(|known| known.max(counted_lease));
    }

    /// Takes in acknowledgements of a watch that arrived at `now`; each renews a lease.
    pub(crate) fn acknowledge(
        &mut self,
        now: Instant,
        counted_lease: Duration,
        acknowledgements: Vec<NodeAcknowledgement>,
    ) {
        for acknowledgement in acknowledgements {
            let process = (acknowledgement.node, acknowledgement.boot_id);
            let lease = self.leases.entry(process).or_insert(NodeLease {
                in_force: acknowledgement.in_force,
                ends: now,
            });
            // A watch may be overtaken by a later one of the same process.
            lease.in_force = lease.in_force.max(acknowledgement.in_force);
            lease.ends = lease.ends.max(now + counted_lease);
        }
    }

    /// Lets leases go that have run out, and notes what the others prove.
    pub(crate) fn update(&mut self, now: Instant, committed: Revision) {
        self.leases.retain(|_, lease| lease.ends > now);
        if self.unknown_for.is_some_and(|long| now < self.began + long) {
            return;
        }
        let lowest = self.leases.values().map(|lease| lease.in_force).min();
        let proven = lowest.unwrap_or(committed).min(committed);
        self.everywhere = self.everywhere.max(proven);
    }

    /// Nodes that hold a lease and have not acknowledged `committed`.
    pub(crate) fn behind(&self, committed: Revision) -> Vec<NodeId> {
        let behind = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.in_force < committed);
        let mut nodes: Vec<NodeId> = behind.map(|((node, _), _)| node.clone()).collect();
        nodes.dedup();
        nodes
    }

    /// Node processes that hold a lease, and those of them that are behind `committed`.
    pub(crate) fn counts(&self, committed: Revision) -> (usize, usize) {
        let leases = self.leases.values();
        let behind = leases.filter(|lease| lease.in_force < committed).count();
        (self.leases.len(), behind)
    }

    /// The newest revision known to be in force everywhere, as of the last update.
    pub(crate) fn everywhere(&self) -> Revision {
        self.everywhere
    }

    /// Nodes that hold a lease, with what they have in force.
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
