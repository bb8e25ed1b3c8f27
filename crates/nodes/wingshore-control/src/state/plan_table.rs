//! Plans: open ones are always kept, closed ones as a bounded history.

use super::footprint::Footprint;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wingshore_types::ids::{PlanId, Revision};
use wingshore_types::protocol::control::{Plan, PlanState, PlanStep};

/// Closed plans kept; a resend that comes later is told that its plan is unknown.
pub const CLOSED_PLANS_KEPT: usize = 4_000;
/// Steps of closed plans kept, over all of them; the newest closed plan stays in any case. Bounds
/// the snapshot.
const CLOSED_STEPS_KEPT: usize = 50_000;
/// Most plans open at once; beyond that the oldest proposed one becomes stale. A plan may wait a whole
/// lease for its changes to be in force: 500 were too few for 500 changes at one moment.
pub const OPEN_PLANS_LIMIT: usize = 2_000;
/// Most steps of open plans, over all of them; beyond that the oldest proposed ones become stale.
/// Bounds memory: 2,000 plans of 50,000 steps each would not fit.
pub const OPEN_STEPS_LIMIT: usize = 200_000;

/// A plan with what its execution needs to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    /// The plan.
    pub(crate) plan: Plan,
    /// What it depends on and touches.
    pub(crate) footprint: Footprint,
    /// The revision of its newest committed change: what `AwaitInForce` waits for.
    pub(crate) changed_at: Revision,
}

impl PlanRecord {
    fn steps(&self) -> usize {
        self.plan.steps.len()
    }

    /// Whether the plan still depends on what it touches: it is proposed, or has more to do than
    /// to wait until its changes are in force.
    pub(crate) fn is_sensitive(&self) -> bool {
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

/// All plans that are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanTable {
    last_id: u64,
    records: BTreeMap<PlanId, PlanRecord>,
    open: BTreeSet<PlanId>,
    closed: VecDeque<PlanId>,
    closed_steps: u64,
}

impl PlanTable {
    /// The number of the next plan.
    pub(crate) fn next_id(&self) -> PlanId {
        PlanId(self.last_id + 1)
    }

    /// Makes room for another open plan of `steps` steps: the oldest proposed ones become stale
    /// where there is too much. False when all that is open is running.
    pub(crate) fn make_room(&mut self, steps: usize) -> bool {
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

    /// Adds a proposed plan whose number is [`PlanTable::next_id`].
    pub(crate) fn add(&mut self, record: PlanRecord) {
        let id = record.plan.id;
        self.last_id = id.0;
        self.open.insert(id);
        self.records.insert(id, record);
    }

    /// A plan that is kept.
    pub(crate) fn get(&self, id: PlanId) -> Option<&PlanRecord> {
        self.records.get(&id)
    }

    /// All plans that are kept, in order of their numbers.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Plan> {
        self.records.values().map(|record| &record.plan)
    }

    /// Plans that are proposed or running.
    pub(crate) fn open(&self) -> impl Iterator<Item = &PlanRecord> {
        self.open.iter().filter_map(|id| self.records.get(id))
    }

    /// Plans that are running.
    pub(crate) fn running(&self) -> impl Iterator<Item = &PlanRecord> {
        self.open()
            .filter(|record| matches!(record.plan.state, PlanState::Running { .. }))
    }

    /// Notes the revision of a plan's newest committed change.
    pub(crate) fn set_changed_at(&mut self, id: PlanId, revision: Revision) {
        if let Some(record) = self.records.get_mut(&id) {
            record.changed_at = revision;
        }
    }

    /// Moves a plan to `state`, closing it where that is an end.
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

    /// Only a deliberate fault confirms a closed plan.
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
