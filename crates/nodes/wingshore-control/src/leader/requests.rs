//! What a client's request asks for: a watch, a change by way of the log, or a query.

use crate::command::ControlCommand;
use crate::state::ControlState;
use wingshore_types::ids::PlanId;
use wingshore_types::protocol::control::{ControlRequest, Plan, PlanState, WatchRequest};

/// Closed plans in one listing; others are shown by their numbers. Bounds the answer.
const CLOSED_PLANS_LISTED: usize = 500;

/// A request by what it takes to answer it.
pub(super) enum SortedRequest {
    /// Answered when there is news.
    Watch(WatchRequest),
    /// Answered when the command is applied.
    Change(ControlCommand),
    /// Answered at once.
    Query(Query),
}

/// A request that changes nothing.
pub(super) enum Query {
    /// One plan.
    Plan(PlanId),
    /// A listing.
    Plans,
    /// The site at a glance.
    Status,
    /// The configuration.
    Configuration,
}

/// Sorts a request.
pub(super) fn sort(request: ControlRequest) -> SortedRequest {
    match request {
        ControlRequest::Watch(watch) => SortedRequest::Watch(watch),
        ControlRequest::Propose {
            intent_id,
            base_revision,
            intent,
        } => SortedRequest::Change(ControlCommand::Propose {
            intent_id,
            base_revision,
            intent,
        }),
        ControlRequest::Confirm { intent_id, plan } => {
            SortedRequest::Change(ControlCommand::Confirm { intent_id, plan })
        }
        ControlRequest::Cancel { intent_id, plan } => {
            SortedRequest::Change(ControlCommand::Cancel { intent_id, plan })
        }
        ControlRequest::Publish {
            intent_id,
            pool,
            version,
        } => SortedRequest::Change(ControlCommand::Publish {
            intent_id,
            pool,
            version,
        }),
        ControlRequest::ShowPlan(id) => SortedRequest::Query(Query::Plan(id)),
        ControlRequest::ListPlans => SortedRequest::Query(Query::Plans),
        ControlRequest::Status => SortedRequest::Query(Query::Status),
        ControlRequest::ReadConfiguration => SortedRequest::Query(Query::Configuration),
    }
}

/// Open plans and the newest closed ones, in order of their numbers.
pub(super) fn listed_plans(state: &ControlState) -> Vec<Plan> {
    let is_open =
        |plan: &Plan| matches!(plan.state, PlanState::Proposed | PlanState::Running { .. });
    let closed = state.plans().filter(|plan| !is_open(plan)).count();
    let mut skipped = closed.saturating_sub(CLOSED_PLANS_LISTED);
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
