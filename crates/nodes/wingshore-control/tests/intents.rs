//! Intents, plans and publications in the replicated state.

mod support;

use googletest::prelude::*;
use support::site::{POOL, Site, engine_name, server, set_admission};
use support::{Group, apply, plan_of, refusal_of};
use wingshore_control::{
    ANSWERS_KEPT, CLOSED_PLANS_KEPT, ControlCommand, ControlState, Faults, LeaderSettings,
    OPEN_PLANS_LIMIT, OPEN_STEPS_LIMIT,
};
use wingshore_types::WeightVersion;
use wingshore_types::configuration::{Admission, ConfigurationChange, SwapPolicy};
use wingshore_types::ids::{IntentId, PlanId, Revision};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::control::{
    ControlRefusal, ControlReply, ControlRequest, Intent, PlanState,
};

fn drain(number: u32) -> Intent {
    Intent::Drain(engine_name(number).as_str().into())
}

#[gtest]
fn nothing_happens_before_the_confirmation() {
    let mut group = Group::new(&Site::default());
    let before = group.configuration().clone();
    let plan = plan_of(group.propose(drain(0)));
    group.advance_time(10_000);
    expect_that!(plan.state, eq(&PlanState::Proposed));
    expect_true!(*group.configuration() == before);
}

#[gtest]
fn a_resend_gets_the_first_answer_also_after_a_leader_change() {
    let mut group = Group::new(&Site::default());
    let propose = ControlRequest::Propose {
        intent_id: IntentId(900),
        base_revision: None,
        intent: drain(0),
    };
    let plan = plan_of(group.call(propose.clone()));
    let others = [
        ControlRequest::Confirm {
            intent_id: IntentId(901),
            plan: plan.id,
        },
        ControlRequest::Publish {
            intent_id: IntentId(902),
            pool: POOL.into(),
            version: WeightVersion(5),
        },
        ControlRequest::Confirm {
            intent_id: IntentId(903),
            plan: plan.id,
        },
        ControlRequest::Cancel {
            intent_id: IntentId(904),
            plan: plan.id,
        },
        ControlRequest::Confirm {
            intent_id: IntentId(905),
            plan: PlanId(77),
        },
    ];
    let requests: Vec<_> = std::iter::once(propose).chain(others).collect();
    let first: Vec<_> = requests.iter().map(|r| group.call(r.clone())).collect();
    let state = group.state.clone();
    for round in 0..2 {
        let again: Vec<_> = requests.iter().map(|r| group.call(r.clone())).collect();
        expect_that!(again, eq(&first), "round {round}");
        group.change_leader_by_snapshot();
        group.advance_time(1_000);
    }
    expect_true!(group.state.configuration() == state.configuration());
    expect_that!(group.state.plans().count(), eq(state.plans().count()));
}

#[gtest]
fn an_intent_id_used_for_another_request_is_refused() {
    let mut group = Group::new(&Site::default());
    let propose = |intent| ControlRequest::Propose {
        intent_id: IntentId(900),
        base_revision: None,
        intent,
    };
    group.call(propose(drain(0)));
    let refusal = refusal_of(group.call(propose(drain(1))));
    expect_that!(
        refusal,
        pat!(ControlRefusal::Invalid {
            message: contains_substring("used for another")
        })
    );
}

#[gtest]
fn a_stated_base_must_be_the_newest_revision() {
    let mut group = Group::new(&Site::default());
    let newest = group.configuration().revision;
    group.apply_change(set_admission(&engine_name(3), Admission::Draining));
    let cases = [
        (newest, "Conflict", "engine-00003` was set to draining"),
        (Revision(newest.0 + 9), "Invalid", "does not exist yet"),
    ];
    for (base, kind, text) in cases {
        let intent_id = group.new_intent();
        let reply = group.call(ControlRequest::Propose {
            intent_id,
            base_revision: Some(base),
            intent: drain(0),
        });
        expect_that!(format!("{reply:?}"), contains_substring(kind));
        expect_that!(format!("{reply:?}"), contains_substring(text));
    }
    let intent_id = group.new_intent();
    let reply = group.call(ControlRequest::Propose {
        intent_id,
        base_revision: Some(Revision(newest.0 + 1)),
        intent: drain(0),
    });
    expect_that!(reply, pat!(ControlReply::Plan(_)));
}

