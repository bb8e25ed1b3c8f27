//! First answers to intents, kept so that a retry gets the same answer.

use super::plan_table::PlanTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use wingshore_types::ids::{IntentId, PlanId, Revision};
use wingshore_types::protocol::control::{ControlRefusal, ControlReply, PlanState};

/// Most answers kept; the oldest by commit order are evicted first.
pub const ANSWERS_KEPT: usize = 10_000;

/// A first answer. Only the state of a plan is stored; the rest is read from the plan table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum FirstAnswer {
    Plan { plan: PlanId, state: PlanState },
    Published(Revision),
    Refused(ControlRefusal),
}

/// An answer with a hash of its request, by which reuse of an intent id is detected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AnsweredIntent {
    fingerprint: u64,
    answer: FirstAnswer,
}

/// First answers by intent id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IntentAnswers {
    by_intent: BTreeMap<IntentId, AnsweredIntent>,
    commit_order: VecDeque<IntentId>,
}

impl IntentAnswers {
    /// Returns the first answer to `intent_id`, if it is kept; an error answer if the id was used
    /// for another request.
    pub(crate) fn find(
        &self,
        intent_id: IntentId,
        fingerprint: u64,
        plans: &PlanTable,
    ) -> Option<ControlReply> {
        let answered = self.by_intent.get(&intent_id)?;
        if answered.fingerprint != fingerprint {
            return Some(reused_intent_id(intent_id));
        }
        Some(match &answered.answer {
            FirstAnswer::Plan { plan, state } => plan_as_answered(*plan, state, plans),
            FirstAnswer::Published(revision) => ControlReply::Published(*revision),
            FirstAnswer::Refused(refusal) => ControlReply::Refused(refusal.clone()),
        })
    }

    /// Stores the first answer to `intent_id` and evicts the oldest answers beyond the limit.
    pub(crate) fn record_first(
        &mut self,
        intent_id: IntentId,
        fingerprint: u64,
        reply: &ControlReply,
    ) {
        let Some(answer) = first_answer(reply) else {
            return;
        };
        let answered = AnsweredIntent {
            fingerprint,
            answer,
        };
        if self.by_intent.insert(intent_id, answered).is_none() {
            self.commit_order.push_back(intent_id);
        }
        while self.commit_order.len() > ANSWERS_KEPT {
            if let Some(oldest) = self.commit_order.pop_front() {
                self.by_intent.remove(&oldest);
            }
        }
    }
}

fn first_answer(reply: &ControlReply) -> Option<FirstAnswer> {
    match reply {
        ControlReply::Plan(plan) => Some(FirstAnswer::Plan {
            plan: plan.id,
            state: plan.state.clone(),
        }),
        ControlReply::Published(revision) => Some(FirstAnswer::Published(*revision)),
        ControlReply::Refused(refusal) => Some(FirstAnswer::Refused(refusal.clone())),
        ControlReply::Update { .. }
        | ControlReply::Plans(_)
        | ControlReply::Status(_)
        | ControlReply::Configuration(_) => None,
    }
}

/// Returns the plan in the state of the first answer; `UnknownPlan` if it has been evicted from the
/// plan table.
fn plan_as_answered(id: PlanId, state: &PlanState, plans: &PlanTable) -> ControlReply {
    match plans.get(id) {
        Some(record) => {
            let mut plan = record.plan.clone();
            plan.state = state.clone();
            ControlReply::Plan(Box::new(plan))
        }
        None => ControlReply::Refused(ControlRefusal::UnknownPlan(id)),
    }
}

fn reused_intent_id(intent_id: IntentId) -> ControlReply {
    ControlReply::Refused(ControlRefusal::Invalid {
        message: format!(
            "intent id {intent_id} was used for another request before; draw a new one for each request"
        ),
    })
}
