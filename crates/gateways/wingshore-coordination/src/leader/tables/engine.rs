//! An engine's registration and the leader's own knowledge of it.

use super::pace::{MeasuredPace, slowdown_factor};
use crate::ids::{GatewayId, InstanceId, ModelName};
use crate::registry::ServerRecord;
use std::collections::BTreeMap;
use wingshore_types::Instant;

/// Identifies an engine within one leader's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineNumber(pub(crate) u32);

/// An engine, as the leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) number: EngineNumber,
    pub(crate) record: ServerRecord,
    /// Number of items assigned to the engine.
    pub(crate) running: usize,
    /// The engine gets no items before this time.
    pub(crate) ejected_until: Instant,
    /// Whether a connection to its address was refused: it then gets no items before its next
    /// heartbeat. A crashed server sends none; one whose link was cut sends one within its
    /// heartbeat interval.
    pub(crate) awaits_heartbeat: bool,
    /// Number of consecutive faults.
    pub(crate) faults: u32,
    /// The model whose weights it is loading.
    pub(crate) loading: Option<ModelName>,
    /// Number of items that it runs at once.
    pub(crate) slots: usize,
    /// Its pace, kept while it loads weights and between jobs.
    pub(crate) pace: MeasuredPace,
    /// When its pace last became slower by a wide margin.
    pub(crate) slowed_at: Option<Instant>,
    /// Streams may pause until this time, because the engine loads weights or has just done so.
    pub(crate) unsteady_until: Instant,
    /// The gateway that ran its last item and so has connections to it.
    pub(crate) gateway: Option<GatewayId>,
    /// Number of long items that run on it, by model.
    pub(crate) long_running: BTreeMap<ModelName, usize>,
}

impl Engine {
    /// Creates an engine that was just registered.
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
            pace: MeasuredPace::default(),
            slowed_at: None,
            unsteady_until: Instant::ZERO,
            gateway: None,
            long_running: BTreeMap::new(),
        }
    }

    /// Returns the incarnation of the server.
    pub(crate) fn instance(&self) -> &InstanceId {
        &self.record.instance
    }

    /// Returns the expected time between two events for one more item, in milliseconds; `None` if
    /// the engine's pace is unknown.
    pub(crate) fn expected_pace(&self) -> Option<f64> {
        Some(self.pace.known()? * slowdown_factor(self.running + 1))
    }

    /// Returns the current time between two events of each item that runs on the engine, in
    /// milliseconds; `None` if the engine's pace is unknown.
    pub(crate) fn current_pace(&self) -> Option<f64> {
        Some(self.pace.known()? * slowdown_factor(self.running))
    }

    /// Returns the version of `model` that the engine is known to hold, which may be older than the
    /// one it holds; 0 if unknown.
    pub(crate) fn version_of(&self, model: &ModelName) -> u64 {
        self.record.version_of(model).unwrap_or(0)
    }

    /// Returns the same as [`Engine::version_of`]; 0 if `model` is `None`.
    pub(crate) fn version_of_any(&self, model: Option<&ModelName>) -> u64 {
        model.map_or(0, |model| self.version_of(model))
    }

    /// Returns whether the engine's streams show its pace at `now`: it neither loads weights nor
    /// has just done so.
    pub(crate) fn is_steady(&self, now: Instant) -> bool {
        self.loading.is_none() && now >= self.unsteady_until
    }

    /// Returns whether the engine takes an item of `model` at `now`.
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
