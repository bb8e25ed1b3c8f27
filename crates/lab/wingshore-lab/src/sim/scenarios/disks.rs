//! Disks and storage calls that fail, and disks that are lost.

use super::Scenario;
use super::faults::{Fault, is_done_answer};
use crate::sim::site::{Site, SiteSettings};
use crate::sim::slot::{Trap, TrapAction};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for a repair while nothing else is wrong.
const REPAIR_LIMIT: Duration = Duration::from_secs(30);

/// A site of three replicas with operators at work.
const WORKING: SiteSettings = SiteSettings {
    replicas: 3,
    watchers: 1,
    operators: 3,
    racers: 0,
    changes: 12,
    engines: 0,
};

/// The scenarios of this file.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario::control("storage-kills", WORKING, storage_kills),
        Scenario::control("sync-failures", WORKING, sync_failures),
        Scenario::control("disk-lost", WORKING, disk_lost),
        Scenario::control("second-machine-lost", WORKING, second_machine_lost),
        Scenario::control(
            "power-lost",
            SiteSettings {
                changes: 60,
                ..WORKING
            },
            power_lost,
        ),
    ]
}

/// Replicas die in storage calls around commits, one after another and together.
fn storage_kills(site: &mut Site) {
    for _ in 0..6 {
        Fault::StorageKill.strike(site);
        if site.world.random().random_bool(0.3) {
            Fault::StorageKill.strike(site);
        }
        site.world.pause(100, 1_500);
        site.heal();
    }
}

fn sync_failures(site: &mut Site) {
    for _ in 0..4 {
        Fault::SyncFailure.strike(site);
        site.world.pause(100, 1_500);
        site.heal();
    }
}

/// A member is behind, another loses its disk, and the third is cut off: the two that are left
/// must not decide anything by themselves, for what was acknowledged is on neither.
fn disk_lost(site: &mut Site) {
    let [behind, lost, whole] = shuffled(site);
    let kind = site.world.any_cut();
    site.world.isolate(behind, kind);
    site.world.pause(300, 2_000);
    let Some(old) = site.lose_disk(lost) else {
        return;
    };
    let kind = site.world.any_cut();
    site.world.isolate(whole, kind);
    site.world.rejoin(behind);
    site.world.cut(behind, whole, kind);
    site.world.cut(whole, behind, kind);
    site.world.start(lost);
    site.world.pause(500, 4_000);
    site.world.rejoin(whole);
    if site.world.random().random_bool(0.5) {
        site.world.pause(0, 2_000);
    }
    site.repair(lost, old);
    site.world.pause(100, 3_000);
}

/// A second machine is lost for good right after the repair of the first has finished.
fn second_machine_lost(site: &mut Site) {
    let [first, second, _] = shuffled(site);
    site.world.pause(100, 1_500);
    let Some(old) = site.lose_disk(first) else {
        return;
    };
    site.world.start(first);
    site.repair(first, old);
    let repairs = site.repairs.clone();
    if !site.world.run_until(REPAIR_LIMIT, |_| repairs.are_done()) {
        return;
    }
    let Some(old) = site.lose_disk(second) else {
        return;
    };
    site.world.pause(100, 3_000);
    site.world.start(second);
    site.repair(second, old);
    site.world.pause(100, 3_000);
}

/// All machines lose power at once; two of three come back first, and decide by what they find.
fn power_lost(site: &mut Site) {
    for _ in 0..6 {
        site.world.pause(50, 800);
        let mut order = shuffled(site);
        if site.world.random().random_bool(0.7) {
            let leader = site.leader();
            lose_leader_after_answer(site, leader);
            order.sort_by_key(|replica| *replica == leader);
        }
        for replica in site.replicas.clone() {
            site.world.kill(replica, false);
        }
        site.world.pause(10, 1_000);
        let [first, second, _] = order;
        site.world.start(first);
        site.world.start(second);
        site.world.pause(500, 2_000);
        site.heal();
    }
}

/// The leader dies right after it has told an operator that a plan is done.
fn lose_leader_after_answer(site: &mut Site, leader: SocketAddr) {
    let trap = Trap::new(is_done_answer, 0, TrapAction::KillAfter);
    site.world.set_trap(leader, trap);
    let limit = Duration::from_secs(1);
    site.world.run_until(limit, |world| !world.has_trap(leader));
}

fn shuffled(site: &mut Site) -> [SocketAddr; 3] {
    let mut replicas = [site.replicas[0], site.replicas[1], site.replicas[2]];
    for last in [2, 1] {
        let other = site.world.random().random_range(0..=last);
        replicas.swap(last, other);
    }
    replicas
}
