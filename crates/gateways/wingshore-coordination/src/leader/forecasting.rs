//! Forecasts of when items and training steps end.

use super::decisions::item_length::{RemainingEvents, estimated_tokens, events_without_estimate};
use super::decisions::step_forecast::StepForecast;
use super::machine::CoordinationLeader;
use super::tables::item::{Attempt, OpenItem};
use super::tables::pace::slowdown_factor;
use crate::ids::{ItemKey, JobId, ServiceName};
use crate::jobs::Job;
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Makes the forecast of a job's step, unless there is a recent one. The engines of `service`
    /// count as those of all its items.
    pub(super) fn renew_forecast(
        &mut self,
        now: Instant,
        job: &JobId,
        service: &ServiceName,
        state: &CoordinationState,
    ) {
        let known = self.forecasts.get(job);
        if known.is_some_and(|forecast| forecast.is_recent(now)) {
            return;
        }
        if let Some(forecast) = self.forecast(now, job, service, state) {
            self.forecasts.insert(job.clone(), forecast);
        }
    }

    fn forecast(
        &self,
        now: Instant,
        id: &JobId,
        service: &ServiceName,
        state: &CoordinationState,
    ) -> Option<StepForecast> {
        let job = state.jobs().get(id)?;
        let best_pace = self.engines.best_pace(service)? * slowdown_factor(1);
        let submission = job.open_contents()?;
        let items = &submission.items;
        let most_events = self.most_events(job, id);
        let mut groups: BTreeMap<&str, f64> = BTreeMap::new();
        for item in items {
            groups.entry(&item.group).or_insert(0.0);
        }
        for index in job.open_items() {
            let key = ItemKey {
                job: id.clone(),
                index,
            };
            let end = self.earliest_end(&key, service, best_pace, most_events);
            let group = items.get(index as usize).map(|item| item.group.as_str());
            if let Some(group_end) = group.and_then(|group| groups.get_mut(group)) {
                *group_end = group_end.max(end);
            }
        }
        let desired = submission.desired;
        Some(StepForecast::new(now, desired, &groups, most_events))
    }

    /// Returns the most events that a running item of a job has.
    fn most_events(&self, job: &Job, id: &JobId) -> u64 {
        let keys = job.open_items().map(|index| ItemKey {
            job: id.clone(),
            index,
        });
        let events = keys.filter_map(|key| {
            let open_item = self.items.open_item(&key)?;
            let attempt = self.items.attempt(open_item.assignment?);
            Some(generated_events(open_item, attempt))
        });
        events.max().unwrap_or(0)
    }

    /// Returns the expected time until an item ends where it ends first, in milliseconds.
    fn earliest_end(
        &self,
        item: &ItemKey,
        service: &ServiceName,
        best_pace: f64,
        most_events: u64,
    ) -> f64 {
        let Some(open_item) = self.items.open_item(item) else {
            return 0.0;
        };
        if open_item.has_result {
            return 0.0;
        }
        let attempt = open_item
            .assignment
            .and_then(|assignment| self.items.attempt(assignment));
        let engine = attempt.and_then(|attempt| self.engines.get(&attempt.instance));
        let pace = engine.and_then(|engine| engine.current_pace());
        let pace = pace.map_or(best_pace, |pace| pace.min(best_pace));
        let estimated = self.estimated_events(open_item, service);
        let estimated = estimated.unwrap_or_else(|| events_without_estimate(most_events));
        let generated = generated_events(open_item, attempt);
        RemainingEvents::new(estimated, generated).expected * pace
    }

    /// Returns the estimated number of events of an item; `None` without an estimate, or if the
    /// number of tokens in an event is not known yet.
    pub(super) fn estimated_events(
        &self,
        open_item: &OpenItem,
        service: &ServiceName,
    ) -> Option<f64> {
        self.event_sizes
            .events_of(service, open_item.estimated_tokens?)
    }

    /// Learns the number of tokens in an event from a completed text.
    pub(super) fn record_event_size(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        state: &CoordinationState,
    ) {
        let Some(engine) = self.engines.get(&attempt.instance) else {
            return;
        };
        let job = state.jobs().get(&attempt.item.job);
        let item = job.and_then(|job| job.item_contents(attempt.item.index));
        let Some(tokens) = item.and_then(estimated_tokens) else {
            return;
        };
        if let (Some((events, at)), Some(pace)) = (attempt.last_progress, engine.current_pace()) {
            let since_report = now.since(at).as_secs_f64() * 1000.0 / pace;
            let service = engine.record.service.clone();
            let all = events as f64 + since_report;
            self.event_sizes.record(&service, tokens, all);
        }
    }
}

/// Returns the number of events that an item is known to have.
pub(super) fn generated_events(open_item: &OpenItem, attempt: Option<&Attempt>) -> u64 {
    let reported = attempt.and_then(|attempt| attempt.last_progress);
    let reported = reported.map_or(0, |(events, _)| events);
    reported.max(open_item.partial_text.events)
}
