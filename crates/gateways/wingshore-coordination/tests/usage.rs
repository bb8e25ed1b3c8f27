//! Usage: counts of gateways, closing of windows, and reports that stay the same across leaders.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, configuration};
use wingshore_coordination::{
    ApiKey, Effect, Event, GatewayId, LeaderSettings, ProviderAnswer, Request, SiteClock,
    SiteConfiguration, Tenant, TenantName, UsageCounts, UsageDuty, UsageMeter, UsageReport,
    UsageWindow, WallTime, WindowUsage,
};
use wingshore_types::{Epoch, Instant};

const DUTY: UsageDuty = UsageDuty {
    window: Duration::from_secs(5),
    due: Duration::from_secs(10),
};
/// A time of day at the start of a window.
const START: i64 = 1_700_000_000_000;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn a_window_is_determined_by_the_time_of_day() {
    let window = UsageWindow::at(WallTime(START), DUTY.window);
    expect_that!(window, eq(UsageWindow(340_000_000)));
    expect_that!(
        UsageWindow::at(WallTime(START + 4999), DUTY.window),
        eq(window)
    );
    expect_that!(
        UsageWindow::at(WallTime(START + 5000), DUTY.window),
        eq(window.next())
    );
    expect_that!(window.end(DUTY.window), eq(WallTime(START + 5000)));
}

/// The clocks of two of six machines jump by seconds, forward and back, and one machine is silent:
/// the agreed time stays within the range of the correct clocks.
#[gtest]
fn the_agreed_time_does_not_follow_clocks_that_jump() {
    let mut clock = SiteClock::default();
    for step in 0..200_u64 {
        let now = at(step * 100);
        let right = START + i64::try_from(step * 100).unwrap();
        for machine in 0..6_u64 {
            let jump = match machine {
                0 if (50..90).contains(&step) => 2500,
                1 if (60..120).contains(&step) => -2500,
                _ => 0,
            };
            let is_silent = machine == 5 && step > 100;
            if !is_silent {
                let error = i64::try_from(machine).unwrap() * 2 - 5;
                clock.record(now, machine, WallTime(right + error + jump));
            }
        }
        let agreed = clock.now(now).unwrap();
        expect_that!((agreed.0 - right).abs(), le(6));
    }
}

#[gtest]
fn nothing_is_agreed_before_a_time_was_heard_or_when_all_are_silent() {
    let mut clock = SiteClock::default();
    expect_that!(clock.now(at(0)), none());
    clock.record(at(0), 1, WallTime(START));
    expect_that!(clock.now(at(2900)), some(eq(WallTime(START + 2900))));
    expect_that!(clock.now(at(3100)), none());
}

fn name(tenant: &str) -> TenantName {
    TenantName::from(tenant)
}

fn counts(of: &[(&str, u64)]) -> UsageCounts {
    UsageCounts(
        of.iter()
            .map(|(tenant, count)| (name(tenant), *count))
            .collect(),
    )
}

#[gtest]
fn a_send_counts_until_its_server_says_that_it_has_not_run() {
    let mut meter = UsageMeter::default();
    let window = UsageWindow(7);
    meter.sent(window, name("a"));
    meter.sent(window, name("a"));
    meter.sent(window, name("b"));
    let changes = meter.take_changes();
    let expected = counts(&[("a", 2), ("b", 1)]);
    expect_that!(
        changes,
        elements_are![eq(&WindowUsage {
            window,
            counts: expected
        })]
    );
    expect_that!(meter.take_changes(), is_empty());
    meter.not_run(window, &name("a"));
    let changes = meter.take_changes();
    expect_that!(changes[0].counts, eq(&counts(&[("a", 1), ("b", 1)])));
    meter.report_all();
    expect_that!(meter.take_changes(), len(eq(1)));
}

#[gtest]
fn old_windows_take_no_room() {
    let mut meter = UsageMeter::default();
    for window in 0..1000 {
        meter.sent(UsageWindow(window), name("a"));
    }
    expect_that!(meter.take_changes().len(), le(8));
}

