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
    ForwardedHeartbeat, ForwardedHeartbeats, HeartbeatRelay, HeartbeatVerdict,
};
use wingshore_types::Instant;

const INTERVAL: u64 = 1_200;
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
}

impl Relay {
    fn new() -> Self {
        Self {
            known: HeartbeatRelay::default(),
            forwarded: ForwardedHeartbeats::default(),
        }
    }

    fn offer(&mut self, now: Instant, caller: u64, heartbeat: &Heartbeat) -> Step {
        if self.known.offer(now, heartbeat) == HeartbeatVerdict::Known {
            return Step::Answer(Answer::Done);
        }
        Step::Forward(self.forwarded.add(ForwardedHeartbeat {
            caller,
            server: heartbeat.server.clone(),
            since: now,
        }))
    }

    /// The leader has made durable what was forwarded under this number; gives whom that answers.
    fn durable(&mut self, now: Instant, id: u64) -> Vec<u64> {
        let Some(forwarded) = self.forwarded.take(id) else {
            return Vec::new();
        };
        self.known.acknowledged(now, forwarded.server);
        vec![forwarded.caller]
    }

    /// Whom to tell that nobody could acknowledge the heartbeat.
    fn take_late(&mut self, now: Instant) -> Vec<u64> {
        let late = self.forwarded.take_late(now);
        late.into_iter().map(|forwarded| forwarded.caller).collect()
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
        for caller in relay.take_late(at(now)) {
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
                Step::Forward(id) => {
                    replies.push_back((now + delay, id));
                    let instance = heartbeat.server.instance;
                    outcome.hear(now, &instance);
                    *outcome.forwarded.entry(instance).or_default() += 1;
                }
            }
        }
        if now % REPORT == 0 {
            for heard in relay.known.take_heard(at(now)) {
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
