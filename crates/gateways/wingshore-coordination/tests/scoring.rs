//! Scorings: from a finished text to its score, with losses of gateways, leaders and servers.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, engine, job, scored_job, scoring_route};
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, Effect, Event, GatewayId, ItemAssignment, ItemKey,
    ItemOutcome, ItemState, ItemText, JobId, NotScoredReason, Reply, Request, RunningItem,
    RunningScoring, ScoringAssignment, ScoringOutcome,
};

/// Longer than any backoff between two scorings of a text.
const LONGER_THAN_ANY_BACKOFF: Duration = Duration::from_secs(2);

fn text() -> ItemText {
    ItemText {
        text: "one\ntwo".to_owned(),
        events: 2,
        last_event: Some(2),
        versions: vec![1],
    }
}

fn item() -> ItemKey {
    ItemKey {
        job: JobId::from("j"),
        index: 0,
    }
}

/// A group with one item to be scored, assigned to a gateway.
fn group_with_item() -> (Group, GatewayId, ItemAssignment) {
    let mut group = Group::new();
    group.configure_with(scoring_route());
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(scored_job("j", 1)));
    let assignment = group.assignments().remove(0);
    (group, gateway, assignment)
}

/// The connection of a gateway ends after a long silence: the gateway is lost with all its items.
fn gateway_lost(gateway: GatewayId) -> Event {
    Event::GatewayDisconnected {
        gateway,
        silence: std::time::Duration::from_secs(2),
    }
}

fn finish(group: &mut Group, gateway: GatewayId, assignment: &ItemAssignment) {
    group.event(Event::ItemEnded {
        gateway,
        assignment: assignment.assignment,
        item: assignment.item.clone(),
        outcome: ItemOutcome::Finished(text().into()),
    });
}

fn end_scoring(
    group: &mut Group,
    gateway: GatewayId,
    scoring: AssignmentId,
    outcome: ScoringOutcome,
) {
    group.event(Event::ScoringEnded {
        gateway,
        scoring,
        outcome,
    });
}

fn scored(score: &str) -> ScoringOutcome {
    ScoringOutcome::Scored(score.to_owned())
}

fn report_running(group: &mut Group, gateway: GatewayId, scorings: Vec<RunningScoring>) {
    group.event(Event::GatewayRunning {
        gateway,
        items: Vec::new(),
        scorings,
    });
}

/// Scorings that were assigned to gateways since the last call.
fn scorings(group: &mut Group) -> Vec<(GatewayId, ScoringAssignment)> {
    let effects = std::mem::take(&mut group.effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::ToGateway(gateway, CoordinatorMessage::Score(scoring)) => {
                Some((gateway, scoring))
            }
            _ => None,
        })
        .collect()
}

fn is_released(group: &Group, wanted: AssignmentId) -> bool {
    group.effects.iter().any(|effect| {
        matches!(effect, Effect::ToGateway(_, CoordinatorMessage::ReleaseScoring { scoring })
            if *scoring == wanted)
    })
}

/// State and score of each result.
fn results(group: &Group) -> Vec<(ItemState, Option<String>)> {
    let job = &group.state.jobs()[&JobId::from("j")];
    job.results
        .iter()
        .map(|result| (result.state, result.score.clone()))
        .collect()
}

fn listed_with_score(score: &str) -> Vec<(ItemState, Option<String>)> {
    vec![(ItemState::Succeeded, Some(score.to_owned()))]
}

#[gtest]
fn a_text_is_listed_only_with_its_score() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    expect_that!(results(&group), is_empty());
    end_scoring(&mut group, gateway, assignment.assignment, scored("stamp"));
    expect_that!(results(&group), eq(&listed_with_score("stamp")));
    expect_that!(is_released(&group, assignment.assignment), is_true());
}

#[gtest]
fn an_item_without_a_scorer_is_listed_without_a_score() {
    let mut group = Group::new();
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(job("j", 1)));
    let assignment = group.assignments().remove(0);
    finish(&mut group, gateway, &assignment);
    expect_that!(results(&group), eq(&vec![(ItemState::Succeeded, None)]));
}