fn site(version: u64) -> SiteConfiguration {
    let tenants = ["a", "b"].map(|tenant| Tenant {
        name: name(tenant),
        keys: vec![ApiKey::from(tenant)],
        priority: None,
    });
    SiteConfiguration {
        tenants: tenants.to_vec(),
        ..configuration(version)
    }
}

/// A group that has to report usage, at the start of a window.
fn group() -> Group {
    let mut group = Group::with_settings(LeaderSettings {
        usage: Some(DUTY),
        engines_check_fences: true,
        ..LeaderSettings::default()
    });
    group.ask(Request::PutConfiguration(Arc::new(site(2))));
    group.event(Event::TimeAgreed(WallTime(START)));
    group
}

fn report_usage(group: &mut Group, gateway: u64, window: u64, of: &[(&str, u64)]) {
    let usage = WindowUsage {
        window: UsageWindow(window),
        counts: counts(of),
    };
    group.event(Event::UsageReported {
        gateway: GatewayId(gateway),
        usage: vec![usage],
    });
}

fn take_reports(group: &mut Group) -> Vec<UsageReport> {
    let effects = std::mem::take(&mut group.effects).into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::ReportUsage(report) => Some(report),
            _ => None,
        })
        .collect()
}

fn answer(group: &mut Group, window: UsageWindow, answer: ProviderAnswer) {
    group.event(Event::UsageAnswered { window, answer });
}

/// The window that starts at `START`.
const WINDOW: u64 = 340_000_000;

/// Reports of `WINDOW`, which are sent repeatedly while the provider does not answer.
fn reports_of_window(group: &mut Group) -> Vec<UsageReport> {
    let all = take_reports(group);
    all.into_iter()
        .filter(|report| report.window == UsageWindow(WINDOW))
        .collect()
}

#[gtest]
fn the_totals_of_all_gateways_are_reported_before_they_are_due() {
    let mut group = group();
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    report_usage(&mut group, 2, WINDOW, &[("a", 1), ("b", 1)]);
    report_usage(&mut group, 1, WINDOW, &[("a", 5)]);
    group.wait(Duration::from_secs(8));
    expect_that!(reports_of_window(&mut group), is_empty());
    group.wait(Duration::from_secs(2));
    let reports = reports_of_window(&mut group);
    expect_that!(reports, len(eq(1)));
    expect_that!(reports[0].counts, eq(&counts(&[("a", 6), ("b", 1)])));
    expect_that!(reports[0].holder.node.as_str(), eq("coordinator-a"));
}

#[gtest]
fn an_unanswered_report_is_sent_again_just_as_it_was_and_an_answered_one_is_not() {
    let mut group = group();
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    group.wait(Duration::from_secs(10));
    let first = reports_of_window(&mut group);
    // A late report of a gateway no longer changes the counts.
    report_usage(&mut group, 1, WINDOW, &[("a", 4)]);
    answer(&mut group, UsageWindow(WINDOW), ProviderAnswer::Unknown);
    group.wait(Duration::from_secs(1));
    let second = reports_of_window(&mut group);
    expect_that!(second, eq(&first));
    answer(&mut group, UsageWindow(WINDOW), ProviderAnswer::Done);
    group.wait(Duration::from_secs(5));
    expect_that!(reports_of_window(&mut group), is_empty());
}

/// The previous holder may already have sent the report: a successor that computed the sums again
/// could send a different one for the same window.
#[gtest]
fn a_successor_sends_the_very_report_that_was_committed() {
    let mut group = group();
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    group.wait(Duration::from_secs(10));
    let first = reports_of_window(&mut group);
    group.change_leader("coordinator-b");
    group.event(Event::TimeAgreed(WallTime(START + 10_000)));
    report_usage(&mut group, 1, WINDOW, &[("a", 9)]);
    // The new leader first waits for the handover time of the previous holder.
    group.wait(Duration::from_secs(2));
    expect_that!(reports_of_window(&mut group), is_empty());
    group.wait(Duration::from_secs(3));
    let second = reports_of_window(&mut group);
    expect_that!(second, not(is_empty()));
    expect_that!(second[0].counts, eq(&first[0].counts));
    expect_that!(second[0].holder.node.as_str(), eq("coordinator-b"));
    expect_that!(second[0].holder.fence, eq(Epoch(2)));
}

