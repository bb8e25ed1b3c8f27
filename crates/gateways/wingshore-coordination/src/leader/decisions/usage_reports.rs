//! When are the counts of a usage window fixed, and when is its report sent to the provider?
//!
//! Inputs: the site's agreed time of day; totals that gateways reported for open windows, and what the log
//! keeps of gateways that are gone; the length of a window and the time in which its report is due; the
//! provider's answers.
//!
//! Rule: a window is closed after [`CLOSE_PART`] of the time in which its report is due, in order, at
//! most [`MAX_WINDOWS_BEHIND`] late. Its counts are committed before the report is sent for the first
//! time. Only the holder of orders sends, [`MAX_REPORTS_UNDER_WAY`] at a time, again and again until a
//! report is acknowledged.
//!
//! Why: whoever leads, and however often, sends the same; and the claim of orders keeps the calls of two
//! machines apart as it does for orders to engines.
//!
//! Old or missing inputs: without an agreed time no window is closed. What a gateway tells after its
//! window was closed is not counted.

use crate::ids::GatewayId;
use crate::provider::ProviderAnswer;
use crate::site_time::WallTime;
use crate::state::SiteUsage;
use crate::usage::{UsageCounts, UsageWindow, WindowUsage};
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::{Instant, doubled_backoff};

/// A window is closed after this part of the time in which its report is due: gateways report their
/// counts each 400 ms, and the rest of the time is for calls that have to be made again.
const CLOSE_PART: f64 = 0.4;
/// A new leader hears what gateways have counted before it closes a window.
const INTRODUCTION_TIME: Duration = Duration::from_millis(1500);
/// Windows that ended this many before the present one are not made up for.
const MAX_WINDOWS_BEHIND: u64 = 24;
/// Reports under way at once.
const MAX_REPORTS_UNDER_WAY: usize = 2;
/// Backoff after a first call without success; twice as long after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Reports of usage that a site owes its provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageDuty {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window in which its report is due.
    pub due: Duration,
}

/// One report on its way.
#[derive(Clone, Copy, Debug, Default)]
struct Sending {
    is_under_way: bool,
    failures: u32,
    not_before: Instant,
}

/// What the leader knows of usage besides what is durable.
#[derive(Default)]
pub(crate) struct UsageReporter {
    /// A time of day that the site agreed on, and when.
    agreed: Option<(WallTime, Instant)>,
    /// Totals of gateways in windows that are open.
    totals: BTreeMap<UsageWindow, BTreeMap<GatewayId, UsageCounts>>,
    /// The window whose counts are being committed.
    closing: Option<UsageWindow>,
    sending: BTreeMap<UsageWindow, Sending>,
    /// Whether another holder has acted: this one does not any more.
    is_fenced: bool,
    close_from: Instant,
}

impl UsageReporter {
    /// A new leadership.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.close_from = now + INTRODUCTION_TIME;
    }

    /// The site has agreed on its time of day.
    pub(crate) fn time_agreed(&mut self, now: Instant, wall: WallTime) {
        self.agreed = Some((wall, now));
    }

    fn site_time(&self, now: Instant) -> Option<WallTime> {
        let (wall, at) = self.agreed?;
        let since = i64::try_from(now.since(at).as_millis()).unwrap_or(i64::MAX);
        Some(WallTime(wall.0.saturating_add(since)))
    }

    /// A gateway has reported totals.
    pub(crate) fn reported(
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

    /// What a gateway has reported of windows that are open.
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

    /// All that was counted in a window. What a gateway reported lately stands for what was kept of it.
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

    /// The window to be closed now, if one is, and its counts; no other is while these are being committed.
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

    /// The counts of a window are committed.
    pub(crate) fn closed(&mut self, window: UsageWindow) {
        self.closing = None;
        self.totals = self.totals.split_off(&window.next());
    }

    /// The window to be closed next, if its time has come.
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
        let wait = duty.due.mul_f64(CLOSE_PART);
        let closes_at = next.end(duty.window).0 + i64::try_from(wait.as_millis()).ok()?;
        (time.0 >= closes_at).then_some(next)
    }

    /// The window to begin with: the first one that anything was counted in, or else the one before the
    /// present one.
    fn first_window(&self, present: UsageWindow, durable: &SiteUsage) -> UsageWindow {
        let before = UsageWindow(present.0.saturating_sub(1));
        let reported = self.totals.keys().next().copied();
        let counted = reported
            .into_iter()
            .chain(durable.first_window_of_lost_gateways())
            .min();
        counted.map_or(before, |counted| counted.min(before))
    }

    /// Windows whose reports are to be sent now.
    pub(crate) fn take_due(&mut self, now: Instant, durable: &SiteUsage) -> Vec<UsageWindow> {
        let waiting = durable.unacknowledged();
        self.sending
            .retain(|window, _| waiting.contains_key(window));
        if self.is_fenced {
            return Vec::new();
        }
        let under_way = self.sending.values().filter(|send| send.is_under_way);
        let room = MAX_REPORTS_UNDER_WAY.saturating_sub(under_way.count());
        let mut due = Vec::new();
        for window in waiting.keys() {
            let send = self.sending.entry(*window).or_default();
            if due.len() < room && !send.is_under_way && now >= send.not_before {
                send.is_under_way = true;
                due.push(*window);
            }
        }
        due
    }

    /// The provider has answered a window's report, or has not. Says whether the report is done.
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
            send.is_under_way = false;
        }
    }
}
