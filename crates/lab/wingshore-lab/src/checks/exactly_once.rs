//! Every sample reaches its trainer exactly once: none in two steps, none lost, none that was not
//! submitted, and a repeated pull gets the same bytes.

use super::{Promise, RunLog, Violation};
use crate::events::Event;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_types::{SampleNumber, StepId};

/// Judges each trainer's own log.
pub fn check(log: &RunLog) -> Vec<Violation> {
    let mut trainers: BTreeMap<&str, Trainer> = BTreeMap::new();
    for record in log.records() {
        let trainer = trainers.entry(&record.source).or_default();
        trainer.follow(record.at_us, &record.event);
    }
    trainers
        .into_iter()
        .flat_map(|(name, trainer)| trainer.judge(name, log.end_us()))
        .collect()
}

#[derive(Default)]
struct Trainer {
    submitted: BTreeSet<SampleNumber>,
    delivered: BTreeMap<SampleNumber, StepId>,
    batches: BTreeMap<StepId, u64>,
    faults: Vec<(u64, String)>,
}

impl Trainer {
    fn follow(&mut self, at_us: u64, event: &Event) {
        match event {
            Event::Submitted { samples, .. } => self.submitted.extend(samples),
            Event::BatchDelivered {
                step,
                asked,
                body_hash,
                samples,
                ..
            } => {
                if let Some(first) = self.batches.insert(*step, *body_hash) {
                    if first != *body_hash {
                        self.fault(at_us, format!("step {step} came again with other bytes"));
                    }
                    return;
                }
                if samples.len() != *asked as usize {
                    let found = samples.len();
                    self.fault(
                        at_us,
                        format!("step {step}: {found} samples, asked {asked}"),
                    );
                }
                for sample in samples {
                    self.deliver(at_us, *step, sample.number);
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, at_us: u64, step: StepId, number: SampleNumber) {
        if !self.submitted.contains(&number) {
            self.fault(at_us, format!("sample {number} was never submitted"));
        }
        if let Some(first) = self.delivered.insert(number, step) {
            self.fault(
                at_us,
                format!("sample {number} in steps {first} and {step}"),
            );
        }
    }

    fn fault(&mut self, at_us: u64, detail: String) {
        self.faults.push((at_us, detail));
    }

    /// Trainers pull all they have submitted before they stop: what is missing then is lost.
    fn judge(mut self, name: &str, end_us: u64) -> Vec<Violation> {
        let lost: Vec<SampleNumber> = self
            .submitted
            .iter()
            .filter(|number| !self.delivered.contains_key(number))
            .copied()
            .collect();
        for number in lost {
            self.fault(end_us, format!("sample {number} was never delivered"));
        }
        self.faults
            .into_iter()
            .map(|(at_us, detail)| Violation {
                promise: Promise::ExactlyOnce,
                at_us,
                detail: format!("{name}: {detail}"),
            })
            .collect()
    }
}
