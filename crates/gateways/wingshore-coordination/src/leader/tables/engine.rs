//! One engine, and what the leader knows of it besides its registration.

use super::pace::slow_down;
use crate::ids::{GatewayId, InstanceId, ModelName};
use crate::registry::ServerRecord;
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// Names an engine within one leader's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineNumber(pub(crate) u32);

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) number: EngineNumber,
    pub(crate) record: ServerRecord,
    /// Items that are assigned to it.
    pub(crate) running: usize,
    /// Gets no items before this time.
    pub(crate) ejected_until: Instant,
    /// Nobody listened at its address: it gets no items before it is heard of again. A server
    /// that crashed never is; one that was cut off is within its heartbeat interval.
    pub(crate) awaits_heartbeat: bool,
    /// Faults in a row.
    pub(crate) faults: u32,
    /// The model whose weights it is loading.
    pub(crate) loading: Option<ModelName>,
    /// Items that run at once.
    pub(crate) slots: usize,
    /// Time from event to event of a stream if it ran alone, in milliseconds, as measured lately.
    pub(crate) pace: Option<f64>,
    /// Until then streams may stand still: it loads weights, or has just done so.
    pub(crate) unsteady_until: Instant,
    /// The gateway that ran its last item: it has connections to it.
    pub(crate) gateway: Option<GatewayId>,
    /// Long items that run on it, by their model.
    pub(crate) long_running: BTreeMap<ModelName, usize>,
}

impl Engine {
    /// An engine that was just registered.
    pub(crate) fn new(number: EngineNumber, record: ServerRecord, slots: usize) -> Self {
        Self {
            number,
            record,
            running: 0,
            ejected_until: Instant::ZERO,
            awaits_heartbeat: false,
            faults: 0,
            loading: None,
            slots,
            pace: None,
            unsteady_until: Instant::ZERO,
            gateway: None,
            long_running: BTreeMap::new(),
        }
    }

    /// Which incarnation of a server it is.
    pub(crate) fn instance(&self) -> &InstanceId {
        &self.record.instance
    }

    /// Time from event to event for one more item, in milliseconds.
    pub(crate) fn expected_pace(&self) -> Option<f64> {
        Some(self.pace? * slow_down(self.running + 1))
    }

    /// The version of `model` it holds at least.
    pub(crate) fn version_of(&self, model: &ModelName) -> u64 {
        self.record.version_of(model).unwrap_or(0)
    }

    /// The version of `model` it holds at least; 0 where no model is named.
    pub(crate) fn version_of_any(&self, model: Option<&ModelName>) -> u64 {
        model.map_or(0, |model| self.version_of(model))
    }

    /// Whether its streams tell its pace at `now`: it neither loads weights nor has just done so.
    pub(crate) fn is_steady(&self, now: Instant) -> bool {
        self.loading.is_none() && now >= self.unsteady_until
    }

    /// Whether it takes an item of `model` at `now`.
    pub(crate) fn takes(&self, now: Instant, model: Option<&ModelName>, min_version: u64) -> bool {
        let loading = model.is_some() && self.loading.as_ref() == model;
        let holds = model.is_none_or(|model| self.version_of(model) >= min_version);
        !self.record.draining
            && !self.awaits_heartbeat
            && !loading
            && holds
            && now >= self.ejected_until
            && self.running < self.slots
    }
}
