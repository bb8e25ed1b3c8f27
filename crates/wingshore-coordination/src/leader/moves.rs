//! Moving items away from engines that are slower than others.

use super::decision_log::Decision;
use super::machine::CoordinationLeader;
use super::tables::free_slots::{EngineQuery, Look};
use super::tables::items::Avoided;
use super::turn::Turn;
use crate::ids::{GatewayId, InstanceId};
use crate::messages::{AssignmentId, CoordinatorMessage, ItemProgress};
use crate::state::CoordinationState;
use std::time::Duration;
use wingshore_types::Instant;

/// An item moves where its events come this many times faster.
const WORTH_MOVING: f64 = 1.25;
/// Where they come this many times faster, it moves at once.
const MUCH_FASTER: f64 = 1.8;
/// Events after which an item counts as a long one.
const LONG_EVENTS: u64 = 20;
/// Events after which an item may move at all.
const FEWEST_EVENTS: u64 = 3;
/// Most times that one item moves.
const MOST_MOVES: u32 = 2;
/// Slots that a move leaves free where it goes.
const SPARE_SLOTS: usize = 1;
/// An item does not go back to the engine that it was moved away from for this long: a slot elsewhere
/// comes sooner where there is one, and no item may stand still for long.
const AVOIDED_FOR: Duration = Duration::from_millis(1500);
/// Fewest events of a measurement of pace.
const FEWEST_MEASURED: u64 = 2;

impl CoordinationLeader {
    /// A gateway tells how far its items are.
    pub(crate) fn on_progress(&mut self, progress: Vec<ItemProgress>, turn: &mut Turn<'_>) {
        let told: Vec<AssignmentId> = progress.iter().map(|item| item.assignment).collect();
        for ItemProgress { assignment, events } in progress {
            let Some(running) = self.items.running_mut(assignment) else {
                continue;
            };
            running.heard = turn.now;
            let Some((before, at)) = running.seen else {
                running.seen = Some((events, turn.now));
                continue;
            };
            let instance = running.instance.clone();
            let engine = self.engines.get(&instance);
            let steady = engine.is_some_and(|engine| engine.is_steady(turn.now));
            if !steady {
                running.seen = Some((events, turn.now));
                continue;
            }
            let new = events.saturating_sub(before);
            if new < FEWEST_MEASURED {
                continue;
            }
            running.seen = Some((events, turn.now));
            self.engines.paced(&instance, new, turn.now.since(at));
        }
        self.move_items(&told, turn);
    }

    /// Breaks off those of `tries` whose items go on faster elsewhere.
    fn move_items(&mut self, tries: &[AssignmentId], turn: &mut Turn<'_>) {
        if !self.settings.policy.moves {
            return;
        }
        let mut promised: std::collections::BTreeMap<InstanceId, usize> = Default::default();
        for assignment in tries.iter().copied() {
            let running = self.items.running_of(assignment);
            let Some(gateway) = running
                .filter(|running| !running.interrupted)
                .map(|running| running.gateway)
            else {
                continue;
            };
            let Some(target) = self.better_engine(turn.now, assignment, &promised, turn.state)
            else {
                continue;
            };
            *promised.entry(target).or_default() += 1;
            self.interrupt(assignment, gateway, turn);
        }
    }

    fn interrupt(&mut self, assignment: AssignmentId, gateway: GatewayId, turn: &mut Turn<'_>) {
        let Some(running) = self.items.running_mut(assignment) else {
            return;
        };
        running.interrupted = true;
        let (item, instance) = (running.item.clone(), running.instance.clone());
        if let Some(progress) = self.items.progress_mut(&item) {
            progress.moves += 1;
            progress.avoid = Some(Avoided {
                instance: instance.clone(),
                until: turn.now + AVOIDED_FOR,
            });
        }
        let decision = Decision::ItemMoved {
            assignment,
            job: item.job,
            index: item.index,
            instance,
        };
        turn.log(decision);
        let message = CoordinatorMessage::Interrupt { assignment };
        turn.send(gateway, message);
    }

    /// An engine with a free slot on which the item goes on much faster.
    fn better_engine(
        &self,
        now: Instant,
        assignment: AssignmentId,
        promised: &std::collections::BTreeMap<InstanceId, usize>,
        state: &CoordinationState,
    ) -> Option<InstanceId> {
        let running = self.items.running_of(assignment)?;
        let (events, _) = running
            .seen
            .filter(|(events, _)| *events >= FEWEST_EVENTS)?;
        let progress = self.items.progress(&running.item)?;
        if progress.moves >= MOST_MOVES || progress.ended {
            return None;
        }
        let engine = self.engines.get(&running.instance)?;
        let pace = engine.expected_pace()?;
        let job = state.jobs().get(&running.item.job)?;
        let model = job.submission.model.as_ref();
        let min_version = job.submission.min_version;
        let gain = if events >= LONG_EVENTS {
            WORTH_MOVING
        } else {
            MUCH_FASTER
        };
        let query = EngineQuery {
            service: &engine.record.service,
            model,
            min_version,
            look: Look::FastestKnown,
        };
        self.engines
            .best_of_each(query, |instance, other| {
                let promised = promised.get(instance).copied().unwrap_or(0);
                other.pace.is_some()
                    && other.takes(now, model, min_version)
                    && other.running + promised + SPARE_SLOTS < other.slots
            })
            .into_iter()
            .filter_map(|(instance, other)| Some((other.expected_pace()?, instance)))
            .filter(|(other, _)| pace > other * gain)
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, instance)| instance.clone())
    }
}
