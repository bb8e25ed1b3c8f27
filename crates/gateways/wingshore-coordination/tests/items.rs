//! Items of batch jobs: placement, interrupted attempts, changes of leader.

mod support;

use googletest::prelude::*;
use std::sync::Arc;
use support::{Group, engine, job};
use wingshore_coordination::{
    BreakCause, CoordinatorMessage, Effect, Event, GatewayId, ItemAssignment, ItemOutcome,
    ItemProgress, ItemState, ItemText, JobId, JobSubmission, Reply, Request, RunningItem,
};
use wingshore_types::machine::ReplicatedState;

fn text(events: u64) -> ItemText {
    let data: Vec<String> = (1..=events)
        .map(|number| format!("event {number}"))
        .collect();
    ItemText {
        text: data.join("\n"),
        events,
        last_event: Some(events),
        versions: vec![1],
    }
}

/// The connection of a gateway ends after a long silence: the gateway is lost with all its items.
fn gateway_lost(gateway: GatewayId) -> Event {
    Event::GatewayDisconnected {
        gateway,
        silence: std::time::Duration::from_secs(2),
    }
}

fn running(assignment: &ItemAssignment) -> RunningItem {
    RunningItem {
        assignment: assignment.assignment,
        item: assignment.item.clone(),
        instance: assignment.instance.clone(),
    }
}

fn gateway_running(gateway: GatewayId, items: Vec<RunningItem>) -> Event {
    Event::GatewayRunning {
        gateway,
        items,
        scorings: Vec::new(),
    }
}

fn results(group: &Group) -> Vec<(ItemState, String)> {
    let job = &group.state.jobs()[&JobId::from("j")];
    job.results
        .iter()
        .map(|result| (result.state, result.text.unpack().unwrap()))
        .collect()
}

#[gtest]
fn an_accepted_job_is_placed_and_its_result_listed() {
    let (mut group, gateway) = Group::with_job(1);
    let assigned = group.assignments();
    assert_that!(assigned, len(eq(1)));
    group.end_item(gateway, &assigned[0], ItemOutcome::Finished(text(3).into()));
    expect_that!(
        results(&group),
        elements_are![eq(&(ItemState::Succeeded, text(3).text))]
    );
}

#[gtest]
fn a_broken_attempt_is_resumed_behind_its_last_event() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    let outcome = ItemOutcome::Interrupted {
        text: text(2),
        cause: BreakCause::Gateway,
    };
    group.end_item(gateway, &first, outcome);
    let second = group.assignments().remove(0);
    expect_that!(second.kept, eq(&text(2)));
}

/// Guards against a lost beginning: a leader that took over during a second attempt listed only the
/// events of that attempt, because only the old leader held the text of the first one.
#[gtest]
fn a_new_leader_lists_the_whole_text_of_an_item_that_was_resumed() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    let outcome = ItemOutcome::Interrupted {
        text: text(2),
        cause: BreakCause::Gateway,
    };
    group.end_item(gateway, &first, outcome);
    let second = group.assignments().remove(0);
    group.change_leader("coordinator-b");
    group.connect_gateway(1);
    group.event(gateway_running(gateway, vec![running(&second)]));
    // The gateway continues from the text in the assignment.
    let mut whole = second.kept.clone();
    whole.text.push_str("\nevent 3");
    whole.events += 1;
    group.end_item(gateway, &second, ItemOutcome::Finished(whole.into()));
    expect_that!(
        results(&group),
        elements_are![eq(&(ItemState::Succeeded, text(3).text))]
    );
}

#[gtest]
fn a_new_leader_does_not_place_what_a_gateway_still_runs() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    group.change_leader("coordinator-b");
    group.connect_gateway(1);
    group.event(gateway_running(gateway, vec![running(&first)]));
    for events in 1..=5 {
        group.wait(std::time::Duration::from_millis(400));
        let assignment = first.assignment;
        group.event(Event::ItemsProgressed(vec![ItemProgress {
            assignment,
            events,
        }]));
    }
    expect_that!(group.assignments(), is_empty());
}

