//! Incarnations of servers: a server may start again under its name, and then is another incarnation that holds nothing.
//!
//! A server that starts again says so by the time of its start. Calls of the incarnation before may arrive late:
//! heartbeats that a cut held up, and deregistrations, which do not say which incarnation they mean. Entries of other
//! writers may name real servers. `histories_end_as_the_model_says` draws all of these against a plain model.

mod support;

use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use support::{Group, address_of, engine};
use wingshore_coordination::{
    Heartbeat, InstanceId, Reply, Request, ServerName, ServerRecord, ServiceName, StartTime,
    ViewChange,
};

/// Longer than a deregistration may be a late one of the incarnation before.
const UNAMBIGUOUS: Duration = Duration::from_secs(6);

fn run(name: &str, born: u64) -> InstanceId {
    InstanceId::new(ServerName::from(name), Some(StartTime(born)))
}

fn record(name: &str, born: u64, version: u64) -> ServerRecord {
    ServerRecord {
        instance: run(name, born),
        ..engine(name, version)
    }
}

fn beat(group: &mut Group, server: ServerRecord, sequence: u64) -> Option<Reply> {
    group.ask(Request::Heartbeat(Heartbeat { server, sequence }))
}

fn leave(group: &mut Group, name: &str) -> Option<Reply> {
    group.ask(Request::Deregister(ServerName::from(name)))
}

fn registered(group: &Group) -> Vec<InstanceId> {
    group.state.servers().keys().cloned().collect()
}

#[gtest]
fn a_server_that_starts_again_holds_nothing_of_before() {
    let mut group = Group::new();
    beat(&mut group, record("e", 100, 5), 9);
    group.told.clear();
    beat(&mut group, record("e", 200, 1), 1);
    expect_that!(registered(&group), elements_are![eq(&run("e", 200))]);
    let held = &group.state.servers()[&run("e", 200)];
    expect_that!(held.models[0].version, eq(1));
    let told_gone = group
        .told
        .iter()
        .any(|change| matches!(change, ViewChange::Gone(gone) if *gone == run("e", 100)));
    expect_that!(told_gone, eq(true));
}

#[gtest]
fn late_heartbeats_of_the_incarnation_before_change_nothing() {
    let mut group = Group::new();
    beat(&mut group, record("e", 100, 5), 9);
    beat(&mut group, record("e", 200, 1), 1);
    let mut late = record("e", 100, 5);
    late.draining = true;
    expect_that!(beat(&mut group, late, 10), some(eq(&Reply::Done)));
    expect_that!(registered(&group), elements_are![eq(&run("e", 200))]);
    expect_that!(group.state.servers()[&run("e", 200)].draining, eq(false));
    // By a leader that has heard nothing of it, too.
    group.change_leader("coordinator-b");
    beat(&mut group, record("e", 100, 5), 11);
    expect_that!(registered(&group), elements_are![eq(&run("e", 200))]);
}

/// Where no incarnation says when it started, as before: a name is an incarnation.
#[gtest]
fn an_incarnation_that_says_its_start_follows_one_that_did_not() {
    let mut group = Group::new();
    group.heartbeat(engine("e", 5));
    beat(&mut group, record("e", 100, 1), 1);
    expect_that!(registered(&group), elements_are![eq(&run("e", 100))]);
    group.heartbeat(engine("e", 5));
    expect_that!(registered(&group), elements_are![eq(&run("e", 100))]);
}

#[gtest]
fn a_deregistration_just_after_a_restart_may_be_late_and_is_not_acknowledged() {
    let mut group = Group::new();
    beat(&mut group, record("e", 100, 1), 1);
    beat(&mut group, record("e", 200, 1), 1);
    expect_that!(
        leave(&mut group, "e"),
        some(matches_pattern!(Reply::ComeBack(_)))
    );
    expect_that!(registered(&group), elements_are![eq(&run("e", 200))]);
    group.wait(UNAMBIGUOUS);
    expect_that!(leave(&mut group, "e"), some(eq(&Reply::Done)));
    expect_that!(registered(&group), is_empty());
    // That incarnation has ended for good; the next one is another.
    beat(&mut group, record("e", 200, 1), 99);
    expect_that!(registered(&group), is_empty());
    beat(&mut group, record("e", 300, 1), 1);
    expect_that!(registered(&group), elements_are![eq(&run("e", 300))]);
}

/// The heartbeat of before a deregistration may come behind it.
#[gtest]
fn a_heartbeat_just_behind_a_deregistration_registers_nothing() {
    let mut group = Group::new();
    leave(&mut group, "e");
    beat(&mut group, record("e", 100, 1), 7);
    expect_that!(registered(&group), is_empty());
    group.wait(UNAMBIGUOUS);
    beat(&mut group, record("e", 200, 1), 1);
    expect_that!(registered(&group), elements_are![eq(&run("e", 200))]);
}

#[gtest]
fn an_entry_of_an_unknown_service_names_no_server_and_disturbs_none() {
    let mut group = Group::new();
    group.heartbeat(engine("e", 1));
    let mut foreign = engine("other", 1);
    foreign.service = ServiceName::from("nobody's");
    foreign.address = address_of("e");
    let answer = group.heartbeat(foreign);
    expect_that!(
        answer,
        some(matches_pattern!(Reply::Refused(contains_substring(
            "unknown"
        ))))
    );
    expect_that!(
        registered(&group),
        elements_are![eq(&InstanceId::from("e"))]
    );
}

