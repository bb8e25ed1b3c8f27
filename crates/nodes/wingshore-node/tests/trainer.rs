//! Requests of a trainer through a node, and the rollouts that the node runs for the trainer.

mod common;

use common::back_end::{
    BackEnd, ReceivedRequest, write_end, write_event, write_response, write_stream_head,
};
use common::caller::post;
use common::{POOL, TestNode, engine_site, wait_until};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use wingshore_types::protocol::control::ControlRequest;
use wingshore_types::protocol::ledger::{
    Batch, LedgerRefusal, LedgerReply, LedgerRequest, SampleLease, UnscoredSample,
};
use wingshore_types::{
    Generation, LeaseId, Prompt, Sample, SampleNumber, Segment, StepId, WeightVersion,
};

fn path(rest: &str) -> String {
    format!("/v1/pools/{POOL}/{rest}")
}

fn idle_engine(_: &ReceivedRequest, stream: &mut TcpStream) {
    write_response(stream, 200, "", b"{}");
}

fn generation(segment_end: u32) -> Generation {
    Generation {
        tokens: vec![10, 11],
        segments: vec![Segment {
            version: WeightVersion(1),
            tokens: 0..segment_end,
        }],
    }
}

fn batch(segment_end: u32) -> LedgerReply {
    LedgerReply::Batch(Box::new(Batch {
        step: StepId(3),
        weight_version: WeightVersion(2),
        total: 1,
        samples: vec![Sample {
            number: SampleNumber(7),
            prompt: vec![1, 2],
            generation: generation(segment_end),
            score: 0.5,
        }],
    }))
}

#[gtest]
fn a_trainer_s_requests_reach_its_ledger() {
    let engine = BackEnd::start(idle_engine);
    let groups = engine_site(&[&engine]);
    let asked = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&asked);
    groups.script_ledger(move |request| {
        log.lock().expect("not poisoned").push(request.clone());
        match request {
            LedgerRequest::Submit { prompts, .. } => LedgerReply::Submitted {
                added: prompts.len() as u32,
                known: 0,
            },
            LedgerRequest::Pull { .. } => batch(2),
            _ => LedgerReply::Done,
        }
    });
    let node = TestNode::start(&groups, "node-a", "");
    let prompts = r#"{"prompts":[{"number":7,"tokens":[1,2],"max_tokens":2,"seed":9}]}"#;
    let submitted = post(node.address(), &path("samples"), "", prompts);
    expect_that!(submitted.json(), eq(&json!({ "added": 1, "known": 0 })));
    let pull = r#"{"trainer":"trainer-1","weight_version":2,"count":1,"wait_ms":100}"#;
    let pulled = post(node.address(), &path("steps/3/pull"), "", pull);
    let expected = json!({
        "step": 3,
        "weight_version": 2,
        "samples": [{
            "number": 7, "prompt": [1, 2], "tokens": [10, 11], "score": 0.5,
            "segments": [{ "version": 1, "tokens": { "start": 0, "end": 2 } }]
        }]
    });
    expect_that!(pulled.json(), eq(&expected));
    let again = post(node.address(), &path("steps/3/pull"), "", pull);
    expect_that!(again.body, eq(&pulled.body));
    let metrics = common::caller::get(node.address(), "/metrics").text();
    for line in [
        "wingshore_pull_wait_seconds_count 2\n",
        "wingshore_delivered_staleness_versions_count 2\n",
        "wingshore_delivered_staleness_versions_sum 2.0\n",
    ] {
        expect_that!(metrics, contains_substring(line));
    }
    let acknowledge = r#"{"trainer":"trainer-1"}"#;
    let acknowledged = post(node.address(), &path("steps/3/ack"), "", acknowledge);
    expect_that!(acknowledged.status, eq(200));
    let asked = asked.lock().expect("not poisoned");
    expect_that!(asked[0], matches_pattern!(LedgerRequest::Configure { .. }));
    expect_that!(*asked, len(eq(5)));
    drop(asked);
    node.finish();
}

#[gtest]
fn a_publication_sent_again_has_the_same_intent() {
    let engine = BackEnd::start(idle_engine);
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    for version in [2, 2, 3] {
        let body = json!({ "version": version }).to_string();
        let answer = post(node.address(), &path("versions"), "", &body);
        expect_that!(answer.status, eq(200));
    }
    let published = groups.published();
    let intents = published.iter().filter_map(|request| match request {
        ControlRequest::Publish { intent_id, .. } => Some(*intent_id),
        _ => None,
    });
    let intents: Vec<_> = intents.collect();
    assert_that!(intents, len(eq(3)));
    expect_that!(intents[0], eq(intents[1]));
    expect_that!(intents[0], not(eq(intents[2])));
    node.finish();
}