/// Guards against an item that never ends: a gateway to which a new leader was announced twice
/// reported its attempts twice. The leader told it to release them, still counted them as running,
/// and never placed the item again.
#[gtest]
fn an_attempt_that_a_gateway_reports_twice_keeps_running() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    group.change_leader("coordinator-b");
    group.connect_gateway(1);
    group.event(gateway_running(gateway, vec![running(&first)]));
    group.event(gateway_running(gateway, vec![running(&first)]));
    let released = group.effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::ToGateway(_, CoordinatorMessage::Release { .. })
        )
    });
    expect_that!(released, eq(false));
}

#[gtest]
fn an_attempt_that_its_gateway_does_not_report_is_placed_again() {
    let (mut group, _) = Group::with_job(1);
    assert_that!(group.assignments(), len(eq(1)));
    group.wait(std::time::Duration::from_secs(3));
    expect_that!(group.assignments(), len(eq(1)));
}

#[gtest]
fn the_gateway_keeps_a_finished_text_until_it_is_committed() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    group.end_item(gateway, &first, ItemOutcome::Finished(text(1).into()));
    let release = Effect::ToGateway(
        gateway,
        CoordinatorMessage::Release {
            assignment: first.assignment,
        },
    );
    expect_that!(group.effects, contains(eq(&release)));
}

#[gtest]
fn a_result_that_is_reported_twice_is_listed_once() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    group.end_item(gateway, &first, ItemOutcome::Finished(text(1).into()));
    group.end_item(gateway, &first, ItemOutcome::Finished(text(1).into()));
    expect_that!(results(&group), len(eq(1)));
}

/// The events after `from` up to `to` of a text, as a gateway uploads them.
fn part(from: u64, to: u64) -> ItemText {
    text(to).after(text(from).extent())
}

fn upload(group: &mut Group, assignment: &ItemAssignment, from: u64, to: u64) {
    group.event(Event::PartialTextUploaded {
        assignment: assignment.assignment,
        after_events: from,
        text: part(from, to),
    });
}

#[gtest]
fn events_that_were_uploaded_survive_gateway_and_leader() {
    let (mut group, _) = Group::with_job(1);
    let first = group.assignments().remove(0);
    upload(&mut group, &first, 0, 2);
    upload(&mut group, &first, 2, 4);
    group.change_leader("coordinator-b");
    group.add_gateway(2);
    let second = group.assignments().remove(0);
    expect_that!(second.kept, eq(&text(4)));
    expect_that!(second.durable, eq(text(4).extent()));
}

#[gtest]
fn events_that_do_not_follow_the_uploaded_ones_are_dropped() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    upload(&mut group, &first, 0, 2);
    upload(&mut group, &first, 3, 4);
    upload(&mut group, &first, 0, 2);
    group.event(gateway_lost(gateway));
    group.add_gateway(2);
    let second = group.assignments().remove(0);
    expect_that!(second.kept, eq(&text(2)));
}

#[gtest]
fn a_broken_attempt_is_resumed_behind_more_than_was_uploaded() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    upload(&mut group, &first, 0, 2);
    let outcome = ItemOutcome::Interrupted {
        text: text(3),
        cause: BreakCause::Gateway,
    };
    group.end_item(gateway, &first, outcome);
    let second = group.assignments().remove(0);
    expect_that!(second.kept, eq(&text(3)));
    expect_that!(second.durable, eq(text(2).extent()));
    // The uploads of the second attempt continue after the events that the log holds.
    upload(&mut group, &second, 2, 5);
    group.event(gateway_lost(gateway));
    group.add_gateway(2);
    expect_that!(group.assignments().remove(0).kept, eq(&text(5)));
}

#[gtest]
fn items_of_a_lost_gateway_are_placed_on_another_one() {
    let (mut group, gateway) = Group::with_job(2);
    let first = group.assignments();
    assert_that!(first, len(eq(2)));
    group.add_gateway(2);
    group.event(gateway_lost(gateway));
    expect_that!(group.assignments(), len(eq(2)));
}

#[gtest]
fn an_item_that_an_engine_calls_impossible_is_abandoned() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    group.end_item(gateway, &first, ItemOutcome::Impossible);
    expect_that!(
        results(&group),
        elements_are![eq(&(ItemState::Abandoned, String::new()))]
    );
}

