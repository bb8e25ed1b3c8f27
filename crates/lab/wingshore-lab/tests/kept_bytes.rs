//! What others read of the lab byte for byte: the arguments of its programs, and the lines of the
//! logs that the checkers judge a run by.

use googletest::prelude::*;
use std::process::Command;
use wingshore_lab::events::{CallKind, DeliveredSample, Event, ReceivedCompletion, Record};
use wingshore_types::{SampleNumber, Segment, StepId, Verdict, WeightVersion};

const LINES: &str = include_str!("golden/events.jsonl");

fn help(command: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_wingshore-lab"))
        .args([command, "--help"])
        .output()
        .expect("the program starts");
    expect_true!(output.status.success(), "{command}");
    String::from_utf8(output.stdout).expect("help is text")
}

#[gtest]
fn the_programs_keep_their_arguments() {
    let golden = [
        ("fleet", include_str!("golden/help-fleet.txt")),
        ("sim", include_str!("golden/help-sim.txt")),
        ("stand-in", include_str!("golden/help-stand-in.txt")),
    ];
    for (command, expected) in golden {
        expect_that!(help(command), eq(expected), "{command}");
    }
}

fn text(text: &str) -> String {
    text.to_owned()
}

fn segments() -> Vec<Segment> {
    let segment = |version, tokens| Segment {
        version: WeightVersion(version),
        tokens,
    };
    vec![segment(3, 0..6), segment(4, 6..10)]
}

fn delivered() -> DeliveredSample {
    DeliveredSample {
        number: SampleNumber(11),
        prompt_hash: 77,
        submitted_prompt_hash: 78,
        seed: 5,
        max_tokens: 100,
        token_count: 10,
        tokens_hash: u64::MAX,
        segments: segments(),
        score: 0.5,
    }
}

fn completion() -> ReceivedCompletion {
    ReceivedCompletion {
        prompt_hash: 77,
        seed: 5,
        max_tokens: 100,
        token_count: 10,
        tokens_hash: 79,
        segments: segments(),
    }
}

fn of_back_ends() -> Vec<Event> {
    vec![
        Event::Started { boot_id: 1 },
        Event::Leaving {
            server: text("fare-lm-4"),
        },
        Event::Staying {
            server: text("fare-lm-4"),
        },
        Event::Executed {
            request: text("gate-1"),
            key: Some(text("key-gate-1")),
            charge: true,
            status: 200,
            answer_hash: 2,
        },
        Event::Executed {
            request: text("gate-2"),
            key: None,
            charge: false,
            status: 200,
            answer_hash: 3,
        },
        Event::RefusedNotRun {
            request: text("gate-3"),
        },
        Event::AttemptStarted {
            request: text("attempt-1"),
            prompt_hash: 77,
            seed: 5,
            resumed_tokens: 6,
        },
        Event::AttemptFinished {
            request: text("attempt-1"),
            prompt_hash: 77,
            seed: 5,
            tokens_hash: 79,
            token_count: 10,
        },
        Event::AttemptDropped {
            request: text("attempt-2"),
            reason: text("weights_lost"),
        },
        Event::VersionInForce {
            version: Some(WeightVersion(4)),
        },
        Event::VersionInForce { version: None },
        Event::OrderAnswered {
            epoch: 2,
            sequence: 9,
            accepted: true,
            repeated: false,
        },
        Event::FaultInjected {
            fault: text("fail_next_swap"),
        },
        Event::WeightsStored {
            model: text("base"),
            version: WeightVersion(4),
        },
        Event::WeightsSent {
            model: text("base"),
            version: WeightVersion(4),
        },
        Event::Scored {
            sample: SampleNumber(11),
            succeeded: true,
        },
    ]
}

