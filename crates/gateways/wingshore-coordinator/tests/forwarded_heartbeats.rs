//! Heartbeats that are forwarded to a slow leader are forwarded once, and its late answers count.
//!
//! Guards against a fault found in review: a leader that took longer than 0.8 s to answer a
//! forwarded heartbeat was sent every heartbeat of that server whole for as long as it was slow.
//! One timeout served two purposes, how long a caller waits and how long the answer is of use: the
//! record of the forwarded heartbeat was dropped with the answer to the server, so a late answer of
//! the leader was ignored and the next heartbeat counted as new. The first test showed it: with a
//! leader that answers after 1 s, all 17 heartbeats of each server in 20 s were forwarded whole.

use googletest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wingshore_coordination::{Heartbeat, InstanceId, ServerRecord, ServiceName};
use wingshore_coordinator::{
    ForwardStep, ForwardedHeartbeats, HeartbeatAction, HeartbeatRelay, LeaderRoute,
};
use wingshore_types::{Instant, ReplicaId};

/// Milliseconds between two heartbeats of a server.
const HEARTBEAT_INTERVAL_MS: u64 = 1_200;
/// Time after which silent servers leave the registry.
const SERVER_EXPIRY: Duration = Duration::from_millis(5 * HEARTBEAT_INTERVAL_MS);
/// Milliseconds between two turns of the simulation.
const TURN_MS: u64 = 50;
/// Milliseconds between two reports of active servers to the leader.
const REPORT_INTERVAL_MS: u64 = 300;
/// Milliseconds within which a caller must be answered: a server gives up a call after 1 s.
const ANSWER_LIMIT_MS: u64 = 900;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn heartbeat(server: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        server: ServerRecord {
            instance: InstanceId::from(format!("i-{server}").as_str()),
            service: ServiceName::from("s"),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "a".to_owned(),
            slots: 4,
            draining: false,
            reclaimable: false,
            models: Vec::new(),
        },
        sequence,
    }
}

const ROUTE: LeaderRoute<u64> = LeaderRoute {
    leader: ReplicaId(1),
    link: 1,
};

/// Answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Done,
    Unavailable,
}

/// Coordinator other than the leader. Each caller has a number of its own.
struct Relay {
    known: HeartbeatRelay,
    forwarded: ForwardedHeartbeats<u64>,
}

/// What a coordinator does with a heartbeat.
enum Step {
    Answer(Answer),
    Forward(u64),
    Wait,
}

impl Relay {
    fn new() -> Self {
        Self {
            known: HeartbeatRelay::default(),
            forwarded: ForwardedHeartbeats::new(SERVER_EXPIRY),
        }
    }

    fn offer(&mut self, now: Instant, caller: u64, heartbeat: &Heartbeat) -> Step {
        if self.known.offer(now, heartbeat) == HeartbeatAction::Acknowledge {
            return Step::Answer(Answer::Done);
        }
        match self.forwarded.offer(now, ROUTE, caller, heartbeat) {
            ForwardStep::Forward(id) => Step::Forward(id),
            ForwardStep::Wait { sequence } => {
                let instance = heartbeat.server.instance.clone();
                self.known.record_unchanged(instance, sequence);
                Step::Wait
            }
        }
    }

    /// Handles the leader's answer that a forwarded heartbeat is durable; returns the callers that
    /// it answers.
    fn on_durable(&mut self, now: Instant, id: u64) -> Vec<u64> {
        let Some(forwarded) = self.forwarded.answered(id) else {
            return Vec::new();
        };
        if let Some(server) = forwarded.newest {
            self.known.acknowledged(now, server);
        }
        forwarded.callers
    }

    /// Returns the callers to answer that the heartbeat could not be acknowledged.
    fn take_timed_out(&mut self, now: Instant) -> Vec<u64> {
        self.forwarded.take_timed_out(now)
    }
}

/// Result of a simulation.
#[derive(Default)]
struct Outcome {
    /// Number of heartbeats of each server that were forwarded whole.
    forwarded: BTreeMap<InstanceId, u32>,
    /// When the leader last learned of each server, and its longest silence, in milliseconds.
    last_contact: BTreeMap<InstanceId, (u64, u64)>,
    /// When each caller called that is not answered yet.
    waiting: BTreeMap<u64, u64>,
    longest_wait: u64,
    done: u32,
}

impl Outcome {
    fn record_contact(&mut self, now: u64, instance: &InstanceId) {
        let (last, silence) = self
            .last_contact
            .entry(instance.clone())
            .or_insert((now, 0));
        *silence = now.saturating_sub(*last).max(*silence);
        *last = now;
    }

    fn answer(&mut self, now: u64, caller: u64, answer: Answer) {
        let called = self.waiting.remove(&caller);
        let wait = called.map_or(u64::MAX, |called| now - called);
        self.longest_wait = self.longest_wait.max(wait);
        self.done += u32::from(answer == Answer::Done);
    }
}