#[gtest]
fn a_gateway_lost_between_text_and_score_costs_a_scoring_and_not_an_attempt() {
    let (mut group, gateway, assignment) = group_with_item();
    let other = group.add_gateway(2);
    finish(&mut group, gateway, &assignment);
    group.event(gateway_lost(gateway));
    let again = scorings(&mut group);
    assert_that!(again, len(eq(1)));
    expect_that!(again[0].0, eq(other));
    expect_that!(again[0].1.made_by, eq(assignment.assignment));
    expect_that!(group.assignments(), is_empty());
    end_scoring(&mut group, other, again[0].1.scoring, scored("stamp"));
    expect_that!(results(&group), eq(&listed_with_score("stamp")));
}

#[gtest]
fn a_gateway_lost_before_its_text_arrived_costs_an_attempt() {
    let (mut group, gateway, _) = group_with_item();
    group.add_gateway(2);
    group.event(gateway_lost(gateway));
    expect_that!(scorings(&mut group), is_empty());
    group.wait(Duration::from_secs(1));
    expect_that!(scorings(&mut group), is_empty());
}

#[gtest]
fn a_new_leader_has_a_durable_text_scored_and_not_made_again() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    group.change_leader("coordinator-b");
    let other = group.add_gateway(2);
    let again = scorings(&mut group);
    assert_that!(again, len(eq(1)));
    expect_that!(group.assignments(), is_empty());
    end_scoring(&mut group, other, again[0].1.scoring, scored("stamp"));
    expect_that!(results(&group), eq(&listed_with_score("stamp")));
}

#[gtest]
fn a_new_leader_leaves_a_scoring_to_the_gateway_that_has_it() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    group.change_leader("coordinator-b");
    group.connect_gateway(1);
    let own = RunningScoring {
        scoring: assignment.assignment,
        item: item(),
        made_by: assignment.assignment,
    };
    report_running(&mut group, gateway, vec![own.clone(), own]);
    group.wait(Duration::from_secs(1));
    expect_that!(scorings(&mut group), is_empty());
    end_scoring(&mut group, gateway, assignment.assignment, scored("stamp"));
    expect_that!(results(&group), eq(&listed_with_score("stamp")));
}

/// The previous leader failed before it had made the text durable: the gateway reports everything
/// again.
#[gtest]
fn a_text_and_its_score_that_no_leader_made_durable_are_taken_from_the_gateway() {
    let (mut group, gateway, assignment) = group_with_item();
    group.change_leader("coordinator-b");
    group.connect_gateway(1);
    group.event(Event::GatewayRunning {
        gateway,
        items: vec![RunningItem {
            assignment: assignment.assignment,
            item: item(),
            instance: assignment.instance.clone(),
        }],
        scorings: vec![RunningScoring {
            scoring: assignment.assignment,
            item: item(),
            made_by: assignment.assignment,
        }],
    });
    finish(&mut group, gateway, &assignment);
    end_scoring(&mut group, gateway, assignment.assignment, scored("stamp"));
    expect_that!(results(&group), eq(&listed_with_score("stamp")));
}

#[gtest]
fn a_score_of_another_attempt_is_not_taken() {
    let (mut group, gateway, assignment) = group_with_item();
    let other = group.add_gateway(2);
    finish(&mut group, gateway, &assignment);
    group.change_leader("coordinator-b");
    group.connect_gateway(2);
    let foreign = AssignmentId {
        number: assignment.assignment.number + 7,
        ..assignment.assignment
    };
    let claimed = RunningScoring {
        scoring: foreign,
        item: item(),
        made_by: foreign,
    };
    report_running(&mut group, other, vec![claimed]);
    expect_that!(is_released(&group, foreign), is_true());
    end_scoring(&mut group, other, foreign, scored("foreign"));
    expect_that!(results(&group), is_empty());
}

#[gtest]
fn failures_are_counted_over_leaders_until_the_route_allows_no_more() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    let two_failures = ScoringOutcome::Failed(2);
    end_scoring(&mut group, gateway, assignment.assignment, two_failures);
    expect_that!(results(&group), is_empty());
    group.change_leader("coordinator-b");
    let other = group.add_gateway(2);
    let again = scorings(&mut group).remove(0).1;
    end_scoring(&mut group, other, again.scoring, ScoringOutcome::Failed(1));
    expect_that!(results(&group), is_empty());
    group.wait(LONGER_THAN_ANY_BACKOFF);
    let again = scorings(&mut group).remove(0).1;
    end_scoring(&mut group, other, again.scoring, ScoringOutcome::Failed(1));
    expect_that!(results(&group), eq(&vec![(ItemState::Abandoned, None)]));
}