#[gtest]
fn a_ledger_s_refusals_carry_verdict_and_time() {
    let engine = BackEnd::start(idle_engine);
    let groups = engine_site(&[&engine]);
    let refusals = Arc::new(Mutex::new(Vec::new()));
    let script = Arc::clone(&refusals);
    groups.script_ledger(move |request| match request {
        LedgerRequest::Configure { .. } => LedgerReply::Done,
        _ => {
            let refusal: Option<LedgerRefusal> = script.lock().expect("not poisoned").pop();
            refusal.map_or(LedgerReply::Done, LedgerReply::Refused)
        }
    });
    let node = TestNode::start(&groups, "node-a", "");
    let cases = [
        (
            LedgerRefusal::Full {
                retry_after_ms: 900,
            },
            503,
            "ledger_full",
            Some("1"),
        ),
        (
            LedgerRefusal::NotReady {
                ready: 1,
                retry_after_ms: 1100,
            },
            503,
            "not_ready",
            Some("2"),
        ),
        (
            LedgerRefusal::WrongStep {
                message: "step 3 is acknowledged".to_owned(),
            },
            409,
            "wrong_step",
            None,
        ),
    ];
    for (refusal, status, code, retry_after) in cases {
        refusals.lock().expect("not poisoned").push(refusal);
        let answer = post(node.address(), &path("samples"), "", r#"{"prompts":[]}"#);
        expect_that!(answer.status, eq(status));
        let expected = (code.to_owned(), "not_run".to_owned());
        expect_that!(answer.error(), eq(&expected));
        expect_that!(answer.header("retry-after"), eq(retry_after));
    }
    node.finish();
}

#[gtest]
fn a_batch_with_segments_that_do_not_cover_its_tokens_is_held_back() {
    let engine = BackEnd::start(idle_engine);
    let groups = engine_site(&[&engine]);
    groups.script_ledger(|request| match request {
        LedgerRequest::Pull { .. } => batch(1),
        _ => LedgerReply::Done,
    });
    let node = TestNode::start(&groups, "node-a", "");
    let pull = r#"{"trainer":"trainer-1","weight_version":2,"count":1,"wait_ms":0}"#;
    let answer = post(node.address(), &path("steps/3/pull"), "", pull);
    expect_that!(answer.status, eq(500));
    expect_that!(answer.error().0, eq("internal"));
    node.finish();
}

/// Returns a part of a batch of three samples: at most two samples, starting at `from`.
fn part(from: u32) -> LedgerReply {
    let samples = (from..3).take(2).map(|number| Sample {
        number: SampleNumber(u64::from(number)),
        prompt: vec![1, 2],
        generation: generation(2),
        score: 0.5,
    });
    LedgerReply::Batch(Box::new(Batch {
        step: StepId(3),
        weight_version: WeightVersion(2),
        total: 3,
        samples: samples.collect(),
    }))
}

#[gtest]
fn a_batch_in_parts_reaches_the_trainer_whole() {
    let engine = BackEnd::start(idle_engine);
    let groups = engine_site(&[&engine]);
    groups.script_ledger(|request| match request {
        LedgerRequest::Pull { .. } => part(0),
        LedgerRequest::BatchPart { from, .. } => part(from),
        _ => LedgerReply::Done,
    });
    let node = TestNode::start(&groups, "node-a", "");
    let pull = r#"{"trainer":"trainer-1","weight_version":2,"count":3,"wait_ms":0}"#;
    let answer = post(node.address(), &path("steps/3/pull"), "", pull);
    let body: Value = serde_json::from_str(&answer.text()).expect("a batch");
    let samples = body["samples"].as_array().expect("samples");
    let numbers: Vec<&Value> = samples.iter().map(|sample| &sample["number"]).collect();
    expect_that!(numbers, eq(&vec![&json!(0), &json!(1), &json!(2)]));
    node.finish();
}

/// A scripted ledger with one sample to generate and to score.
#[derive(Default)]
struct OneSampleLedger {
    leased: bool,
    finished: Option<(LeaseId, Generation)>,
    offered: bool,
    score: Option<f64>,
    returned: Option<Generation>,
}

impl OneSampleLedger {
    fn answer(&mut self, request: LedgerRequest) -> LedgerReply {
        match request {
            LedgerRequest::Lease { .. } if !self.leased => {
                self.leased = true;
                LedgerReply::Leases(vec![lease()])
            }
            LedgerRequest::Lease { .. } => LedgerReply::Leases(Vec::new()),
            LedgerRequest::Renew { .. } => LedgerReply::Lost(Vec::new()),
            LedgerRequest::Finish {
                lease, generation, ..
            } => {
                self.finished = Some((lease, generation));
                LedgerReply::First(true)
            }
            LedgerRequest::Unscored { .. } => LedgerReply::Unscored(self.unscored()),
            LedgerRequest::Score { score, .. } => {
                self.score = Some(score);
                LedgerReply::First(true)
            }
            LedgerRequest::Return { partial, .. } => {
                self.returned = Some(partial);
                LedgerReply::Done
            }
            _ => LedgerReply::Done,
        }
    }

    fn unscored(&mut self) -> Vec<UnscoredSample> {
        let Some((lease, generation)) = self.finished.clone() else {
            return Vec::new();
        };
        if std::mem::replace(&mut self.offered, true) {
            return Vec::new();
        }
        vec![UnscoredSample {
            number: SampleNumber(7),
            lease,
            prompt: vec![1, 2],
            tokens: generation.tokens,
        }]
    }
}

fn lease() -> SampleLease {
    SampleLease {
        lease: LeaseId(42),
        prompt: Prompt {
            number: SampleNumber(7),
            tokens: vec![1, 2],
            max_tokens: 4,
            seed: 9,
        },
        partial: Generation::default(),
        oldest_useful: WeightVersion(1),
        duration_ms: 10_000,
    }
}

fn scripted_ledger(groups: &common::groups::ScriptedGroups) -> Arc<Mutex<OneSampleLedger>> {
    let ledger = Arc::new(Mutex::new(OneSampleLedger::default()));
    let script = Arc::clone(&ledger);
    groups.script_ledger(move |request| script.lock().expect("not poisoned").answer(request));
    ledger
}

const ROLLOUTS: &str = "rollout = { pools = [\"disputes\"], over_issue = false }";

#[gtest]
fn a_leased_sample_is_generated_reported_and_scored() {
    let engine = BackEnd::start(|arrived, stream| match arrived.target.as_str() {
        "/v1/completions" => {
            write_stream_head(stream);
            write_event(stream, r#"{"tokens":[10,11],"weight_version":1}"#);
            write_event(stream, r#"{"tokens":[12,13],"weight_version":2}"#);
            let usage = r#"{"prompt_tokens":2,"completion_tokens":4}"#;
            write_event(
                stream,
                &format!(r#"{{"finish_reason":"length","usage":{usage}}}"#),
            );
            write_end(stream);
        }
        "/score" => write_response(stream, 200, "", br#"{"score":0.75}"#),
        _ => write_response(stream, 200, "", b"{}"),
    });
    let groups = engine_site(&[&engine]);
    let ledger = scripted_ledger(&groups);
    let node = TestNode::start(&groups, "node-a", ROLLOUTS);
    wait_until("the sample is scored", || {
        ledger.lock().expect("not poisoned").score.is_some()
    });
    let ledger = ledger.lock().expect("not poisoned");
    expect_that!(ledger.score, some(eq(0.75)));
    let (lease, generation) = ledger
        .finished
        .clone()
        .expect("a scored sample is finished");
    expect_that!(lease, eq(LeaseId(42)));
    expect_that!(generation.tokens, eq(&vec![10, 11, 12, 13]));
    let segments = [(1, 0..2), (2, 2..4)].map(|(version, tokens)| Segment {
        version: WeightVersion(version),
        tokens,
    });
    expect_that!(generation.segments, eq(&segments.to_vec()));
    drop(ledger);
    let sent = engine.arrived();
    let request: Value = serde_json::from_slice(&sent[0].body).expect("the node sends JSON");
    expect_that!(request["seed"], eq(&json!(9)));
    expect_that!(request["max_tokens"], eq(&json!(4)));
    node.finish();
}

#[gtest]
fn a_planned_stop_gives_partial_samples_back() {
    let engine = BackEnd::start(|arrived, stream| {
        if arrived.target != "/v1/completions" {
            return write_response(stream, 200, "", b"{}");
        }
        write_stream_head(stream);
        write_event(stream, r#"{"tokens":[10,11],"weight_version":1}"#);
        // Blocks until the node closes the stream.
        while write_event(stream, r#"{"tokens":[],"weight_version":1}"#) {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let groups = engine_site(&[&engine]);
    let ledger = scripted_ledger(&groups);
    let more = format!("stop_grace = \"500ms\"\n{ROLLOUTS}");
    let node = TestNode::start(&groups, "node-a", &more);
    wait_until("the stream runs", || {
        engine
            .arrived()
            .iter()
            .any(|one| one.target == "/v1/completions")
    });
    wait_until("tokens have come", || {
        let metrics = common::caller::get(node.address(), "/metrics").text();
        metrics.contains("wingshore_rollout_tokens_total 2\n")
    });
    node.finish();
    let ledger = ledger.lock().expect("not poisoned");
    let partial = ledger.returned.clone().expect("the sample was given back");
    expect_that!(partial.tokens, eq(&vec![10, 11]));
    expect_that!(ledger.finished, none());
}