/// Each case is a change made between proposal and confirmation, and whether it affects the plan.
#[gtest]
fn only_conflicting_changes_make_a_plan_stale() {
    let name = engine_name(0);
    let other = engine_name(1);
    let put = |id: &str, number| ConfigurationChange::PutServer(server(id, "fare-lm", number));
    let remove = |id: &str| ConfigurationChange::RemoveServer(id.into());
    let remove_pool = ConfigurationChange::RemovePool(POOL.into());
    let target = |version| ConfigurationChange::SetTargetVersion {
        pool: POOL.into(),
        version: WeightVersion(version),
    };
    let move_pool = || Intent::MovePool {
        pool: POOL.into(),
        version: WeightVersion(2),
    };
    let apply = |change: ConfigurationChange| Intent::Apply(vec![change]);
    let draining = |id: &str| set_admission(id, Admission::Draining);
    let cases = [
        (drain(0), draining(&name), true),
        (drain(0), remove(&name), true),
        (drain(0), put(&name, 70), true),
        (drain(0), draining(&other), false),
        (drain(0), remove(&other), false),
        (drain(0), remove_pool.clone(), false),
        (move_pool(), remove_pool, true),
        (move_pool(), target(3), true),
        (move_pool(), put("new", 70), true),
        (move_pool(), remove(&other), true),
        (move_pool(), draining("live-0"), false),
        (move_pool(), remove("live-0"), false),
        (apply(put("a", 71)), put("b", 72), false),
        (apply(put("a", 71)), put("a", 73), true),
        (apply(remove(&name)), draining(&name), true),
        (apply(remove(&name)), target(2), false),
    ];
    for (intent, change, matters) in cases {
        let mut group = Group::new(&Site::planned(4));
        group.publish(POOL, 3);
        let case = format!("{intent:?} / {change:?}");
        let plan = plan_of(group.propose(intent));
        group.apply_change(change);
        let is_stale = matches!(group.plan(plan.id).state, PlanState::Stale { .. });
        expect_that!(is_stale, eq(matters), "{case}");
        let before = group.configuration().clone();
        let reply = group.confirm(plan.id);
        if matters {
            expect_that!(
                refusal_of(reply),
                pat!(ControlRefusal::Conflict { .. }),
                "{case}"
            );
            expect_true!(*group.configuration() == before, "{case}");
        } else {
            plan_of(reply);
        }
    }
}

#[gtest]
fn of_two_operators_with_equal_revisions_one_wins_and_the_other_gets_a_conflict() {
    let mut group = Group::new(&Site::default());
    let first = plan_of(group.propose(drain(2)));
    let second = plan_of(
        group.propose(Intent::Apply(vec![ConfigurationChange::RemoveServer(
            engine_name(2).as_str().into(),
        )])),
    );
    expect_that!(first.base_revision, eq(second.base_revision));
    plan_of(group.confirm(first.id));
    let ControlRefusal::Conflict { current, message } = refusal_of(group.confirm(second.id)) else {
        panic!("no conflict");
    };
    expect_that!(current, eq(group.configuration().revision));
    expect_that!(
        message,
        contains_substring("engine-00002` was set to draining")
    );
}

#[gtest]
fn a_running_plan_blocks_conflicting_plans_until_it_ends() {
    let mut group = Group::new(&Site::default());
    let running = group.confirm_intent(drain(0));
    let other = plan_of(group.propose(Intent::Apply(vec![set_admission(
        &engine_name(0),
        Admission::Open,
    )])));
    let refusal = refusal_of(group.confirm(other.id));
    expect_that!(
        refusal,
        pat!(ControlRefusal::Conflict {
            message: contains_substring("being carried out"),
            ..
        })
    );
    plan_of(group.cancel(running.id));
    expect_that!(
        plan_of(group.confirm(other.id)).state,
        pat!(PlanState::Running { .. })
    );
}

#[gtest]
fn confirm_and_cancel_ask_for_the_right_state() {
    let mut group = Group::new(&Site::default());
    let plan = plan_of(group.propose(drain(0)));
    plan_of(group.confirm(plan.id));
    expect_that!(
        refusal_of(group.confirm(plan.id)),
        pat!(ControlRefusal::WrongState { .. })
    );
    let cancelled = plan_of(group.cancel(plan.id));
    expect_that!(cancelled.state, eq(&PlanState::Cancelled));
    expect_that!(
        refusal_of(group.cancel(plan.id)),
        pat!(ControlRefusal::WrongState { .. })
    );
    expect_that!(
        refusal_of(group.cancel(PlanId(99))),
        eq(&ControlRefusal::UnknownPlan(PlanId(99)))
    );
}

#[gtest]
fn publications_grow_only_and_move_automatic_pools() {
    let cases = [
        (SwapPolicy::Automatic, vec![3, 3, 2, 5], vec![3, 3, 3, 5]),
        (SwapPolicy::Planned, vec![3, 2, 5], vec![1, 1, 1]),
    ];
    for (swap, published, targets) in cases {
        let site = Site {
            swap,
            ..Site::default()
        };
        let mut group = Group::new(&site);
        let mut newest = 0;
        for (version, target) in published.into_iter().zip(targets) {
            let before = group.configuration().revision;
            let reply = group.publish(POOL, version);
            let after = group.configuration().revision;
            expect_that!(reply, eq(&ControlReply::Published(after)));
            let is_change = swap == SwapPolicy::Automatic && version > newest;
            expect_that!(after.0 - before.0, eq(u64::from(is_change)));
            newest = newest.max(version);
            let pool = &group.configuration().pools[&POOL.into()];
            expect_that!(pool.target_version, eq(WeightVersion(target)));
            expect_that!(
                group.state.published(&POOL.into()),
                some(eq(WeightVersion(newest)))
            );
        }
    }
    let mut group = Group::new(&Site::default());
    expect_that!(
        refusal_of(group.publish("nowhere", 1)),
        pat!(ControlRefusal::Invalid { .. })
    );
}

