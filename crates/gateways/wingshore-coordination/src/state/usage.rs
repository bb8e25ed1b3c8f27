//! Usage as the group holds it: what gateways that are gone had counted, and the reports that the
//! provider has not acknowledged.

use crate::ids::GatewayId;
use crate::usage::{UsageCounts, UsageWindow, WindowUsage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Reports that wait to be sent; of more, the oldest are dropped. Five minutes of windows of 5 s; nobody
/// waits for older ones.
const MAX_UNACKNOWLEDGED_REPORTS: usize = 60;

/// What is durable of the site's usage.
///
/// Invariants: a window is closed once, in order, and its counts never change after that: whoever
/// leads, and however often, sends the same report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteUsage {
    /// The newest window that is closed.
    closed: Option<UsageWindow>,
    /// Reports that the provider has not acknowledged.
    waiting: BTreeMap<UsageWindow, UsageCounts>,
    /// What gateways that are gone had counted in windows that are open.
    kept: BTreeMap<UsageWindow, BTreeMap<GatewayId, UsageCounts>>,
}

impl SiteUsage {
    /// The newest window that is closed.
    pub fn closed(&self) -> Option<UsageWindow> {
        self.closed
    }

    /// Reports that the provider has not acknowledged.
    pub fn waiting(&self) -> &BTreeMap<UsageWindow, UsageCounts> {
        &self.waiting
    }

    /// What gateways that are gone had counted in an open window.
    pub fn counts_of_lost_gateways(
        &self,
        window: UsageWindow,
    ) -> impl Iterator<Item = (&GatewayId, &UsageCounts)> {
        self.kept.get(&window).into_iter().flatten()
    }

    /// The first open window that a gateway which is gone had counted in.
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