#[gtest]
fn a_scoring_that_did_not_run_counts_as_no_failure_and_comes_again() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    let mut scoring = assignment.assignment;
    for _ in 0..20 {
        let outcome = ScoringOutcome::NotScored(NotScoredReason::Refused);
        end_scoring(&mut group, gateway, scoring, outcome);
        group.wait(LONGER_THAN_ANY_BACKOFF);
        let again = scorings(&mut group);
        assert_that!(again, len(eq(1)));
        scoring = again[0].1.scoring;
        group.event(Event::ScoringsRunning(vec![scoring]));
    }
    expect_that!(results(&group), is_empty());
    end_scoring(&mut group, gateway, scoring, scored("stamp"));
    expect_that!(results(&group), eq(&listed_with_score("stamp")));
}

#[gtest]
fn a_scoring_that_its_gateway_does_not_report_is_assigned_again() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    group.wait(Duration::from_secs(4));
    expect_that!(scorings(&mut group), not(is_empty()));
}

#[gtest]
fn the_end_of_a_job_ends_its_scorings() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    let answer = group.ask(Request::EndJob(JobId::from("j")));
    expect_that!(answer, some(eq(&Reply::Done)));
    expect_that!(is_released(&group, assignment.assignment), is_true());
    group.event(gateway_lost(gateway));
    group.add_gateway(2);
    expect_that!(scorings(&mut group), is_empty());
    end_scoring(&mut group, gateway, assignment.assignment, scored("late"));
    expect_that!(results(&group), is_empty());
}

#[gtest]
fn a_text_that_arrives_after_the_end_of_its_job_releases_its_scoring() {
    let (mut group, gateway, assignment) = group_with_item();
    group.ask(Request::EndJob(JobId::from("j")));
    group.effects.clear();
    finish(&mut group, gateway, &assignment);
    expect_that!(is_released(&group, assignment.assignment), is_true());
}

#[gtest]
fn an_item_whose_text_gets_no_score_in_time_is_abandoned() {
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    group.wait(Duration::from_secs(41));
    expect_that!(results(&group), eq(&vec![(ItemState::Abandoned, None)]));
}

#[gtest]
fn a_scorer_that_no_route_leads_to_is_refused_by_name() {
    let mut group = Group::new();
    let answer = group.ask(Request::SubmitJob(scored_job("j", 1)));
    let refused =
        |reason: &String| reason.contains("`j-0`") && reason.contains("site.example/score/1");
    expect_that!(
        matches!(&answer, Some(Reply::Refused(reason)) if refused(reason)),
        is_true()
    );
    expect_that!(group.state.jobs().len(), eq(0));
}

#[gtest]
fn a_job_is_accepted_again_when_the_route_of_its_scorer_is_gone() {
    let (mut group, _, _) = group_with_item();
    let without_route = support::configuration(9);
    group.ask(Request::PutConfiguration(Arc::new(without_route)));
    let answer = group.ask(Request::SubmitJob(scored_job("j", 1)));
    expect_that!(answer, some(eq(&Reply::Done)));
}

#[gtest]
fn the_state_keeps_unscored_texts_over_a_snapshot() {
    use wingshore_types::machine::ReplicatedState;
    let (mut group, gateway, assignment) = group_with_item();
    finish(&mut group, gateway, &assignment);
    let restored = wingshore_coordination::CoordinationState::restore(&group.state.snapshot());
    expect_that!(restored.unwrap() == group.state, is_true());
}

/// Guards against a scoring that is never run while gateways are being replaced: servers had crashed
/// under it, one gateway of the earlier build refuses it each time, and it is never given to another
/// one.
#[gtest]
fn a_scoring_that_an_earlier_gateway_refuses_goes_to_another_one() {
    let (mut group, earlier, assignment) = group_with_item();
    let later = group.add_gateway(2);
    finish(&mut group, earlier, &assignment);
    let mut under_way = (earlier, assignment.assignment);
    let mut gateways = Vec::new();
    for _ in 0..8 {
        let (gateway, scoring) = under_way;
        let outcome = ScoringOutcome::NotScored(NotScoredReason::Refused);
        end_scoring(&mut group, gateway, scoring, outcome);
        group.wait(LONGER_THAN_ANY_BACKOFF);
        let (gateway, again) = scorings(&mut group).remove(0);
        gateways.push(gateway);
        under_way = (gateway, again.scoring);
        group.event(Event::ScoringsRunning(vec![again.scoring]));
    }
    expect_that!(gateways, contains(eq(&later)));
}
