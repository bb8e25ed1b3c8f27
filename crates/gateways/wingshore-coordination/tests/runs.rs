//! Incarnations of servers: a server that restarts under its name is a new incarnation without any
//! state.
//!
//! The start time in its heartbeats identifies the incarnation. Calls of the previous incarnation
//! may arrive late: heartbeats delayed by a network partition, and deregistrations, which do not
//! identify an incarnation. Heartbeats of other senders may carry the name of a real server.
//! `registry_matches_the_reference_model` generates all of these and compares with a simple model.

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

/// Longer than the time after a restart in which a deregistration may be a late one of the previous
/// incarnation.
const UNAMBIGUOUS: Duration = Duration::from_secs(6);

fn incarnation(name: &str, born: u64) -> InstanceId {
    InstanceId::new(ServerName::from(name), Some(StartTime(born)))
}

fn record(name: &str, born: u64, version: u64) -> ServerRecord {
    ServerRecord {
        instance: incarnation(name, born),
        ..engine(name, version)
    }
}

fn send_heartbeat(group: &mut Group, server: ServerRecord, sequence: u64) -> Option<Reply> {
    group.ask(Request::Heartbeat(Heartbeat { server, sequence }))
}

fn deregister(group: &mut Group, name: &str) -> Option<Reply> {
    group.ask(Request::Deregister(ServerName::from(name)))
}

fn registered(group: &Group) -> Vec<InstanceId> {
    group.state.servers().keys().cloned().collect()
}

#[gtest]
fn a_restarted_server_keeps_no_state_of_its_earlier_incarnation() {
    let mut group = Group::new();
    send_heartbeat(&mut group, record("e", 100, 5), 9);
    group.announced.clear();
    send_heartbeat(&mut group, record("e", 200, 1), 1);
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 200))]
    );
    let held = &group.state.servers()[&incarnation("e", 200)];
    expect_that!(held.models[0].version, eq(1));
    let is_announced_gone = group
        .announced
        .iter()
        .any(|change| matches!(change, ViewChange::Gone(gone) if *gone == incarnation("e", 100)));
    expect_that!(is_announced_gone, eq(true));
}

#[gtest]
fn late_heartbeats_of_the_incarnation_before_change_nothing() {
    let mut group = Group::new();
    send_heartbeat(&mut group, record("e", 100, 5), 9);
    send_heartbeat(&mut group, record("e", 200, 1), 1);
    let mut late = record("e", 100, 5);
    late.draining = true;
    expect_that!(send_heartbeat(&mut group, late, 10), some(eq(&Reply::Done)));
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 200))]
    );
    expect_that!(
        group.state.servers()[&incarnation("e", 200)].draining,
        eq(false)
    );
    // The same holds for a leader that has not received any heartbeat of it.
    group.change_leader("coordinator-b");
    send_heartbeat(&mut group, record("e", 100, 5), 11);
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 200))]
    );
}

/// A server that does not report its start time is identified by its name alone, and is older than
/// any incarnation with a start time.
#[gtest]
fn an_incarnation_that_says_its_start_follows_one_that_did_not() {
    let mut group = Group::new();
    group.heartbeat(engine("e", 5));
    send_heartbeat(&mut group, record("e", 100, 1), 1);
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 100))]
    );
    group.heartbeat(engine("e", 5));
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 100))]
    );
}

#[gtest]
fn a_deregistration_just_after_a_restart_may_be_late_and_is_not_acknowledged() {
    let mut group = Group::new();
    send_heartbeat(&mut group, record("e", 100, 1), 1);
    send_heartbeat(&mut group, record("e", 200, 1), 1);
    expect_that!(
        deregister(&mut group, "e"),
        some(matches_pattern!(Reply::ComeBack(_)))
    );
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 200))]
    );
    group.wait(UNAMBIGUOUS);
    expect_that!(deregister(&mut group, "e"), some(eq(&Reply::Done)));
    expect_that!(registered(&group), is_empty());
    // That incarnation has ended and cannot return; the next one is a different one.
    send_heartbeat(&mut group, record("e", 200, 1), 99);
    expect_that!(registered(&group), is_empty());
    send_heartbeat(&mut group, record("e", 300, 1), 1);
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 300))]
    );
}

