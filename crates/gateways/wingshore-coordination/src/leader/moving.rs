//! Moves of running items to engines where their step ends earlier.

use super::decision_log::Decision;
use super::decisions::item_length::{RemainingEvents, events_without_estimate};
use super::decisions::moves::{AVOIDANCE_TIME, MovableItem, Move, better_engine, may_move};
use super::forecasting::generated_events;
use super::machine::CoordinationLeader;
use super::tables::item::{Attempt, AvoidedEngine};
use super::turn::Turn;
use crate::ids::{AssignmentId, InstanceId, JobId, ServiceName};
use crate::messages::{CoordinatorMessage, ItemProgress};
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Interrupts the attempts whose steps end earlier if their items continue on another engine.
    pub(super) fn move_items(&mut self, attempts: &[ItemProgress], turn: &mut Turn<'_>) {
        let mut pending_moves: BTreeMap<InstanceId, usize> = BTreeMap::new();
        for ItemProgress { assignment, .. } in attempts {
            let Some((job, service)) = self.slow_item(*assignment, turn.state) else {
                continue;
            };
            self.renew_forecast(turn.now, &job, &service, turn.state);
            let better = self.better_engine(turn.now, *assignment, &pending_moves, turn.state);
            if let Some(better) = better {
                *pending_moves.entry(better.target.clone()).or_default() += 1;
                self.interrupt(*assignment, better, turn);
            }
        }
    }

    /// Returns the job of a running item and the service of its engine, if faster engines are known.
    fn slow_item(
        &self,
        assignment: AssignmentId,
        state: &CoordinationState,
    ) -> Option<(JobId, ServiceName)> {
        let attempt = self.items.attempt(assignment)?;
        let item = self.movable_item(attempt, state)?;
        let engine = self.engines.get(&attempt.instance)?;
        let is_slow = may_move(&item, &self.engines);
        is_slow.then(|| (attempt.item.job.clone(), engine.record.service.clone()))
    }

    /// Returns a running item as far as it matters for a move; `None` if it does not move anyway.
    fn movable_item<'a>(
        &self,
        attempt: &'a Attempt,
        state: &'a CoordinationState,
    ) -> Option<MovableItem<'a>> {
        let open_item = self.items.open_item(&attempt.item)?;
        if attempt.interrupted || open_item.has_result {
            return None;
        }
        let service = &self.engines.get(&attempt.instance)?.record.service;
        let submission = state.jobs().get(&attempt.item.job)?.open_contents()?;
        let generated = generated_events(open_item, Some(attempt));
        let estimated = self.estimated_events(open_item, service);
        let most_events = self.forecasts.get(&attempt.item.job);
        let most_events = most_events.map_or(0, |forecast| forecast.most_events);
        let assumed = estimated.unwrap_or_else(|| events_without_estimate(most_events));
        Some(MovableItem {
            instance: &attempt.instance,
            model: submission.model.as_ref(),
            min_version: submission.min_version,
            remaining_events: RemainingEvents::new(assumed, generated),
            moves: open_item.moves,
            started_at: attempt.started_at,
            is_overrun: estimated.is_some_and(|estimated| generated as f64 > estimated),
        })
    }

    /// Returns the move by which the step of a running item ends earlier; `None` if there is none.
    fn better_engine(
        &self,
        now: Instant,
        assignment: AssignmentId,
        pending_moves: &BTreeMap<InstanceId, usize>,
        state: &CoordinationState,
    ) -> Option<Move> {
        let attempt = self.items.attempt(assignment)?;
        let item = self.movable_item(attempt, state)?;
        let forecast = self.forecasts.get(&attempt.item.job)?;
        let submission = state.jobs().get(&attempt.item.job)?.open_contents()?;
        let group = &submission.items.get(attempt.item.index as usize)?.group;
        if forecast.left_out.contains(group) {
            return None;
        }
        let step_ends_in = forecast.end.since(now);
        better_engine(now, &item, step_ends_in, &self.engines, pending_moves)
    }

    fn interrupt(&mut self, assignment: AssignmentId, better: Move, turn: &mut Turn<'_>) {
        let Some(attempt) = self.items.attempt_mut(assignment) else {
            return;
        };
        attempt.interrupted = true;
        let (item, instance) = (attempt.item.clone(), attempt.instance.clone());
        let gateway = attempt.gateway;
        if let Some(open_item) = self.items.open_item_mut(&item) {
            open_item.moves += 1;
            open_item.avoid = Some(AvoidedEngine {
                instance: instance.clone(),
                until: turn.now + AVOIDANCE_TIME,
            });
        }
        let step_ends_in = self
            .forecasts
            .get(&item.job)
            .map_or(Duration::ZERO, |forecast| forecast.end.since(turn.now));
        turn.log(Decision::ItemMoved {
            assignment,
            job: item.job,
            index: item.index,
            instance,
            target: better.target,
            reason: better.reason,
            ends_here_in: better.ends_here_in,
            ends_there_in: better.ends_there_in,
            step_ends_in,
        });
        turn.send(gateway, CoordinatorMessage::Interrupt { assignment });
    }
}