#[gtest]
fn an_item_is_abandoned_after_the_attempts_of_its_route() {
    let (mut group, gateway) = Group::with_job(1);
    for _ in 0..3 {
        group.wait(std::time::Duration::from_millis(500));
        let assigned = group.assignments().remove(0);
        group.end_item(gateway, &assigned, ItemOutcome::Failed);
    }
    expect_that!(
        results(&group),
        elements_are![eq(&(ItemState::Abandoned, String::new()))]
    );
}

#[gtest]
fn an_ended_job_releases_what_runs_and_can_still_be_read() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    expect_that!(
        group.ask(Request::EndJob(JobId::from("j"))),
        some(eq(&Reply::Done))
    );
    let release = Effect::ToGateway(
        gateway,
        CoordinatorMessage::Release {
            assignment: first.assignment,
        },
    );
    expect_that!(group.effects, contains(eq(&release)));
    let page = group.ask(Request::ReadJob {
        job: JobId::from("j"),
        from: 0,
        wait: std::time::Duration::from_secs(1),
    });
    expect_that!(page, some(matches_pattern!(Reply::Page(_))));
}

#[gtest]
fn no_engine_gets_more_items_than_it_has_slots() {
    let (mut group, _) = Group::with_job(10);
    expect_that!(group.assignments(), len(eq(4)));
}

#[gtest]
fn an_engine_behind_the_oldest_version_of_a_job_gets_none_of_it() {
    let mut group = Group::new();
    group.add_gateway(1);
    group.heartbeat(engine("old", 1));
    let mut submission = (*job("j", 1)).clone();
    submission.min_version = 2;
    group.ask(Request::SubmitJob(std::sync::Arc::new(submission)));
    expect_that!(group.assignments(), is_empty());
    group.heartbeat(engine("new", 2));
    expect_that!(group.assignments(), len(eq(1)));
}

#[gtest]
fn an_ended_job_keeps_its_results_and_drops_the_contents_of_its_items() {
    const BODY: &[u8] = b"the body of an item";
    const HEADER: &str = "the value of a header";
    let mut group = Group::new();
    let gateway = group.add_gateway(1);
    group.heartbeat(engine("e1", 1));
    let mut submission = JobSubmission::clone(&job("j", 2));
    for item in &mut submission.items {
        item.body = BODY.to_vec();
        item.headers = vec![("Name".to_owned(), HEADER.to_owned())];
    }
    group.ask(Request::SubmitJob(Arc::new(submission)));
    let holds = |group: &Group, bytes: &[u8]| {
        let snapshot = group.state.snapshot();
        snapshot.windows(bytes.len()).any(|window| window == bytes)
    };
    expect_that!(holds(&group, BODY), eq(true));
    expect_that!(holds(&group, HEADER.as_bytes()), eq(true));
    let first = group.assignments().remove(0);
    let outcome = ItemOutcome::Finished(text(3).into());
    group.end_item(gateway, &first, outcome);
    group.ask(Request::EndJob(JobId::from("j")));
    expect_that!(
        results(&group),
        elements_are![eq(&(ItemState::Succeeded, text(3).text))]
    );
    let job = &group.state.jobs()[&JobId::from("j")];
    expect_that!(job.item_count(), eq(2));
    expect_that!(job.open_contents(), none());
    for index in 0..2 {
        expect_that!(job.item_id(index), some(anything()));
        expect_that!(job.item_contents(index), none());
    }
    expect_that!(holds(&group, BODY), eq(false));
    expect_that!(holds(&group, HEADER.as_bytes()), eq(false));
}

/// A disconnected gateway finishes its attempts. Its text is as valid as that of the attempt that
/// replaced it, and complete earlier.
#[gtest]
fn a_result_of_a_disconnected_gateway_counts_when_it_reconnects() {
    let (mut group, gateway) = Group::with_job(1);
    let first = group.assignments().remove(0);
    let other = group.add_gateway(2);
    group.event(gateway_lost(gateway));
    group.wait(std::time::Duration::from_millis(100));
    let second = group.assignments().remove(0);
    group.connect_gateway(1);
    group.event(gateway_running(gateway, vec![running(&first)]));
    group.end_item(gateway, &first, ItemOutcome::Finished(text(3).into()));
    expect_that!(results(&group), len(eq(1)));
    let is_released = |effect: &Effect| {
        let Effect::ToGateway(to, CoordinatorMessage::Release { assignment }) = effect else {
            return false;
        };
        *to == other && *assignment == second.assignment
    };
    expect_that!(group.effects.iter().any(is_released), eq(true));
    // The second attempt ends as well: nothing is listed twice.
    group.end_item(other, &second, ItemOutcome::Finished(text(3).into()));
    expect_that!(results(&group), len(eq(1)));
}

