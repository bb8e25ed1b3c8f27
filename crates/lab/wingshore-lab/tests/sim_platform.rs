//! The simulated platform, one process at a time, driven by hand.

use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_lab::events::Event;
use wingshore_lab::process::{
    Answer, Call, CallId, LiveCall, Message, Process, ProcessFault, ProcessInput, ProcessOutput,
};
use wingshore_lab::stand_ins::engine::process::EngineProcess;
use wingshore_lab::stand_ins::engine::{EngineFault, EngineSettings};
use wingshore_lab::stand_ins::live_server::LiveServerSettings;
use wingshore_lab::stand_ins::live_server::process::LiveServerProcess;
use wingshore_lab::stand_ins::machine_list::MachineListSettings;
use wingshore_lab::stand_ins::machine_list::process::MachineListProcess;
use wingshore_lab::stand_ins::scorer::ScorerSettings;
use wingshore_lab::stand_ins::scorer::process::ScorerProcess;
use wingshore_lab::stand_ins::weight_store::WeightStoreSettings;
use wingshore_lab::stand_ins::weight_store::process::WeightStoreProcess;
use wingshore_types::platform::{
    EngineCompletionRequest, EngineOrder, EngineStreamEvent, Machine, MachineState, OrderBody,
    OrderFence, ScoreRequest,
};
use wingshore_types::{
    Epoch, Instant, OrderSequence, SampleNumber, ServerId, ServiceId, Verdict, WeightVersion,
    ZoneId,
};

/// A process alone with its caller, and all that it has put out.
struct Bench<P> {
    process: P,
    now: Instant,
    answers: Vec<(Instant, CallId, Answer)>,
    events: Vec<Event>,
    sent: Vec<(CallId, Call)>,
    next_call: u64,
}

fn caller() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1))
}

impl<P: Process> Bench<P> {
    fn new(process: P) -> Self {
        let mut bench = Self {
            process,
            now: Instant::ZERO,
            answers: Vec::new(),
            events: Vec::new(),
            sent: Vec::new(),
            next_call: 0,
        };
        bench.step(ProcessInput::Wake);
        bench
    }

    fn step(&mut self, input: ProcessInput) {
        let mut out = Vec::new();
        self.process.step(self.now, input, &mut out);
        for output in out {
            match output {
                ProcessOutput::Record(event) => self.events.push(event),
                ProcessOutput::Send { message, .. } => match message {
                    Message::Answer { id, answer } => self.answers.push((self.now, id, answer)),
                    Message::Call { id, call } => self.sent.push((id, call)),
                    _ => {}
                },
                ProcessOutput::Exit => {}
            }
        }
    }

    fn message(&mut self, message: Message) {
        let from = caller();
        self.step(ProcessInput::Message { from, message });
    }

    fn call(&mut self, call: Call) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.message(Message::Call { id, call });
        id
    }

    /// Lets time pass with all wakes that are asked for.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.process.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step(ProcessInput::Wake);
        }
        self.now = end;
    }

    fn answers_to(&self, id: CallId) -> Vec<Answer> {
        let of_call = self.answers.iter().filter(|(_, call, _)| *call == id);
        of_call.map(|(_, _, answer)| answer.clone()).collect()
    }
}

fn engine() -> Bench<EngineProcess> {
    Bench::new(EngineProcess::new(
        Instant::ZERO,
        EngineSettings::default(),
        7,
    ))
}

fn generate(request_id: &str) -> Call {
    Call::Generate(EngineCompletionRequest {
        request_id: request_id.to_owned(),
        model: "base".to_owned(),
        adapter: None,
        prompt: vec![1, 2, 3],
        resume: Vec::new(),
        max_tokens: 20,
        priority: 0,
        stream: true,
        deadline_ms: 60_000,
        seed: 5,
    })
}

