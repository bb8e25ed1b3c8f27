//! Table of active leases. Derived from the open samples, so it is not part of a snapshot.

use super::stage::Holder;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::{LeaseId, NodeId, SampleNumber};

/// Active leases, indexed by id and by holder.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    by_id: BTreeMap<LeaseId, SampleNumber>,
    by_holder: BTreeMap<Holder, BTreeSet<LeaseId>>,
}

impl LeaseTable {
    pub(crate) fn insert(&mut self, lease: LeaseId, sample: SampleNumber, holder: &Holder) {
        self.by_id.insert(lease, sample);
        self.by_holder
            .entry(holder.clone())
            .or_default()
            .insert(lease);
    }

    pub(crate) fn remove(&mut self, lease: LeaseId, holder: &Holder) {
        self.by_id.remove(&lease);
        if let Some(leases) = self.by_holder.get_mut(holder) {
            leases.remove(&lease);
            if leases.is_empty() {
                self.by_holder.remove(holder);
            }
        }
    }

    /// Returns the sample of an active lease.
    pub(crate) fn sample(&self, lease: LeaseId) -> Option<SampleNumber> {
        self.by_id.get(&lease).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.by_id.keys().copied()
    }

    /// Returns the leases of the node's boots other than `boot_id`.
    pub(crate) fn leases_of_other_boots(&self, node: &NodeId, boot_id: u64) -> Vec<LeaseId> {
        let first = Holder {
            node: node.clone(),
            boot_id: 0,
        };
        self.by_holder
            .range(first..)
            .take_while(|(holder, _)| holder.node == *node)
            .filter(|(holder, _)| holder.boot_id != boot_id)
            .flat_map(|(_, leases)| leases.iter().copied())
            .collect()
    }
}
