//! Watches, configuration leases, and the revision reported as in force.

mod support;

use googletest::prelude::*;
use support::site::{POOL, Site, engine_name, set_admission};
use support::{Group, plan_of};
use wingshore_control::{ControlEvent, Faults, LeaderSettings};
use wingshore_types::Instant;
use wingshore_types::configuration::Admission;
use wingshore_types::ids::{NodeId, ReplicaId, Revision};
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, InForce, Intent, NodeAcknowledgement,
    PlanState, WatchRequest,
};

/// A lease as the leader counts it.
const COUNTED_LEASE_MS: u64 = 5_250;

/// Returns a group whose leader has led for longer than any lease.
fn group_after_any_lease() -> Group {
    let mut group = Group::new(&Site::default());
    group.advance_time(COUNTED_LEASE_MS);
    group
}

fn drain_one(group: &mut Group, number: u32) -> u64 {
    group.apply_change(set_admission(&engine_name(number), Admission::Draining));
    group.configuration().revision.0
}

#[gtest]
fn a_watch_is_answered_by_a_newer_revision_or_at_its_deadline() {
    let mut group = group_after_any_lease();
    let newest = group.configuration().revision.0;
    let behind = group.watch("a", 1, newest - 2, 1_000);
    let ControlReply::Update { update, lease_ms } = group.replies.remove(&behind).unwrap() else {
        panic!("no update");
    };
    expect_that!(lease_ms, eq(5_000));
    expect_that!(
        update,
        pat!(ConfigurationUpdate::Delta {
            from: eq(&Revision(newest - 2)),
            changes: len(eq(2))
        })
    );

    let ends = group.watch("a", 1, newest, 1_000);
    group.advance_time(900);
    expect_that!(group.replies.contains_key(&ends), eq(false));
    group.advance_time(200);
    expect_that!(
        group.replies.remove(&ends),
        some(pat!(ControlReply::Update {
            update: eq(&ConfigurationUpdate::Unchanged),
            ..
        }))
    );

    let changes = group.watch("a", 1, newest, 1_000);
    drain_one(&mut group, 0);
    expect_that!(
        group.replies.remove(&changes),
        some(pat!(ControlReply::Update {
            update: pat!(ConfigurationUpdate::Delta { .. }),
            ..
        }))
    );
}

#[gtest]
fn watches_end_before_the_lease_and_grant_none_without_acknowledgements() {
    let mut group = group_after_any_lease();
    let have = group.configuration().revision;
    let long = group.watch("a", 1, have.0, 60_000);
    let reader = group.send(ControlRequest::Watch(WatchRequest {
        have: Revision(0),
        acknowledgements: vec![],
        wait_ms: 0,
    }));
    expect_that!(
        group.replies.remove(&reader),
        some(pat!(ControlReply::Update {
            lease_ms: eq(&0),
            ..
        }))
    );
    group.advance_time(2_000);
    expect_that!(group.replies.contains_key(&long), eq(true));
}

#[gtest]
fn a_revision_is_in_force_once_each_node_with_a_lease_has_acknowledged_it() {
    let mut group = group_after_any_lease();
    let old = group.configuration().revision.0;
    group.watch("a", 1, old, 2_000);
    group.watch("b", 1, old, 2_000);
    let new = drain_one(&mut group, 0);
    let waits_for = |names: &[&str], everywhere| InForce {
        committed: Revision(new),
        everywhere: Revision(everywhere),
        waiting_for: names.iter().map(|name| NodeId::new(name)).collect(),
    };
    expect_that!(group.in_force(), eq(&waits_for(&["a", "b"], old)));
    group.watch("a", 1, new, 2_000);
    expect_that!(group.in_force(), eq(&waits_for(&["b"], old)));
    group.watch("b", 1, new, 2_000);
    expect_that!(group.in_force(), eq(&waits_for(&[], new)));
}

#[gtest]
fn a_frozen_node_delays_a_revision_no_longer_than_its_lease() {
    let mut group = group_after_any_lease();
    let old = group.configuration().revision.0;
    group.watch("frozen", 1, old, 2_000);
    let new = drain_one(&mut group, 0);
    group.advance_time(COUNTED_LEASE_MS - 1);
    expect_that!(
        group.in_force().everywhere,
        eq(Revision(old)),
        "the node may still act on it"
    );
    group.advance_time(1);
    expect_that!(group.in_force().everywhere, eq(Revision(new)));
    expect_that!(group.status().nodes, is_empty());
}

#[gtest]
fn a_new_leader_reports_nothing_in_force_until_earlier_leases_have_expired() {
    let mut group = group_after_any_lease();
    let old = group.configuration().revision.0;
    group.watch("unknown-to-the-new-leader", 1, old, 2_000);
    let new = drain_one(&mut group, 0);
    group.change_leader();
    group.watch("a", 1, new, 2_000);
    group.advance_time(COUNTED_LEASE_MS - 1);
    group.watch("a", 1, new, 2_000);
    expect_that!(group.in_force().everywhere, lt(Revision(new)));
    group.advance_time(1);
    expect_that!(group.in_force().everywhere, eq(Revision(new)));
}

