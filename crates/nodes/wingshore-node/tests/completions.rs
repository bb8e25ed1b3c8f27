//! Completions through a node: complete or an error, flushed per event, resumed, cancelled.

mod common;

use common::back_end::{
    BackEnd, ReceivedRequest, write, write_end, write_event, write_response, write_stream_head,
};
use common::caller::{Answer, connect, get, post, post_bytes, read_chunk, read_head};
use common::{ENGINES, MODEL, POOL, TestNode, engine_site, wait_until};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;

const PATH: &str = "/v1/completions";
const FINISHED: &str = r#"{"finish_reason":"length","usage":{"prompt_tokens":2,"completion_tokens":4,"cached_tokens":0}}"#;

fn chunk(tokens: &[u32], version: u64) -> String {
    json!({ "tokens": tokens, "weight_version": version }).to_string()
}

fn ask(more: &Value) -> String {
    let mut body = json!({ "model": MODEL, "prompt": [5, 6], "max_tokens": 4 });
    for (key, value) in more.as_object().expect("an object") {
        body[key] = value.clone();
    }
    body.to_string()
}

fn is_completion(arrived: &ReceivedRequest) -> bool {
    arrived.target == PATH
}

/// Answers all requests to an engine other than completions.
fn answer_other(stream: &mut TcpStream) {
    write_response(stream, 200, "", b"{}");
}

/// Generates four tokens in two chunks with two weight versions.
fn complete_engine(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    if !is_completion(arrived) {
        return answer_other(stream);
    }
    write_stream_head(stream);
    write_event(stream, &chunk(&[10, 11], 1));
    write_event(stream, &chunk(&[12, 13], 2));
    write_event(stream, FINISHED);
    write_end(stream);
}

/// Generates two tokens, then closes the connection; generates the rest in a resumed request.
fn disconnecting_engine(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    if !is_completion(arrived) {
        return answer_other(stream);
    }
    let body: Value = serde_json::from_slice(&arrived.body).expect("the node sends JSON");
    write_stream_head(stream);
    if body["resume"] == json!([]) {
        write_event(stream, &chunk(&[10, 11], 1));
        return;
    }
    write_event(stream, &chunk(&[12, 13], 2));
    write_event(stream, FINISHED);
    write_end(stream);
}

/// Returns the data of all events of a streamed answer.
fn events(answer: &Answer) -> Vec<String> {
    answer
        .text()
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .map(str::to_owned)
        .collect()
}

#[gtest]
fn a_buffered_completion_names_tokens_and_versions() {
    let engine = BackEnd::start(complete_engine);
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    for target in [json!({}), json!({ "model": null, "pool": POOL })] {
        let answer = post(node.address(), PATH, "", &ask(&target));
        expect_that!(answer.status, eq(200), "{}", answer.text());
        let body = answer.json();
        let choice = &body["choices"][0];
        expect_that!(body["object"], eq(&json!("text_completion")));
        expect_that!(choice["tokens"], eq(&json!([10, 11, 12, 13])));
        expect_that!(choice["text"], eq(&json!(" 10 11 12 13")));
        expect_that!(choice["finish_reason"], eq(&json!("length")));
        let segments = json!([
            { "version": 1, "tokens": { "start": 0, "end": 2 } },
            { "version": 2, "tokens": { "start": 2, "end": 4 } }
        ]);
        expect_that!(choice["segments"], eq(&segments));
        expect_that!(body["usage"]["total_tokens"], eq(&json!(6)));
    }
    node.finish();
}

#[gtest]
fn text_prompts_are_their_bytes() {
    let engine = BackEnd::start(complete_engine);
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let answer = post(node.address(), PATH, "", &ask(&json!({ "prompt": "hé" })));
    expect_that!(answer.status, eq(200));
    let sent: Value = serde_json::from_slice(&engine.arrived()[0].body).expect("JSON");
    expect_that!(sent["prompt"], eq(&json!([0x68, 0xc3, 0xa9])));
    node.finish();
}

