//! Loads of weights that are under way, and whether this leader may give orders.

use crate::ids::{InstanceId, ModelName};
use crate::leader::decisions::capacity_plan::Peak;
use crate::leader::decisions::load_progress::Load;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// All loading that is under way.
#[derive(Default)]
pub(crate) struct Rollout {
    /// When orders are claimed; `None` once they are.
    pub(crate) claim_at: Option<Instant>,
    may_order: bool,
    /// When the orders of this leadership count as settled.
    settle_at: Option<Instant>,
    /// By engine.
    pub(crate) loads: BTreeMap<InstanceId, Load>,
    /// When all engines were last scanned for loads.
    scanned_at: Instant,
    /// The most items of each model that were open at once lately.
    pub(crate) peaks: BTreeMap<ModelName, Peak>,
}

impl Rollout {
    /// Whether it is time to claim orders; says so once.
    pub(crate) fn take_claim(&mut self, now: Instant) -> bool {
        self.claim_at.take_if(|at| now >= *at).is_some()
    }

    /// Orders need not be claimed later than now. Says whether they were still to be claimed.
    pub(crate) fn claim_now(&mut self, now: Instant) -> bool {
        let Some(claim_at) = &mut self.claim_at else {
            return false;
        };
        *claim_at = now.min(*claim_at);
        true
    }

    /// The claim is committed.
    pub(crate) fn claimed(&mut self, settle_at: Instant) {
        self.may_order = true;
        self.settle_at = Some(settle_at);
    }

    /// Whether the orders of this leadership count as settled from now on; says so once.
    pub(crate) fn take_settled(&mut self, now: Instant) -> bool {
        self.settle_at.take_if(|at| now >= *at).is_some()
    }

    /// Whether this machine may act: its claim is committed, and the time of the holder before is
    /// over.
    pub(crate) fn holds_orders(&self) -> bool {
        self.may_order
    }

    /// All engines are scanned for loads.
    pub(crate) fn scanned(&mut self, now: Instant) {
        self.scanned_at = now;
    }

    /// Time since the last such scan.
    pub(crate) fn since_scan(&self, now: Instant) -> Duration {
        now.since(self.scanned_at)
    }

    /// The model whose weights an engine is to load.
    pub(crate) fn model_loaded_by(&self, instance: &InstanceId) -> Option<&ModelName> {
        self.loads.get(instance).map(|load| &load.model)
    }

    /// Engines that are loading.
    pub(crate) fn active(&self) -> usize {
        self.loads.values().filter(|load| load.is_active()).count()
    }

    /// Time has passed; gives the engines that are to be polled.
    pub(crate) fn on_time(&mut self, now: Instant) -> Vec<InstanceId> {
        let loads = self.loads.iter_mut();
        let due = loads.filter_map(|(instance, load)| load.on_time(now).then(|| instance.clone()));
        let due = due.collect();
        self.loads.retain(|_, load| !load.is_over(now));
        due
    }
}