#[gtest]
fn what_was_proved_and_committed_is_known_to_the_next_leader() {
    let mut group = group_after_any_lease();
    group.confirm_intent(Intent::Apply(vec![set_admission(
        &engine_name(0),
        Admission::Draining,
    )]));
    let revision = group.configuration().revision;
    group.advance_time(200);
    expect_that!(group.state.proven_in_force(), eq(revision));
    group.change_leader_by_snapshot();
    expect_that!(group.in_force().everywhere, eq(revision));
}

#[gtest]
fn the_first_leader_of_an_empty_group_has_no_earlier_leases_to_wait_for() {
    let mut group = Group::new(&Site::default());
    let newest = group.configuration().revision;
    expect_that!(group.in_force().everywhere, eq(newest));
    group.watch("a", 1, 0, 2_000);
    drain_one(&mut group, 0);
    expect_that!(group.in_force().everywhere, eq(newest));
}

#[gtest]
fn longer_leases_configured_after_the_beginning_are_waited_for() {
    let mut group = Group::new(&Site::default());
    let proven = group.in_force().everywhere;
    group.watch("a", 1, proven.0, 2_000);
    drain_one(&mut group, 0);
    group.change_leader();
    let settings = LeaderSettings {
        lease: std::time::Duration::from_secs(8),
        ..LeaderSettings::default()
    };
    group.event(ControlEvent::Configured {
        replica: ReplicaId(3),
        settings: Box::new(settings),
    });
    group.advance_time(8_399);
    expect_that!(group.in_force().everywhere, eq(proven));
    group.advance_time(1);
    expect_that!(
        group.in_force().everywhere,
        eq(group.configuration().revision)
    );
    expect_that!(group.status().leader, eq(ReplicaId(3)));
}

#[gtest]
fn an_older_process_of_a_node_keeps_its_lease_and_late_watches_lower_nothing() {
    let mut group = group_after_any_lease();
    let old = group.configuration().revision.0;
    group.watch("a", 1, old, 2_000);
    let new = drain_one(&mut group, 0);
    group.advance_time(1_000);
    group.watch("a", 2, new, 2_000);
    group.watch("a", 2, old, 2_000);
    let in_force = group.in_force();
    expect_that!(
        in_force.everywhere,
        eq(Revision(old)),
        "the process with boot 1 may still run"
    );
    expect_that!(in_force.waiting_for, elements_are![eq(&NodeId::new("a"))]);
    group.advance_time(COUNTED_LEASE_MS - 1_000);
    expect_that!(group.in_force().everywhere, eq(Revision(new)));
}

#[gtest]
fn a_relay_acknowledges_for_many_nodes_and_the_slowest_counts() {
    let mut group = group_after_any_lease();
    let old = group.configuration().revision.0;
    for node in ["node-0", "node-1", "node-2"] {
        group.watch(node, 1, old, 2_000);
    }
    let new = drain_one(&mut group, 0);
    let mut relay = |revisions: &[u64]| {
        let acknowledgement = |(number, revision): (usize, &u64)| NodeAcknowledgement {
            node: NodeId::new(&format!("node-{number}")),
            boot_id: 1,
            in_force: Revision(*revision),
        };
        group.send(ControlRequest::Watch(WatchRequest {
            have: Revision(new),
            acknowledgements: revisions.iter().enumerate().map(acknowledgement).collect(),
            wait_ms: 2_000,
        }));
        group.in_force().everywhere.0
    };
    expect_that!(relay(&[new, old, new]), eq(old));
    expect_that!(relay(&[new, new, new]), eq(new));
    expect_that!(
        relay(&[new, new, new, 0]),
        eq(new),
        "a node that starts later gets this revision or a later one"
    );
}

#[gtest]
fn a_plan_waits_until_its_change_is_in_force() {
    let mut group = group_after_any_lease();
    let old = group.configuration().revision.0;
    group.watch("a", 1, old, 2_000);
    let plan = plan_of(group.propose(Intent::Apply(vec![set_admission(
        &engine_name(0),
        Admission::Draining,
    )])));
    let running = plan_of(group.confirm(plan.id));
    expect_that!(running.state, eq(&PlanState::Running { next_step: 1 }));
    group.advance_time(1_000);
    expect_that!(
        group.plan(plan.id).state,
        eq(&PlanState::Running { next_step: 1 })
    );
    group.watch("a", 1, old + 1, 2_000);
    group.tick();
    expect_that!(group.plan(plan.id).state, eq(&PlanState::Done));
}

/// Returns whether, in a run with a frozen node, a revision was reported as in force while the node
/// could still act on an earlier one.
fn reports_too_early(faults: Faults) -> bool {
    let mut group = Group::with(&Site::default(), LeaderSettings::default(), faults);
    group.advance_time(COUNTED_LEASE_MS);
    let old = group.configuration().revision.0;
    let sent_at = group.now;
    group.watch("frozen", 1, old, 2_000);
    group.publish(POOL, 2);
    while group.in_force().everywhere == Revision(old) {
        group.advance_time(50);
    }
    group.now < Instant(sent_at.0 + 5_000_000_000)
}

#[gtest]
fn reporting_without_acknowledgement_is_caught() {
    expect_that!(reports_too_early(Faults::default()), eq(false));
    let faults = Faults {
        in_force_without_acknowledgement: true,
        ..Faults::default()
    };
    expect_that!(reports_too_early(faults), eq(true));
}
