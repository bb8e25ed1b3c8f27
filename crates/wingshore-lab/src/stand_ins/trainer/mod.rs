//! Stand-in for a trainer: submits prompts ahead, pulls steps, trains for a while, publishes
//! versions and acknowledges. It checks nothing itself; it logs what it received.

pub mod process;
pub mod progress;
pub mod prompts;
pub mod service;
pub mod settings;

use super::StandInError;
use super::settings::load;
use crate::event_log::{EventLog, read_log};
use crate::events::Event;
use crate::hashing::hash_bytes;
use progress::Progress;
use prompts::{delivered, numbers_of, prompt_of};
use service::{PulledBatch, Service, ServiceError};
use settings::TrainerSettings;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::{SampleNumber, StepId, WeightVersion};

/// Trains until it is told to stop by SIGTERM; it then pulls all that it has submitted, so that
/// the log shows whether a sample was lost.
///
/// # Errors
/// When its settings or log cannot be used, or the service refuses a call for good.
pub fn run(settings_file: &Path, stop: Arc<AtomicBool>) -> Result<(), StandInError> {
    let settings: TrainerSettings = load(settings_file)?;
    let log = EventLog::open(&settings.log, &settings.name)?;
    let progress = Progress::from_log(&read_log(&settings.log)?);
    log.write(Event::Started {
        boot_id: rand::random(),
    });
    let mut trainer = Trainer {
        service: Service::new(&settings, stop),
        submitted_through: progress.next_step,
        settings: &settings,
        progress,
        log,
    };
    trainer.train()?;
    Ok(())
}

struct Trainer<'a> {
    settings: &'a TrainerSettings,
    service: Service<'a>,
    progress: Progress,
    submitted_through: StepId,
    log: EventLog,
}

impl Trainer<'_> {
    fn train(&mut self) -> Result<(), ServiceError> {
        loop {
            let step = self.progress.next_step;
            if !self.service.is_stopping() {
                self.submit_ahead(step)?;
            } else if step
                >= self
                    .progress
                    .submitted_through(self.settings.training.batch)
            {
                return Ok(());
            }
            // A step that was trained may have been acknowledged already, with the answer lost.
            if self.progress.trained != Some(step) {
                self.pull(step)?;
                self.train_step(step);
            }
            self.publish_after(step)?;
            self.service.acknowledge(step)?;
            self.note(Event::Acknowledged { step });
        }
    }

    /// Keeps the steps ahead submitted; after a restart some are submitted again.
    fn submit_ahead(&mut self, step: StepId) -> Result<(), ServiceError> {
        let training = &self.settings.training;
        while self.submitted_through.0 <= step.0 + training.steps_ahead {
            let samples: Vec<SampleNumber> = numbers_of(training, self.submitted_through)
                .map(SampleNumber)
                .collect();
            let prompts = samples
                .iter()
                .map(|number| prompt_of(training, *number))
                .collect();
            let reply = self.service.submit(prompts)?;
            self.submitted_through = StepId(self.submitted_through.0 + 1);
            self.note(Event::Submitted {
                samples,
                added: reply.added,
                known: reply.known,
            });
        }
        Ok(())
    }

    fn pull(&mut self, step: StepId) -> Result<(), ServiceError> {
        let began = Instant::now();
        let pulled = self.service.pull(step, self.progress.version)?;
        let waited = began.elapsed();
        let event = self.delivered(step, &pulled, waited);
        self.note(event);
        Ok(())
    }

    fn delivered(&self, step: StepId, pulled: &PulledBatch, waited: Duration) -> Event {
        let training = &self.settings.training;
        let samples = pulled.batch.samples.iter();
        Event::BatchDelivered {
            pool: self.settings.pool.clone(),
            step,
            trainer_version: self.progress.version,
            staleness_bound: self.settings.staleness_bound,
            asked: training.batch,
            body_hash: hash_bytes(&pulled.bytes),
            repeated: self.progress.open_batches.contains_key(&step),
            waited_us: waited.as_micros() as u64,
            samples: samples
                .map(|sample| delivered(&self.settings.training, sample))
                .collect(),
        }
    }

    fn train_step(&mut self, step: StepId) {
        let began = Instant::now();
        thread::sleep(self.settings.training.step_time);
        self.note(Event::Trained {
            step,
            busy_us: began.elapsed().as_micros() as u64,
        });
    }

    /// Publishes the version that this step completes, unless that was done before a restart.
    fn publish_after(&mut self, step: StepId) -> Result<(), ServiceError> {
        let version = WeightVersion((step.0 + 1) / self.settings.training.steps_per_version.max(1));
        if version <= self.progress.version {
            return Ok(());
        }
        self.service.publish(version)?;
        self.note(Event::Published { version });
        Ok(())
    }

    fn note(&mut self, event: Event) {
        self.progress.follow(&event);
        self.log.write(event);
    }
}
