//! Usage: the number of requests of each tenant that started on servers, by time window.
//!
//! Gateways count requests and report their totals of the open windows to the leader. A total
//! replaces the previous one, so it can be reported again to any leader; the size of a report grows
//! with the tenants that the gateway has seen, not with all tenants.

use crate::ids::TenantName;
use crate::site_time::WallTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of windows before the newest one that a gateway still counts, since they may not have
/// been reported to the provider yet.
const RETAINED_WINDOWS: u64 = 6;

/// A time window, numbered from the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindow(pub u64);

impl UsageWindow {
    /// Returns the window of `length` that contains a wall-clock time.
    pub fn at(time: WallTime, length: Duration) -> Self {
        let length = length_ms(length);
        Self(u64::try_from(time.0).unwrap_or(0) / length)
    }

    /// Returns the end of the window.
    pub fn end(self, length: Duration) -> WallTime {
        let end = (self.0 + 1).saturating_mul(length_ms(length));
        WallTime(i64::try_from(end).unwrap_or(i64::MAX))
    }

    /// Returns the next window.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn length_ms(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// Number of requests that started, by tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts(pub BTreeMap<TenantName, u64>);

impl UsageCounts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for (tenant, count) in &other.0 {
            *self.0.entry(tenant.clone()).or_default() += count;
        }
    }
}

/// A gateway's counts of one window so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// The window.
    pub window: UsageWindow,
    /// Totals of the gateway.
    pub counts: UsageCounts,
}

/// Counters of one gateway. A request is counted when it is sent, so that a crash of the gateway
/// loses few counts, and is subtracted when the server reports that it has not run it.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    windows: BTreeMap<UsageWindow, UsageCounts>,
    /// Windows whose counts have changed since they were reported.
    changed: BTreeSet<UsageWindow>,
}

impl UsageMeter {
    /// Counts a request of a tenant that was sent to a server.
    pub fn sent(&mut self, window: UsageWindow, tenant: TenantName) {
        let counts = self.windows.entry(window).or_default();
        *counts.0.entry(tenant).or_default() += 1;
        self.changed.insert(window);
        let oldest = UsageWindow(window.0.saturating_sub(RETAINED_WINDOWS));
        self.windows = self.windows.split_off(&oldest);
        self.changed = self.changed.split_off(&oldest);
    }

    /// Subtracts a request that was sent in `window` but has not run.
    pub fn not_run(&mut self, window: UsageWindow, tenant: &TenantName) {
        let counts = self.windows.get_mut(&window);
        if let Some(count) = counts.and_then(|counts| counts.0.get_mut(tenant)) {
            *count = count.saturating_sub(1);
            self.changed.insert(window);
        }
    }

    /// Returns the totals that have changed since the last call.
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

    /// Marks all totals as changed, so that they are reported to a leader that has none.
    pub fn report_all(&mut self) {
        self.changed = self.windows.keys().copied().collect();
    }
}
