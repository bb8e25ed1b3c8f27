//! Application of commands to the state.

use super::ControlState;
use super::describe::describe_all;
use super::plan_table::{OPEN_PLANS_LIMIT, OPEN_STEPS_LIMIT, PlanRecord};
use super::planner::{PlanDraft, Planner};
use crate::command::{CommandReply, ControlCommand, StepResult};
use fnv::FnvHasher;
use std::hash::Hasher;
use wingshore_types::configuration::{ConfigurationChange, SwapPolicy};
use wingshore_types::ids::{IntentId, PlanId, PoolId, Revision, ServiceId, WeightVersion};
use wingshore_types::protocol::control::{ControlRefusal, ControlReply, Intent, Plan, PlanState};

impl ControlState {
    /// Applies one committed command.
    pub(super) fn apply_command(&mut self, command: ControlCommand) -> CommandReply {
        let fingerprint = fingerprint(&command);
        match command {
            ControlCommand::Propose {
                intent_id,
                base_revision,
                intent,
            } => self.answer_once(intent_id, fingerprint, |state| {
                state.propose(intent_id, base_revision, intent)
            }),
            ControlCommand::Confirm { intent_id, plan } => {
                self.answer_once(intent_id, fingerprint, |state| state.confirm(plan))
            }
            ControlCommand::Cancel { intent_id, plan } => {
                self.answer_once(intent_id, fingerprint, |state| state.cancel(plan))
            }
            ControlCommand::Publish {
                intent_id,
                pool,
                version,
            } => self.answer_once(intent_id, fingerprint, |state| {
                state.publish(&pool, version)
            }),
            ControlCommand::AdvancePlan { plan, step, result } => {
                self.advance_plan(plan, step, result);
                CommandReply::Recorded
            }
            ControlCommand::RecordSwapTime {
                service,
                milliseconds,
            } => {
                self.record_swap_time(service, milliseconds);
                CommandReply::Recorded
            }
        }
    }

    /// Executes an intent the first time; retries get the stored answer.
    fn answer_once(
        &mut self,
        intent_id: IntentId,
        fingerprint: u64,
        answer: impl FnOnce(&mut Self) -> Result<ControlReply, ControlRefusal>,
    ) -> CommandReply {
        if let Some(first) = self.answers.find(intent_id, fingerprint, &self.plans) {
            return CommandReply::Answer(Box::new(first));
        }
        let reply = answer(self).unwrap_or_else(ControlReply::Refused);
        if !self.faults.forget_intents {
            self.answers.record_first(intent_id, fingerprint, &reply);
        }
        CommandReply::Answer(Box::new(reply))
    }

    fn propose(
        &mut self,
        intent_id: IntentId,
        base_revision: Option<Revision>,
        intent: Intent,
    ) -> Result<ControlReply, ControlRefusal> {
        self.check_base(base_revision)?;
        let draft = self.draft(&intent)?;
        if !self.plans.enforce_open_limits(draft.steps.len()) {
            return Err(ControlRefusal::Invalid {
                message: format!(
                    "the running plans leave no room; {OPEN_PLANS_LIMIT} plans with \
                     {OPEN_STEPS_LIMIT} steps may be open: wait for some to end"
                ),
            });
        }
        let plan = Plan {
            id: self.plans.next_id(),
            intent_id,
            intent,
            base_revision: self.configuration.revision,
            steps: draft.steps,
            cost: draft.cost,
            state: PlanState::Proposed,
        };
        self.plans.add(PlanRecord {
            plan: plan.clone(),
            footprint: draft.footprint,
            changed_at: self.configuration.revision,
        });
        Ok(ControlReply::Plan(Box::new(plan)))
    }

    fn draft(&self, intent: &Intent) -> Result<PlanDraft, ControlRefusal> {
        let planner = Planner {
            configuration: &self.configuration,
            published: &self.published,
            swap_times: &self.swap_times,
        };
        planner
            .draft(intent)
            .map_err(|message| ControlRefusal::Invalid { message })
    }

    /// Checks that the base revision, if given, is the newest (compare-and-set).
    fn check_base(&self, base: Option<Revision>) -> Result<(), ControlRefusal> {
        let current = self.configuration.revision;
        match base {
            Some(base) if base > current => Err(ControlRefusal::Invalid {
                message: format!(
                    "base revision {base} does not exist yet; the newest is {current}"
                ),
            }),
            Some(base) if base < current => Err(ControlRefusal::Conflict {
                current,
                message: self.changes_since(base),
            }),
            Some(_) | None => Ok(()),
        }
    }

