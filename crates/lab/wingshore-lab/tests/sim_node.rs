//! The simulated node, driven by hand: its verdicts when calls break, its lease, its stop.

use googletest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_lab::process::{
    Answer, Call, CallId, LiveCall, Message, Process, ProcessInput, ProcessOutput,
};
use wingshore_lab::sim::node::{SimNode, SimNodeSettings};
use wingshore_types::configuration::{
    Admission, Configuration, Permille, Server, Service, ServiceKind,
};
use wingshore_types::platform::LoadReport;
use wingshore_types::protocol::control::{ConfigurationUpdate, ControlReply};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{Instant, Revision, ServerId, ServiceId, Verdict, ZoneId};

const SECOND: Duration = Duration::from_secs(1);
/// How long the control group takes to answer a watch.
const CONTROL_TIME: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_secs(4);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 1))
}

fn configuration() -> Configuration {
    let service = ServiceId::new("rides");
    let server = Server {
        id: ServerId::new("live-1"),
        service: service.clone(),
        address: address(9),
        zone: ZoneId::new("a"),
        admission: Admission::Open,
    };
    Configuration {
        revision: Revision(2),
        services: [(
            service.clone(),
            Service {
                id: service,
                kind: ServiceKind::Live,
                slots_per_server: 8,
                live_share: Permille::WHOLE,
                default_deadline_ms: 1000,
            },
        )]
        .into(),
        servers: [(server.id.clone(), server)].into(),
        ..Configuration::default()
    }
}

/// A node whose control group grants leases until it is cut off, and one live server that is
/// scripted.
struct Bench {
    node: SimNode,
    now: Instant,
    control_answers: bool,
    control: Option<(Instant, SocketAddr, Message)>,
    attempts: VecDeque<CallId>,
    attempts_made: usize,
    answers: Vec<Answer>,
    exited: bool,
}

impl Bench {
    fn new() -> Self {
        let settings = SimNodeSettings::new("node-1", "a", vec![address(1)]);
        let mut bench = Self {
            node: SimNode::new(Instant::ZERO, settings, 7),
            now: Instant::ZERO,
            control_answers: true,
            control: None,
            attempts: VecDeque::new(),
            attempts_made: 0,
            answers: Vec::new(),
            exited: false,
        };
        bench.pass(SECOND * 3);
        bench
    }

