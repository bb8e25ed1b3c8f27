//! Tests of how the pace of engines is learned from the progress of their streams.
//!
//! The pace is read where an operator reads it: in the log line of an item that is assigned to the
//! engine.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{Group, engine, job};
use wingshore_coordination::{
    Decision, Effect, Event, GatewayId, ItemAssignment, ItemProgress, ModelVersion, Request,
};

/// Time between two progress reports of a gateway.
const REPORT_PERIOD: Duration = Duration::from_millis(400);
const USUAL_MS: u64 = 20;

/// A group with one engine that runs one item.
struct Site {
    group: Group,
    item: ItemAssignment,
    gateway: GatewayId,
    events: u64,
    jobs: u32,
}

impl Site {
    fn new() -> Self {
        let (mut group, gateway) = Group::with_job(1);
        let item = group.assignments().remove(0);
        let mut site = Self {
            group,
            item,
            gateway,
            events: 1,
            jobs: 0,
        };
        site.report();
        site
    }

    fn report(&mut self) {
        self.group.event(Event::ItemsProgressed(vec![ItemProgress {
            assignment: self.item.assignment,
            events: self.events,
        }]));
    }

    /// Runs the item for one report period at this pace, and reports its progress.
    fn run(&mut self, pace_ms: u64) {
        self.group.now = self.group.now + REPORT_PERIOD;
        self.events += REPORT_PERIOD.as_millis() as u64 / pace_ms;
        self.report();
    }

    /// Returns the engine's pace in milliseconds, as logged for an item assigned to it now.
    fn logged_pace(&mut self) -> Option<f64> {
        self.jobs += 1;
        self.group.effects.clear();
        let name = format!("next-{}", self.jobs);
        self.group.ask(Request::SubmitJob(job(&name, 1)));
        let effects = self.group.effects.drain(..);
        let mut paces = effects.filter_map(|effect| match effect {
            Effect::Log(Decision::ItemAssigned { engine_pace_us, .. }) => Some(engine_pace_us),
            _ => None,
        });
        let pace = paces.next().expect("the item is assigned");
        drop(paces);
        self.group.ask(Request::EndJob(name.as_str().into()));
        pace.map(|pace| pace as f64 / 1000.0)
    }
}

#[gtest]
fn a_changed_speed_is_noticed_within_two_reports() {
    let mut site = Site::new();
    for _ in 0..5 {
        site.run(USUAL_MS);
    }
    expect_that!(site.logged_pace(), some(near(20.0, 1.0)));
    site.run(4 * USUAL_MS);
    site.run(4 * USUAL_MS);
    expect_that!(site.logged_pace(), some(near(80.0, 4.0)));
    site.run(USUAL_MS);
    site.run(USUAL_MS);
    expect_that!(site.logged_pace(), some(near(20.0, 1.0)));
}

#[gtest]
fn one_slow_report_is_no_change_of_speed() {
    let mut site = Site::new();
    for _ in 0..5 {
        site.run(USUAL_MS);
    }
    for _ in 0..3 {
        site.run(3 * USUAL_MS);
        expect_that!(site.logged_pace(), some(near(20.0, 1.0)));
        site.run(USUAL_MS);
    }
    expect_that!(site.logged_pace(), some(near(20.0, 1.0)));
}

#[gtest]
fn the_pace_is_kept_over_jobs_and_loads_of_weights() {
    let mut site = Site::new();
    for _ in 0..5 {
        site.run(USUAL_MS);
    }
    site.group.ask(Request::EndJob("j".into()));
    let mut loaded = engine("e1", 1);
    loaded.models = vec![ModelVersion {
        model: "m".into(),
        version: 2,
    }];
    site.group.heartbeat(loaded);
    site.group.wait(Duration::from_secs(3));
    expect_that!(site.logged_pace(), some(near(20.0, 1.0)));
}

#[gtest]
fn the_pace_is_forgotten_with_the_incarnation() {
    let mut site = Site::new();
    for _ in 0..5 {
        site.run(USUAL_MS);
    }
    let name = site.item.instance.name().clone();
    site.group.ask(Request::Deregister(name));
    site.group.heartbeat(engine("e1@2", 1));
    site.group.event(Event::ItemEnded {
        gateway: site.gateway,
        assignment: site.item.assignment,
        item: site.item.item.clone(),
        outcome: wingshore_coordination::ItemOutcome::Finished(Default::default()),
    });
    expect_that!(site.logged_pace(), none());
}
