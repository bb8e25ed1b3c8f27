//! Classification of client requests: a watch, a change that goes through the log, or a query.

use crate::command::ControlCommand;
use crate::state::ControlState;
use wingshore_types::ids::PlanId;
use wingshore_types::protocol::control::{ControlRequest, Plan, PlanState, WatchRequest};

/// Most closed plans in one listing, which bounds the answer; others can be requested by their ids.
const MAX_LISTED_CLOSED_PLANS: usize = 500;

/// A request, classified by how it is answered.
pub(super) enum ClassifiedRequest {
    /// Answered when there is a newer revision, or at its deadline.
    Watch(WatchRequest),
    /// Answered when the command is applied.
    Change(ControlCommand),
    /// Answered at once.
    Query(Query),
}

/// A read-only request.
pub(super) enum Query {
    /// A single plan.
    Plan(PlanId),
    /// Open plans and the newest closed plans.
    Plans,
    /// Status of the site.
    Status,
    /// The committed configuration.
    Configuration,
}

/// Classifies a request.
pub(super) fn classify(request: ControlRequest) -> ClassifiedRequest {
    match request {
        ControlRequest::Watch(watch) => ClassifiedRequest::Watch(watch),
        ControlRequest::Propose {
            intent_id,
            base_revision,
            intent,
        } => ClassifiedRequest::Change(ControlCommand::Propose {
            intent_id,
            base_revision,
            intent,
        }),
        ControlRequest::Confirm { intent_id, plan } => {
            ClassifiedRequest::Change(ControlCommand::Confirm { intent_id, plan })
        }
        ControlRequest::Cancel { intent_id, plan } => {
            ClassifiedRequest::Change(ControlCommand::Cancel { intent_id, plan })
        }
        ControlRequest::Publish {
            intent_id,
            pool,
            version,
        } => ClassifiedRequest::Change(ControlCommand::Publish {
            intent_id,
            pool,
            version,
        }),
        ControlRequest::ShowPlan(id) => ClassifiedRequest::Query(Query::Plan(id)),
        ControlRequest::ListPlans => ClassifiedRequest::Query(Query::Plans),
        ControlRequest::Status => ClassifiedRequest::Query(Query::Status),
        ControlRequest::ReadConfiguration => ClassifiedRequest::Query(Query::Configuration),
    }
}

/// Returns the open plans and the newest closed ones, in the order of their ids.
pub(super) fn listed_plans(state: &ControlState) -> Vec<Plan> {
    let is_open =
        |plan: &Plan| matches!(plan.state, PlanState::Proposed | PlanState::Running { .. });
    let closed = state.plans().filter(|plan| !is_open(plan)).count();
    let mut skipped = closed.saturating_sub(MAX_LISTED_CLOSED_PLANS);
    let mut listed = Vec::new();
    for plan in state.plans() {
        if !is_open(plan) && skipped > 0 {
            skipped -= 1;
            continue;
        }
        listed.push(plan.clone());
    }
    listed
}