/// Parts that were uploaded to a leader that failed may be lost: the gateway learns up to which
/// event the next leader holds the text.
#[gtest]
fn a_new_leader_says_how_much_of_a_text_it_holds() {
    let (mut group, gateway) = Group::with_job(1);
    let assignment = group.assignments().remove(0);
    group.event(Event::PartialTextUploaded {
        assignment: assignment.assignment,
        after_events: 0,
        text: text(2),
    });
    group.change_leader("coordinator-b");
    group.connect_gateway(1);
    group.event(gateway_running(gateway, vec![running(&assignment)]));
    let held = group.effects.iter().find_map(|effect| match effect {
        Effect::ToGateway(_, CoordinatorMessage::HandInFrom { held, .. }) => Some(*held),
        _ => None,
    });
    expect_that!(held, some(eq(text(2).logged_prefix())));
    let is_of = |text: &ItemText| held.is_some_and(|held| held.is_prefix_of(text));
    expect_that!(is_of(&text(5)), eq(true));
    let mut other = text(5);
    other.text = other.text.replace("event 1", "evenT 1");
    expect_that!(is_of(&other), eq(false), "another attempt's events");
    expect_that!(is_of(&text(1)), eq(false), "shorter than what is held");
}

/// A gateway keeps its connections to an engine. The items of an engine go through one gateway, so
/// that not every item opens a connection.
#[gtest]
fn the_items_of_an_engine_go_through_one_gateway() {
    let mut group = Group::new();
    for gateway in 1..=3 {
        group.add_gateway(gateway);
    }
    group.heartbeat(engine("e1", 1));
    group.ask(Request::SubmitJob(job("j", 4)));
    let gateways: std::collections::BTreeSet<GatewayId> = group
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::ToGateway(gateway, CoordinatorMessage::Assign(_)) => Some(*gateway),
            _ => None,
        })
        .collect();
    expect_that!(gateways, len(eq(1)));
}

/// If only the connection of a gateway broke, its items keep running: they start again elsewhere
/// only if the gateway does not reconnect.
#[gtest]
fn a_gateway_whose_connection_broke_keeps_its_items_if_it_reconnects_soon() {
    let (mut group, gateway) = Group::with_job(2);
    let assignments = group.assignments();
    group.add_gateway(2);
    let broken = Event::GatewayDisconnected {
        gateway,
        silence: std::time::Duration::ZERO,
    };
    group.event(broken.clone());
    group.wait(std::time::Duration::from_millis(500));
    expect_that!(group.assignments(), is_empty());
    group.connect_gateway(1);
    group.event(gateway_running(gateway, vec![running(&assignments[0])]));
    group.wait(std::time::Duration::from_millis(100));
    let again: Vec<_> = group.assignments();
    expect_that!(
        again,
        len(eq(1)),
        "items that the gateway does not report are lost"
    );
    expect_that!(again[0].item, eq(&assignments[1].item));
    group.event(broken);
    group.wait(std::time::Duration::from_millis(1000));
    let is_first = |assignment: &ItemAssignment| assignment.item == assignments[0].item;
    expect_that!(group.assignments().iter().any(is_first), eq(true));
}

/// A new process on the machine of a gateway replaces it: the leader does not wait for the old one.
#[gtest]
fn a_restarted_gateway_has_lost_its_items() {
    let (mut group, gateway) = Group::with_job(1);
    group.assignments();
    group.add_gateway(2);
    group.event(Event::GatewayDisconnected {
        gateway,
        silence: std::time::Duration::ZERO,
    });
    group.connect_restarted_gateway(1, 7);
    group.wait(std::time::Duration::from_millis(50));
    expect_that!(group.assignments(), len(eq(1)));
}
