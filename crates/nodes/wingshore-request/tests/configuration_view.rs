//! The node's copy of the configuration: its revision never decreases, and its lease expires in
//! time.

mod common;

use common::{configuration, put_server, put_service, run_property};
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use std::time::Duration;
use wingshore_request::{
    ConfigurationView, NotAdmitted, UpdateOutcome, WatchPosition, WithoutLease,
};
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::protocol::control::ConfigurationUpdate;
use wingshore_types::{Instant, Revision};

const LEASE: Duration = Duration::from_secs(3);

/// Returns the committed changes of revisions 1, 2, and so on up to `length`.
fn history(length: u16) -> Vec<ConfigurationChange> {
    std::iter::once(put_service())
        .chain((1..length).map(put_server))
        .collect()
}

fn at_revision(history: &[ConfigurationChange], revision: usize) -> Configuration {
    let mut configuration = Configuration::default();
    for change in &history[..revision] {
        configuration.apply(change).expect("the history fits");
    }
    configuration
}

fn delta(history: &[ConfigurationChange], from: usize, to: usize) -> ConfigurationUpdate {
    ConfigurationUpdate::Delta {
        from: Revision(from as u64),
        changes: history[from..to].to_vec(),
    }
}

fn snapshot(history: &[ConfigurationChange], revision: usize) -> ConfigurationUpdate {
    ConfigurationUpdate::Snapshot(Box::new(at_revision(history, revision)))
}

#[derive(Clone, Debug)]
enum ReceivedUpdate {
    Unchanged,
    Delta { from: usize, length: usize },
    Snapshot { revision: usize },
}

const REVISIONS: usize = 12;

fn arrivals() -> impl Strategy<Value = Vec<(u64, ReceivedUpdate)>> {
    let arrival = prop_oneof![
        Just(ReceivedUpdate::Unchanged),
        (0..REVISIONS, 0..4_usize)
            .prop_map(|(from, length)| ReceivedUpdate::Delta { from, length }),
        (0..=REVISIONS).prop_map(|revision| ReceivedUpdate::Snapshot { revision }),
    ];
    vec((0..20_000_u64, arrival), 1..40)
}

#[gtest]
fn updates_in_any_order_never_decrease_the_revision_and_yield_committed_states() {
    let history = history(REVISIONS as u16);
    let outcome = run_property(512, arrivals(), |arrivals| {
        let mut view = ConfigurationView::new(WithoutLease::Refuse);
        for (sent_ms, arrival) in arrivals {
            let before = view.revision();
            let update = match arrival {
                ReceivedUpdate::Unchanged => ConfigurationUpdate::Unchanged,
                ReceivedUpdate::Delta { from, length } => {
                    delta(&history, from, (from + length).min(REVISIONS))
                }
                ReceivedUpdate::Snapshot { revision } => snapshot(&history, revision),
            };
            view.apply(Instant::from_millis(sent_ms), update, LEASE);
            let committed = at_revision(&history, view.revision().0 as usize);
            proptest::prop_assert!(view.revision() >= before);
            proptest::prop_assert_eq!(view.configuration().as_ref(), &committed);
            proptest::prop_assert_eq!(view.watch_position().in_force, view.revision());
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[gtest]
fn lease_starts_when_the_watch_is_sent_and_is_never_shortened() {
    let sent = vec((0..100_000_u64, any::<bool>()), 1..20);
    let outcome = run_property(512, sent, |watches| {
        let mut view = ConfigurationView::new(WithoutLease::Refuse);
        let mut granted = None;
        for (sent_ms, is_misfit) in watches {
            let sent_at = Instant::from_millis(sent_ms);
            let update = if is_misfit {
                ConfigurationUpdate::Delta {
                    from: Revision(77),
                    changes: Vec::new(),
                }
            } else {
                snapshot(&history(2), 2)
            };
            view.apply(sent_at, update, LEASE);
            if !is_misfit {
                granted = granted.max(Some(sent_at + LEASE));
            }
            let Some(until) = granted else {
                proptest::prop_assert!(!view.holds_lease(Instant::ZERO));
                continue;
            };
            proptest::prop_assert!(view.holds_lease(until - Duration::from_nanos(1)));
            proptest::prop_assert!(!view.holds_lease(until));
            proptest::prop_assert_eq!(view.may_admit(until), Err(NotAdmitted::LeaseExpired));
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[gtest]
fn inapplicable_update_requests_a_snapshot() {
    let history = history(8);
    let mut view = ConfigurationView::new(WithoutLease::Refuse);
    let now = Instant::from_millis(1);
    view.apply(now, snapshot(&history, 3), LEASE);
    let outcome = view.apply(now, delta(&history, 5, 6), LEASE);
    expect_that!(outcome, eq(UpdateOutcome::Inapplicable));
    expect_that!(
        view.watch_position(),
        eq(WatchPosition {
            have: Revision(0),
            in_force: Revision(3),
        })
    );
    let outcome = view.apply(now, delta(&history, 0, 8), LEASE);
    expect_that!(
        outcome,
        eq(UpdateOutcome::Advanced {
            from: Revision(3),
            to: Revision(8),
        })
    );
    expect_that!(view.watch_position().have, eq(Revision(8)));
}

#[gtest]
fn invalid_changes_are_not_applied() {
    let mut view = ConfigurationView::new(WithoutLease::Refuse);
    let now = Instant::from_millis(1);
    let update = ConfigurationUpdate::Delta {
        from: Revision(0),
        changes: vec![put_server(1)],
    };
    expect_that!(
        view.apply(now, update, LEASE),
        eq(UpdateOutcome::Inapplicable)
    );
    expect_that!(view.revision(), eq(Revision(0)));
    expect_that!(view.may_admit(now), err(eq(NotAdmitted::NoConfiguration)));
}

#[gtest]
fn admission_without_a_lease_follows_the_setting() {
    let cases = [
        (WithoutLease::Refuse, Err(NotAdmitted::LeaseExpired)),
        (WithoutLease::Serve, Ok(())),
    ];
    for (setting, expected) in cases {
        let mut view = ConfigurationView::new(setting);
        let before_update = view.may_admit(Instant::ZERO);
        expect_that!(before_update, err(eq(NotAdmitted::NoConfiguration)));
        let snapshot = ConfigurationUpdate::Snapshot(Box::new(configuration(1)));
        view.apply(Instant::ZERO, snapshot, LEASE);
        expect_that!(view.may_admit(Instant::ZERO), ok(anything()));
        expect_that!(view.may_admit(Instant::ZERO + LEASE), eq(expected));
    }
}
