//! Decision: does a plan advance past its swaps, wait for them, or stop?
//!
//! Inputs: each engine's version by its report, its consecutive failed swaps to the plan's version,
//! how long it has been silent, its admission.
//!
//! Rule: consecutive swap steps run concurrently, as the swap policy allows; the plan advances past
//! the leading steps that are done, and past engines that are removed, drained or unreachable. An
//! engine with `max_swap_failures` consecutive failures is skipped while fewer than
//! one in [`FAILING_SHARE_DIVISOR`] engines fail and some have succeeded; otherwise the plan stops.
//!
//! Why: one faulty engine must not stop a move, and a version that fails everywhere must not make
//! more than a quarter of the engines unavailable.
//!
//! Missing input: the swap of an engine without a report is open until the engine is unreachable.

use super::executor::ExecutorView;
use crate::command::StepResult;
use wingshore_types::configuration::Admission;
use wingshore_types::ids::{ServerId, WeightVersion};
use wingshore_types::protocol::control::{Plan, PlanStep};

/// A plan stops when at least one in this many of its engines keeps failing.
const FAILING_SHARE_DIVISOR: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SwapOutcome {
    /// The engine reports the version.
    Swapped,
    /// The engine is removed, accepts no work or is unreachable; it is moved to the version once it
    /// is reachable again.
    Skipped,
    /// The engine does not serve the version yet.
    Open,
    /// The engine has reached the limit of consecutive failures; the plan does not wait for it, but
    /// the swap is still retried.
    Failing,
}

/// Checks the consecutive swaps from `next_step` on and returns their result, if there is one yet.
pub(super) fn check_swaps(
    plan: &Plan,
    next_step: u32,
    view: &ExecutorView<'_>,
) -> Option<StepResult> {
    let mut done = 0;
    for step in plan.steps.iter().skip(next_step as usize) {
        let PlanStep::Swap { server, version } = step else {
            break;
        };
        match outcome(server, *version, view) {
            SwapOutcome::Swapped | SwapOutcome::Skipped => done += 1,
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
        return SwapOutcome::Skipped;
    };
    let settings = view.settings;
    if engine.version() == Some(version) && !engine.is_swapping() {
        return SwapOutcome::Swapped;
    }
    if engine.is_draining() || engine.is_unreachable(view.now, settings.unreachable_after) {
        return SwapOutcome::Skipped;
    }
    if engine.failures_to(version) >= settings.max_swap_failures {
        return SwapOutcome::Failing;
    }
    SwapOutcome::Open
}

/// Returns why the plan must stop, if it must. A failing engine among many that succeed is assumed
/// to be faulty itself; if many fail, or none has succeeded, the version is assumed to be at fault.
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
    if failed * FAILING_SHARE_DIVISOR < outcomes.len() && count(SwapOutcome::Swapped) > 0 {
        return None;
    }
    Some(format!(
        "{failed} of {} engines keep failing to swap to version {version}, `{failing}` among them; engines not moved yet stay where they are",
        outcomes.len()
    ))
}
