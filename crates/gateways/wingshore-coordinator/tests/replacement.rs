//! Guards against a group that can elect nobody after losses that it has to bear: while a silent
//! voter is replaced, a membership that counts as soon as it is appended may need the vote of an
//! identity that is lost in that moment.
//!
//! Every plan of the planner is followed step by step. At each step, for each set of members that
//! the newest entry has reached, as many disks are lost as the settings allow, and those that stood
//! still go on: somebody must then be electable, hold all that is committed, and be able to lead
//! the group back to enough voters.

mod replacement_world;

use googletest::prelude::*;
use replacement_world::{Group, Power};
use std::time::Duration;
use wingshore_types::ReplicaId;

/// Changes after which a plan that has not ended does not end.
const MAX_CHANGES: usize = 24;
/// Silence after which a voter is removed without a replacement where the group is larger than it
/// needs to be.
const LONG_SILENCE: Duration = Duration::from_secs(9);

/// Returns all subsets of `all` with at most `most` elements.
fn subsets(all: &[ReplicaId], most: usize) -> Vec<Vec<ReplicaId>> {
    let mut found = vec![Vec::new()];
    for id in all {
        let larger = found.iter().filter(|subset| subset.len() < most);
        let larger: Vec<Vec<ReplicaId>> = larger
            .map(|subset| [subset.as_slice(), &[*id]].concat())
            .collect();
        found.extend(larger);
    }
    found
}

fn ids_with(group: &Group, power: Power) -> Vec<ReplicaId> {
    let powers = group.powers().into_iter();
    powers
        .filter(|(_, one)| *one == power)
        .map(|(id, _)| id)
        .collect()
}

/// Follows the plans of the leader until there is none, with all members that run; fails if it does
/// not end with a whole group.
fn follow_to_the_end(group: &mut Group, story: &str) -> Result<()> {
    for _ in 0..MAX_CHANGES {
        verify_that!(group.replicate_to_all(), eq(true))
            .with_failure_message(|| format!("{story}: nothing is committed any more"))?;
        let Some(request) = group.plan() else {
            return verify_that!(group.is_whole(), eq(true))
                .with_failure_message(|| format!("{story}: ends with {:?}", group.membership()));
        };
        group.append(&request);
    }
    verify_that!(group.plan(), none())
        .with_failure_message(|| format!("{story}: changes without end"))
}

/// Loses disks, lets all others run, and follows each leader that can be elected.
fn check_losses(group: &Group, losses: &[ReplicaId], story: &str) -> Result<()> {
    let mut after = group.clone();
    for id in losses {
        after.set_power(*id, Power::Lost);
    }
    after.wake_all();
    after.return_lost();
    let story = format!("{story}, then {losses:?} lost");
    let electable = after.electable();
    verify_that!(electable.len(), gt(0))
        .with_failure_message(|| format!("{story}: nobody can be elected"))?;
    for leader in electable {
        verify_that!(after.holds_committed(leader), eq(true))
            .with_failure_message(|| format!("{story}: {leader:?} lacks committed entries"))?;
        let mut led = after.clone();
        led.elect(leader);
        follow_to_the_end(&mut led, &format!("{story}, {leader:?} leads"))?;
    }
    Ok(())
}

/// Checks all losses that the settings still allow, for each set of members that have the newest
/// entry. A leader sends it to no one that it removes.
fn check_step(group: &Group, losses_borne: usize, story: &str) -> Result<()> {
    let lost = ids_with(group, Power::Lost).len();
    let running = ids_with(group, Power::Running);
    let others: Vec<ReplicaId> = running
        .iter()
        .copied()
        .filter(|id| *id != group.leader() && group.is_member(*id))
        .collect();
    let frozen = ids_with(group, Power::Frozen);
    let may_be_lost = [running.as_slice(), &frozen].concat();
    for reached in subsets(&others, others.len()) {
        let mut partly = group.clone();
        partly.replicate(&reached);
        for losses in subsets(&may_be_lost, losses_borne.saturating_sub(lost)) {
            let story = format!("{story}, entry at {reached:?}");
            check_losses(&partly, &losses, &story)?;
        }
    }
    Ok(())
}

/// Follows the plans of a group, checking the losses at each step. Where nothing can be committed,
/// those that stand still go on.
fn check_plan(group: &mut Group, losses_borne: usize, story: &str) -> Result<()> {
    let mut story = story.to_owned();
    for _ in 0..MAX_CHANGES {
        check_step(group, losses_borne, &story)?;
        if !group.replicate_to_all() {
            group.wake_all();
            verify_that!(group.replicate_to_all(), eq(true))
                .with_failure_message(|| format!("{story}: nothing is committed any more"))?;
        }
        let Some(request) = group.plan() else {
            return Ok(());
        };
        group.append(&request);
        story = format!("{story}, {request:?}");
    }
    verify_that!(group.plan(), none())
        .with_failure_message(|| format!("{story}: changes without end"))
}