fn of_callers() -> Vec<Event> {
    let answered = |kind, status, verdict| Event::Answered {
        request: text("gate-1"),
        key: Some(text("key-gate-1")),
        kind,
        no_repeat: true,
        status,
        verdict,
        answer_hash: 2,
        whole: true,
        latency_us: 1500,
        first_token_us: Some(700),
    };
    vec![
        Event::Submitted {
            samples: vec![SampleNumber(11), SampleNumber(12)],
            added: 1,
            known: 1,
        },
        Event::BatchDelivered {
            pool: text("disputes"),
            step: StepId(8),
            trainer_version: WeightVersion(4),
            staleness_bound: 2,
            asked: 64,
            body_hash: 80,
            repeated: false,
            waited_us: 500_000,
            samples: vec![delivered()],
        },
        Event::Trained {
            step: StepId(8),
            busy_us: 1_000_000,
        },
        Event::Acknowledged { step: StepId(8) },
        Event::Published {
            version: WeightVersion(5),
        },
        Event::Completed {
            request: text("gate-4"),
            completion: completion(),
        },
        answered(CallKind::Charge, 200, None),
        answered(CallKind::Lookup, 503, Some(Verdict::NotRun)),
        answered(CallKind::Completion, 0, Some(Verdict::MayHaveRun)),
        answered(CallKind::Charge, 409, Some(Verdict::Ran)),
    ]
}

fn of_the_fleet() -> Vec<Event> {
    vec![
        Event::RevisionSeen {
            observed: text("node-trainer"),
            revision: 6,
        },
        Event::CallerNode {
            caller: text("gates"),
            node: text("node-gates"),
        },
        Event::RevisionCommitted { revision: 6 },
        Event::RevisionInForce { revision: 6 },
        Event::LeaderFound {
            after_us: 1_140_000,
        },
        Event::ProcessAction {
            process: text("replica-1"),
            action: text("kill"),
        },
    ]
}

/// Fails to compile when an event is added, so that its line is added too.
fn kind(event: &Event) -> &'static str {
    match event {
        Event::Started { .. } => "started",
        Event::Leaving { .. } => "leaving",
        Event::Staying { .. } => "staying",
        Event::Executed { .. } => "executed",
        Event::RefusedNotRun { .. } => "refused_not_run",
        Event::AttemptStarted { .. } => "attempt_started",
        Event::AttemptFinished { .. } => "attempt_finished",
        Event::AttemptDropped { .. } => "attempt_dropped",
        Event::VersionInForce { .. } => "version_in_force",
        Event::OrderAnswered { .. } => "order_answered",
        Event::FaultInjected { .. } => "fault_injected",
        Event::WeightsStored { .. } => "weights_stored",
        Event::WeightsSent { .. } => "weights_sent",
        Event::Scored { .. } => "scored",
        Event::Submitted { .. } => "submitted",
        Event::BatchDelivered { .. } => "batch_delivered",
        Event::Trained { .. } => "trained",
        Event::Acknowledged { .. } => "acknowledged",
        Event::Published { .. } => "published",
        Event::Completed { .. } => "completed",
        Event::Answered { .. } => "answered",
        Event::RevisionSeen { .. } => "revision_seen",
        Event::CallerNode { .. } => "caller_node",
        Event::RevisionCommitted { .. } => "revision_committed",
        Event::RevisionInForce { .. } => "revision_in_force",
        Event::LeaderFound { .. } => "leader_found",
        Event::ProcessAction { .. } => "process_action",
    }
}

fn records() -> Vec<Record> {
    let events = [of_back_ends(), of_callers(), of_the_fleet()];
    let events = events.into_iter().flatten().enumerate();
    events
        .map(|(number, event)| Record {
            at_us: 1_764_720_000_000_000 + number as u64,
            source: text("stand-in"),
            event,
        })
        .collect()
}

#[gtest]
fn each_event_keeps_its_line() {
    let records = records();
    let lines: Vec<&str> = LINES.lines().collect();
    expect_that!(lines.len(), eq(records.len()));
    for (record, line) in records.iter().zip(lines) {
        let written = serde_json::to_string(record).expect("records are JSON");
        expect_that!(written, eq(line));
        let read: Record = serde_json::from_str(line).expect("a line is a record");
        expect_that!(&read, eq(record));
        let tag = format!("\"event\":\"{}\"", kind(&record.event));
        expect_true!(line.contains(&tag), "{line}");
    }
}
