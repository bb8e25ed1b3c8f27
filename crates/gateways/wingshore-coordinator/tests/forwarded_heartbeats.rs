//! Seen, by reading: a leader that takes longer than 0.8 s to answer a forwarded heartbeat is sent every
//! heartbeat of that server whole for as long as it is slow. How it came about: the record of what was
//! forwarded went with the answer to the server, so that the leader's answer, when it came, taught
//! nothing, and the next heartbeat was new again. Cause: one time for two things, how long a caller
//! waits and how long the answer is of use. Proved by the first test: 17 heartbeats of each server in
//! 20 s, all of them forwarded whole to a leader that answers after 1 s.

use googletest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wingshore_coordination::{Heartbeat, InstanceId, ServerRecord, ServiceName};
use wingshore_coordinator::{
    ForwardStep, ForwardedHeartbeats, HeartbeatAction, HeartbeatRelay, LeaderRoute,
};
use wingshore_types::{Instant, ReplicaId};

const INTERVAL: u64 = 1_200;
/// Servers that are silent for so long leave the registry.
const EXPIRY: Duration = Duration::from_millis(5 * INTERVAL);
/// Between two turns of the simulation.
const TURN: u64 = 50;
/// Between two reports of servers that were heard of.
const REPORT: u64 = 300;
/// A caller is answered within this time: a server gives a call up after a second.
const ANSWER_LIMIT: u64 = 900;

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

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Done,
    Unavailable,
}

/// A coordinator that does not lead; a caller is named by a number of its own.
struct Relay {
    known: HeartbeatRelay,
    forwarded: ForwardedHeartbeats<u64>,
}

/// What a heartbeat made a coordinator do.
enum Step {
    Answer(Answer),
    Forward(u64),
    Wait,
}