/// Simulates servers that send heartbeats through one coordinator to a leader that answers each
/// forwarded one after `delay` milliseconds.
fn simulate(servers: usize, seconds: u64, delay: u64) -> Outcome {
    let mut relay = Relay::new();
    let mut outcome = Outcome::default();
    let mut replies: VecDeque<(u64, u64)> = VecDeque::new();
    let mut caller = 0;
    for now in (0..seconds * 1_000).step_by(TURN_MS as usize) {
        while let Some((_, id)) = replies.front().copied().filter(|(due, _)| *due <= now) {
            replies.pop_front();
            for caller in relay.on_durable(at(now), id) {
                outcome.answer(now, caller, Answer::Done);
            }
        }
        for caller in relay.take_timed_out(at(now)) {
            outcome.answer(now, caller, Answer::Unavailable);
        }
        for server in 0..servers {
            let offset = server as u64 * TURN_MS % HEARTBEAT_INTERVAL_MS;
            if now % HEARTBEAT_INTERVAL_MS != offset {
                continue;
            }
            caller += 1;
            outcome.waiting.insert(caller, now);
            let heartbeat = heartbeat(server, now / HEARTBEAT_INTERVAL_MS + 1);
            match relay.offer(at(now), caller, &heartbeat) {
                Step::Answer(answer) => outcome.answer(now, caller, answer),
                Step::Wait => {}
                Step::Forward(id) => {
                    replies.push_back((now + delay, id));
                    let instance = heartbeat.server.instance;
                    outcome.record_contact(now, &instance);
                    *outcome.forwarded.entry(instance).or_default() += 1;
                }
            }
        }
        if now % REPORT_INTERVAL_MS == 0 {
            for unchanged in relay.known.take_unchanged(at(now)) {
                outcome.record_contact(now, &unchanged.instance);
            }
        }
    }
    outcome
}

fn max_forwarded(outcome: &Outcome) -> u32 {
    outcome.forwarded.values().copied().max().unwrap_or(0)
}

#[gtest]
fn a_slow_leader_is_sent_each_record_once() {
    let outcome = simulate(200, 20, 1_000);
    expect_that!(outcome.forwarded.len(), eq(200));
    expect_that!(max_forwarded(&outcome), eq(1));
}

/// However long the leader takes, servers are answered in time, and the leader learns that they are
/// alive.
#[gtest]
fn a_slow_leader_learns_of_all_servers_and_each_is_answered_in_time() {
    for delay in [0, 500, 1_000, 2_000, 7_000] {
        let outcome = simulate(200, 20, delay);
        expect_that!(outcome.longest_wait, le(ANSWER_LIMIT_MS), "delay {delay}");
        let longest_silence = outcome
            .last_contact
            .values()
            .map(|(_, silence)| *silence)
            .max();
        expect_that!(
            longest_silence,
            some(le(HEARTBEAT_INTERVAL_MS + REPORT_INTERVAL_MS)),
            "delay {delay}"
        );
    }
}

/// A leader that answers only after the repeat interval is sent the same record again only then,
/// and its first answer ends the repetition.
#[gtest]
fn an_even_slower_leader_is_sent_each_record_rarely_until_it_answers() {
    for delay in [2_000, 4_000, 7_000] {
        let outcome = simulate(200, 20, delay);
        let repeated = delay / (SERVER_EXPIRY.as_millis() as u64 / 2);
        expect_that!(
            max_forwarded(&outcome),
            le(1 + repeated as u32),
            "delay {delay}"
        );
        expect_that!(outcome.done, ge(200), "delay {delay}");
    }
}

/// A heartbeat may be lost without an error: it is forwarded again while the server is still
/// registered.
#[gtest]
fn an_unanswered_heartbeat_is_forwarded_again_before_the_server_expires() {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    expect_that!(
        relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1)),
        eq(ForwardStep::Forward(0))
    );
    for beat in [1, 2] {
        let now = at(beat * HEARTBEAT_INTERVAL_MS);
        relay.take_timed_out(now);
        let step = relay.offer(now, ROUTE, 1, &heartbeat(1, beat + 1));
        expect_that!(step, eq(ForwardStep::Wait { sequence: 1 }));
    }
    let now = at(3 * HEARTBEAT_INTERVAL_MS);
    relay.take_timed_out(now);
    expect_that!(
        relay.offer(now, ROUTE, 1, &heartbeat(1, 4)),
        eq(ForwardStep::Forward(0))
    );
    expect_that!(
        now.since(at(0)) + at(HEARTBEAT_INTERVAL_MS).since(at(0)),
        lt(SERVER_EXPIRY)
    );
}

