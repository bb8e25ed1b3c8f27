//! Metrics of a coordinator: `counters` are counted here as things happen, `gauges` are set when
//! monitoring asks.
//!
//! Names and labels are part of what the program promises; docs/OPERATIONS.md lists them.

mod counters;
mod gauges;

pub(crate) use gauges::Readings;

use counters::{CallLabel, CallLabels, GroupMetrics, WorkMetrics, count};
use gauges::Gauges;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::time::Duration;

/// All metrics of a coordinator.
pub(crate) struct CoordinatorMetrics {
    registry: Registry,
    work: WorkMetrics,
    group: GroupMetrics,
    gauges: Gauges,
}

impl CoordinatorMetrics {
    /// All at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("wingshore_coordinator");
        Self {
            work: WorkMetrics::register(&mut registry),
            group: GroupMetrics::register(&mut registry),
            gauges: Gauges::register(&mut registry),
            registry,
        }
    }

    /// A call to the group has ended.
    pub(crate) fn call_ended(&self, call: &'static str, outcome: &'static str, time: Duration) {
        let labels = CallLabels { call, outcome };
        self.work.calls.get_or_create(&labels).inc();
        let histogram = self.work.call_seconds.get_or_create(&CallLabel { call });
        histogram.observe(time.as_secs_f64());
    }

    /// A write was synced.
    pub(crate) fn written(&self, time: Duration) {
        self.work.write_seconds.observe(time.as_secs_f64());
    }

    /// An engine has answered an order, or has not.
    pub(crate) fn ordered(&self, outcome: &'static str) {
        count(&self.work.orders, outcome);
    }

    /// The provider has answered a call, or has not.
    pub(crate) fn provider_answered(&self, call: &'static str, outcome: &'static str) {
        let labels = CallLabels { call, outcome };
        self.work.provider_calls.get_or_create(&labels).inc();
    }

    /// A gateway has reported the outcome of an attempt at an item.
    pub(crate) fn attempt_ended(&self, outcome: &'static str) {
        count(&self.work.attempts, outcome);
    }

    /// A gateway has reported the outcome of a scoring.
    pub(crate) fn scoring_ended(&self, outcome: &'static str) {
        count(&self.work.scorings, outcome);
    }

    /// A leadership began here.
    pub(crate) fn leadership_began(&self) {
        self.group.leaderships.inc();
    }

    /// A change of members was asked for.
    pub(crate) fn member_change(&self) {
        self.group.member_changes.inc();
    }

    /// A peer that speaks no common format was refused.
    pub(crate) fn peer_refused(&self) {
        self.group.peers_refused.inc();
    }

    /// Bytes of the state have been sent, some of them not for the first time.
    pub(crate) fn state_sent(&self, bytes: u64, again: u64) {
        self.group.state_sent.inc_by(bytes);
        self.group.state_sent_again.inc_by(again);
    }

    /// All metrics as text.
    pub(crate) fn text(&self, readings: &Readings) -> String {
        self.gauges.set(readings);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
