//! Decision: does a plan move past its swaps, wait for them, or stop?
//!
//! Inputs: each engine's version by its report, failed swaps in a row to the plan's version, how
//! long it has been silent, its admission.
//!
//! Rule: swaps that follow each other go on side by side, as the swap policy allows; the plan moves
//! past those at its head that are done, and past engines that are gone, drained or unreachable. An
//! engine with `swap_failures_that_stop_a_plan` failures in a row is passed over while fewer than
//! one in [`FAILING_SHARE`] fail and some have succeeded; otherwise the plan stops.
//!
//! Why: one bad engine must not stop a move, and a version that fails everywhere must not take away
//! more than a quarter of the engines.
//!
//! Missing input: an engine without a report counts as not there yet until it is unreachable.

use super::executor::ExecutorView;
use crate::command::StepResult;
use wingshore_types::configuration::Admission;
use wingshore_types::ids::{ServerId, WeightVersion};
use wingshore_types::protocol::control::{Plan, PlanStep};

/// A plan stops when one in so many of its engines keeps failing.
const FAILING_SHARE: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SwapOutcome {
    /// The engine reports the version.
    Swapped,
    /// It is gone, takes no work or is silent: it is brought to the version once it is reachable again.
    PassedOver,
    /// Not there yet.
    Open,
    /// It has failed too often in a row to be waited for; it is tried again all the same.
    Failing,
}

/// What the swaps from `next_step` on have come to.
pub(super) fn check(plan: &Plan, next_step: u32, view: &ExecutorView<'_>) -> Option<StepResult> {
    let mut done = 0;
    for step in plan.steps.iter().skip(next_step as usize) {
        let PlanStep::Swap { server, version } = step else {
            break;
        };
        match outcome(server, *version, view) {
            SwapOutcome::Swapped | SwapOutcome::PassedOver => done += 1,
            SwapOutcome::Open => break,
            SwapOutcome::Failing => match reason_to_stop(plan, server, *version, view) {
                None => done += 1,
                Some(reason) if done == 0 => return Some(StepResult::Failed { reason }),
                Some(_) => break,
            },
        }
    }
    (done > 0).then_some(StepResult::Done { steps: done })
}

fn outcome(id: &ServerId, version: WeightVersion, view: &ExecutorView<'_>) -> SwapOutcome {
    let server = view.state.configuration().servers.get(id);
    let in_use = server.is_some_and(|server| server.admission == Admission::Open);
    let Some(engine) = view.engines.get(id).filter(|_| in_use) else {
        return SwapOutcome::PassedOver;
    };
    let settings = view.settings;
    if engine.version() == Some(version) && !engine.is_swapping() {
        return SwapOutcome::Swapped;
    }
    if engine.is_draining() || engine.is_unreachable(view.now, settings.unreachable_after) {
        return SwapOutcome::PassedOver;
    }
    if engine.failures_at(version) >= settings.swap_failures_that_stop_a_plan {
        return SwapOutcome::Failing;
    }
    SwapOutcome::Open
}

/// A failing engine among many that succeed is its own trouble; where many fail, or none has
/// succeeded, it is the version's.
fn reason_to_stop(
    plan: &Plan,
    failing: &ServerId,
    version: WeightVersion,
    view: &ExecutorView<'_>,
) -> Option<String> {
    let outcomes: Vec<SwapOutcome> = plan
        .steps
        .iter()
        .filter_map(|step| match step {
            PlanStep::Swap { server, version } => Some(outcome(server, *version, view)),
            _ => None,
        })
        .collect();
    let count = |wanted| {
        outcomes
            .iter()
            .filter(|outcome| **outcome == wanted)
            .count()
    };
    let failed = count(SwapOutcome::Failing);
    if failed * FAILING_SHARE < outcomes.len() && count(SwapOutcome::Swapped) > 0 {
        return None;
    }
    Some(format!(
        "{failed} of {} engines keep failing to swap to version {version}, `{failing}` among them; engines not moved yet stay where they are",
        outcomes.len()
    ))
}
