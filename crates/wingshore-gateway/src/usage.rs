//! Counting the requests that began to run at servers, and telling the leader.
//!
//! A window is told by the time of day that the coordinators agree on, as heard from them: this
//! machine's own may be wrong.

use crate::exchange::Exchange;
use crate::process::Gateway;
use wingshore_coordination::{GatewayMessage, IncomingFrame, UsageWindow};
use wingshore_types::Instant;

impl Gateway {
    /// The window of usage that is open; `None` where usage is not counted, or before the time of
    /// day is known.
    fn open_window(&mut self, now: Instant) -> Option<UsageWindow> {
        let length = self.settings.usage_window?;
        let time = self.site_clock.now(now)?;
        Some(UsageWindow::at(time, length))
    }

    /// A request leaves for a server, which begins to run it within a millisecond or two.
    pub(crate) fn usage_sent(&mut self, now: Instant, exchange: &mut Exchange) {
        exchange.counted_in = None;
        let Some(tenant) = exchange.tenant.clone() else {
            return;
        };
        if let Some(window) = self.open_window(now) {
            self.usage.sent(window, tenant);
            exchange.counted_in = Some(window);
        }
    }

    /// The server has not run it.
    pub(crate) fn usage_not_run(&mut self, exchange: &mut Exchange) {
        if let Some(window) = exchange.counted_in.take()
            && let Some(tenant) = &exchange.tenant
        {
            self.usage.not_run(window, tenant);
        }
    }

    /// Tells the leader the totals that have changed.
    pub(crate) fn tell_usage(&mut self) {
        let Some(leader) = self.site.coordinators.leader() else {
            return;
        };
        let usage = self.usage.take_changes();
        if !usage.is_empty() {
            let message = GatewayMessage::Usage(usage);
            self.send_frame(leader, &IncomingFrame::FromGateway(message));
        }
    }
}
