//! The leader's view of one engine, based only on the engine's own reports.

use super::orders::{OrderProgress, SwapOrder};
use crate::effect::OrderAnswer;
use crate::settings::LeaderSettings;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::ids::{ServiceId, WeightVersion};
use wingshore_types::platform::{EngineOrder, EngineState, OrderFence};
use wingshore_types::{Instant, doubled_backoff};

/// An engine's report and the time at which its poll was sent.
#[derive(Clone, Debug)]
struct Report {
    polled_at: Instant,
    state: EngineState,
}

/// The leader's knowledge of one engine, and its open order.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    service: ServiceId,
    address: SocketAddr,
    report: Option<Report>,
    /// When the first of the unanswered polls since the last report was sent.
    silent_since: Option<Instant>,
    order: Option<SwapOrder>,
    /// Fence of the newest order to it, open or not, and the time of its first sending.
    last_order: Option<(OrderFence, Instant)>,
    ordered_version: Option<WeightVersion>,
    failures: u32,
    /// Those of `failures` that concern the version it was last ordered to load.
    failures_of_ordered_version: u32,
    quarantined_until: Instant,
    /// Version of a load ordered by an earlier leader, and when this leader first observed it.
    inherited_load: Option<(WeightVersion, Instant)>,
    /// Whether it has accepted a newer leader; this leader must then send it no more orders.
    follows_newer_leader: bool,
}

impl Engine {
    /// Creates an engine without any reports.
    pub(crate) fn new(service: ServiceId, address: SocketAddr) -> Self {
        Self {
            service,
            address,
            report: None,
            silent_since: None,
            order: None,
            last_order: None,
            ordered_version: None,
            failures: 0,
            failures_of_ordered_version: 0,
            quarantined_until: Instant::ZERO,
            inherited_load: None,
            follows_newer_leader: false,
        }
    }

    /// Returns the service that the engine belongs to.
    pub(crate) fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the address that the engine listens at.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Moves the engine to another service; its reports and orders stay.
    pub(crate) fn set_service(&mut self, service: &ServiceId) {
        self.service = service.clone();
    }

    /// Returns the version it serves by its newest report; `None` until a report that is newer than
    /// the last order names one.
    pub(crate) fn version(&self) -> Option<WeightVersion> {
        let report = self.report.as_ref()?;
        if let Some((fence, first_sent)) = self.last_order {
            let has_seen_order = report.state.last_order.is_some_and(|last| last >= fence);
            if !has_seen_order || report.polled_at <= first_sent {
                return None;
            }
        }
        report.state.weight_version
    }

    /// Returns the version it was last ordered to load.
    pub(crate) fn ordered_version(&self) -> Option<WeightVersion> {
        self.ordered_version
    }

    /// Returns the number of consecutive failed swaps.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether a swap is in progress.
    pub(crate) fn is_swapping(&self) -> bool {
        self.order.is_some() || self.inherited_load.is_some()
    }

    /// Returns the number of consecutive failed swaps to `version`.
    pub(crate) fn failures_to(&self, version: WeightVersion) -> u32 {
        if self.ordered_version == Some(version) {
            return self.failures_of_ordered_version;
        }
        0
    }

    /// Returns whether an order to it has no result yet.
    pub(crate) fn has_order(&self) -> bool {
        self.order.is_some()
    }

    /// Returns whether its open order asks for a version other than `wanted` and was never
    /// accepted, so that a new order may replace it.
    pub(crate) fn may_supersede_order(&self, wanted: WeightVersion) -> bool {
        let is_superseded = |order: &SwapOrder| order.version() != wanted && !order.is_accepted();
        self.silent_since.is_none()
            && !self.follows_newer_leader
            && self.order.as_ref().is_some_and(is_superseded)
    }

    /// Returns the source it fetches from: the source of its order, or `store` for a load ordered
    /// by an earlier leader.
    pub(crate) fn fetching_from(&self, store: SocketAddr) -> Option<SocketAddr> {
        match (&self.order, self.inherited_load) {
            (Some(order), _) => Some(order.source()),
            (None, Some(_)) => Some(store),
            (None, None) => None,
        }
    }

    /// Returns whether it may be ordered to load `wanted` now. Quarantine applies to one version
    /// only, since another version may succeed.
    pub(crate) fn is_ready(&self, now: Instant, wanted: WeightVersion) -> bool {
        let is_quarantined = now < self.quarantined_until && self.ordered_version == Some(wanted);
        self.report.is_some()
            && self.silent_since.is_none()
            && self.order.is_none()
            && !self.follows_newer_leader
            && !is_quarantined
    }

