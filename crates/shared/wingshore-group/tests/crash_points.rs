//! Crashes a process at each of its disk calls in turn, around commits, snapshots, the installation
//! of a snapshot, the truncation of a log and membership changes. No acknowledged entry may be
//! lost, and no log may diverge.

mod support;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::crash_site::{CrashSite, FaultPlan, WriteKind, joiner};
use wingshore_group::Faults;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::MembershipRequest;

/// Id of the machine that joins.
const JOINER: u64 = 4;
/// Id of the machine that replaces one whose disk was lost.
const REPLACEMENT: u64 = 5;
/// Number of seeds per crash point; the seed chooses which unsynced writes are lost.
const SEEDS: u64 = 4;
const SECOND: Duration = Duration::from_secs(1);

/// Runs the scenario of each crash: commits; a member that falls behind until it needs a snapshot;
/// a partitioned leader with entries of its own, which are truncated later; a member that joins and
/// one that leaves.
fn script(site: &mut CrashSite, joiner_crash: Option<u64>) {
    site.add(4);
    let follower = other_member(site, &[]);
    site.isolate(follower);
    site.add(20);
    site.heal();
    site.run(SECOND);
    let leader = site.wait_for_leader();
    site.isolate(leader);
    site.add_unanswered(leader, 3);
    site.add(3);
    site.heal();
    site.run(SECOND);
    site.add_machine(JOINER, false, joiner_crash);
    site.change(&MembershipRequest::AddLearner(joiner(JOINER)));
    site.change(&MembershipRequest::Promote(ReplicaId(JOINER)));
    let leaving = other_member(site, &[JOINER]);
    site.change(&MembershipRequest::Remove(ReplicaId(leaving)));
    site.add(3);
    site.settle();
}

/// Returns a founding member that is neither the leader nor in `excluded`.
fn other_member(site: &mut CrashSite, excluded: &[u64]) -> u64 {
    let leader = site.wait_for_leader();
    (1..=3)
        .find(|id| *id != leader && !excluded.contains(id))
        .unwrap_or(1)
}

fn run(plan: FaultPlan) -> CrashSite {
    let mut site = CrashSite::new(plan);
    let joiner_crash = plan.crash_at.filter(|_| plan.victim == JOINER);
    script(&mut site, joiner_crash);
    site
}

/// Runs the script with a crash at every disk call of every machine. Returns the number of crashes
/// and the first violation with its fault plan.
fn crash_at_every_disk_call(faults: Faults) -> (u32, Option<(FaultPlan, String)>) {
    let mut crashes = 0;
    for victim in 1..=JOINER {
        let base = FaultPlan {
            victim,
            faults,
            ..FaultPlan::default()
        };
        for call in 1..=run(base).disk_calls(victim) {
            for variant in 0..2 * SEEDS {
                let plan = FaultPlan {
                    crash_at: Some(call),
                    seed: variant / 2,
                    isolates_leader: variant % 2 == 1,
                    ..base
                };
                let site = run(plan);
                crashes += site.crashes;
                if let Some(violation) = site.violation {
                    return (crashes, Some((plan, violation)));
                }
            }
        }
    }
    (crashes, None)
}

#[gtest]
fn the_script_reaches_every_kind_of_write() -> Result<()> {
    let site = run(FaultPlan::default());
    verify_that!(site.violation, none())?;
    let all = [
        WriteKind::Append,
        WriteKind::Compact,
        WriteKind::Install,
        WriteKind::Truncate,
    ];
    verify_that!(site.write_kinds, eq(&BTreeSet::from(all)))
}

#[gtest]
fn a_crash_at_any_disk_call_loses_nothing() -> Result<()> {
    let (crashes, violation) = crash_at_every_disk_call(Faults::default());
    println!("{crashes} crashes");
    verify_that!(violation, none())?;
    verify_that!(crashes, gt(1_000))
}

/// Guards the sensitivity of the crash runs: they must detect a member that acknowledges entries
/// before it has written them.
#[gtest]
fn an_acknowledgement_before_the_write_is_detected() -> Result<()> {
    let faults = Faults {
        acknowledge_without_persist: true,
        ..Faults::default()
    };
    let (_, violation) = crash_at_every_disk_call(faults);
    println!("{violation:?}");
    verify_that!(violation, some(anything()))
}

/// A machine crashes at a disk call, its disk is lost and another machine replaces it. As soon as
/// the replacement is reported complete, a second machine is lost with its disk.
#[gtest]
fn losing_a_second_disk_after_the_first_is_replaced_loses_nothing() -> Result<()> {
    const STEP: usize = 7;
    for victim in 1..=3 {
        let base = FaultPlan {
            victim,
            ..FaultPlan::default()
        };
        let calls = run(base).disk_calls(victim);
        for call in (1..=calls).step_by(STEP) {
            let mut site = CrashSite::new(FaultPlan {
                crash_at: Some(call),
                ..base
            });
            site.add(12);
            site.destroy_machine(victim);
            site.add_machine(REPLACEMENT, false, None);
            site.change(&MembershipRequest::Remove(ReplicaId(victim)));
            site.change(&MembershipRequest::AddLearner(joiner(REPLACEMENT)));
            site.change(&MembershipRequest::Promote(ReplicaId(REPLACEMENT)));
            let second = other_member(&mut site, &[victim]);
            site.destroy_machine(second);
            site.add(2);
            site.change(&MembershipRequest::Remove(ReplicaId(second)));
            site.settle();
            verify_that!((victim, call, site.violation), eq(&(victim, call, None)))?;
        }
    }
    Ok(())
}
