//! A process that dies at each call of its disk in turn, around commits, snapshots, an installed
//! snapshot, a truncated log and changes of members: nothing acknowledged is lost, and no log
//! diverges.

mod support;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::crash_site::{CrashSite, Trouble, WriteKind, joiner};
use wingshore_group::Faults;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::MembershipRequest;

/// The machine that joins.
const JOINER: u64 = 4;
/// The machine that takes the place of one whose disk was lost.
const REPLACEMENT: u64 = 5;
/// Seeds of each death; they choose what of the unsynced is lost.
const SEEDS: u64 = 4;
const SECOND: Duration = Duration::from_secs(1);

/// Commits; a member that falls behind until it needs a snapshot; a leader that is cut off with
/// entries of its own, which go; a member that joins and one that leaves.
fn script(site: &mut CrashSite, joiner_crash: Option<u64>) {
    site.add(4);
    let follower = other_than(site, &[]);
    site.isolate(follower);
    site.add(20);
    site.heal();
    site.run(SECOND);
    let leader = site.await_leader();
    site.isolate(leader);
    site.add_unanswered(leader, 3);
    site.add(3);
    site.heal();
    site.run(SECOND);
    site.add_machine(JOINER, false, joiner_crash);
    site.change(&MembershipRequest::AddLearner(joiner(JOINER)));
    site.change(&MembershipRequest::Promote(ReplicaId(JOINER)));
    let leaving = other_than(site, &[JOINER]);
    site.change(&MembershipRequest::Remove(ReplicaId(leaving)));
    site.add(3);
    site.settle();
}

/// A founding member that does not lead.
fn other_than(site: &mut CrashSite, excluded: &[u64]) -> u64 {
    let leader = site.await_leader();
    (1..=3)
        .find(|id| *id != leader && !excluded.contains(id))
        .unwrap_or(1)
}

fn run(trouble: Trouble) -> CrashSite {
    let mut site = CrashSite::new(trouble);
    let joiner_crash = trouble.crash_at.filter(|_| trouble.victim == JOINER);
    script(&mut site, joiner_crash);
    site
}

/// Over all machines and all calls of their disks: how many died, and the first violation.
fn try_all(faults: Faults) -> (u32, Option<(Trouble, String)>) {
    let mut crashes = 0;
    for victim in 1..=JOINER {
        let whole = Trouble {
            victim,
            faults,
            ..Trouble::default()
        };
        for call in 1..=run(whole).calls(victim) {
            for variant in 0..2 * SEEDS {
                let trouble = Trouble {
                    crash_at: Some(call),
                    seed: variant / 2,
                    cuts_leader: variant % 2 == 1,
                    ..whole
                };
                let site = run(trouble);
                crashes += site.crashes;
                if let Some(violation) = site.violation {
                    return (crashes, Some((trouble, violation)));
                }
            }
        }
    }
    (crashes, None)
}

#[gtest]
fn the_script_reaches_every_kind_of_write() -> Result<()> {
    let site = run(Trouble::default());
    verify_that!(site.violation, none())?;
    let all = [
        WriteKind::Append,
        WriteKind::Compact,
        WriteKind::Install,
        WriteKind::Truncate,
    ];
    verify_that!(site.kinds, eq(&BTreeSet::from(all)))
}

#[gtest]
fn a_death_at_any_call_of_the_disk_loses_nothing() -> Result<()> {
    let (crashes, violation) = try_all(Faults::default());
    println!("{crashes} deaths");
    verify_that!(violation, none())?;
    verify_that!(crashes, gt(1_000))
}

/// The runs above must see a member that acknowledges what it has not written, else they prove
/// nothing.
#[gtest]
fn an_acknowledgement_before_the_write_is_caught() -> Result<()> {
    let faults = Faults {
        acknowledge_without_persist: true,
        ..Faults::default()
    };
    let (_, violation) = try_all(faults);
    println!("{violation:?}");
    verify_that!(violation, some(anything()))
}

/// A machine dies at a call, its disk is lost, another takes its place; as soon as the repair is
/// reported finished, a second machine is lost with its disk.
#[gtest]
fn a_disk_lost_at_a_call_and_a_second_one_after_the_repair_lose_nothing() -> Result<()> {
    const STEP: usize = 7;
    for victim in 1..=3 {
        let whole = Trouble {
            victim,
            ..Trouble::default()
        };
        let calls = run(whole).calls(victim);
        for call in (1..=calls).step_by(STEP) {
            let mut site = CrashSite::new(Trouble {
                crash_at: Some(call),
                ..whole
            });
            site.add(12);
            site.lose(victim);
            site.add_machine(REPLACEMENT, false, None);
            site.change(&MembershipRequest::Remove(ReplicaId(victim)));
            site.change(&MembershipRequest::AddLearner(joiner(REPLACEMENT)));
            site.change(&MembershipRequest::Promote(ReplicaId(REPLACEMENT)));
            let second = other_than(&mut site, &[victim]);
            site.lose(second);
            site.add(2);
            site.change(&MembershipRequest::Remove(ReplicaId(second)));
            site.settle();
            verify_that!((victim, call, site.violation), eq(&(victim, call, None)))?;
        }
    }
    Ok(())
}