    /// Returns whether it reports that it accepts no new work.
    pub(crate) fn is_draining(&self) -> bool {
        self.report
            .as_ref()
            .is_some_and(|report| report.state.draining)
    }

    /// Returns whether it has not answered for at least `timeout`.
    pub(crate) fn is_unreachable(&self, now: Instant, timeout: Duration) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) >= timeout)
    }

    /// Returns its boot id by the newest report.
    pub(crate) fn boot_id(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.state.boot_id)
    }

    /// Sets its open order; an earlier order is never sent again.
    pub(crate) fn set_order(&mut self, now: Instant, order: SwapOrder) {
        self.last_order = Some((order.fence(), now));
        if self.ordered_version != Some(order.version()) {
            self.failures_of_ordered_version = 0;
        }
        self.ordered_version = Some(order.version());
        self.inherited_load = None;
        self.order = Some(order);
    }

    /// Returns the open order if it is due to be sent now.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        settings: &LeaderSettings,
    ) -> Option<EngineOrder> {
        self.order.as_mut()?.send_due(now, settings)
    }

    /// Handles the answer to an order; ignores answers to earlier orders.
    pub(crate) fn on_order_answer(&mut self, now: Instant, fence: OrderFence, answer: OrderAnswer) {
        let Some(order) = self.order.as_mut().filter(|order| order.fence() == fence) else {
            return;
        };
        order.on_answer(now, answer);
        if let OrderAnswer::Fenced(highest) = answer {
            self.follows_newer_leader = highest.highest_epoch > fence.epoch;
        }
    }

    /// Records that a poll of its state was not answered.
    pub(crate) fn on_poll_failure(&mut self, polled_at: Instant) {
        let is_late = self
            .report
            .as_ref()
            .is_some_and(|report| report.polled_at > polled_at);
        if !is_late {
            self.silent_since.get_or_insert(polled_at);
        }
    }

    /// Handles a report, unless a newer one is known. Returns the duration of the swap if the
    /// report shows that it has succeeded.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        polled_at: Instant,
        state: EngineState,
        settings: &LeaderSettings,
    ) -> Option<Duration> {
        let newest = self.report.as_ref().map(|report| report.polled_at);
        if newest.is_some_and(|newest| polled_at < newest) {
            return None;
        }
        self.silent_since = None;
        if self.boot_id().is_some_and(|boot| boot != state.boot_id) {
            // A restarted engine has forgotten its highest epoch. Whether this leader still leads
            // is decided by its lease, not by the engine.
            self.follows_newer_leader = false;
        }
        self.record_inherited_load(now, &state, settings);
        let progress = self
            .order
            .as_mut()
            .map(|order| order.on_report(now, polled_at, &state));
        self.report = Some(Report { polled_at, state });
        match progress {
            Some(OrderProgress::Succeeded) => self.complete_swap(now),
            Some(OrderProgress::Failed) => {
                self.fail_swap(now, settings);
                None
            }
            Some(OrderProgress::Open) | None => None,
        }
    }

    /// Ends an order that has timed out or was rejected.
    pub(crate) fn check_timeout(&mut self, now: Instant, settings: &LeaderSettings) {
        let progress = self
            .order
            .as_ref()
            .map(|order| order.check_timeout(now, settings));
        if progress == Some(OrderProgress::Failed) {
            self.fail_swap(now, settings);
        }
    }

    fn record_inherited_load(
        &mut self,
        now: Instant,
        state: &EngineState,
        settings: &LeaderSettings,
    ) {
        let seen_since = self
            .inherited_load
            .filter(|(version, _)| state.loading == Some(*version))
            .map_or(now, |(_, since)| since);
        let is_inherited =
            self.last_order.is_none() && now.since(seen_since) < settings.swap_timeout;
        self.inherited_load = state
            .loading
            .filter(|_| is_inherited)
            .map(|version| (version, seen_since));
    }

    fn complete_swap(&mut self, now: Instant) -> Option<Duration> {
        self.failures = 0;
        self.failures_of_ordered_version = 0;
        let order = self.order.take()?;
        Some(now.since(order.first_sent()))
    }

    /// Ends the order as failed; the backoff doubles with each consecutive failure.
    fn fail_swap(&mut self, now: Instant, settings: &LeaderSettings) {
        self.order = None;
        let backoff = doubled_backoff(
            settings.swap_backoff,
            self.failures,
            settings.max_swap_backoff,
        );
        self.failures = self.failures.saturating_add(1);
        self.failures_of_ordered_version = self.failures_of_ordered_version.saturating_add(1);
        self.quarantined_until = now + backoff;
    }
}
