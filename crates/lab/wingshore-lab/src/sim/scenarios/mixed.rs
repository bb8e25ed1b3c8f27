//! Two faults at once, and the same fault twice.

use super::Scenario;
use super::faults::Fault;
use crate::sim::site::{Site, SiteSettings};

/// A site of three replicas with operators and engines at work.
const WORKING: SiteSettings = SiteSettings {
    replicas: 3,
    watchers: 2,
    operators: 2,
    racers: 2,
    changes: 15,
    engines: 3,
};

/// The scenarios of this file.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario::control("two-at-once", WORKING, two_at_once),
        Scenario::control("same-twice", WORKING, same_twice),
        Scenario::control(
            "five-replicas",
            SiteSettings {
                replicas: 5,
                ..WORKING
            },
            two_at_once,
        ),
    ]
}

fn two_at_once(site: &mut Site) {
    for version in 1..=3 {
        site.move_pool(version);
        Fault::draw(site).strike(site);
        site.world.pause(0, 300);
        Fault::draw(site).strike(site);
        site.world.pause(300, 5_000);
        site.heal();
        site.world.pause(0, 1_500);
    }
}

fn same_twice(site: &mut Site) {
    for version in 1..=3 {
        site.move_pool(version);
        let fault = Fault::draw(site);
        fault.strike(site);
        site.world.pause(100, 2_500);
        fault.strike(site);
        site.world.pause(100, 2_500);
        site.heal();
        site.world.pause(0, 1_500);
    }
}
