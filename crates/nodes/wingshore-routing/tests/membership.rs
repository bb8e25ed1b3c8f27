//! Tests of each source that decides whether a server may get new requests.

mod support;

use googletest::prelude::*;
use support::*;
use wingshore_routing::{AttemptOutcome, RefusalCode, Router};
use wingshore_types::Revision;
use wingshore_types::configuration::Admission;

type Step = fn(&mut Router);

fn drain_by_configuration(router: &mut Router) {
    let changed = with_admission(&site(2, 1, 8, 500), 0, Admission::Draining);
    router.on_configuration(at(10), &changed);
}

fn leave_by_list(router: &mut Router) {
    router.on_machine_list(at(10), &machine_list(5, &[0], &[1]));
}

fn drain_by_state(router: &mut Router) {
    router.on_engine_state(at(10), &server_id(0), &state(1, Some(VERSION), true));
}

fn refuse_once(router: &mut Router) {
    let mut request = live();
    request.excluded = vec![server_id(1)];
    let admitted = router.admit(at(10), &request).expect("server 0 is open");
    router.on_finished(at(10), admitted.ticket, AttemptOutcome::Refused);
}

fn fail_probes(router: &mut Router) {
    for round in 1..=3 {
        router.on_probe_failed(at(round * 1000), &server_id(0));
    }
}

fn remove(router: &mut Router) {
    let mut changed = site(2, 1, 8, 500);
    changed.revision = Revision(2);
    changed.servers.remove(&server_id(0));
    router.on_configuration(at(10), &changed);
}

#[gtest]
fn any_single_source_stops_new_work_at_once() {
    let cases: [(&str, Step); 6] = [
        ("configuration", drain_by_configuration),
        ("machine list", leave_by_list),
        ("own state", drain_by_state),
        ("own refusal", refuse_once),
        ("probes", fail_probes),
        ("removal", remove),
    ];
    for (name, step) in cases {
        let mut router = router(&site(2, 1, 8, 500));
        step(&mut router);
        let admitted = admit_all(&mut router, at(150), &live(), 100);
        expect_that!(count_on(&admitted, 0), eq(0), "{name}");
        expect_that!(admitted.len(), gt(0), "{name}");
    }
}

#[gtest]
fn open_state_does_not_override_a_leaving_report() {
    let mut router = router(&site(1, 1, 8, 500));
    leave_by_list(&mut router);
    router.on_engine_state(at(20), &server_id(0), &state(1, Some(VERSION), false));
    let refusal = router
        .admit(at(30), &live())
        .expect_err("the server is leaving");
    expect_that!(refusal.code, eq(RefusalCode::NoServer));
    expect_that!(refusal.retry_after, some(anything()));
}

#[gtest]
fn older_machine_list_or_configuration_is_ignored() {
    let site = site(1, 1, 8, 500);
    let mut router = router(&site);
    router.on_machine_list(at(10), &machine_list(5, &[0], &[]));
    router.on_machine_list(at(20), &machine_list(4, &[], &[0]));
    expect_that!(router.admit(at(30), &live()), err(anything()));
    router.on_machine_list(at(40), &machine_list(6, &[], &[0]));
    expect_that!(router.admit(at(50), &live()), ok(anything()));

    let draining = with_admission(&site, 0, Admission::Draining);
    router.on_configuration(at(60), &draining);
    router.on_configuration(at(70), &site);
    expect_that!(router.admit(at(80), &live()), err(anything()));
}

#[gtest]
fn server_missing_from_the_machine_list_stays_open() {
    let mut router = router(&site(1, 1, 8, 500));
    router.on_machine_list(at(10), &machine_list(5, &[], &[]));
    expect_that!(router.admit(at(20), &live()), ok(anything()));
}

#[gtest]
fn leaving_machine_is_known_before_its_server_is_configured() {
    let site = site(1, 1, 8, 500);
    let mut router = wingshore_routing::Router::new(Default::default(), "zone-0".into(), SEED);
    router.on_machine_list(at(0), &machine_list(5, &[0], &[]));
    router.on_configuration(at(10), &site);
    expect_that!(router.admit(at(20), &live()), err(anything()));
}

#[gtest]
fn probes_of_one_round_count_once_and_successful_rounds_restore_health() {
    let mut router = router(&site(1, 1, 8, 500));
    for _ in 0..9 {
        router.on_probe_failed(at(1000), &server_id(0));
    }
    expect_that!(router.admit(at(1001), &live()), ok(anything()));
    router.on_probe_failed(at(2000), &server_id(0));
    router.on_probe_failed(at(3000), &server_id(0));
    expect_that!(router.admit(at(3001), &live()), err(anything()));
    router.on_load(at(4000), &server_id(0), &load(0, 0, 0));
    expect_that!(router.admit(at(4001), &live()), err(anything()));
    router.on_load(at(5000), &server_id(0), &load(0, 0, 0));
    expect_that!(router.admit(at(5001), &live()), ok(anything()));
}

#[gtest]
fn refusal_backoff_doubles_and_resets_after_a_success() {
    let mut router = router(&site(1, 1, 8, 500));
    let mut now = 0;
    for backoff in [200, 400, 800, 1600, 3200, 5000, 5000] {
        let admitted = router
            .admit(at(now), &live())
            .expect("the backoff has ended");
        router.on_finished(at(now), admitted.ticket, AttemptOutcome::Refused);
        expect_that!(
            router.admit(at(now + backoff - 1), &live()),
            err(anything())
        );
        now += backoff;
    }
    let admitted = router
        .admit(at(now), &live())
        .expect("the backoff has ended");
    router.on_finished(at(now), admitted.ticket, success(1));
    let admitted = router.admit(at(now), &live()).expect("the server is open");
    router.on_finished(at(now), admitted.ticket, AttemptOutcome::Refused);
    expect_that!(router.admit(at(now + 200), &live()), ok(anything()));
}

#[gtest]
fn removed_server_is_released_when_its_requests_end() {
    let both = site(2, 1, 8, 500);
    let mut router = router(&both);
    let mut request = live();
    request.excluded = vec![server_id(1)];
    let admitted = router.admit(at(0), &request).expect("server 0 is open");
    remove(&mut router);
    expect_that!(router.server_view(at(20), &server_id(0)), none());
    router.on_finished(at(30), admitted.ticket, success(30));
    router.on_finished(at(31), admitted.ticket, success(30));

    let mut again = both;
    again.revision = Revision(3);
    router.on_configuration(at(40), &again);
    let view = router
        .server_view(at(50), &server_id(0))
        .expect("the server is configured again");
    expect_that!((view.live, view.open, view.version), eq((0, true, None)));
}
