//! Calls to engines and to the provider, which only the leader makes and only under its lease, and
//! the agreed wall-clock time that its usage reports use.

use super::Coordinator;
use slog::info;
use wingshore_coordination::{
    CapacityOrder, Event, OrderAnswer, ProviderAnswer, UsageReport, WallTime, WeightOrder,
};
use wingshore_group::HostInput;
use wingshore_types::Instant;

impl Coordinator {
    /// Cancels orders and calls to the provider that could still be sent after the lease has
    /// expired: a new leader may rely on their not being sent.
    pub(super) fn drop_orders_without_lease(&mut self) {
        if self.host.holds_lease(self.clock.now()) {
            return;
        }
        let events = self.calls.cancel_lease_calls(&mut self.reactor);
        self.take_call_events(events);
    }

    /// Logs the outcomes of calls to engines and to the provider, and passes them to the host.
    pub(super) fn take_call_events(&mut self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            match &event {
                Event::WeightOrderAnswered { instance, answer } => {
                    self.metrics.ordered(answer.name());
                    info!(self.logger, "order answered"; "engine" => %instance,
                        "answer" => answer.name());
                }
                Event::UsageAnswered { window, answer } => {
                    self.metrics.provider_answered("usage", answer.name());
                    info!(self.logger, "usage report answered"; "window" => window.0,
                        "answer" => answer.name());
                }
                Event::CapacityAnswered {
                    pool,
                    count,
                    answer,
                } => {
                    self.metrics.provider_answered("servers", answer.name());
                    info!(self.logger, "order for servers answered"; "service" => %pool.service,
                        "zone" => &pool.zone, "reclaimable" => pool.reclaimable,
                        "count" => count, "answer" => answer.name());
                }
                _ => {}
            }
            self.inputs.push(HostInput::Event(event));
        }
    }

    /// Records this machine's wall-clock time and, on the leader, passes the agreed time to its
    /// state machine.
    pub(super) fn update_agreed_time(&mut self, now: Instant) {
        let own = self.folder.identity().replica;
        self.site_clock.record(now, own, wall_time());
        if self.host.is_leader()
            && let Some(wall) = self.site_clock.now(now)
        {
            self.inputs.push(HostInput::Event(Event::TimeAgreed(wall)));
        }
    }

    /// Orders an engine to load weights, unless the lease has expired.
    pub(super) fn order_load(&mut self, now: Instant, order: &WeightOrder) -> Option<Event> {
        if !self.host.holds_lease(self.clock.now()) {
            info!(self.logger, "order not sent"; "engine" => %order.instance,
                "reason" => "the lease is over", "fence" => order.fence.0);
            let (instance, answer) = (order.instance.clone(), OrderAnswer::Refused);
            return Some(Event::WeightOrderAnswered { instance, answer });
        }
        info!(self.logger, "order"; "engine" => %order.instance, "model" => %order.model,
            "version" => order.version, "fence" => order.fence.0);
        self.calls.order(now, &mut self.reactor, order)
    }

    /// Reports usage to the provider, unless the lease has expired: a new leader may rely on no
    /// report being sent after that.
    pub(super) fn report_usage(&mut self, now: Instant, report: &UsageReport) -> Option<Event> {
        let UsageReport { window, holder, .. } = report;
        if !self.host.holds_lease(self.clock.now()) {
            info!(self.logger, "usage not reported"; "window" => window.0,
                "reason" => "the lease is over", "fence" => holder.fence.0);
            let (window, answer) = (*window, ProviderAnswer::Refused);
            return Some(Event::UsageAnswered { window, answer });
        }
        info!(self.logger, "usage report"; "window" => window.0, "fence" => holder.fence.0);
        self.calls.report_usage(now, &mut self.reactor, report)
    }

    /// Orders servers from the provider, unless the lease has expired.
    pub(super) fn order_capacity(&mut self, now: Instant, order: &CapacityOrder) -> Option<Event> {
        let CapacityOrder {
            pool,
            count,
            holder,
        } = order;
        if !self.host.holds_lease(self.clock.now()) {
            info!(self.logger, "servers not ordered"; "service" => %pool.service,
                "zone" => &pool.zone, "reason" => "the lease is over", "fence" => holder.fence.0);
            return Some(Event::CapacityAnswered {
                pool: pool.clone(),
                count: *count,
                answer: ProviderAnswer::Refused,
            });
        }
        info!(self.logger, "servers ordered"; "service" => %pool.service, "zone" => &pool.zone,
            "reclaimable" => pool.reclaimable, "count" => count, "fence" => holder.fence.0);
        self.calls.order_capacity(now, &mut self.reactor, order)
    }
}

/// Returns this machine's wall-clock time.
pub(super) fn wall_time() -> WallTime {
    WallTime(wingshore_clock::wall_ms())
}