    fn changes_since(&self, base: Revision) -> String {
        let current = self.configuration.revision;
        match self.history.since(base, current) {
            Some(changes) => {
                let changes: Vec<&ConfigurationChange> = changes.collect();
                let text = describe_all(changes.into_iter());
                format!("changed since revision {base}: {text}")
            }
            None => format!("{} changes since revision {base}", current.0 - base.0),
        }
    }

    fn confirm(&mut self, id: PlanId) -> Result<ControlReply, ControlRefusal> {
        let record = self.plans.get(id).ok_or(ControlRefusal::UnknownPlan(id))?;
        match &record.plan.state {
            PlanState::Proposed => {}
            PlanState::Stale { .. } if self.faults.confirm_stale_plans => {}
            PlanState::Stale { reason } => {
                return Err(ControlRefusal::Conflict {
                    current: self.configuration.revision,
                    message: reason.clone(),
                });
            }
            state => {
                return Err(ControlRefusal::WrongState {
                    state: state.clone(),
                });
            }
        }
        self.check_not_in_use(id)?;
        self.start_plan(id);
        self.plan_reply(id)
    }

    /// Checks that no running plan with remaining work conflicts with this plan.
    fn check_not_in_use(&self, id: PlanId) -> Result<(), ControlRefusal> {
        let Some(record) = self.plans.get(id) else {
            return Err(ControlRefusal::UnknownPlan(id));
        };
        let sensitive = self
            .plans
            .running()
            .filter(|running| running.depends_on_footprint());
        for running in sensitive {
            if let Some(resource) = running.footprint.conflict(&record.footprint) {
                return Err(ControlRefusal::Conflict {
                    current: self.configuration.revision,
                    message: format!(
                        "plan {} is being carried out and uses {resource}; wait for its end or cancel it",
                        running.plan.id
                    ),
                });
            }
        }
        Ok(())
    }

    fn cancel(&mut self, id: PlanId) -> Result<ControlReply, ControlRefusal> {
        let record = self.plans.get(id).ok_or(ControlRefusal::UnknownPlan(id))?;
        match record.plan.state.clone() {
            PlanState::Proposed => {}
            PlanState::Running { next_step } => self.hold_remaining(id, next_step),
            state => return Err(ControlRefusal::WrongState { state }),
        }
        self.plans.set_state(id, PlanState::Cancelled);
        self.plan_reply(id)
    }

    fn plan_reply(&self, id: PlanId) -> Result<ControlReply, ControlRefusal> {
        let plan = self.plan(id).ok_or(ControlRefusal::UnknownPlan(id))?;
        Ok(ControlReply::Plan(Box::new(plan.clone())))
    }

    /// Records a published version; a version that is not higher than the newest changes nothing.
    fn publish(
        &mut self,
        id: &PoolId,
        version: WeightVersion,
    ) -> Result<ControlReply, ControlRefusal> {
        let Some(pool) = self.configuration.pools.get(id) else {
            return Err(ControlRefusal::Invalid {
                message: format!("pool `{id}` does not exist in the configuration"),
            });
        };
        let moves_by_itself = pool.swap == SwapPolicy::Automatic && version > pool.target_version;
        let is_newer = self
            .published
            .get(id)
            .is_none_or(|newest| version > *newest);
        if is_newer {
            self.published.insert(id.clone(), version);
        }
        if is_newer && moves_by_itself {
            self.commit_changes(
                None,
                vec![ConfigurationChange::SetTargetVersion {
                    pool: id.clone(),
                    version,
                }],
            )
            .map_err(|message| ControlRefusal::Invalid { message })?;
        }
        Ok(ControlReply::Published(self.configuration.revision))
    }

    fn advance_plan(&mut self, id: PlanId, step: u32, result: StepResult) {
        let state = self.plan(id).map(|plan| &plan.state);
        if state != Some(&PlanState::Running { next_step: step }) {
            return;
        }
        match result {
            StepResult::Done { steps } => self.finish_steps(id, step, steps),
            StepResult::InForce(revision) => {
                self.proven_in_force = self.proven_in_force.max(revision);
                self.finish_steps(id, step, 1);
            }
            StepResult::Failed { reason } => self.fail_plan(id, step, reason),
        }
    }

    fn record_swap_time(&mut self, service: ServiceId, milliseconds: u64) {
        if self.configuration.services.contains_key(&service) {
            self.swap_times.insert(service, milliseconds);
        }
    }
}

/// Returns a hash of a command's content (FNV-1a over its encoding).
fn fingerprint(command: &ControlCommand) -> u64 {
    let encoded = postcard::to_stdvec(command).unwrap_or_default();
    let mut hasher = FnvHasher::default();
    hasher.write(&encoded);
    hasher.finish()
}