    fn step(&mut self, input: ProcessInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut out = Vec::new();
            self.node.step(self.now, input, &mut out);
            for output in out {
                match output {
                    ProcessOutput::Send { to, message } => {
                        inputs.extend(self.on_message(to, message));
                    }
                    ProcessOutput::Exit => self.exited = true,
                    ProcessOutput::Record(_) => {}
                }
            }
        }
    }

    fn on_message(&mut self, to: SocketAddr, message: Message) -> Option<ProcessInput> {
        let answer = match message {
            Message::GroupRequest { id, body, .. } if self.control_answers => {
                assert_that!(matches!(body, GroupRequest::Control(_)), eq(true));
                let update = ConfigurationUpdate::Snapshot(Box::new(configuration()));
                let lease_ms = LEASE.as_millis() as u64;
                let body = GroupReply::Control(ControlReply::Update { update, lease_ms });
                let message = Message::GroupReply { id, body };
                self.control = Some((self.now + CONTROL_TIME, to, message));
                return None;
            }
            Message::Call { id, call } => match call {
                Call::Load => Message::Answer {
                    id,
                    answer: Answer::Load(LoadReport {
                        in_flight: 0,
                        queue: 0,
                        age_ms: 0,
                    }),
                },
                _ => {
                    self.attempts.push_back(id);
                    self.attempts_made += 1;
                    return None;
                }
            },
            Message::Answer { answer, .. } => {
                self.answers.push(answer);
                return None;
            }
            _ => return None,
        };
        Some(ProcessInput::Message {
            from: to,
            message: answer,
        })
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wake = self.node.next_wake().filter(|at| *at <= end);
            let control = self.control.as_ref().map(|(at, _, _)| *at);
            let control = control.filter(|at| *at <= wake.unwrap_or(end));
            if let (Some(at), Some((_, from, message))) =
                (control, self.control.take_if(|_| control.is_some()))
            {
                self.now = self.now.max(at);
                self.step(ProcessInput::Message { from, message });
            } else if let Some(at) = wake {
                self.now = self.now.max(at);
                self.step(ProcessInput::Wake);
            } else {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    fn ask(&mut self, no_repeat: bool) {
        let call = Call::Live(LiveCall {
            request: "r".to_owned(),
            service: ServiceId::new("rides"),
            key: None,
            no_repeat,
            charge: no_repeat,
            deadline: SECOND,
            path: "/charge".to_owned(),
            asked: 0,
        });
        let id = CallId(1);
        let message = Message::Call { id, call };
        let from = address(5);
        self.step(ProcessInput::Message { from, message });
    }

    /// Answers every attempt in the same way until the caller has its answer.
    fn end_attempts(&mut self, answer: Option<&Answer>) {
        for _ in 0..40 {
            if let (Some(id), Some(answer)) = (self.attempts.pop_front(), answer) {
                let answer = answer.clone();
                let message = Message::Answer { id, answer };
                let from = address(9);
                self.step(ProcessInput::Message { from, message });
            }
            self.pass(Duration::from_millis(50));
        }
    }
}

fn whole_answer() -> Answer {
    Answer::Live {
        status: 200,
        body: vec![1],
        whole: true,
    }
}

fn cut_answer() -> Answer {
    Answer::Live {
        status: 200,
        body: vec![1],
        whole: false,
    }
}

fn refusal() -> Answer {
    Answer::Refused {
        verdict: Verdict::NotRun,
        code: "overloaded".to_owned(),
        retry_after: None,
    }
}

#[gtest]
fn the_verdict_says_whether_bytes_may_have_left() {
    use Verdict::{MayHaveRun, NotRun};
    // What each attempt comes to, whether the request may be repeated, the verdict, attempts.
    let cases = [
        (Some(Answer::Unreachable), true, NotRun, 2..=3),
        (Some(refusal()), true, NotRun, 1..=3),
        (Some(Answer::Broken), true, MayHaveRun, 1..=1),
        (Some(cut_answer()), true, MayHaveRun, 1..=1),
        (None, true, MayHaveRun, 1..=1),
        (Some(Answer::Broken), false, MayHaveRun, 2..=3),
    ];
    for (answer, no_repeat, verdict, attempts) in cases {
        let mut bench = Bench::new();
        bench.ask(no_repeat);
        bench.end_attempts(answer.as_ref());
        let context = format!("{answer:?}, no_repeat {no_repeat}: {:?}", bench.answers);
        expect_that!(
            bench.answers,
            elements_are![matches_pattern!(Answer::Refused {
                verdict: eq(&verdict),
                ..
            })],
            "{context}"
        );
        expect_true!(attempts.contains(&bench.attempts_made), "{context}");
    }
}

#[gtest]
fn without_a_lease_nothing_is_sent() {
    let mut bench = Bench::new();
    bench.control_answers = false;
    bench.pass(LEASE * 2);
    bench.ask(true);
    expect_that!(bench.attempts_made, eq(0));
    expect_that!(
        bench.answers,
        elements_are![matches_pattern!(Answer::Refused {
            code: eq("no_lease"),
            ..
        })]
    );
}

#[gtest]
fn a_planned_stop_waits_for_what_is_in_flight() {
    let mut bench = Bench::new();
    bench.ask(true);
    bench.step(ProcessInput::Stop);
    bench.pass(SECOND / 2);
    expect_false!(bench.exited);
    bench.end_attempts(Some(&whole_answer()));
    expect_that!(bench.answers, elements_are![eq(&whole_answer())]);
    expect_true!(bench.exited);
}
