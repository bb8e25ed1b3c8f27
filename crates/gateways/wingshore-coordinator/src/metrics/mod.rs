//! Metrics of a coordinator: `counters` are updated as events happen, `gauges` are set at each
//! scrape.
//!
//! Names and labels are a stable interface; docs/OPERATIONS.md lists them.

mod counters;
mod gauges;

pub(crate) use gauges::Readings;

use crate::decision_log::BODY_RETURNED;
use counters::{CallLabel, CallLabels, GroupMetrics, WorkMetrics, count, counter};
use gauges::Gauges;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::time::Duration;
use wingshore_coordination::NoBody;
use wingshore_net::CallerMetrics;

/// All metrics of a coordinator.
pub(crate) struct CoordinatorMetrics {
    registry: Registry,
    work: WorkMetrics,
    group: GroupMetrics,
    gauges: Gauges,
    /// What callers use.
    pub(crate) callers: CallerMetrics,
}

impl CoordinatorMetrics {
    /// Creates all metrics at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("wingshore_coordinator");
        let metrics = Self {
            work: WorkMetrics::register(&mut registry),
            group: GroupMetrics::register(&mut registry),
            gauges: Gauges::register(&mut registry),
            callers: CallerMetrics::register(&mut registry),
            registry,
        };
        // Most coordinators answer no such read for long; a rate needs the zero before the first.
        let missing = NoBody::ALL.map(NoBody::name);
        for outcome in missing.into_iter().chain([BODY_RETURNED]) {
            let family = &metrics.work.item_body_reads;
            counter(family, outcome).inc_by(0);
        }
        metrics
    }

    /// Records the end of a call to the group.
    pub(crate) fn call_ended(&self, call: &'static str, outcome: &'static str, time: Duration) {
        let labels = CallLabels { call, outcome };
        self.work.calls.get_or_create(&labels).inc();
        let histogram = self.work.call_seconds.get_or_create(&CallLabel { call });
        histogram.observe(time.as_secs_f64());
    }

    /// Records a synced write.
    pub(crate) fn written(&self, time: Duration) {
        self.work.write_seconds.observe(time.as_secs_f64());
    }

    /// Records the outcome of an order to an engine, answered or not.
    pub(crate) fn ordered(&self, outcome: &'static str) {
        count(&self.work.orders, outcome);
    }

    /// Records the outcome of a call to the provider, answered or not.
    pub(crate) fn provider_answered(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.work.provider_calls.get_or_create(&labels).inc();
    }

    /// Records the outcome of an attempt at an item, as a gateway reported it.
    pub(crate) fn attempt_ended(&self, outcome: &'static str) {
        count(&self.work.attempts, outcome);
    }

    /// Records the outcome of a scoring, as a gateway reported it.
    pub(crate) fn scoring_ended(&self, outcome: &'static str) {
        count(&self.work.scorings, outcome);
    }

    /// Records a read of an item's body that was answered here as the leader.
    pub(crate) fn item_body_read(&self, outcome: &'static str) {
        count(&self.work.item_body_reads, outcome);
    }

    /// Counts a leadership that began here.
    pub(crate) fn leadership_began(&self) {
        self.group.leaderships.inc();
    }

    /// Counts a requested membership change.
    pub(crate) fn member_change(&self) {
        self.group.member_changes.inc();
    }

    /// Counts a peer that was refused because it has no common format.
    pub(crate) fn peer_refused(&self) {
        self.group.peers_refused.inc();
    }

    /// Counts sent bytes of the state, and those among them that were sent before.
    pub(crate) fn state_sent(&self, bytes: u64, again: u64) {
        self.group.state_sent.inc_by(bytes);
        self.group.state_sent_again.inc_by(again);
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self, readings: &Readings) -> String {
        self.gauges.set(readings);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