fn load_weights(sequence: u64) -> Call {
    Call::Order(EngineOrder {
        fence: OrderFence {
            epoch: Epoch(1),
            sequence: OrderSequence(sequence),
        },
        order: OrderBody::LoadWeights {
            version: WeightVersion(1),
            source: format!("http://{}", caller()),
        },
    })
}

const SECOND: Duration = Duration::from_secs(1);

#[gtest]
fn an_engine_streams_whole_answers_and_records_them() {
    let mut bench = engine();
    let call = bench.call(generate("a"));
    bench.pass(SECOND * 5);
    let answers = bench.answers_to(call);
    assert_that!(
        answers.last(),
        some(matches_pattern!(Answer::Stream(matches_pattern!(
            EngineStreamEvent::Finished { .. }
        ))))
    );
    let names = |event: &Event| match event {
        Event::Started { .. } => "started",
        Event::AttemptStarted { .. } => "attempt",
        Event::AttemptFinished { .. } => "finished",
        _ => "other",
    };
    let events: Vec<&str> = bench.events.iter().map(names).collect();
    expect_that!(
        events,
        elements_are![eq(&"started"), eq(&"attempt"), eq(&"finished")]
    );
}

#[gtest]
fn an_engine_whose_caller_hangs_up_drops_the_attempt() {
    let mut bench = engine();
    let id = bench.call(generate("a"));
    bench.message(Message::HangUp { id });
    bench.pass(SECOND * 5);
    let dropped = bench.events.iter().any(
        |event| matches!(event, Event::AttemptDropped { reason, .. } if reason == "cancelled"),
    );
    expect_true!(dropped);
}

#[gtest]
fn a_frozen_engine_answers_when_it_wakes() {
    let mut bench = engine();
    bench.step(ProcessInput::Fault(ProcessFault::Engine(
        EngineFault::Freeze(SECOND),
    )));
    let call = bench.call(Call::State);
    bench.pass(SECOND / 2);
    expect_that!(bench.answers_to(call), is_empty());
    bench.pass(SECOND);
    expect_that!(bench.answers_to(call), len(eq(1)));
}

#[gtest]
fn an_ordered_version_is_fetched_and_takes_force() {
    let mut bench = engine();
    let order = bench.call(load_weights(1));
    expect_that!(
        bench.answers_to(order),
        elements_are![eq(&Answer::OrderAccepted)]
    );
    // The store is full at first.
    for answer in [
        Answer::Refused {
            verdict: Verdict::NotRun,
            code: "too_many_fetches".to_owned(),
            retry_after: Some(SECOND),
        },
        Answer::Broken,
        Answer::Done,
    ] {
        let (id, _) = bench.sent.pop().expect("a fetch");
        bench.message(Message::Answer { id, answer });
        bench.pass(SECOND * 2);
    }
    let version = Some(WeightVersion(1));
    expect_that!(
        bench.events,
        contains(eq(&Event::VersionInForce { version }))
    );
    let fenced = bench.call(load_weights(0));
    expect_that!(
        bench.answers_to(fenced),
        elements_are![matches_pattern!(Answer::OrderFenced(_))]
    );
}

#[gtest]
fn an_old_state_is_answered_late() {
    let mut bench = engine();
    bench.step(ProcessInput::Fault(ProcessFault::LateStates {
        count: 1,
        by: SECOND,
    }));
    let call = bench.call(Call::State);
    let next = bench.call(Call::State);
    expect_that!(bench.answers_to(call), is_empty());
    expect_that!(bench.answers_to(next), len(eq(1)));
    bench.pass(SECOND);
    expect_that!(bench.answers_to(call), len(eq(1)));
}

fn charge(request: &str) -> Call {
    Call::Live(LiveCall {
        request: request.to_owned(),
        service: ServiceId::new("rides"),
        key: None,
        no_repeat: true,
        charge: true,
        deadline: SECOND,
        path: "/charge".to_owned(),
        asked: 0,
    })
}

