//! One engine as the leader knows it: by the engine's own reports only.

use super::orders::{OrderProgress, SwapOrder};
use crate::effect::OrderAnswer;
use crate::settings::LeaderSettings;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::ids::{ServiceId, WeightVersion};
use wingshore_types::platform::{EngineOrder, EngineState, OrderFence};
use wingshore_types::{Instant, doubled_backoff};

/// An engine's report, with when it was asked for.
#[derive(Clone, Debug)]
struct Report {
    asked_at: Instant,
    state: EngineState,
}

/// What is known of one engine, and the order that is on its way to it.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    service: ServiceId,
    address: SocketAddr,
    report: Option<Report>,
    /// Since when it has not answered.
    silent_since: Option<Instant>,
    order: Option<SwapOrder>,
    /// Fence of the newest order to it, open or not, and when that was sent first.
    last_order: Option<(OrderFence, Instant)>,
    ordered_version: Option<WeightVersion>,
    failures: u32,
    /// Those of them to the version that it was ordered to take last.
    failures_of_version: u32,
    quarantined_until: Instant,
    /// A load that an earlier leader has ordered, with since when it has been seen.
    foreign_load: Option<(WeightVersion, Instant)>,
    /// It follows a newer leader: this one must not order it any more.
    deposed: bool,
}

