//! Counting the requests that began to run at servers, for the leader's reports to the provider.
//!
//! Owns the counts of this gateway and the time of day that the coordinators agree on, as heard from
//! them: by that a window is named, since this machine's own may be wrong. Without a time of day, or
//! where the settings ask for no counts, nothing is counted.

use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    GatewayMessage, SiteClock, TenantName, UsageMeter, UsageWindow, WallTime,
};
use wingshore_types::Instant;

/// The counts of one gateway.
pub(crate) struct UsageCounter {
    /// Length of a window; `None` where usage is not counted.
    window: Option<Duration>,
    clock: SiteClock<SocketAddr>,
    meter: UsageMeter,
}

impl UsageCounter {
    /// Counts in windows of this length.
    pub(crate) fn new(window: Option<Duration>) -> Self {
        Self {
            window,
            clock: SiteClock::default(),
            meter: UsageMeter::default(),
        }
    }

    /// A coordinator has sent its time of day.
    pub(crate) fn time_heard(&mut self, now: Instant, coordinator: SocketAddr, wall: WallTime) {
        self.clock.record(now, coordinator, wall);
    }

    /// A request leaves for a server, which begins to run it within a millisecond or two. Gives the
    /// window that it is counted in.
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

    /// The server has not run a request that was counted in `window`.
    pub(crate) fn not_run(&mut self, window: UsageWindow, tenant: &TenantName) {
        self.meter.not_run(window, tenant);
    }

    /// All totals are due again: there is a leader that knows none.
    pub(crate) fn report_all(&mut self) {
        self.meter.report_all();
    }

    /// The totals that have changed since the last call, for the leader; `None` without any.
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