impl Relay {
    fn new() -> Self {
        Self {
            known: HeartbeatRelay::default(),
            forwarded: ForwardedHeartbeats::new(EXPIRY),
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

    /// The leader has made durable what was forwarded under this number; gives whom that answers.
    fn durable(&mut self, now: Instant, id: u64) -> Vec<u64> {
        let Some(forwarded) = self.forwarded.answered(id) else {
            return Vec::new();
        };
        if let Some(server) = forwarded.newest {
            self.known.acknowledged(now, server);
        }
        forwarded.callers
    }

    /// Whom to tell that nobody could acknowledge the heartbeat.
    fn take_timed_out(&mut self, now: Instant) -> Vec<u64> {
        self.forwarded.take_timed_out(now)
    }
}

/// What a simulation has shown.
#[derive(Default)]
struct Outcome {
    /// Heartbeats forwarded whole, by server.
    forwarded: BTreeMap<InstanceId, u32>,
    /// When the leader last heard of each server, and its longest silence.
    heard: BTreeMap<InstanceId, (u64, u64)>,
    /// When each caller called that was not answered yet.
    waiting: BTreeMap<u64, u64>,
    longest_wait: u64,
    done: u32,
}

impl Outcome {
    fn hear(&mut self, now: u64, instance: &InstanceId) {
        let (last, silence) = self.heard.entry(instance.clone()).or_insert((now, 0));
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

/// Servers that repeat their heartbeats through one coordinator to a leader that answers each forwarded
/// one after `delay`.
fn simulate(servers: usize, seconds: u64, delay: u64) -> Outcome {
    let mut relay = Relay::new();
    let mut outcome = Outcome::default();
    let mut replies: VecDeque<(u64, u64)> = VecDeque::new();
    let mut caller = 0;
    for now in (0..seconds * 1_000).step_by(TURN as usize) {
        while let Some((_, id)) = replies.front().copied().filter(|(due, _)| *due <= now) {
            replies.pop_front();
            for caller in relay.durable(at(now), id) {
                outcome.answer(now, caller, Answer::Done);
            }
        }
        for caller in relay.take_timed_out(at(now)) {
            outcome.answer(now, caller, Answer::Unavailable);
        }
        for server in 0..servers {
            let offset = server as u64 * TURN % INTERVAL;
            if now % INTERVAL != offset {
                continue;
            }
            caller += 1;
            outcome.waiting.insert(caller, now);
            let heartbeat = heartbeat(server, now / INTERVAL + 1);
            match relay.offer(at(now), caller, &heartbeat) {
                Step::Answer(answer) => outcome.answer(now, caller, answer),
                Step::Wait => {}
                Step::Forward(id) => {
                    replies.push_back((now + delay, id));
                    let instance = heartbeat.server.instance;
                    outcome.hear(now, &instance);
                    *outcome.forwarded.entry(instance).or_default() += 1;
                }
            }
        }
        if now % REPORT == 0 {
            for heard in relay.known.take_unchanged(at(now)) {
                outcome.hear(now, &heard.instance);
            }
        }
    }
    outcome
}

fn most_forwarded(outcome: &Outcome) -> u32 {
    outcome.forwarded.values().copied().max().unwrap_or(0)
}

#[gtest]
fn a_slow_leader_is_sent_what_a_server_says_once() {
    let outcome = simulate(200, 20, 1_000);
    expect_that!(outcome.forwarded.len(), eq(200));
    expect_that!(most_forwarded(&outcome), eq(1));
}

/// Whatever the leader takes, servers are answered in time, and the leader hears of them.
#[gtest]
fn a_slow_leader_hears_of_all_servers_and_each_is_answered_in_time() {
    for delay in [0, 500, 1_000, 2_000, 7_000] {
        let outcome = simulate(200, 20, delay);
        expect_that!(outcome.longest_wait, le(ANSWER_LIMIT), "delay {delay}");
        let longest_silence = outcome.heard.values().map(|(_, silence)| *silence).max();
        expect_that!(
            longest_silence,
            some(le(INTERVAL + REPORT)),
            "delay {delay}"
        );
    }
}

/// One that needs longer than it takes until the same is repeated is sent it again only then, and its
/// first answer ends that.
#[gtest]
fn a_leader_that_is_slower_still_is_sent_it_seldom_until_it_answers() {
    for delay in [2_000, 4_000, 7_000] {
        let outcome = simulate(200, 20, delay);
        let repeated = delay / (EXPIRY.as_millis() as u64 / 2);
        expect_that!(
            most_forwarded(&outcome),
            le(1 + repeated as u32),
            "delay {delay}"
        );
        expect_that!(outcome.done, ge(200), "delay {delay}");
    }
}

/// A heartbeat may be lost without a sign: it is forwarded again while the server is still registered.
#[gtest]
fn what_the_leader_never_answers_is_forwarded_again_before_the_server_expires() {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
    expect_that!(
        relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1)),
        eq(ForwardStep::Forward(0))
    );
    for beat in [1, 2] {
        let now = at(beat * INTERVAL);
        relay.take_timed_out(now);
        let step = relay.offer(now, ROUTE, 1, &heartbeat(1, beat + 1));
        expect_that!(step, eq(ForwardStep::Wait { sequence: 1 }));
    }
    let now = at(3 * INTERVAL);
    relay.take_timed_out(now);
    expect_that!(
        relay.offer(now, ROUTE, 1, &heartbeat(1, 4)),
        eq(ForwardStep::Forward(0))
    );
    expect_that!(now.since(at(0)) + at(INTERVAL).since(at(0)), lt(EXPIRY));
}

#[gtest]
fn a_heartbeat_that_waits_for_the_same_is_answered_with_it() -> Result<()> {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    expect_that!(relay.take_timed_out(at(800)), eq(&vec![1]));
    relay.offer(at(INTERVAL), ROUTE, 2, &heartbeat(1, 2));
    expect_that!(relay.take_timed_out(at(INTERVAL + 700)), is_empty());
    let answered = relay.answered(0).or_fail()?;
    expect_that!(answered.callers, eq(&vec![2]));
    expect_that!(answered.newest, some(eq(&heartbeat(1, 1).server)));
    expect_that!(relay.answered(0), none());
    Ok(())
}

/// What a server says anew is forwarded at once, and an answer to what it said before neither
/// acknowledges it nor tells what the registry holds.
#[gtest]
fn another_statement_is_forwarded_at_once_and_only_its_answer_counts() -> Result<()> {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
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

/// One that was under way for long does not take the place of what its server has said since.
#[gtest]
fn an_older_heartbeat_that_comes_later_tells_nothing() -> Result<()> {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
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

/// A drain binds once it is acknowledged: only an answer to that very heartbeat, in time, counts.
#[gtest]
fn a_server_that_drains_is_forwarded_until_it_is_answered_in_time() {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    let draining = |sequence| {
        let mut heartbeat = heartbeat(1, sequence);
        heartbeat.server.draining = true;
        heartbeat
    };
    for beat in 1..4 {
        let now = at(beat * INTERVAL);
        expect_that!(
            relay.offer(now, ROUTE, 1, &draining(beat + 1)),
            eq(ForwardStep::Forward(beat))
        );
        relay.take_timed_out(now + Duration::from_millis(800));
        expect_that!(relay.answered(beat), none());
    }
    for (soon, id) in [(0, 4), (300, 5)] {
        let now = at(4 * INTERVAL + soon);
        expect_that!(
            relay.offer(now, ROUTE, 1, &draining(id + 1)),
            eq(ForwardStep::Forward(id))
        );
    }
}

/// What went to a leader that is lost is forwarded anew with the next heartbeat.
#[gtest]
fn what_was_forwarded_to_a_lost_leader_is_forwarded_anew() {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
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
fn what_is_never_answered_is_forgotten_in_time_and_beyond_a_number() {
    let mut relay = ForwardedHeartbeats::new(EXPIRY);
    relay.offer(at(0), ROUTE, 1, &heartbeat(1, 1));
    relay.take_timed_out(at(800));
    relay.take_timed_out(at(0) + EXPIRY);
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
