//! Counts of the requests that began to run at servers, for the leader's reports to the provider.
//!
//! Owns the counts of this gateway and the time of day that the coordinators agree on. Windows are
//! named by that time, since this machine's own clock may be wrong. Nothing is counted without a
//! time of day, or if the settings disable counting.

use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    GatewayMessage, SiteClock, TenantName, UsageMeter, UsageWindow, WallTime,
};
use wingshore_types::Instant;

/// Usage counts of one gateway.
pub(crate) struct UsageCounter {
    /// Length of a window; `None` if usage is not counted.
    window: Option<Duration>,
    clock: SiteClock<SocketAddr>,
    meter: UsageMeter,
}

impl UsageCounter {
    /// Creates a counter with windows of this length.
    pub(crate) fn new(window: Option<Duration>) -> Self {
        Self {
            window,
            clock: SiteClock::default(),
            meter: UsageMeter::default(),
        }
    }

    /// Records the time of day of a coordinator.
    pub(crate) fn record_wall_time(
        &mut self,
        now: Instant,
        coordinator: SocketAddr,
        wall: WallTime,
    ) {
        self.clock.record(now, coordinator, wall);
    }

    /// Counts a request that is sent to a server, which begins to run it within a millisecond or
    /// two. Returns the window that it is counted in.
    pub(crate) fn request_sent(
        &mut self,
        now: Instant,
        tenant: Option<&TenantName>,
    ) -> Option<UsageWindow> {
        let tenant = tenant?;
        let window = self.open_window(now)?;
        self.meter.sent(window, tenant.clone());
        Some(window)
    }

    /// Takes back the count of a request in `window` that the server has not run.
    pub(crate) fn not_run(&mut self, window: UsageWindow, tenant: &TenantName) {
        self.meter.not_run(window, tenant);
    }

    /// Marks all totals as due for a report, for a new leader that has none.
    pub(crate) fn report_all(&mut self) {
        self.meter.report_all();
    }

    /// Returns a report of the totals that have changed since the last call; `None` if there are
    /// none.
    pub(crate) fn take_report(&mut self) -> Option<GatewayMessage> {
        let usage = self.meter.take_changes();
        (!usage.is_empty()).then_some(GatewayMessage::Usage(usage))
    }

    fn open_window(&mut self, now: Instant) -> Option<UsageWindow> {
        let length = self.window?;
        let time = self.clock.now(now)?;
        Some(UsageWindow::at(time, length))
    }
}