#[gtest]
fn each_event_reaches_the_caller_before_the_next_is_made() {
    let (proceed, wait) = channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let engine = BackEnd::start(move |arrived, stream| {
        if !is_completion(arrived) {
            return answer_other(stream);
        }
        let wait = wait.lock().expect("one request at a time");
        write_stream_head(stream);
        for token in 10..14 {
            write_event(stream, &chunk(&[token], 1));
            // Generates the next token only after the caller has received this one.
            wait.recv().expect("the caller goes on");
        }
        write_event(stream, FINISHED);
        write_end(stream);
    });
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let mut stream = connect(node.address());
    let bytes = post_bytes(PATH, "", &ask(&json!({ "stream": true })));
    stream
        .write_all(&bytes)
        .expect("the node takes the request");
    let mut reader = BufReader::new(&stream);
    let (status, headers) = read_head(&mut reader);
    expect_that!(status, eq(200));
    let server = ("x-wingshore-server".to_owned(), "lm-0".to_owned());
    expect_that!(headers, contains(eq(&server)));
    for token in 10..14 {
        let event = read_chunk(&mut reader).expect("the event comes");
        let event = String::from_utf8(event).expect("events are text");
        expect_that!(event, contains_substring(format!("\"tokens\":[{token}]")));
        proceed.send(()).expect("the engine waits");
    }
    let end = String::from_utf8(read_chunk(&mut reader).expect("the end comes")).expect("text");
    expect_that!(end, contains_substring("\"finish_reason\":\"length\""));
    let done = read_chunk(&mut reader).expect("the last event comes");
    expect_that!(done, eq(b"data: [DONE]\n\n"));
    expect_that!(read_chunk(&mut reader), none());
    node.finish();
}

#[gtest]
fn tokens_of_a_failed_engine_are_resumed_on_another() {
    for stream in [false, true] {
        let engines = [
            BackEnd::start(disconnecting_engine),
            BackEnd::start(disconnecting_engine),
        ];
        let groups = engine_site(&[&engines[0], &engines[1]]);
        let node = TestNode::start(&groups, "node-a", "");
        let answer = post(node.address(), PATH, "", &ask(&json!({ "stream": stream })));
        expect_that!(answer.status, eq(200));
        let tokens: Vec<Value> = if stream {
            events(&answer)
                .iter()
                .filter_map(|event| serde_json::from_str::<Value>(event).ok())
                .flat_map(|event| event["choices"][0]["tokens"].as_array().cloned())
                .flatten()
                .collect()
        } else {
            let body = answer.json();
            body["choices"][0]["tokens"]
                .as_array()
                .cloned()
                .unwrap_or_default()
        };
        expect_that!(
            json!(tokens),
            eq(&json!([10, 11, 12, 13])),
            "stream: {stream}"
        );
        let counts = engines.iter().map(|engine| {
            let arrived = engine.arrived();
            arrived.iter().filter(|one| is_completion(one)).count()
        });
        expect_that!(counts.collect::<Vec<_>>(), eq(&vec![1, 1]));
        node.finish();
    }
}

#[gtest]
fn a_truncated_stream_is_an_error_and_never_a_short_success() {
    let cutting = |arrived: &ReceivedRequest, stream: &mut TcpStream| {
        if !is_completion(arrived) {
            return answer_other(stream);
        }
        write_stream_head(stream);
        write_event(stream, &chunk(&[10, 11], 1));
        // A chunk whose declared length exceeds the bytes that are sent.
        write(stream, b"ff\r\ndata: {\"finish");
    };
    let engine = BackEnd::start(cutting);
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let no_repeat = "X-Wingshore-No-Repeat: true\r\n";
    let buffered = post(node.address(), PATH, no_repeat, &ask(&json!({})));
    expect_that!(buffered.status, eq(502));
    let expected = ("answer_cut".to_owned(), "may_have_run".to_owned());
    expect_that!(buffered.error(), eq(&expected));
    let streamed = post(
        node.address(),
        PATH,
        no_repeat,
        &ask(&json!({ "stream": true })),
    );
    let events = events(&streamed);
    assert_that!(events, len(eq(2)));
    let last: Value = serde_json::from_str(&events[1]).expect("the last event is JSON");
    expect_that!(last["error"]["code"], eq(&json!("answer_cut")));
    expect_that!(last["error"]["verdict"], eq(&json!("may_have_run")));
    expect_that!(
        engine
            .arrived()
            .iter()
            .filter(|one| is_completion(one))
            .count(),
        eq(2)
    );
    node.finish();
}

