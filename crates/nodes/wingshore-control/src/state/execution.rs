//! Execution of plans in the replicated state. Changes are committed together with the progress of
//! their plan, so that no change of a plan is made twice or without its progress.

use super::ControlState;
use super::describe::describe_all;
use super::footprint::Footprint;
use wingshore_types::configuration::ConfigurationChange;
use wingshore_types::ids::PlanId;
use wingshore_types::protocol::control::{PlanState, PlanStep};

impl ControlState {
    /// Starts a plan; its leading changes are committed at once.
    pub(super) fn start_plan(&mut self, id: PlanId) {
        self.continue_plan(id, 0);
    }

    /// Advances a plan by up to `count` steps from `step`, but not past a change that has not been
    /// committed.
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

    /// Marks a plan as failed at `step`.
    pub(super) fn fail_plan(&mut self, id: PlanId, step: u32, reason: String) {
        self.hold_remaining(id, step);
        self.plans.set_state(id, PlanState::Failed { step, reason });
    }

    /// Holds the engines that a stopped plan has not moved at their current version.
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

    /// Commits the consecutive changes that start at `step`, all or none, and leaves the plan at
    /// the first step after them, or done.
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

    /// Commits changes, all or none, of plan `by` or of a publication (`None`).
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
        self.end_conflicting_plans(by, &footprint, &changes);
        for change in changes {
            self.remove_outdated(&change);
            self.history.push(change);
        }
        Ok(())
    }

    /// Applies changes, all or none. A single change is atomic by itself; several are applied to a
    /// copy first.
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

    /// Marks proposed plans that conflict with the changes as stale. Only a publication can
    /// conflict with a running plan; it moves the engines itself, so the plan ends at its current
    /// step.
    fn end_conflicting_plans(
        &mut self,
        by: Option<PlanId>,
        footprint: &Footprint,
        changes: &[ConfigurationChange],
    ) {
        let disturbed: Vec<(PlanId, PlanState, String)> = self
            .plans
            .open()
            .filter(|record| Some(record.plan.id) != by && record.depends_on_footprint())
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

    /// Removes holds, published versions and swap times that a change of the configuration
    /// outdates.
    fn remove_outdated(&mut self, change: &ConfigurationChange) {
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
