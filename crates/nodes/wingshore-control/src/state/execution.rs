//! Plans in execution: their changes are committed here, so that no change of a plan is ever made
//! twice or apart from the progress of the plan.

use super::ControlState;
use super::describe::describe_all;
use super::footprint::Footprint;
use wingshore_types::configuration::ConfigurationChange;
use wingshore_types::ids::PlanId;
use wingshore_types::protocol::control::{PlanState, PlanStep};

impl ControlState {
    /// Begins a plan; the changes it begins with are committed at once.
    pub(super) fn start_plan(&mut self, id: PlanId) {
        self.continue_plan(id, 0);
    }

    /// Moves a plan past `count` steps from `step` on, but past no change that it has not made.
    pub(super) fn finish_steps(&mut self, id: PlanId, step: u32, count: u32) {
        let Some(plan) = self.plan(id) else {
            return;
        };
        let done = plan
            .steps
            .iter()
            .skip(step as usize)
            .take(count.max(1) as usize)
            .take_while(|step| !matches!(step, PlanStep::Change(_)))
            .count();
        self.continue_plan(id, step + done as u32);
    }

    /// Ends a plan at `step`.
    pub(super) fn fail_plan(&mut self, id: PlanId, step: u32, reason: String) {
        self.hold_remaining(id, step);
        self.plans.set_state(id, PlanState::Failed { step, reason });
    }

    /// Engines that a stopped plan has not moved stay where they are.
    pub(super) fn hold_remaining(&mut self, id: PlanId, next_step: u32) {
        let Some(record) = self.plans.get(id) else {
            return;
        };
        for step in record.plan.steps.iter().skip(next_step as usize) {
            if let PlanStep::Swap { server, .. } = step {
                self.held.insert(server.clone());
            }
        }
    }

    /// Commits the changes that follow directly from `step` on, all or none, and leaves the plan at
    /// the first step that has to be waited for.
    fn continue_plan(&mut self, id: PlanId, step: u32) {
        let Some(plan) = self.plan(id) else {
            return;
        };
        let length = plan.steps.len();
        let changes: Vec<ConfigurationChange> = plan
            .steps
            .iter()
            .skip(step as usize)
            .map_while(|step| match step {
                PlanStep::Change(change) => Some(change.clone()),
                _ => None,
            })
            .collect();
        let next_step = step + changes.len() as u32;
        if let Err(reason) = self.commit_changes(Some(id), changes) {
            return self.fail_plan(id, step, reason);
        }
        let state = if next_step as usize >= length {
            PlanState::Done
        } else {
            PlanState::Running { next_step }
        };
        self.plans.set_state(id, state);
    }

    /// Commits changes, all or none: of plan `by`, or of a publication.
    pub(super) fn commit_changes(
        &mut self,
        by: Option<PlanId>,
        changes: Vec<ConfigurationChange>,
    ) -> Result<(), String> {
        if changes.is_empty() {
            return Ok(());
        }
        let footprint = Footprint::of_changes(&self.configuration, &changes);
        self.apply_all(&changes)?;
        if let Some(id) = by {
            self.plans.set_changed_at(id, self.configuration.revision);
        }
        self.end_disturbed_plans(by, &footprint, &changes);
        for change in changes {
            self.note_change(&change);
            self.history.push(change);
        }
        Ok(())
    }

    /// A single change is all or nothing by itself; several are tried on a copy.
    fn apply_all(&mut self, changes: &[ConfigurationChange]) -> Result<(), String> {
        if let [change] = changes {
            return self
                .configuration
                .apply(change)
                .map_err(|error| error.message);
        }
        let mut copy = self.configuration.clone();
        for change in changes {
            copy.apply(change).map_err(|error| error.message)?;
        }
        self.configuration = copy;
        Ok(())
    }

    /// Proposed plans that the changes matter to become stale. A running one can be disturbed by a
    /// publication only, which moves the engines on by itself; the plan ends where it is.
    fn end_disturbed_plans(
        &mut self,
        by: Option<PlanId>,
        footprint: &Footprint,
        changes: &[ConfigurationChange],
    ) {
        let disturbed: Vec<(PlanId, PlanState, String)> = self
            .plans
            .open()
            .filter(|record| Some(record.plan.id) != by && record.is_sensitive())
            .filter_map(|record| {
                let resource = record.footprint.conflict(footprint)?.to_string();
                Some((record.plan.id, record.plan.state.clone(), resource))
            })
            .collect();
        for (id, state, resource) in disturbed {
            let revision = self.configuration.revision;
            let what = describe_all(changes.iter());
            let reason = format!("{resource} changed with revision {revision}: {what}");
            let state = match state {
                PlanState::Running { next_step } => PlanState::Failed {
                    step: next_step,
                    reason: format!("superseded: {reason}"),
                },
                _ => PlanState::Stale { reason },
            };
            self.plans.set_state(id, state);
        }
    }

    /// Keeps what hangs on the configuration in step with it.
    fn note_change(&mut self, change: &ConfigurationChange) {
        match change {
            ConfigurationChange::SetTargetVersion { pool, .. } => {
                let Some(pool) = self.configuration.pools.get(pool) else {
                    return;
                };
                let servers = &self.configuration.servers;
                self.held.retain(|id| {
                    servers
                        .get(id)
                        .is_some_and(|server| server.service != pool.service)
                });
            }
            ConfigurationChange::RemoveServer(id) => {
                self.held.remove(id);
            }
            ConfigurationChange::RemovePool(id) => {
                self.published.remove(id);
            }
            ConfigurationChange::RemoveService(id) => {
                self.swap_times.remove(id);
            }
            ConfigurationChange::PutService(_)
            | ConfigurationChange::PutServer(_)
            | ConfigurationChange::SetAdmission { .. }
            | ConfigurationChange::PutPool(_) => {}
        }
    }
}
