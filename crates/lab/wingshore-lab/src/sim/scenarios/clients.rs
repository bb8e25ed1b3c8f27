//! Operators who race, and processes that return after many changes.

use super::Scenario;
use super::faults::Fault;
use crate::sim::site::{Kind, Site, SiteSettings, address};
use rand::RngExt;
use std::time::Duration;
use wingshore_types::configuration::{Admission, ConfigurationChange, Server};
use wingshore_types::protocol::control::Intent;
use wingshore_types::{ServerId, ZoneId};

/// Changes that a process misses.
const MISSED_CHANGES: usize = 500;
/// Changes of one intent.
const CHANGES_PER_INTENT: usize = 25;
/// Longest time for all of them.
const CHANGES_LIMIT: Duration = Duration::from_secs(60);

/// A site whose operators race for the same server.
const RACING: SiteSettings = SiteSettings {
    replicas: 3,
    watchers: 1,
    operators: 0,
    racers: 4,
    changes: 8,
    engines: 0,
};

/// A site with watchers, whose configuration only the scenario changes.
const FOLLOWING: SiteSettings = SiteSettings {
    watchers: 4,
    racers: 0,
    changes: 0,
    ..RACING
};

/// The scenarios of this file.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario::control("racing-operators", RACING, racing_operators),
        Scenario::control("back-after-500-changes", FOLLOWING, back_after_many_changes),
        Scenario::control(
            "followers-in-trouble",
            SiteSettings {
                operators: 2,
                changes: 20,
                ..FOLLOWING
            },
            followers_in_trouble,
        ),
    ]
}

fn racing_operators(site: &mut Site) {
    site.world.pause(500, 2_000);
    if site.world.random().random_bool(0.5) {
        Fault::LoseLeader.strike(site);
    }
    site.world.pause(500, 3_000);
}

/// A follower and a replica are away while the configuration changes 500 times.
fn back_after_many_changes(site: &mut Site) {
    let replica = site.follower();
    let kind = site.world.any_cut();
    match site.world.random().random_range(0..3) {
        0 => site.world.kill(replica, true),
        1 => site.world.isolate(replica, kind),
        _ => site.world.freeze(replica, CHANGES_LIMIT),
    }
    site.world.isolate(address(Kind::Watcher, 0), kind);
    site.world.freeze(address(Kind::Watcher, 1), CHANGES_LIMIT);
    site.world.kill(address(Kind::Watcher, 2), true);
    for batch in 0..MISSED_CHANGES / CHANGES_PER_INTENT {
        let changes = (0..CHANGES_PER_INTENT).map(|number| put_server(batch, number));
        site.task_lists[0].add(Intent::Apply(changes.collect()));
    }
    let founder = site.task_lists[0].clone();
    site.world.run_until(CHANGES_LIMIT, |_| founder.is_done());
}

/// Followers are killed, frozen and cut off while operators work.
fn followers_in_trouble(site: &mut Site) {
    for _ in 0..5 {
        let number = site.world.random().random_range(0..4);
        let watcher = address(Kind::Watcher, number);
        let kind = site.world.any_cut();
        match site.world.random().random_range(0..4) {
            0 => site.world.kill(watcher, true),
            1 => {
                let time = site.world.random().random_range(100..12_000);
                site.world.freeze(watcher, Duration::from_millis(time));
            }
            2 => site.world.isolate(watcher, kind),
            _ => Fault::draw(site).strike(site),
        }
        site.world.pause(500, 8_000);
        if site.world.random().random_bool(0.7) {
            site.heal();
        }
    }
}

fn put_server(batch: usize, number: usize) -> ConfigurationChange {
    ConfigurationChange::PutServer(Server {
        id: ServerId::new(&format!("server-{number}")),
        service: crate::sim::operator::service(),
        address: address(Kind::Engine, number),
        zone: ZoneId::new(&format!("zone-{batch}")),
        admission: Admission::Open,
    })
}
