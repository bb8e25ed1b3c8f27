//! Table of plans: open plans are always kept, closed ones as a bounded history.

use super::footprint::Footprint;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingshore_types::ids::{PlanId, Revision};
use wingshore_types::protocol::control::{Plan, PlanState, PlanStep};

/// Most closed plans kept; a retry that refers to an evicted plan is answered with `UnknownPlan`.
pub const CLOSED_PLANS_KEPT: usize = 4_000;
/// Most steps of closed plans kept, over all of them, which bounds the snapshot; the newest closed
/// plan is always kept.
const CLOSED_STEPS_KEPT: usize = 50_000;
/// Most plans open at once; beyond that the oldest proposed one becomes stale. A plan may wait a
/// whole lease for its changes to be in force: a limit of 500 was too low for 500 simultaneous
/// changes.
pub const OPEN_PLANS_LIMIT: usize = 2_000;
/// Most steps of open plans, over all of them; beyond that the oldest proposed ones become stale.
/// Bounds memory: 2,000 plans of 50,000 steps each would not fit.
pub const OPEN_STEPS_LIMIT: usize = 200_000;

/// A plan with the data that its execution needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    /// Plan as clients see it.
    pub(crate) plan: Plan,
    /// Resources that it reads or changes.
    pub(crate) footprint: Footprint,
    /// Revision of its newest committed change, which `AwaitInForce` waits for.
    pub(crate) changed_at: Revision,
}

impl PlanRecord {
    fn steps(&self) -> usize {
        self.plan.steps.len()
    }

    /// Returns whether the plan still depends on its footprint: it is proposed, or has steps left
    /// other than waiting until its changes are in force.
    pub(crate) fn depends_on_footprint(&self) -> bool {
        match self.plan.state {
            PlanState::Proposed => true,
            PlanState::Running { next_step } => {
                let mut rest = self.plan.steps.iter().skip(next_step as usize);
                rest.any(|step| *step != PlanStep::AwaitInForce)
            }
            _ => false,
        }
    }
}

/// All open plans and the newest closed ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanTable {
    last_id: u64,
    records: BTreeMap<PlanId, PlanRecord>,
    open: BTreeSet<PlanId>,
    closed: VecDeque<PlanId>,
    closed_steps: u64,
}

impl PlanTable {
    /// Returns the id of the next plan.
    pub(crate) fn next_id(&self) -> PlanId {
        PlanId(self.last_id + 1)
    }

    /// Enforces the limits on open plans for one more plan of `steps` steps: marks the oldest
    /// proposed plans as stale until the limits allow it. Returns false if they do not allow it even
    /// with running plans only.
    pub(crate) fn enforce_open_limits(&mut self, steps: usize) -> bool {
        let mut open_steps: usize = self.open().map(PlanRecord::steps).sum();
        while self.open.len() >= OPEN_PLANS_LIMIT || open_steps + steps > OPEN_STEPS_LIMIT {
            let oldest = self
                .open()
                .find(|record| record.plan.state == PlanState::Proposed)
                .map(|record| (record.plan.id, record.steps()));
            let Some((oldest, its_steps)) = oldest else {
                return false;
            };
            open_steps -= its_steps;
            let reason = "newer plans are open, and there is no room for all; propose it again";
            let reason = reason.to_owned();
            self.set_state(oldest, PlanState::Stale { reason });
        }
        true
    }

    /// Adds a proposed plan whose id is [`PlanTable::next_id`].
    pub(crate) fn add(&mut self, record: PlanRecord) {
        let id = record.plan.id;
        self.last_id = id.0;
        self.open.insert(id);
        self.records.insert(id, record);
    }

    /// Returns a plan, unless it is unknown or has been evicted.
    pub(crate) fn get(&self, id: PlanId) -> Option<&PlanRecord> {
        self.records.get(&id)
    }

    /// Returns all plans that are kept, in the order of their ids.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Plan> {
        self.records.values().map(|record| &record.plan)
    }

    /// Returns the plans that are proposed or running.
    pub(crate) fn open(&self) -> impl Iterator<Item = &PlanRecord> {
        self.open.iter().filter_map(|id| self.records.get(id))
    }

    /// Returns the plans that are running.
    pub(crate) fn running(&self) -> impl Iterator<Item = &PlanRecord> {
        self.open()
            .filter(|record| matches!(record.plan.state, PlanState::Running { .. }))
    }

    /// Sets the revision of a plan's newest committed change.
    pub(crate) fn set_changed_at(&mut self, id: PlanId, revision: Revision) {
        if let Some(record) = self.records.get_mut(&id) {
            record.changed_at = revision;
        }
    }

    /// Sets the state of a plan, and closes the plan if the state is final.
    pub(crate) fn set_state(&mut self, id: PlanId, state: PlanState) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let is_open = matches!(state, PlanState::Proposed | PlanState::Running { .. });
        record.plan.state = state;
        let steps = record.plan.steps.len() as u64;
        if is_open {
            self.reopen(id, steps);
        } else if self.open.remove(&id) {
            record.footprint = Footprint::default();
            self.closed.push_back(id);
            self.closed_steps += steps;
            self.drop_oldest();
        }
    }

    /// Marks a plan as open. The plan was closed before only if an injected fault confirmed a stale
    /// plan.
    fn reopen(&mut self, id: PlanId, steps: u64) {
        if self.open.insert(id) {
            self.closed.retain(|closed| *closed != id);
            self.closed_steps -= steps;
        }
    }

    fn drop_oldest(&mut self) {
        while self.closed.len() > CLOSED_PLANS_KEPT
            || (self.closed_steps > CLOSED_STEPS_KEPT as u64 && self.closed.len() > 1)
        {
            let Some(oldest) = self.closed.pop_front() else {
                return;
            };
            if let Some(record) = self.records.remove(&oldest) {
                self.closed_steps -= record.plan.steps.len() as u64;
            }
        }
    }
}
