//! Usage: how many requests of each tenant began to run at servers in each window of time.
//!
//! Gateways count, and report to the leader their totals for the windows that are open. A total replaces
//! the one before, so that it may be reported again to any leader, and the size of a report grows with
//! the tenants that the gateway has seen, not with all.

use crate::ids::TenantName;
use crate::site_time::WallTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Windows that a gateway goes on counting, besides the newest: their reports may not have been made.
const RETAINED_WINDOWS: u64 = 6;

/// A window of time, by its number since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// The window of `length` that a time of day lies in.
    pub fn at(time: WallTime, length: Duration) -> Self {
        let length = length_ms(length);
        Self(u64::try_from(time.0).unwrap_or(0) / length)
    }

    /// When it ends.
    pub fn end(self, length: Duration) -> WallTime {
        let end = (self.0 + 1).saturating_mul(length_ms(length));
        WallTime(i64::try_from(end).unwrap_or(i64::MAX))
    }

    /// The one after it.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn length_ms(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// Requests of each tenant that began to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts(pub BTreeMap<TenantName, u64>);

impl UsageCounts {
    /// Adds those of another one.
    pub fn add(&mut self, other: &Self) {
        for (tenant, count) in &other.0 {
            *self.0.entry(tenant.clone()).or_default() += count;
        }
    }
}

/// What a gateway has counted in one window so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// The window.
    pub window: UsageWindow,
    /// Its totals.
    pub counts: UsageCounts,
}

/// The counts of one gateway. A send counts as soon as it leaves, so that the end of the gateway
/// loses little, and is taken back when a server says that it has not run it.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<UsageWindow, UsageCounts>,
    /// Those that have changed since they were reported.
    changed: BTreeSet<UsageWindow>,
}

impl UsageMeter {
    /// A request of a tenant was sent to a server.
    pub fn sent(&mut self, window: UsageWindow, tenant: TenantName) {
        let counts = self.windows.entry(window).or_default();
        *counts.0.entry(tenant).or_default() += 1;
        self.changed.insert(window);
        let oldest = UsageWindow(window.0.saturating_sub(RETAINED_WINDOWS));
        self.windows = self.windows.split_off(&oldest);
        self.changed = self.changed.split_off(&oldest);
    }

    /// One that was sent in `window` has not run.
    pub fn not_run(&mut self, window: UsageWindow, tenant: &TenantName) {
        let counts = self.windows.get_mut(&window);
        if let Some(count) = counts.and_then(|counts| counts.0.get_mut(tenant)) {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Totals that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<WindowUsage> {
        let changed = std::mem::take(&mut self.changed);
        let windows = changed.into_iter();
        windows
            .filter_map(|window| {
                let counts = self.windows.get(&window)?.clone();
                Some(WindowUsage { window, counts })
            })
            .collect()
    }

    /// All totals are to be reported: to a leader that knows none.
    pub fn report_all(&mut self) {
        self.changed = self.windows.keys().copied().collect();
    }
}
