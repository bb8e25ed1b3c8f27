//! Callers that send or read slowly do not delay other callers.

mod common;

use common::back_end::{BackEnd, write_event, write_response, write_stream_head};
use common::caller::{connect, get, post, post_bytes, read_answer};
use common::{LIVE, MODEL, TestNode, engine_site, live_site, wait_until};
use googletest::prelude::*;
use std::io::{BufReader, Write};
use wingshore_types::api::DEADLINE_HEADER;

/// Number of slow callers: far more than the eight workers of a test node and all its queues.
const SLOW_CALLERS: usize = 60;

#[gtest]
fn callers_that_send_slowly_do_not_delay_others() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let target = format!("/{LIVE}/charges");
    let body = "x".repeat(60_000);
    let request = post_bytes(&target, "", &body);
    let refused = post_bytes("/nowhere", "X-Wingshore-Deadline-Ms: soon\r\n", &body);
    let (early, late) = request.split_at(request.len() - 1000);
    let slow: Vec<_> = (0..SLOW_CALLERS)
        .map(|number| {
            let mut stream = connect(node.address());
            let part = if number % 2 == 0 {
                early
            } else {
                &refused[..2000]
            };
            stream.write_all(part).expect("the node takes a part");
            stream
        })
        .collect();
    expect_that!(post(node.address(), &target, "", "x").status, eq(200));
    expect_that!(get(node.address(), "/healthz").status, eq(200));
    expect_that!(server.count(), eq(1), "no part of a body was forwarded");
    let mut patient = &slow[0];
    patient.write_all(late).expect("the node takes the rest");
    expect_that!(read_answer(&mut BufReader::new(patient)).status, eq(200));
    expect_that!(server.arrived()[1].body.len(), eq(body.len()));
    drop(slow);
    node.finish();
}

#[gtest]
fn callers_that_connect_at_once_and_keep_their_connections_are_all_answered() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let connect_one = |_| connect(node.address());
    let mut callers: Vec<_> = (0..SLOW_CALLERS).map(connect_one).collect();
    let look_up = format!("GET /{LIVE}/cards/1 HTTP/1.1\r\nHost: node\r\n\r\n");
    for caller in &mut callers {
        caller
            .write_all(look_up.as_bytes())
            .expect("the node takes the request");
        let answer = read_answer(&mut BufReader::new(&*caller));
        expect_that!(answer.status, eq(200));
    }
    node.finish();
}

#[gtest]
fn a_caller_that_does_not_read_its_stream_is_disconnected_and_its_engine_request_cancelled() {
    let tokens = vec![7; 4000];
    let event = serde_json::json!({ "tokens": tokens, "weight_version": 1 }).to_string();
    let engine = BackEnd::start(move |arrived, stream| {
        if arrived.target != "/v1/completions" {
            return write_response(stream, 200, "", b"{}");
        }
        write_stream_head(stream);
        while write_event(stream, &event) {}
    });
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let ask = serde_json::json!({
        "model": MODEL, "prompt": [1], "max_tokens": 100_000_000, "stream": true
    });
    let headers = format!("{DEADLINE_HEADER}: 3600000\r\n");
    let mut caller = connect(node.address());
    caller
        .write_all(&post_bytes("/v1/completions", &headers, &ask.to_string()))
        .expect("the node takes the request");
    wait_until("the engine is told that nobody reads", || {
        let arrived = engine.arrived();
        arrived.iter().any(|request| request.target == "/v1/cancel")
    });
    drop(caller);
    node.finish();
}
