//! Moves of running items to engines where their step ends earlier.

use super::decision_log::Decision;
use super::decisions::moves::{AVOIDANCE_TIME, MovableItem, better_engine};
use super::machine::CoordinationLeader;
use super::tables::item::AvoidedEngine;
use super::turn::Turn;
use crate::ids::{AssignmentId, GatewayId, InstanceId};
use crate::messages::{CoordinatorMessage, ItemProgress};
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use wingshore_types::Instant;

impl CoordinationLeader {
    /// Interrupts the attempts whose items would continue much faster on another engine.
    pub(super) fn move_items(&mut self, attempts: &[ItemProgress], turn: &mut Turn<'_>) {
        let mut pending_moves: BTreeMap<InstanceId, usize> = BTreeMap::new();
        for ItemProgress { assignment, .. } in attempts {
            let better = self.better_engine(turn.now, *assignment, &pending_moves, turn.state);
            if let Some((gateway, target)) = better {
                *pending_moves.entry(target).or_default() += 1;
                self.interrupt(*assignment, gateway, turn);
            }
        }
    }

    /// Returns the gateway that runs an attempt, and the engine on which its item would continue
    /// much faster; `None` if there is no such engine.
    fn better_engine(
        &self,
        now: Instant,
        assignment: AssignmentId,
        pending_moves: &BTreeMap<InstanceId, usize>,
        state: &CoordinationState,
    ) -> Option<(GatewayId, InstanceId)> {
        let attempt = self.items.attempt(assignment)?;
        let open_item = self.items.open_item(&attempt.item)?;
        if attempt.interrupted || open_item.has_result {
            return None;
        }
        let (events, _) = attempt.last_progress?;
        let submission = &state.jobs().get(&attempt.item.job)?.submission;
        let item = MovableItem {
            instance: &attempt.instance,
            model: submission.model.as_ref(),
            min_version: submission.min_version,
            events,
            moves: open_item.moves,
        };
        let better = better_engine(now, &item, &self.engines, pending_moves)?;
        Some((attempt.gateway, better))
    }

    fn interrupt(&mut self, assignment: AssignmentId, gateway: GatewayId, turn: &mut Turn<'_>) {
        let Some(attempt) = self.items.attempt_mut(assignment) else {
            return;
        };
        attempt.interrupted = true;
        let (item, instance) = (attempt.item.clone(), attempt.instance.clone());
        if let Some(open_item) = self.items.open_item_mut(&item) {
            open_item.moves += 1;
            open_item.avoid = Some(AvoidedEngine {
                instance: instance.clone(),
                until: turn.now + AVOIDANCE_TIME,
            });
        }
        turn.log(Decision::ItemMoved {
            assignment,
            job: item.job,
            index: item.index,
            instance,
        });
        turn.send(gateway, CoordinatorMessage::Interrupt { assignment });
    }
}