#[gtest]
fn a_heartbeat_with_the_same_record_is_answered_with_the_pending_one() -> Result<()> {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    expect_that!(relay.take_timed_out(at(800)), eq(&vec![1]));
    relay.offer(at(HEARTBEAT_INTERVAL_MS), ROUTE, 2, &heartbeat(1, 2));
    expect_that!(
        relay.take_timed_out(at(HEARTBEAT_INTERVAL_MS + 700)),
        is_empty()
    );
    let answered = relay.answered(0).or_fail()?;
    expect_that!(answered.callers, eq(&vec![2]));
    expect_that!(answered.newest, some(eq(&heartbeat(1, 1).server)));
    expect_that!(relay.answered(0), none());
    Ok(())
}

/// The answer to the heartbeat with the former record neither acknowledges the changed one nor
/// shows what the registry holds.
#[gtest]
fn a_changed_record_is_forwarded_at_once_and_only_its_answer_counts() -> Result<()> {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    let mut changed = heartbeat(1, 2);
    changed.server.slots = 8;
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    expect_that!(
        relay.offer(at(100), ROUTE, 2, &changed),
        eq(ForwardStep::Forward(1))
    );
    let outdated = relay.answered(0).or_fail()?;
    expect_that!(outdated.callers, eq(&vec![1]));
    expect_that!(outdated.newest, none());
    let answered = relay.answered(1).or_fail()?;
    expect_that!(answered.callers, eq(&vec![2]));
    expect_that!(answered.newest, some(eq(&changed.server)));
    Ok(())
}

/// A heartbeat that was delayed does not replace a newer record of its server.
#[gtest]
fn the_answer_to_an_older_heartbeat_that_arrives_later_is_ignored() -> Result<()> {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    let mut changed = heartbeat(1, 2);
    changed.server.slots = 8;
    relay.offer(at(0), ROUTE, 1, &changed);
    expect_that!(
        relay.offer(at(100), ROUTE, 2, &heartbeat(1, 1)),
        eq(ForwardStep::Forward(1))
    );
    expect_that!(relay.answered(1).or_fail()?.newest, none());
    expect_that!(
        relay.answered(0).or_fail()?.newest,
        some(eq(&changed.server))
    );
    Ok(())
}

/// A drain is binding once it is acknowledged: only an answer in time to that very heartbeat
/// counts.
#[gtest]
fn heartbeats_of_a_draining_server_are_forwarded_until_one_is_answered_in_time() {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    let draining = |sequence| {
        let mut heartbeat = heartbeat(1, sequence);
        heartbeat.server.draining = true;
        heartbeat
    };
    for beat in 1..4 {
        let now = at(beat * HEARTBEAT_INTERVAL_MS);
        expect_that!(
            relay.offer(now, ROUTE, 1, &draining(beat + 1)),
            eq(ForwardStep::Forward(beat))
        );
        relay.take_timed_out(now + Duration::from_millis(800));
        expect_that!(relay.answered(beat), none());
    }
    for (soon, id) in [(0, 4), (300, 5)] {
        let now = at(4 * HEARTBEAT_INTERVAL_MS + soon);
        expect_that!(
            relay.offer(now, ROUTE, 1, &draining(id + 1)),
            eq(ForwardStep::Forward(id))
        );
    }
}

/// Heartbeats whose leader is lost are forwarded with the next heartbeat of their server.
#[gtest]
fn heartbeats_forwarded_to_a_lost_leader_are_forwarded_again() {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    relay.offer(at(0), ROUTE, 2, &heartbeat(2, 1));
    let other = LeaderRoute {
        leader: ReplicaId(2),
        link: 2,
    };
    expect_that!(
        relay.offer(at(100), other, 3, &heartbeat(1, 2)),
        eq(ForwardStep::Forward(2))
    );
    expect_that!(
        relay.link_ended(ROUTE.link),
        unordered_elements_are![eq(&1), eq(&2)]
    );
    expect_that!(relay.answered(0), none());
    expect_that!(
        relay.offer(at(200), ROUTE, 4, &heartbeat(2, 2)),
        eq(ForwardStep::Forward(3))
    );
    expect_that!(
        relay.offer(at(200), other, 5, &heartbeat(1, 3)),
        eq(ForwardStep::Wait { sequence: 2 })
    );
}

/// A leader that never answers costs memory neither for long nor without bound.
#[gtest]
fn unanswered_heartbeats_are_forgotten_after_a_time_and_beyond_a_number() {
    let mut relay = ForwardedHeartbeats::new(SERVER_EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    relay.take_timed_out(at(800));
    relay.take_timed_out(at(0) + SERVER_EXPIRY);
    expect_that!(relay.answered(0), none());

    let later = at(10_000);
    for server in 0..20_001 {
        relay.offer(later, ROUTE, server, &heartbeat(server as usize, 1));
    }
    relay.take_timed_out(later + Duration::from_millis(800));
    expect_that!(relay.answered(1), none());
    expect_that!(relay.answered(2), some(anything()));
    expect_that!(relay.answered(20_001), some(anything()));
}
