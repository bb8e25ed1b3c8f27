//! A long sample moves from a leaving engine to another one together with its KV cache.

mod common;

use common::back_end::{
    BackEnd, ProbeReply, ReceivedRequest, write_end, write_event, write_response, write_stream_head,
};
use common::{TestNode, engine_site, wait_until};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, SampleLease};
use wingshore_types::{Generation, LeaseId, Prompt, SampleNumber, WeightVersion};

/// Number of tokens generated on the first engine, enough for a copy of the cache to be
/// worthwhile.
const FIRST_ENGINE_TOKENS: usize = 2000;
const ROLLOUTS: &str = "rollout = { pools = [\"disputes\"], over_issue = false }\n\
                        routing = { probe_interval = \"50ms\" }";

/// Generates [`FIRST_ENGINE_TOKENS`] tokens and then stalls; a resumed request gets one more token
/// and the end.
fn engine(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    match arrived.target.as_str() {
        "/v1/completions" => complete(arrived, stream),
        "/kv/export" => write_response(stream, 200, "", br#"{"handle":"kv-1"}"#),
        "/score" => write_response(stream, 200, "", br#"{"score":1.0}"#),
        _ => write_response(stream, 200, "", b"{}"),
    }
}

fn complete(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    let body: Value = serde_json::from_slice(&arrived.body).expect("the node sends JSON");
    let resumed = body["resume"].as_array().map_or(0, Vec::len);
    write_stream_head(stream);
    let tokens = if resumed == 0 {
        vec![7; FIRST_ENGINE_TOKENS]
    } else {
        vec![8]
    };
    let event = json!({ "tokens": tokens, "weight_version": 1 });
    write_event(stream, &event.to_string());
    if resumed == 0 {
        // Simulates a busy engine; the node closes the stream when it moves the sample.
        while write_event(stream, r#"{"tokens":[],"weight_version":1}"#) {
            thread::sleep(Duration::from_millis(20));
        }
        return;
    }
    let usage = json!({ "prompt_tokens": 1, "completion_tokens": resumed + 1 });
    let end = json!({ "finish_reason": "stop", "usage": usage });
    write_event(stream, &end.to_string());
    write_end(stream);
}

fn lease() -> SampleLease {
    SampleLease {
        lease: LeaseId(1),
        prompt: Prompt {
            number: SampleNumber(1),
            tokens: vec![1],
            max_tokens: 2 * FIRST_ENGINE_TOKENS as u32,
            seed: 1,
        },
        partial: Generation::default(),
        oldest_useful: WeightVersion(1),
        duration_ms: 60_000,
    }
}

#[gtest]
fn a_long_sample_moves_with_its_cache() {
    let engines = [BackEnd::start(engine), BackEnd::start(engine)];
    let groups = engine_site(&[&engines[0], &engines[1]]);
    let (is_leased, finished) = (AtomicBool::new(false), Arc::new(AtomicUsize::new(0)));
    let tokens_finished = Arc::clone(&finished);
    groups.script_ledger(move |request| match request {
        LedgerRequest::Lease { .. } if !is_leased.swap(true, Ordering::SeqCst) => {
            LedgerReply::Leases(vec![lease()])
        }
        LedgerRequest::Lease { .. } => LedgerReply::Leases(Vec::new()),
        LedgerRequest::Renew { .. } => LedgerReply::Lost(Vec::new()),
        LedgerRequest::Unscored { .. } => LedgerReply::Unscored(Vec::new()),
        LedgerRequest::Finish { generation, .. } => {
            tokens_finished.store(generation.tokens.len(), Ordering::SeqCst);
            LedgerReply::First(true)
        }
        _ => LedgerReply::Done,
    });
    let node = TestNode::start(&groups, "node-a", ROLLOUTS);
    wait_until("the sample runs", || engines.iter().any(|e| e.count() > 0));
    let (from, to) = match engines[0].count() {
        0 => (&engines[1], &engines[0]),
        _ => (&engines[0], &engines[1]),
    };
    from.set_probe_reply(ProbeReply::Draining);
    wait_until("the sample is finished", || {
        finished.load(Ordering::SeqCst) == FIRST_ENGINE_TOKENS + 1
    });
    let targets = |engine: &BackEnd| -> Vec<String> {
        let arrived = engine.arrived().into_iter().map(|request| request.target);
        arrived.filter(|target| target != "/score").collect()
    };
    wait_until("the first engine is told to stop", || {
        targets(from) == ["/v1/completions", "/kv/export", "/v1/cancel"]
    });
    expect_that!(
        targets(to),
        eq(&["/kv/import", "/v1/completions"].map(String::from))
    );
    let import: Value = serde_json::from_slice(&to.arrived()[0].body).expect("JSON");
    let expected = json!({ "handle": "kv-1", "from": from.address() });
    expect_that!(import, eq(&expected));
    node.finish();
}
