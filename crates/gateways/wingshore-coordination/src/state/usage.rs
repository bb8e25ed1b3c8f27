//! Replicated usage: counts of gateways that are gone, and reports that the provider has not
//! acknowledged.

use crate::ids::GatewayId;
use crate::usage::{UsageCounts, UsageWindow, WindowUsage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of unacknowledged reports; beyond that, the oldest are dropped. This covers five
/// minutes with windows of 5 s; older reports are no longer needed.
const MAX_UNACKNOWLEDGED_REPORTS: usize = 60;

/// The durable part of the site's usage.
///
/// Invariants: windows are closed once and in order, and the counts of a closed window never
/// change, so every leader sends the same report, however often.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteUsage {
    /// Newest closed window.
    closed: Option<UsageWindow>,
    /// Reports that the provider has not acknowledged, by window.
    waiting: BTreeMap<UsageWindow, UsageCounts>,
    /// Counts of gateways that are gone, by open window.
    kept: BTreeMap<UsageWindow, BTreeMap<GatewayId, UsageCounts>>,
}

impl SiteUsage {
    /// Returns the newest closed window.
    pub fn closed(&self) -> Option<UsageWindow> {
        self.closed
    }

    /// Returns the reports that the provider has not acknowledged, by window.
    pub fn unacknowledged(&self) -> &BTreeMap<UsageWindow, UsageCounts> {
        &self.waiting
    }

    /// Returns the counts of gateways that are gone for an open window.
    pub fn counts_of_lost_gateways(
        &self,
        window: UsageWindow,
    ) -> impl Iterator<Item = (&GatewayId, &UsageCounts)> {
        self.kept.get(&window).into_iter().flatten()
    }

    /// Returns the first open window with counts of a gateway that is gone.
    pub(crate) fn first_window_of_lost_gateways(&self) -> Option<UsageWindow> {
        self.kept.keys().next().copied()
    }

    pub(super) fn store_lost_gateway(&mut self, gateway: GatewayId, usage: Vec<WindowUsage>) {
        for WindowUsage { window, counts } in usage {
            if self.closed.is_none_or(|closed| window > closed) {
                self.kept.entry(window).or_default().insert(gateway, counts);
            }
        }
    }

    pub(super) fn close_window(&mut self, window: UsageWindow, counts: UsageCounts) {
        if self.closed.is_some_and(|closed| window <= closed) {
            return;
        }
        self.closed = Some(window);
        self.kept = self.kept.split_off(&window.next());
        self.waiting.insert(window, counts);
        if self.waiting.len() > MAX_UNACKNOWLEDGED_REPORTS {
            self.waiting.pop_first();
        }
    }

    pub(super) fn acknowledge(&mut self, window: UsageWindow) {
        self.waiting.remove(&window);
    }
}