#[gtest]
fn a_caller_that_disconnects_cancels_at_the_engine() {
    let engine = BackEnd::start(|arrived, stream| {
        if !is_completion(arrived) {
            return answer_other(stream);
        }
        write_stream_head(stream);
        // Generates until the node closes the connection.
        while write_event(stream, &chunk(&[10], 1)) {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    });
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let mut stream = connect(node.address());
    let body = ask(&json!({ "stream": true, "max_tokens": 1_000_000 }));
    stream
        .write_all(&post_bytes(PATH, "", &body))
        .expect("the node takes the request");
    let mut reader = BufReader::new(&stream);
    read_head(&mut reader);
    read_chunk(&mut reader).expect("the first event comes");
    drop(reader);
    drop(stream);
    wait_until("the engine is told", || {
        engine
            .arrived()
            .iter()
            .any(|one| one.target == "/v1/cancel")
    });
    let arrived = engine.arrived();
    let id_of = |target: &str| {
        let found = arrived.iter().find(|one| one.target == target)?;
        let body: Value = serde_json::from_slice(&found.body).ok()?;
        body["request_id"].as_str().map(str::to_owned)
    };
    expect_that!(id_of("/v1/cancel"), some(anything()));
    expect_that!(id_of("/v1/cancel"), eq(&id_of(PATH)));
    node.finish();
}

#[gtest]
fn deadline_and_priority_reach_the_engine_and_the_deadline_is_kept() {
    let release = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&release);
    let engine = BackEnd::start(move |arrived, stream| {
        if !is_completion(arrived) {
            return answer_other(stream);
        }
        while !released.load(Ordering::SeqCst) {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let headers = "X-Wingshore-Deadline-Ms: 200\r\nX-Wingshore-Priority: 7\r\n";
    let answer = post(node.address(), PATH, headers, &ask(&json!({})));
    release.store(true, Ordering::SeqCst);
    expect_that!(answer.status, eq(504));
    let expected = ("deadline_exceeded".to_owned(), "may_have_run".to_owned());
    expect_that!(answer.error(), eq(&expected));
    let sent: Value = serde_json::from_slice(&engine.arrived()[0].body).expect("JSON");
    expect_that!(sent["priority"], eq(&json!(7)));
    expect_that!(sent["deadline_ms"].as_u64(), some(le(200)));
    node.finish();
}

#[gtest]
fn invalid_requests_are_refused_as_not_run() {
    let engine = BackEnd::start(complete_engine);
    let groups = engine_site(&[&engine]);
    let node = TestNode::start(&groups, "node-a", "");
    let cases = [
        ("{".to_owned(), 400, "invalid_request"),
        (ask(&json!({ "prompt": [] })), 400, "invalid_request"),
        (ask(&json!({ "max_tokens": 0 })), 400, "invalid_request"),
        (ask(&json!({ "n": 2 })), 400, "invalid_request"),
        (ask(&json!({ "stop": "x" })), 400, "invalid_request"),
        (ask(&json!({ "pool": POOL })), 400, "invalid_request"),
        (ask(&json!({ "model": "another" })), 404, "unknown_model"),
    ];
    for (body, status, code) in cases {
        let answer = post(node.address(), PATH, "", &body);
        expect_that!(answer.status, eq(status), "for {body}");
        let expected = (code.to_owned(), "not_run".to_owned());
        expect_that!(answer.error(), eq(&expected), "for {body}");
    }
    expect_that!(engine.count(), eq(0));
    let forwarded = get(node.address(), &format!("/{ENGINES}/state"));
    expect_that!(forwarded.error().0, eq("not_a_live_service"));
    node.finish();
}
