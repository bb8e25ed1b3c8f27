//! Decides when the counts of a usage window are fixed, and when its report is sent to the
//! provider.
//!
//! Inputs: the agreed time of day of the site; the totals that gateways reported for open windows,
//! and the counts that the log keeps of lost gateways; the length of a window and the time in which
//! its report is due; the provider's answers.
//!
//! Rule: a window is closed after [`CLOSE_FRACTION`] of the time in which its report is due.
//! Windows are closed in order, and those that ended more than [`MAX_WINDOWS_BEHIND`] windows ago
//! are skipped. The counts of a window are committed before its report is sent for the first time.
//! Only the holder of orders sends reports, [`MAX_REPORTS_IN_FLIGHT`] at a time, and repeats each
//! until it is acknowledged.
//!
//! Rationale: every leader sends the same report, however often it is repeated. The claim of orders
//! prevents two machines from calling the provider at the same time, as it does for orders to
//! engines.
//!
//! Stale or missing inputs: without an agreed time of day no window is closed. Counts that a
//! gateway reports after their window was closed are ignored.

use crate::ids::GatewayId;
use crate::provider::ProviderAnswer;
use crate::site_time::WallTime;
use crate::state::SiteUsage;
use crate::usage::{UsageCounts, UsageWindow, WindowUsage};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::{Instant, doubled_backoff};

/// Fraction of the time in which a report is due after which its window is closed. Gateways report
/// their counts every 400 ms; the rest of the time is for calls that must be repeated.
const CLOSE_FRACTION: f64 = 0.4;
/// Time in which a new leader collects the counts of gateways before it closes a window.
const COLLECTION_TIME: Duration = Duration::from_millis(1500);
/// Number of windows before the present one that are still closed; older ones are skipped.
const MAX_WINDOWS_BEHIND: u64 = 24;
/// Maximum number of reports in flight.
const MAX_REPORTS_IN_FLIGHT: usize = 2;
/// Backoff after the first failed call, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Usage reports that the provider requires of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageDuty {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub due: Duration,
}

/// State of sending one report.
#[derive(Clone, Copy, Debug, Default)]
struct SendState {
    is_in_flight: bool,
    failures: u32,
    not_before: Instant,
}

/// Usage data of the leader that is not in the replicated state.
#[derive(Default)]
pub(crate) struct UsageReporter {
    /// The agreed time of day of the site, and when it was agreed.
    agreed: Option<(WallTime, Instant)>,
    /// Totals of gateways by open window.
    totals: BTreeMap<UsageWindow, BTreeMap<GatewayId, UsageCounts>>,
    /// The window whose counts are being committed.
    closing: Option<UsageWindow>,
    sending: BTreeMap<UsageWindow, SendState>,
    /// Whether the provider has seen a call of a later holder; this leader then sends no more.
    is_fenced: bool,
    close_from: Instant,
}