/// An incarnation cannot become one of another service, or move to another address.
#[gtest]
fn an_entry_under_the_name_of_a_real_server_does_not_take_its_place() {
    let mut group = Group::new();
    group.heartbeat(engine("e", 1));
    let mut elsewhere = engine("e", 1);
    elsewhere.address = address_of("another");
    let mut of_another_service = engine("e", 1);
    of_another_service.service = ServiceName::from("charges");
    for foreign in [elsewhere, of_another_service] {
        let answer = group.heartbeat(foreign);
        expect_that!(answer, some(matches_pattern!(Reply::Refused(_))));
    }
    let held = &group.state.servers()[&InstanceId::from("e")];
    expect_that!(*held, eq(&engine("e", 1)));
}

#[gtest]
fn job_ids_survive_the_codec() {
    for id in [run("e", 7), InstanceId::from("e")] {
        let bytes = postcard::to_allocvec(&id).unwrap();
        expect_that!(postcard::from_bytes::<InstanceId>(&bytes), ok(eq(&id)));
    }
}

/// What may arrive of a server.
#[derive(Clone, Debug)]
enum Call {
    /// Its process starts again.
    Restart(u8),
    /// Its present incarnation reports its state.
    Beat(u8),
    /// An earlier incarnation reports its state late.
    LateBeat(u8, u8),
    /// The last heartbeat once more.
    Duplicate(u8),
    /// An entry of another writer under its name.
    Foreign(u8),
    /// Time passes.
    Wait(u16),
}

const SERVERS: u8 = 3;

fn calls() -> impl Strategy<Value = Call> {
    let server = 0..SERVERS;
    prop_oneof![
        server.clone().prop_map(Call::Restart),
        server.clone().prop_map(Call::Beat),
        (server.clone(), 0_u8..4).prop_map(|(server, back)| Call::LateBeat(server, back)),
        server.clone().prop_map(Call::Duplicate),
        server.prop_map(Call::Foreign),
        (0_u16..3000).prop_map(Call::Wait),
    ]
}

/// A server as it is.
#[derive(Default)]
struct ModelServer {
    born: u64,
    sequence: u64,
    /// The newest incarnation that has reported its state, and when.
    heard: Option<(u64, Duration)>,
}

proptest! {
    /// Whatever arrives late, twice or from others: the registry holds of each name the newest incarnation that was
    /// heard of, unless it was silent for too long, and never another one.
    #[test]
    fn histories_end_as_the_model_says(history in vec(calls(), 1..60)) {
        let mut group = Group::new();
        let mut time = Duration::ZERO;
        let mut servers: BTreeMap<u8, ModelServer> = BTreeMap::new();
        let name = |server: u8| format!("server-{server}");
        for call in history {
            match call {
                Call::Restart(server) => {
                    let known = servers.entry(server).or_default();
                    known.born += 1;
                    known.sequence = 0;
                }
                Call::Beat(server) => {
                    let known = servers.entry(server).or_default();
                    known.sequence += 1;
                    known.heard = Some((known.born, time));
                    beat(&mut group, record(&name(server), known.born, 1), known.sequence);
                }
                Call::LateBeat(server, back) => {
                    let known = servers.entry(server).or_default();
                    let born = known.born.saturating_sub(u64::from(back) + 1);
                    let newest = known.heard.map_or(0, |(born, _)| born);
                    if born < newest {
                        beat(&mut group, record(&name(server), born, 9), 99);
                    }
                }
                Call::Duplicate(server) => {
                    let known = servers.entry(server).or_default();
                    if let Some((born, _)) = known.heard && born == known.born {
                        known.heard = Some((born, time));
                        beat(&mut group, record(&name(server), born, 1), known.sequence);
                    }
                }
                Call::Foreign(server) => {
                    let known = servers.entry(server).or_default();
                    let Some((born, _)) = known.heard else { continue };
                    let mut foreign = record(&name(server), born, 1);
                    foreign.service = ServiceName::from("nobody's");
                    beat(&mut group, foreign, 1000);
                }
                Call::Wait(millis) => {
                    let wait = Duration::from_millis(u64::from(millis) / 50 * 50);
                    group.wait(wait);
                    time += wait;
                }
            }
            for (server, known) in &servers {
                let runs: Vec<InstanceId> = registered(&group)
                    .into_iter()
                    .filter(|run| run.name().as_str() == name(*server))
                    .collect();
                let expiry = group.settings.server_expiry;
                match known.heard {
                    None => prop_assert!(runs.is_empty()),
                    Some((born, heard)) if time < heard + expiry => {
                        prop_assert_eq!(runs, vec![run(&name(*server), born)]);
                    }
                    // It may have expired by now, or within the next scan.
                    Some((born, _)) => {
                        let newest = run(&name(*server), born);
                        prop_assert!(runs.is_empty() || runs == vec![newest]);
                    }
                }
            }
        }
    }
}
