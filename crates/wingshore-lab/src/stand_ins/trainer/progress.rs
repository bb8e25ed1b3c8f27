//! Where a trainer is, read off its own log after a restart.

use crate::events::{Event, Record};
use std::collections::BTreeMap;
use wingshore_types::{StepId, WeightVersion};

/// Where a trainer is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The step to pull next.
    pub next_step: StepId,
    /// The version it has published last.
    pub version: WeightVersion,
    /// Batches received and not yet acknowledged: the hash of each answer.
    pub open_batches: BTreeMap<StepId, u64>,
    /// Steps trained and not yet acknowledged: they are not trained twice.
    pub trained: Option<StepId>,
}

impl Progress {
    /// Reads it off a log.
    pub fn from_log(records: &[Record]) -> Self {
        let mut progress = Self::default();
        for record in records {
            progress.follow(&record.event);
        }
        progress
    }

    /// Takes one event into account.
    pub fn follow(&mut self, event: &Event) {
        match event {
            Event::BatchDelivered {
                step, body_hash, ..
            } => {
                self.open_batches.entry(*step).or_insert(*body_hash);
            }
            Event::Trained { step, .. } => self.trained = Some(*step),
            Event::Published { version } => self.version = *version,
            Event::Acknowledged { step } => {
                self.open_batches.remove(step);
                self.next_step = StepId(step.0 + 1);
            }
            _ => {}
        }
    }
}