impl UsageReporter {
    /// Starts a new leadership.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.close_from = now + COLLECTION_TIME;
    }

    /// Records the agreed time of day of the site.
    pub(crate) fn set_agreed_time(&mut self, now: Instant, wall: WallTime) {
        self.agreed = Some((wall, now));
    }

    fn site_time(&self, now: Instant) -> Option<WallTime> {
        let (wall, at) = self.agreed?;
        let since = i64::try_from(now.since(at).as_millis()).unwrap_or(i64::MAX);
        Some(WallTime(wall.0.saturating_add(since)))
    }

    /// Records the totals that a gateway reports for open windows.
    pub(crate) fn record_totals(
        &mut self,
        gateway: GatewayId,
        usage: Vec<WindowUsage>,
        durable: &SiteUsage,
    ) {
        for WindowUsage { window, counts } in usage {
            if durable.closed().is_none_or(|closed| window > closed) {
                self.totals
                    .entry(window)
                    .or_default()
                    .insert(gateway, counts);
            }
        }
    }

    /// Returns the totals that a gateway has reported for open windows.
    pub(crate) fn reported_by(&self, gateway: GatewayId) -> Vec<WindowUsage> {
        let totals = self.totals.iter();
        totals
            .filter_map(|(window, gateways)| {
                let counts = gateways.get(&gateway)?.clone();
                let window = *window;
                Some(WindowUsage { window, counts })
            })
            .collect()
    }

    /// Returns the sum of all counts of a window. The latest report of a gateway replaces the
    /// counts that the log keeps of it.
    fn counts_of(&self, window: UsageWindow, durable: &SiteUsage) -> UsageCounts {
        let mut sum = UsageCounts::default();
        let totals = self.totals.get(&window);
        let is_reported =
            |gateway: &GatewayId| totals.is_some_and(|reported| reported.contains_key(gateway));
        let kept = durable
            .counts_of_lost_gateways(window)
            .filter(|(gateway, _)| !is_reported(gateway));
        let reported = totals.into_iter().flatten();
        for (_, counts) in kept.chain(reported) {
            sum.add(counts);
        }
        sum
    }

    /// Returns the window to close now and its counts, if there is one. No further window is closed
    /// while these counts are being committed.
    pub(crate) fn close_next(
        &mut self,
        now: Instant,
        duty: UsageDuty,
        durable: &SiteUsage,
    ) -> Option<(UsageWindow, UsageCounts)> {
        let window = self.next_to_close(now, duty, durable)?;
        self.closing = Some(window);
        Some((window, self.counts_of(window, durable)))
    }

    /// Records that the counts of a window are committed.
    pub(crate) fn closed(&mut self, window: UsageWindow) {
        self.closing = None;
        self.totals = self.totals.split_off(&window.next());
    }

    /// Returns the window to close next, if it is due.
    fn next_to_close(
        &self,
        now: Instant,
        duty: UsageDuty,
        durable: &SiteUsage,
    ) -> Option<UsageWindow> {
        if self.closing.is_some() || now < self.close_from {
            return None;
        }
        let time = self.site_time(now)?;
        let present = UsageWindow::at(time, duty.window);
        let oldest = UsageWindow(present.0.saturating_sub(MAX_WINDOWS_BEHIND));
        let next = match durable.closed() {
            Some(closed) => closed.next(),
            None => self.first_window(present, durable),
        };
        let next = next.max(oldest);
        let wait = duty.due.mul_f64(CLOSE_FRACTION);
        let closes_at = next.end(duty.window).0 + i64::try_from(wait.as_millis()).ok()?;
        (time.0 >= closes_at).then_some(next)
    }

    /// Returns the first window to close: the first one with any counts, but not later than the one
    /// before the present window.
    fn first_window(&self, present: UsageWindow, durable: &SiteUsage) -> UsageWindow {
        let before = UsageWindow(present.0.saturating_sub(1));
        let reported = self.totals.keys().next().copied();
        let counted = reported
            .into_iter()
            .chain(durable.first_window_of_lost_gateways())
            .min();
        counted.map_or(before, |counted| counted.min(before))
    }

    /// Returns the windows whose reports are to be sent now.
    pub(crate) fn take_due(&mut self, now: Instant, durable: &SiteUsage) -> Vec<UsageWindow> {
        let waiting = durable.unacknowledged();
        self.sending
            .retain(|window, _| waiting.contains_key(window));
        if self.is_fenced {
            return Vec::new();
        }
        let in_flight = self.sending.values().filter(|send| send.is_in_flight);
        let room = MAX_REPORTS_IN_FLIGHT.saturating_sub(in_flight.count());
        let mut due = Vec::new();
        for window in waiting.keys() {
            let send = self.sending.entry(*window).or_default();
            if due.len() < room && !send.is_in_flight && now >= send.not_before {
                send.is_in_flight = true;
                due.push(*window);
            }
        }
        due
    }

    /// Processes the provider's answer to the report of a window; returns whether the report is
    /// complete.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        window: UsageWindow,
        answer: ProviderAnswer,
    ) -> bool {
        match answer {
            ProviderAnswer::Done => {
                self.sending.remove(&window);
                return true;
            }
            ProviderAnswer::Conflict => self.is_fenced = true,
            ProviderAnswer::Busy | ProviderAnswer::Refused | ProviderAnswer::Unknown => {
                self.failed(now, window);
            }
        }
        false
    }

    fn failed(&mut self, now: Instant, window: UsageWindow) {
        if let Some(send) = self.sending.get_mut(&window) {
            send.not_before = now + doubled_backoff(INITIAL_BACKOFF, send.failures, MAX_BACKOFF);
            send.failures += 1;
            send.is_in_flight = false;
        }
    }
}