/// Checks the plans of each group with so many voters and learners, for each leader, and for each
/// set of up to `most_frozen` other members that stand still.
fn check_groups(losses_borne: usize, voters: u64, learners: u64, most_frozen: usize) -> Result<()> {
    for leader in 1..=voters {
        let others: Vec<ReplicaId> = (1..=voters + learners)
            .filter(|id| *id != leader)
            .map(ReplicaId)
            .collect();
        for frozen in subsets(&others, most_frozen) {
            let mut group = Group::new(losses_borne, voters, learners, leader);
            for id in &frozen {
                group.set_power(*id, Power::Frozen);
            }
            let story = format!("{voters}+{learners}, leader {leader}, {frozen:?} frozen");
            check_plan(&mut group, losses_borne, &story)?;
        }
    }
    Ok(())
}

#[gtest]
fn no_loss_during_a_replacement_of_one_of_three_voters_ends_the_group() -> Result<()> {
    check_groups(1, 3, 1, 2)?;
    check_groups(1, 3, 2, 2)
}

#[gtest]
fn no_loss_during_a_replacement_in_a_group_larger_than_needed_ends_it() -> Result<()> {
    check_groups(1, 4, 1, 1)?;
    check_groups(1, 5, 1, 2)
}

#[gtest]
fn no_two_losses_during_a_replacement_of_one_of_five_voters_end_the_group() -> Result<()> {
    check_groups(2, 5, 1, 1)
}

#[gtest]
fn no_loss_during_the_growth_of_a_group_ends_it() -> Result<()> {
    check_groups(1, 3, 3, 1)
}

#[gtest]
fn no_loss_while_a_group_shrinks_ends_it() -> Result<()> {
    for frozen in 2..=5 {
        let mut group = Group::new(1, 5, 0, 1);
        group.silence = LONG_SILENCE;
        group.set_power(ReplicaId(frozen), Power::Frozen);
        check_plan(&mut group, 1, &format!("5+0, {frozen} frozen"))?;
        verify_that!(group.is_whole(), eq(true))?;
    }
    Ok(())
}

#[gtest]
fn a_silent_voter_is_replaced_without_fewer_voters_in_any_log() -> Result<()> {
    for (losses_borne, voters) in [(1, 3), (2, 5), (3, 7)] {
        for learners in 1..=2 {
            let mut group = Group::new(losses_borne, voters, learners, 1);
            group.set_power(ReplicaId(2), Power::Frozen);
            follow_to_the_end(&mut group, &format!("{voters}+{learners}"))?;
            verify_that!(group.fewest_voters(), eq(voters as usize))?;
        }
    }
    Ok(())
}

/// The voter that stood still may go on between the two changes: there is one voter too many then,
/// and none is silent.
#[gtest]
fn a_voter_that_goes_on_between_the_two_changes_leaves_an_odd_number() -> Result<()> {
    let mut group = Group::new(1, 3, 1, 1);
    group.set_power(ReplicaId(2), Power::Frozen);
    let first = group.plan().expect("a change");
    group.append(&first);
    group.wake_all();
    follow_to_the_end(&mut group, "a voter goes on")?;
    verify_that!(group.membership().voters.len(), eq(3))
}

#[gtest]
fn no_loss_during_a_retirement_ends_the_group() -> Result<()> {
    for leader in 1..=3 {
        for retired in 1..=4 {
            let mut group = Group::new(1, 3, 1, leader);
            group.retired.insert(ReplicaId(retired));
            let story = format!("leader {leader}, {retired} retires");
            let others = (1..=3).filter(|id| *id != leader && *id != retired);
            for frozen in others.collect::<Vec<u64>>() {
                let mut group = group.clone();
                group.set_power(ReplicaId(frozen), Power::Frozen);
                check_plan(&mut group, 1, &format!("{story}, {frozen} frozen"))?;
            }
            check_plan(&mut group, 1, &story)?;
        }
    }
    Ok(())
}

/// A lost disk is removed first: its vote was lost with it, so that as many of those that are left
/// are needed after the removal as before. One more member may stand still meanwhile.
#[gtest]
fn a_lost_disk_is_replaced_while_another_member_stands_still() -> Result<()> {
    for (losses_borne, voters) in [(1, 3), (2, 5)] {
        for (lost, frozen) in [(2, 3), (3, 2), (2, voters + 1)] {
            let mut group = Group::new(losses_borne, voters, 1, 1);
            group.set_power(ReplicaId(frozen), Power::Frozen);
            group.set_power(ReplicaId(lost), Power::Lost);
            group.return_lost();
            let story = format!("{voters}+1, {lost} lost, {frozen} frozen");
            check_plan(&mut group, losses_borne, &story)?;
            group.wake_all();
            follow_to_the_end(&mut group, &story)?;
        }
    }
    Ok(())
}