impl Engine {
    /// An engine of which nothing is known yet.
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
            failures_of_version: 0,
            quarantined_until: Instant::ZERO,
            foreign_load: None,
            deposed: false,
        }
    }

    /// The service it belongs to.
    pub(crate) fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Moves it to another service; what is known of the engine itself stays.
    pub(crate) fn set_service(&mut self, service: &ServiceId) {
        self.service = service.clone();
    }

    /// The version it serves, by its newest report; unknown until a report that is newer than the
    /// last order names one.
    pub(crate) fn version(&self) -> Option<WeightVersion> {
        let report = self.report.as_ref()?;
        if let Some((fence, first_sent)) = self.last_order {
            let has_seen_order = report.state.last_order.is_some_and(|last| last >= fence);
            if !has_seen_order || report.asked_at <= first_sent {
                return None;
            }
        }
        report.state.weight_version
    }

    /// The version it was last ordered to take.
    pub(crate) fn ordered_version(&self) -> Option<WeightVersion> {
        self.ordered_version
    }

    /// Failed swaps in a row.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether a swap is on its way.
    pub(crate) fn is_swapping(&self) -> bool {
        self.order.is_some() || self.foreign_load.is_some()
    }

    /// Failed swaps in a row to `version`.
    pub(crate) fn failures_at(&self, version: WeightVersion) -> u32 {
        if self.ordered_version == Some(version) {
            return self.failures_of_version;
        }
        0
    }

    /// Whether an order to it has no result yet.
    pub(crate) fn has_order(&self) -> bool {
        self.order.is_some()
    }

    /// Whether its order asks for another version than `wanted` and was never accepted: a new one
    /// may take its place.
    pub(crate) fn may_supersede_order(&self, wanted: WeightVersion) -> bool {
        let is_superseded = |order: &SwapOrder| order.version() != wanted && !order.is_accepted();
        self.silent_since.is_none()
            && !self.deposed
            && self.order.as_ref().is_some_and(is_superseded)
    }

    /// Where it fetches from: an order's source, or `store` for a load ordered by someone else.
    pub(crate) fn fetching_from(&self, store: SocketAddr) -> Option<SocketAddr> {
        match (&self.order, self.foreign_load) {
            (Some(order), _) => Some(order.source()),
            (None, Some(_)) => Some(store),
            (None, None) => None,
        }
    }

    /// Whether it may be ordered to take `wanted` now. Quarantine is for one version: a new one
    /// may well succeed.
    pub(crate) fn is_ready(&self, now: Instant, wanted: WeightVersion) -> bool {
        let is_quarantined = now < self.quarantined_until && self.ordered_version == Some(wanted);
        self.report.is_some()
            && self.silent_since.is_none()
            && self.order.is_none()
            && !self.deposed
            && !is_quarantined
    }

    /// Whether it takes no new work by its own word.
    pub(crate) fn is_draining(&self) -> bool {
        self.report
            .as_ref()
            .is_some_and(|report| report.state.draining)
    }

    /// Whether it has not answered for `long`.
    pub(crate) fn is_unreachable(&self, now: Instant, long: Duration) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) >= long)
    }

    /// Its boot by the newest report.
    pub(crate) fn boot_id(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.state.boot_id)
    }

    /// Gives it an order; an earlier one is never sent again.
    pub(crate) fn give_order(&mut self, now: Instant, order: SwapOrder) {
        self.last_order = Some((order.fence(), now));
        if self.ordered_version != Some(order.version()) {
            self.failures_of_version = 0;
        }
        self.ordered_version = Some(order.version());
        self.foreign_load = None;
        self.order = Some(order);
    }

    /// The open order, when it is to be sent now.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        settings: &LeaderSettings,
    ) -> Option<EngineOrder> {
        self.order.as_mut()?.send_due(now, settings)
    }

    /// Takes in the answer to an order; answers to earlier orders mean nothing any more.
    pub(crate) fn on_order_answer(&mut self, now: Instant, fence: OrderFence, answer: OrderAnswer) {
        let Some(order) = self.order.as_mut().filter(|order| order.fence() == fence) else {
            return;
        };
        order.on_answer(now, answer);
        if let OrderAnswer::Fenced(highest) = answer {
            self.deposed = highest.highest_epoch > fence.epoch;
        }
    }

    /// Notes that a poll of its state was not answered.
    pub(crate) fn on_silence(&mut self, asked_at: Instant) {
        let is_late = self
            .report
            .as_ref()
            .is_some_and(|report| report.asked_at > asked_at);
        if !is_late {
            self.silent_since.get_or_insert(asked_at);
        }
    }

    /// Takes a report in, unless a newer one is known. Answers how long a swap took that it shows
    /// to have succeeded.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        asked_at: Instant,
        state: EngineState,
        settings: &LeaderSettings,
    ) -> Option<Duration> {
        let newest = self.report.as_ref().map(|report| report.asked_at);
        if newest.is_some_and(|newest| asked_at < newest) {
            return None;
        }
        self.silent_since = None;
        if self.boot_id().is_some_and(|boot| boot != state.boot_id) {
            // It has forgotten whom it followed. Whether this leader is still one is for its lease
            // to say, not for the engine.
            self.deposed = false;
        }
        self.note_foreign_load(now, &state, settings);
        let progress = self
            .order
            .as_mut()
            .map(|order| order.on_report(now, asked_at, &state));
        self.report = Some(Report { asked_at, state });
        match progress {
            Some(OrderProgress::Succeeded) => self.end_success(now),
            Some(OrderProgress::Failed) => {
                self.end_failure(now, settings);
                None
            }
            Some(OrderProgress::Open) | None => None,
        }
    }

    /// Ends an order that takes too long or was refused.
    pub(crate) fn on_time(&mut self, now: Instant, settings: &LeaderSettings) {
        let progress = self
            .order
            .as_ref()
            .map(|order| order.on_time(now, settings));
        if progress == Some(OrderProgress::Failed) {
            self.end_failure(now, settings);
        }
    }

    fn note_foreign_load(&mut self, now: Instant, state: &EngineState, settings: &LeaderSettings) {
        let seen_since = self
            .foreign_load
            .filter(|(version, _)| state.loading == Some(*version))
            .map_or(now, |(_, since)| since);
        let is_foreign = self.last_order.is_none() && now.since(seen_since) < settings.swap_timeout;
        self.foreign_load = state
            .loading
            .filter(|_| is_foreign)
            .map(|version| (version, seen_since));
    }

    fn end_success(&mut self, now: Instant) -> Option<Duration> {
        self.failures = 0;
        self.failures_of_version = 0;
        let order = self.order.take()?;
        Some(now.since(order.first_sent()))
    }

    /// The wait doubles with each failure in a row.
    fn end_failure(&mut self, now: Instant, settings: &LeaderSettings) {
        self.order = None;
        let wait = doubled_backoff(
            settings.swap_backoff,
            self.failures,
            settings.max_swap_backoff,
        );
        self.failures = self.failures.saturating_add(1);
        self.failures_of_version = self.failures_of_version.saturating_add(1);
        self.quarantined_until = now + wait;
    }
}