#[gtest]
fn answers_and_closed_plans_are_bounded_and_open_plans_stay() {
    let mut state = ControlState::default();
    let site = Site::default();
    let propose = |id: u128, intent| ControlCommand::Propose {
        intent_id: IntentId(id),
        base_revision: None,
        intent,
    };
    let confirm = |id: u128, plan| ControlCommand::Confirm {
        intent_id: IntentId(id),
        plan,
    };
    let plan = plan_of(apply(&mut state, propose(1, Intent::Apply(site.changes()))));
    apply(&mut state, confirm(2, plan.id));
    let open = plan_of(apply(&mut state, propose(3, drain(7))));
    let mut intent = 10;
    while intent < 10 + ANSWERS_KEPT as u128 {
        let cancelled = plan_of(apply(&mut state, propose(intent, drain(1))));
        let cancel = ControlCommand::Cancel {
            intent_id: IntentId(intent + 1),
            plan: cancelled.id,
        };
        apply(&mut state, cancel);
        intent += 2;
    }
    expect_that!(state.plan(open.id), some(eq(&open)));
    expect_that!(
        state.plans().count(),
        le(CLOSED_PLANS_KEPT + state.open_plans().count())
    );
    let renewed = plan_of(apply(&mut state, propose(3, drain(7))));
    expect_that!(
        renewed.id,
        not(eq(open.id)),
        "the oldest answers are evicted"
    );
    let last = plan_of(apply(&mut state, propose(intent - 2, drain(1))));
    expect_that!(last.state, eq(&PlanState::Proposed), "the newest are kept");
    let restored = ControlState::restore(&state.snapshot()).unwrap();
    expect_true!(restored == state);
}

#[gtest]
fn of_too_many_open_plans_the_oldest_proposal_becomes_stale() {
    let mut group = Group::new(&Site::default());
    let running = group.confirm_intent(drain(7)).id;
    let first = plan_of(group.propose(drain(0))).id;
    while group.state.open_plans().count() < OPEN_PLANS_LIMIT {
        plan_of(group.propose(drain(0)));
    }
    expect_that!(group.plan(first).state, eq(&PlanState::Proposed));
    plan_of(group.propose(drain(0)));
    expect_that!(
        group.plan(first).state,
        pat!(PlanState::Stale {
            reason: contains_substring("propose it again")
        })
    );
    expect_that!(group.plan(running).state, pat!(PlanState::Running { .. }));
    expect_that!(group.state.open_plans().count(), eq(OPEN_PLANS_LIMIT));
}

#[gtest]
fn large_open_plans_make_room_for_newer_ones() {
    const CHANGES: usize = 20_000;
    let mut group = Group::new(&Site::default());
    let change = set_admission(&engine_name(0), Admission::Draining);
    let large = Intent::Apply(vec![change; CHANGES]);
    let running = group.confirm_intent(drain(7)).id;
    let first = plan_of(group.propose(large.clone())).id;
    for _ in 0..OPEN_STEPS_LIMIT / CHANGES + 1 {
        plan_of(group.propose(large.clone()));
    }
    let open_steps: usize = group.state.open_plans().map(|plan| plan.steps.len()).sum();
    expect_that!(open_steps, le(OPEN_STEPS_LIMIT));
    expect_that!(open_steps, gt(OPEN_STEPS_LIMIT - 2 * CHANGES));
    // The plan became stale, and large closed plans are evicted early.
    let mut open = group.state.open_plans();
    expect_false!(open.any(|plan| plan.id == first));
    expect_that!(group.plan(running).state, pat!(PlanState::Running { .. }));
}

#[gtest]
fn a_listing_has_all_open_plans_and_the_newest_closed_ones() {
    let mut group = Group::new(&Site::default());
    let open = plan_of(group.propose(drain(0))).id;
    let mut last = open;
    for _ in 0..600 {
        last = plan_of(group.propose(drain(1))).id;
        group.cancel(last);
    }
    let ControlReply::Plans(plans) = group.call(ControlRequest::ListPlans) else {
        panic!("no plans");
    };
    let ids: Vec<PlanId> = plans.iter().map(|plan| plan.id).collect();
    expect_that!(ids.contains(&open), eq(true));
    expect_that!(ids.last(), some(eq(&last)));
    expect_that!(ids.len(), le(502));
    expect_true!(ids.is_sorted());
}

#[gtest]
fn damaged_snapshots_are_refused() {
    let group = Group::with(
        &Site::default(),
        LeaderSettings::default(),
        Faults::default(),
    );
    let snapshot = group.state.snapshot();
    let mut other_format = snapshot.clone();
    other_format[0] = 99;
    for bytes in [&[][..], &other_format, &snapshot[..snapshot.len() / 2]] {
        expect_that!(ControlState::restore(bytes), err(anything()));
    }
}