/// Another holder has acted with a higher fencing token: this one does not call again.
#[gtest]
fn a_holder_that_was_refused_by_its_token_stops() {
    let mut group = group();
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    group.wait(Duration::from_secs(10));
    let reports = take_reports(&mut group);
    expect_that!(reports, not(is_empty()));
    for report in reports {
        answer(&mut group, report.window, ProviderAnswer::Conflict);
    }
    group.wait(Duration::from_secs(30));
    expect_that!(take_reports(&mut group), is_empty());
}

/// The reported counts of a gateway that was killed remain valid even if the leader fails
/// afterwards.
#[gtest]
fn counts_of_a_gateway_that_is_gone_survive_the_leader() {
    let mut group = group();
    group.add_gateway(1);
    group.add_gateway(2);
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    report_usage(&mut group, 2, WINDOW, &[("a", 2)]);
    group.event(Event::GatewayDisconnected {
        gateway: GatewayId(1),
        silence: Duration::ZERO,
    });
    group.change_leader("coordinator-b");
    group.event(Event::TimeAgreed(WallTime(START + 2_000)));
    report_usage(&mut group, 2, WINDOW, &[("a", 4)]);
    group.wait(Duration::from_secs(10));
    let reports = reports_of_window(&mut group);
    expect_that!(reports, not(is_empty()));
    expect_that!(reports[0].counts, eq(&counts(&[("a", 7)])));
}

/// A gateway that reconnects reports its totals again: they count once.
#[gtest]
fn a_reconnected_gateway_counts_once() {
    let mut group = group();
    group.add_gateway(1);
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    group.event(Event::GatewayDisconnected {
        gateway: GatewayId(1),
        silence: Duration::ZERO,
    });
    group.connect_gateway(1);
    report_usage(&mut group, 1, WINDOW, &[("a", 5)]);
    group.wait(Duration::from_secs(10));
    expect_that!(
        reports_of_window(&mut group)[0].counts,
        eq(&counts(&[("a", 5)]))
    );
}

/// A provider that is unreachable for half a minute finally receives the report of every window, a
/// few at a time.
#[gtest]
fn reports_wait_while_the_provider_is_away() {
    let mut group = group();
    let mut sent = Vec::new();
    for _ in 0..60 {
        group.wait(Duration::from_millis(500));
        for report in take_reports(&mut group) {
            sent.push(report.window);
            answer(&mut group, report.window, ProviderAnswer::Unknown);
        }
    }
    // The backoff between two calls is up to 2 s.
    expect_that!(sent.len(), le(60));
    let mut reported = Vec::new();
    for _ in 0..40 {
        group.wait(Duration::from_millis(250));
        for report in take_reports(&mut group) {
            reported.push(report.window);
            answer(&mut group, report.window, ProviderAnswer::Done);
        }
    }
    reported.sort_unstable();
    let all: Vec<UsageWindow> = (0..6).map(|number| UsageWindow(WINDOW + number)).collect();
    expect_that!(all.iter().all(|window| reported.contains(window)), eq(true));
}

/// Guards against unreported requests: under load, those of a site's first seconds were never
/// reported, because the first window to be closed was the one before the current one, whatever had
/// been counted earlier.
#[gtest]
fn requests_counted_before_the_first_closed_window_are_reported() {
    let mut group = group();
    report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    // Leaders change so often that no window is closed for a while.
    for _ in 0..14 {
        group.wait(Duration::from_secs(1));
        group.change_leader("coordinator-a");
        let now = START + i64::try_from(group.now.as_millis()).unwrap();
        group.event(Event::TimeAgreed(WallTime(now)));
        report_usage(&mut group, 1, WINDOW, &[("a", 3)]);
    }
    group.wait(Duration::from_secs(5));
    let reports = reports_of_window(&mut group);
    expect_that!(reports, not(is_empty()));
    expect_that!(reports[0].counts, eq(&counts(&[("a", 3)])));
}