/// A heartbeat that was sent before a deregistration may arrive after it.
#[gtest]
fn a_heartbeat_just_after_a_deregistration_registers_nothing() {
    let mut group = Group::new();
    deregister(&mut group, "e");
    send_heartbeat(&mut group, record("e", 100, 1), 7);
    expect_that!(registered(&group), is_empty());
    group.wait(UNAMBIGUOUS);
    send_heartbeat(&mut group, record("e", 200, 1), 1);
    expect_that!(
        registered(&group),
        elements_are![eq(&incarnation("e", 200))]
    );
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

/// An incarnation cannot change its service or its address.
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
fn identities_are_the_same_after_the_codec() {
    for id in [incarnation("e", 7), InstanceId::from("e")] {
        let bytes = postcard::to_allocvec(&id).unwrap();
        expect_that!(postcard::from_bytes::<InstanceId>(&bytes), ok(eq(&id)));
    }
}

/// An event in the history of a server.
#[derive(Clone, Debug)]
enum Call {
    /// Its process restarts.
    Restart(u8),
    /// Its current incarnation sends a heartbeat.
    CurrentHeartbeat(u8),
    /// A heartbeat of an earlier incarnation arrives late.
    LateHeartbeat(u8, u8),
    /// The last heartbeat arrives again.
    Duplicate(u8),
    /// Another sender sends a heartbeat under its name.
    Foreign(u8),
    /// Time passes.
    Wait(u16),
}

const SERVERS: u8 = 3;

fn calls() -> impl Strategy<Value = Call> {
    let server = 0..SERVERS;
    prop_oneof![
        server.clone().prop_map(Call::Restart),
        server.clone().prop_map(Call::CurrentHeartbeat),
        (server.clone(), 0_u8..4).prop_map(|(server, back)| Call::LateHeartbeat(server, back)),
        server.clone().prop_map(Call::Duplicate),
        server.prop_map(Call::Foreign),
        (0_u16..3000).prop_map(Call::Wait),
    ]
}

/// Expected state of a server in the reference model.
#[derive(Default)]
struct ModelServer {
    born: u64,
    sequence: u64,
    /// The newest incarnation that has sent a heartbeat, and the time of its last one.
    heard: Option<(u64, Duration)>,
}

proptest! {
    /// Whatever arrives late, twice or from other senders: for each name, the registry contains the
    /// newest incarnation that has sent a heartbeat, unless it was silent for too long, and never
    /// another one.
    #[test]
    fn registry_matches_the_reference_model(history in vec(calls(), 1..60)) {
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
                Call::CurrentHeartbeat(server) => {
                    let known = servers.entry(server).or_default();
                    known.sequence += 1;
                    known.heard = Some((known.born, time));
                    send_heartbeat(&mut group, record(&name(server), known.born, 1), known.sequence);
                }
                Call::LateHeartbeat(server, back) => {
                    let known = servers.entry(server).or_default();
                    let born = known.born.saturating_sub(u64::from(back) + 1);
                    let newest = known.heard.map_or(0, |(born, _)| born);
                    if born < newest {
                        send_heartbeat(&mut group, record(&name(server), born, 9), 99);
                    }
                }
                Call::Duplicate(server) => {
                    let known = servers.entry(server).or_default();
                    if let Some((born, _)) = known.heard && born == known.born {
                        known.heard = Some((born, time));
                        send_heartbeat(&mut group, record(&name(server), born, 1), known.sequence);
                    }
                }
                Call::Foreign(server) => {
                    let known = servers.entry(server).or_default();
                    let Some((born, _)) = known.heard else { continue };
                    let mut foreign = record(&name(server), born, 1);
                    foreign.service = ServiceName::from("nobody's");
                    send_heartbeat(&mut group, foreign, 1000);
                }
                Call::Wait(millis) => {
                    let wait = Duration::from_millis(u64::from(millis) / 50 * 50);
                    group.wait(wait);
                    time += wait;
                }
            }
            for (server, known) in &servers {
                let incarnations: Vec<InstanceId> = registered(&group)
                    .into_iter()
                    .filter(|incarnation| incarnation.name().as_str() == name(*server))
                    .collect();
                let expiry = group.settings.server_expiry;
                match known.heard {
                    None => prop_assert!(incarnations.is_empty()),
                    Some((born, heard)) if time < heard + expiry => {
                        prop_assert_eq!(incarnations, vec![incarnation(&name(*server), born)]);
                    }
                    // It may have expired already, or expires at the next sweep.
                    Some((born, _)) => {
                        let newest = incarnation(&name(*server), born);
                        prop_assert!(incarnations.is_empty() || incarnations == vec![newest]);
                    }
                }
            }
        }
    }
}