#[gtest]
fn a_live_server_runs_loses_answers_and_refuses() {
    let settings = LiveServerSettings::default();
    let mut bench = Bench::new(LiveServerProcess::new(Instant::ZERO, "live-1", settings, 7));
    let answered = bench.call(charge("a"));
    bench.pass(SECOND);
    bench.step(ProcessInput::Fault(ProcessFault::LoseAnswers { count: 1 }));
    let lost = bench.call(charge("b"));
    bench.pass(SECOND);
    bench.step(ProcessInput::Fault(ProcessFault::Leaving(true)));
    let refused = bench.call(charge("c"));
    expect_that!(
        bench.answers_to(answered),
        elements_are![matches_pattern!(Answer::Live {
            status: eq(&200),
            ..
        })]
    );
    expect_that!(bench.answers_to(lost), is_empty());
    expect_that!(
        bench.answers_to(refused),
        elements_are![matches_pattern!(Answer::Refused {
            verdict: eq(&Verdict::NotRun),
            ..
        })]
    );
    let executed: Vec<&str> = bench
        .events
        .iter()
        .filter_map(|event| match event {
            Event::Executed { request, .. } => Some(request.as_str()),
            _ => None,
        })
        .collect();
    expect_that!(executed, elements_are![eq(&"a"), eq(&"b")]);
}

#[gtest]
fn the_weight_store_shares_its_rate_and_refuses_beyond_its_limit() {
    let settings = WeightStoreSettings {
        bytes_per_second: 1000,
        most_fetches: 2,
        initial_bytes: 1000,
    };
    let mut bench = Bench::new(WeightStoreProcess::new(Instant::ZERO, settings, 7));
    let fetch = |version| Call::FetchWeights {
        model: "base".to_owned(),
        version: WeightVersion(version),
    };
    let unknown = bench.call(fetch(3));
    let taken: Vec<CallId> = (0..3).map(|_| bench.call(fetch(0))).collect();
    bench.pass(SECOND);
    expect_that!(bench.answers_to(taken[0]), elements_are![eq(&Answer::Done)]);
    expect_that!(bench.answers_to(taken[1]), is_empty());
    for refused in [unknown, taken[2]] {
        expect_that!(
            bench.answers_to(refused),
            elements_are![matches_pattern!(Answer::Refused { .. })]
        );
    }
}

#[gtest]
fn the_machine_list_lags() {
    let server = ServerId::new("live-1");
    let machine = Machine {
        id: server.clone(),
        address: caller(),
        zone: ZoneId::new("a"),
        services: Vec::new(),
        state: MachineState::Live,
    };
    let settings = MachineListSettings {
        lag: SECOND,
        machines: vec![machine],
    };
    let mut bench = Bench::new(MachineListProcess::new(Instant::ZERO, settings, 7));
    let state = MachineState::Leaving;
    bench.step(ProcessInput::Fault(ProcessFault::Machine { server, state }));
    let mut told = Vec::new();
    for _ in 0..2 {
        let call = bench.call(Call::Machines);
        if let Some(Answer::Machines(list)) = bench.answers_to(call).first() {
            told.push(list.machines[0].state);
        }
        bench.pass(SECOND);
    }
    expect_that!(
        told,
        elements_are![eq(&MachineState::Live), eq(&MachineState::Leaving)]
    );
}

#[gtest]
fn a_scorer_fails_at_times() {
    let settings = ScorerSettings {
        failing_permille: 500,
        ..ScorerSettings::default()
    };
    let mut bench = Bench::new(ScorerProcess::new(Instant::ZERO, settings, 7));
    for number in 0..20 {
        bench.call(Call::Score(ScoreRequest {
            sample_id: SampleNumber(number),
            prompt: vec![1],
            tokens: vec![2],
        }));
    }
    bench.pass(SECOND);
    let scored = |answer: &Answer| matches!(answer, Answer::Score(_));
    let count = bench
        .answers
        .iter()
        .filter(|(_, _, answer)| scored(answer))
        .count();
    expect_that!(bench.answers, len(eq(20)));
    expect_that!(count, all!(gt(2), lt(18)));
}
