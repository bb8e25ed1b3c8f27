//! What only the holder of orders does outside the group: calls to engines and to the provider, under
//! the lease; and the time of day that its reports go by.

use super::Coordinator;
use slog::info;
use wingshore_coordination::{
    CapacityOrder, Event, OrderAnswer, ProviderAnswer, UsageReport, WallTime, WeightOrder,
};
use wingshore_group::HostInput;
use wingshore_types::Instant;

impl Coordinator {
    /// Orders and calls to the provider that could still leave after the lease are not to: another
    /// machine may count on that.
    pub(super) fn drop_orders_without_lease(&mut self) {
        if self.host.holds_lease(self.clock.now()) {
            return;
        }
        let events = self.calls.cancel_lease_calls(&mut self.reactor);
        self.take_call_events(events);
    }

    /// Engines or the provider have answered, or have not.
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

    /// Tells the leader machine the time of day that the site agrees on.
    pub(super) fn agree_on_time(&mut self, now: Instant) {
        let own = self.folder.identity().replica;
        self.site_clock.record(now, own, wall_time());
        if self.host.is_leader()
            && let Some(wall) = self.site_clock.now(now)
        {
            self.inputs.push(HostInput::Event(Event::TimeAgreed(wall)));
        }
    }

    /// Orders an engine to load weights, unless the lease is over by now.
    pub(super) fn order_load(&mut self, now: Instant, order: &WeightOrder) -> Option<Event> {
        if !self.host.holds_lease(self.clock.now()) {
            info!(self.logger, "order not given"; "engine" => %order.instance,
                "reason" => "the lease is over", "fence" => order.fence.0);
            let (instance, answer) = (order.instance.clone(), OrderAnswer::Refused);
            return Some(Event::WeightOrderAnswered { instance, answer });
        }
        info!(self.logger, "order"; "engine" => %order.instance, "model" => %order.model,
            "version" => order.version, "fence" => order.fence.0);
        self.calls.order(now, &mut self.reactor, order)
    }

    /// Reports usage, unless the lease is over by now: another machine may count on that.
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

    /// Orders servers, unless the lease is over by now.
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

/// This machine's time of day.
pub(super) fn wall_time() -> WallTime {
    WallTime(wingshore_clock::wall_ms())
}
