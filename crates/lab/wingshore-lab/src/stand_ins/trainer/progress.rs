//! Where a trainer is, read off its own log after a restart.

use crate::events::{Event, Record};
use std::collections::BTreeMap;
use wingshore_types::{StepId, WeightVersion};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The step to pull next.
    pub next_step: StepId,
    /// The version it has published last.
    pub version: WeightVersion,
    /// Batches received and not yet acknowledged: the hash of each answer.
    pub open_batches: BTreeMap<StepId, u64>,
    /// The last step trained; until it is acknowledged it is neither pulled nor trained again.
    pub trained: Option<StepId>,
    /// Samples submitted so far: the numbers below.
    pub submitted: u64,
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

    /// The first step whose samples were not all submitted.
    pub fn submitted_through(&self, batch: u32) -> StepId {
        StepId(self.submitted / u64::from(batch.max(1)))
    }

    /// Takes one event into account.
    pub fn follow(&mut self, event: &Event) {
        match event {
            Event::BatchDelivered {
                step, body_hash, ..
            } => {
                self.open_batches.entry(*step).or_insert(*body_hash);
            }
            Event::Submitted { samples, .. } => {
                let end = samples.iter().map(|number| number.0 + 1).max();
                self.submitted = self.submitted.max(end.unwrap_or(0));
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
