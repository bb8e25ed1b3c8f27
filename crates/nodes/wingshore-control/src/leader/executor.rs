//! Executes running plans: checks whether the next step is done, and commits that before the step
//! after it starts.

use super::engines::Engines;
use super::idle::IdleWatch;
use super::swap_steps;
use crate::command::StepResult;
use crate::effect::ControlEffect;
use crate::settings::LeaderSettings;
use crate::state::{ControlState, is_engine_service};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::ids::{PlanId, Revision, ServerId};
use wingshore_types::protocol::control::{Plan, PlanState, PlanStep};

/// Progress of a plan, to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlanProgress {
    /// Id of the plan.
    pub(crate) plan: PlanId,
    /// Index of the step.
    pub(crate) step: u32,
    /// Result of the step.
    pub(crate) result: StepResult,
}

/// A server that a plan waits for to become idle.
#[derive(Clone, Copy, Debug)]
struct WatchedServer {
    watch: IdleWatch,
    silent_since: Option<Instant>,
    /// When its load is polled next; used for live servers only.
    next_poll_at: Instant,
}

/// Execution state of running plans; not replicated.
#[derive(Debug, Default)]
pub(crate) struct PlanExecutor {
    /// Plans whose progress is proposed but not yet applied.
    committing: BTreeSet<PlanId>,
    watched: BTreeMap<ServerId, WatchedServer>,
}

/// Inputs of the executor.
pub(crate) struct ExecutorView<'a> {
    /// Current time.
    pub(crate) now: Instant,
    /// Committed state.
    pub(crate) state: &'a ControlState,
    /// State of the engines by their reports.
    pub(crate) engines: &'a Engines,
    /// The newest revision in force on every node.
    pub(crate) everywhere: Revision,
    /// Times and limits.
    pub(crate) settings: &'a LeaderSettings,
}

impl PlanExecutor {
    /// Records that progress of a plan was applied, or ignored because it was outdated.
    pub(crate) fn on_committed(&mut self, plan: PlanId) {
        self.committing.remove(&plan);
    }

    /// Handles a server's report of its load, which was measured `age` before `polled_at`; `None`
    /// means that the poll failed.
    pub(crate) fn on_load(
        &mut self,
        server: &ServerId,
        polled_at: Instant,
        age: Duration,
        in_flight: Option<u32>,
    ) {
        let Some(watched) = self.watched.get_mut(server) else {
            return;
        };
        match in_flight {
            Some(in_flight) => {
                watched.silent_since = None;
                watched.watch.observe(polled_at - age, in_flight == 0);
            }
            None => {
                watched.silent_since.get_or_insert(polled_at);
            }
        }
    }

    /// Checks all running plans and returns the progress to commit.
    pub(crate) fn advance(&mut self, view: &ExecutorView<'_>) -> Vec<PlanProgress> {
        self.forget_unwatched(view.state);
        let mut progress = Vec::new();
        for plan in view.state.running_plans() {
            let PlanState::Running { next_step } = plan.state else {
                continue;
            };
            if self.committing.contains(&plan.id) {
                continue;
            }
            if let Some(result) = self.check_step(plan, next_step, view) {
                self.committing.insert(plan.id);
                progress.push(PlanProgress {
                    plan: plan.id,
                    step: next_step,
                    result,
                });
            }
        }
        progress
    }

    /// Polls the load of the live servers that a plan waits for.
    pub(crate) fn poll_loads(
        &mut self,
        now: Instant,
        state: &ControlState,
        settings: &LeaderSettings,
        effects: &mut Vec<ControlEffect>,
    ) {
        for (id, watched) in &mut self.watched {
            let Some(server) = state.configuration().servers.get(id) else {
                continue;
            };
            if is_engine_service(state.configuration(), &server.service)
                || now < watched.next_poll_at
            {
                continue;
            }
            watched.next_poll_at = now + settings.poll_interval;
            effects.push(ControlEffect::ReadLoad {
                server: id.clone(),
                address: server.address,
            });
        }
    }

    /// Returns the servers that a plan waits for.
    pub(crate) fn watched(&self) -> impl Iterator<Item = &ServerId> {
        self.watched.keys()
    }

    fn check_step(
        &mut self,
        plan: &Plan,
        next_step: u32,
        view: &ExecutorView<'_>,
    ) -> Option<StepResult> {
        match plan.steps.get(next_step as usize)? {
            // Changes are committed together with the step that precedes them.
            PlanStep::Change(_) => None,
            PlanStep::AwaitInForce => {
                let everywhere = view.everywhere;
                let wanted = view.state.changed_at(plan.id);
                (everywhere >= wanted).then_some(StepResult::InForce(everywhere))
            }
            PlanStep::AwaitIdle(server) => self.check_idle(server, view),
            PlanStep::Swap { .. } => swap_steps::check_swaps(plan, next_step, view),
        }
    }

    fn check_idle(&mut self, id: &ServerId, view: &ExecutorView<'_>) -> Option<StepResult> {
        if !view.state.configuration().servers.contains_key(id) {
            return Some(StepResult::Done { steps: 1 });
        }
        let now = view.now;
        let watched = self.watched.entry(id.clone()).or_insert(WatchedServer {
            watch: IdleWatch::new(now),
            silent_since: None,
            next_poll_at: now,
        });
        if watched.watch.is_idle_for(view.settings.idle_for) {
            return Some(StepResult::Done { steps: 1 });
        }
        let silent_for = watched.silent_since.map(|since| now.since(since))?;
        (silent_for >= view.settings.unreachable_after).then(|| StepResult::Failed {
            reason: format!(
                "server `{id}` has not answered for {} s, so whether it is idle is not known; it still gets no new work",
                silent_for.as_secs()
            ),
        })
    }

    fn forget_unwatched(&mut self, state: &ControlState) {
        if self.watched.is_empty() {
            return;
        }
        let awaited: BTreeSet<&ServerId> =
            state.running_plans().filter_map(awaited_server).collect();
        self.watched.retain(|id, _| awaited.contains(id));
    }
}

fn awaited_server(plan: &Plan) -> Option<&ServerId> {
    let PlanState::Running { next_step } = plan.state else {
        return None;
    };
    match plan.steps.get(next_step as usize)? {
        PlanStep::AwaitIdle(server) => Some(server),
        _ => None,
    }
}
