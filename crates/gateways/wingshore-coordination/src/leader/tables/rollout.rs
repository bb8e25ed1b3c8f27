//! Loads of weights in progress, and the right of this leader to send orders.

use crate::ids::{InstanceId, ModelName};
use crate::leader::decisions::capacity_plan::Peak;
use crate::leader::decisions::load_progress::Load;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// Loads in progress and the state of the claim of orders.
#[derive(Default)]
pub(crate) struct Rollout {
    /// Time at which orders are claimed; `None` once they are.
    pub(crate) claim_at: Option<Instant>,
    may_order: bool,
    /// Time at which the claim of this leadership counts as settled.
    settle_at: Option<Instant>,
    /// Loads by engine.
    pub(crate) loads: BTreeMap<InstanceId, Load>,
    /// Time of the last scan of all engines for loads.
    scanned_at: Instant,
    /// Recent peak of open items by model.
    pub(crate) peaks: BTreeMap<ModelName, Peak>,
}

impl Rollout {
    /// Returns whether it is time to claim orders; returns `true` only once.
    pub(crate) fn take_claim(&mut self, now: Instant) -> bool {
        self.claim_at.take_if(|at| now >= *at).is_some()
    }

    /// Advances the claim of orders to `now`. Returns whether the claim was still outstanding.
    pub(crate) fn claim_now(&mut self, now: Instant) -> bool {
        let Some(claim_at) = &mut self.claim_at else {
            return false;
        };
        *claim_at = now.min(*claim_at);
        true
    }

    /// Records that the claim is committed.
    pub(crate) fn claimed(&mut self, settle_at: Instant) {
        self.may_order = true;
        self.settle_at = Some(settle_at);
    }

    /// Returns whether the claim of this leadership has become settled; returns `true` only once.
    pub(crate) fn take_settled(&mut self, now: Instant) -> bool {
        self.settle_at.take_if(|at| now >= *at).is_some()
    }

    /// Returns whether this machine may send orders: its claim is committed, and the time of the
    /// previous holder is over.
    pub(crate) fn holds_orders(&self) -> bool {
        self.may_order
    }

    /// Records a scan of all engines for loads.
    pub(crate) fn scanned(&mut self, now: Instant) {
        self.scanned_at = now;
    }

    /// Returns the time since the last scan.
    pub(crate) fn since_scan(&self, now: Instant) -> Duration {
        now.since(self.scanned_at)
    }

    /// Returns the model whose weights an engine is to load.
    pub(crate) fn model_loaded_by(&self, instance: &InstanceId) -> Option<&ModelName> {
        self.loads.get(instance).map(|load| &load.model)
    }

    /// Returns the number of engines that are loading.
    pub(crate) fn active(&self) -> usize {
        self.loads.values().filter(|load| load.is_active()).count()
    }

    /// Advances all loads to `now`; returns the engines that are to be polled.
    pub(crate) fn on_time(&mut self, now: Instant) -> Vec<InstanceId> {
        let loads = self.loads.iter_mut();
        let due = loads.filter_map(|(instance, load)| load.on_time(now).then(|| instance.clone()));
        let due = due.collect();
        self.loads.retain(|_, load| !load.is_suspension_over(now));
        due
    }
}
