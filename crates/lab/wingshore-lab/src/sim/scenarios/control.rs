//! The control group's leader in trouble: cut off, frozen, killed, with work in flight.

use super::Scenario;
use super::faults::{Fault, is_plan_answer};
use crate::sim::network::CutKind;
use crate::sim::replica::is_order;
use crate::sim::site::{Site, SiteSettings};
use crate::sim::slot::{Trap, TrapAction};
use rand::RngExt;
use std::time::Duration;

/// A site that moves engines while operators work.
const MOVING: SiteSettings = SiteSettings {
    engines: 6,
    operators: 1,
    changes: 6,
    ..WORKING
};

/// A site with operators at work.
const WORKING: SiteSettings = SiteSettings {
    replicas: 3,
    watchers: 2,
    operators: 2,
    racers: 1,
    changes: 12,
    engines: 0,
};

/// The scenarios of this file.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario::control("quiet", MOVING, quiet),
        Scenario::control("leader-cut-off", MOVING, leader_cut_off),
        Scenario::control("frozen-before-send", MOVING, frozen_before_send),
        Scenario::control("frozen-leader", WORKING, frozen_leader),
        Scenario::control("frozen-without-members", WORKING, frozen_without_members),
        Scenario::control("leader-without-members", WORKING, leader_without_members),
        Scenario::control("one-way-cuts", WORKING, one_way_cuts),
        Scenario::control("killed-before-answer", WORKING, killed_before_answer),
        Scenario::control("killed-while-moving", MOVING, killed_while_moving),
    ]
}

fn quiet(site: &mut Site) {
    site.move_pool(1);
    site.world.pause(1_000, 4_000);
}

/// The leader is cut off right after it has sent an order, and goes on believing.
fn leader_cut_off(site: &mut Site) {
    for version in 1..=2 {
        site.move_pool(version);
        let leader = site.leader();
        let skip = site.world.random().random_range(0..6);
        site.world
            .set_trap(leader, order_trap(skip, TrapAction::CutOffAfter));
        site.world.pause(500, 6_000);
        site.heal();
        site.world.pause(100, 2_000);
    }
}

/// The leader stands still between its lease check and the sending of an order.
fn frozen_before_send(site: &mut Site) {
    for version in 1..=2 {
        site.move_pool(version);
        let leader = site.leader();
        let skip = site.world.random().random_range(0..6);
        let time = Duration::from_millis(site.world.random().random_range(300..20_000));
        let action = TrapAction::FreezeBefore(time);
        site.world.set_trap(leader, order_trap(skip, action));
        site.world.pause(2_000, 22_000);
    }
}

/// Leaders stand still for longer and shorter than their lease.
fn frozen_leader(site: &mut Site) {
    for _ in 0..4 {
        Fault::FreezeLeader.strike(site);
        site.world.pause(300, 3_000);
    }
}

/// The leader stands still and hears nothing of the other members; when it goes on, the first it
/// finds are requests of operators who have just come.
fn frozen_without_members(site: &mut Site) {
    for _ in 0..4 {
        let leader = site.leader();
        for other in site.replicas.clone() {
            site.world.cut(leader, other, CutKind::Silent);
            site.world.cut(other, leader, CutKind::Silent);
        }
        let time = site.world.random().random_range(1_200..2_500);
        site.world.freeze(leader, Duration::from_millis(time));
        site.world.run_for(Duration::from_millis(time - 200));
        for operator in site.world.addresses("operator") {
            site.world.kill(operator, true);
            site.world.start(operator);
        }
        site.world.pause(400, 1_500);
        site.heal();
        site.world.pause(100, 1_000);
    }
}

/// The leader loses the other members, but not its callers: they still ask it.
fn leader_without_members(site: &mut Site) {
    for _ in 0..4 {
        let leader = site.leader();
        let kind = site.world.any_cut();
        for other in site.replicas.clone() {
            site.world.cut(leader, other, kind);
            site.world.cut(other, leader, kind);
        }
        site.world.pause(300, 4_000);
        site.heal();
        site.world.pause(100, 1_000);
    }
}

fn one_way_cuts(site: &mut Site) {
    for _ in 0..4 {
        Fault::OneWay.strike(site);
        if site.world.random().random_bool(0.5) {
            cut_clients_one_way(site);
        }
        site.world.pause(300, 4_000);
        site.heal();
        site.world.pause(0, 1_000);
    }
}

/// Requests reach a replica, and its answers do not come back, or the other way.
fn cut_clients_one_way(site: &mut Site) {
    let replica = site.any_replica();
    let kind = site.world.any_cut();
    let is_outgoing = site.world.random().random_bool(0.7);
    for client in site.world.addresses("operator") {
        match is_outgoing {
            true => site.world.cut(replica, client, kind),
            false => site.world.cut(client, replica, kind),
        }
    }
}

/// The leader commits an intent and dies before, or right after, it answers.
fn killed_before_answer(site: &mut Site) {
    for _ in 0..4 {
        let leader = site.leader();
        let action = match site.world.random().random_bool(0.7) {
            true => TrapAction::KillBefore,
            false => TrapAction::KillAfter,
        };
        let trap = Trap::new(
            is_plan_answer,
            site.world.random().random_range(0..4),
            action,
        );
        site.world.set_trap(leader, trap);
        site.world.pause(300, 3_000);
        site.heal();
    }
}

/// Leaders die while engines swap.
fn killed_while_moving(site: &mut Site) {
    for version in 1..=2 {
        site.move_pool(version);
        for _ in 0..2 {
            site.world.pause(200, 3_000);
            match site.world.random().random_bool(0.5) {
                true => Fault::LoseLeader.strike(site),
                false => Fault::Kill.strike(site),
            }
            site.world.pause(200, 3_000);
            site.heal();
        }
    }
}

fn order_trap(skip: u32, action: TrapAction) -> Trap {
    Trap::new(is_order, skip, action)
}
