//! Starts loads of model weights on engines.

use super::decisions::item_length::is_long_for_loads;
use super::decisions::load_choice::{LoadChoice, NextLoad, max_loads};
use super::decisions::load_progress::Load;
use super::machine::CoordinationLeader;
use super::turn::Turn;
use crate::jobs::Job;
use crate::state::CoordinationState;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Starts loads up to the number that the weight store can serve at once.
    pub(super) fn begin_loads(&mut self, turn: &mut Turn<'_>) {
        let max = max_loads(&self.engines);
        if self.rollout.active() >= max {
            return;
        }
        self.count_long_items();
        let mut choice = self.load_choice(turn.now, turn.state);
        while self.rollout.active() < max {
            let Some(next) = choice.take() else {
                return;
            };
            let NextLoad {
                instance,
                model,
                version,
            } = next;
            self.poll_engine(&instance, turn);
            let load = Load::begin(turn.now, model, version);
            self.rollout.loads.insert(instance, load);
        }
    }

    /// Counts the long items of each engine and model: those classified as long, and those that
    /// have produced that many events.
    fn count_long_items(&mut self) {
        self.engines.clear_long_running();
        for (_, attempt) in self.items.attempts() {
            let events = attempt.last_progress.map_or(0, |(events, _)| events);
            if let Some(model) = &attempt.model
                && is_long_for_loads(attempt.is_long, events)
            {
                self.engines.add_long_running(&attempt.instance, model);
            }
        }
    }

    fn load_choice(&mut self, now: Instant, state: &CoordinationState) -> LoadChoice {
        let mut choice = LoadChoice::new(
            state.named_versions(),
            &self.engines,
            |instance| self.rollout.model_loaded_by(instance),
            self.settings.policy,
        );
        for (job, items) in self.items.waiting_by_job() {
            let job = state.jobs().get(job);
            if let Some(model) = job.and_then(Job::model) {
                choice.count_waiting(model, items);
            }
        }
        for (_, attempt) in self.items.attempts() {
            if let Some(model) = &attempt.model {
                choice.count_running(model);
            }
        }
        choice.apply_peaks(now, &mut self.rollout.peaks);
        choice
    }
}
