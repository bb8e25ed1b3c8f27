//! Indexes of a pool's samples by stage.

use super::leases::LeaseTable;
use super::stage::{OpenSample, QueueKey, Stage};
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::{SampleNumber, StepId};

/// Sample indexes by stage; rebuilt from the samples after a restore.
#[derive(Clone, Debug, Default)]
pub(super) struct Indexes {
    pub(super) pending: BTreeSet<QueueKey>,
    pub(super) leases: LeaseTable,
    pub(super) finished: BTreeSet<QueueKey>,
    pub(super) scored: BTreeSet<QueueKey>,
    /// Step of each sample that is handed over and not acknowledged yet.
    pub(super) delivered: BTreeMap<SampleNumber, StepId>,
}

impl Indexes {
    pub(super) fn insert(&mut self, sample: &OpenSample) {
        match &sample.stage {
            Stage::Pending { .. } => {
                self.pending.insert(sample.key);
            }
            Stage::Leased { lease, holder, .. } => {
                self.leases.insert(*lease, sample.key.number(), holder);
            }
            Stage::Finished(_) => {
                self.finished.insert(sample.key);
            }
            Stage::Scored { .. } => {
                self.scored.insert(sample.key);
            }
        }
    }

    pub(super) fn remove(&mut self, sample: &OpenSample) {
        match &sample.stage {
            Stage::Pending { .. } => {
                self.pending.remove(&sample.key);
            }
            Stage::Leased { lease, holder, .. } => self.leases.remove(*lease, holder),
            Stage::Finished(_) => {
                self.finished.remove(&sample.key);
            }
            Stage::Scored { .. } => {
                self.scored.remove(&sample.key);
            }
        }
    }
}
