//! Compares the messages of a node to callers and back ends byte for byte, and the names of its
//! metrics, with golden files.
//!
//! One node serves a fixed list of requests. Its answers, the requests that reach its back ends
//! and the names, types and label names of its metrics must equal the golden files. Values that
//! differ between runs (addresses, identities, times) are replaced by `#`.

mod common;

use common::back_end::{
    BackEnd, ReceivedRequest, write_end, write_event, write_response, write_stream_head,
};
use common::caller::{connect, post_bytes};
use common::groups::{Claimed, ScriptedGroups};
use common::{ENGINES, LIVE, MODEL, TestNode, put_pool, put_server, put_service, wait_until};
use googletest::prelude::*;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use wingshore_types::configuration::ServiceKind;
use wingshore_types::protocol::ledger::{Batch, LedgerRefusal, LedgerReply, LedgerRequest};
use wingshore_types::{
    Generation, Sample, SampleNumber, Segment, StepId, TrainerId, WeightVersion,
};

/// A live service without servers.
const EMPTY_SERVICE: &str = "fare-empty";
/// Keys and headers whose values differ between runs.
const VARIABLE_KEYS: &[&str] = &[
    "\"id\":",
    "\"request_id\":",
    "\"created\":",
    "\"deadline_ms\":",
    "x-wingshore-deadline-ms: ",
    "host: ",
];

/// Requests with a body: target, additional headers, body.
const POST_REQUESTS: &[(&str, &str, &str)] = &[
    ("/healthz", "", ""),
    ("/v1/nothing", "", "{}"),
    ("/nothing/at/all", "", "{}"),
    ("/fare-lm/load", "", "{}"),
    (
        "/fare-empty/charges",
        "X-Wingshore-Deadline-Ms: 100\r\n",
        "{}",
    ),
    (
        "/fare-api/charges?zone=1",
        "X-Card: 4711\r\nConnection: x-hop\r\nX-Hop: 1\r\n",
        "{}",
    ),
    ("/fare-api/charges", "Idempotency-Key: ride-1\r\n", "one"),
    ("/fare-api/charges", "Idempotency-Key: ride-1\r\n", "one"),
    ("/fare-api/missing", "X-Wingshore-No-Repeat: true\r\n", "{}"),
    ("/fare-api/silent", "X-Wingshore-No-Repeat: true\r\n", "{}"),
    (
        "/fare-api/stalled",
        "X-Wingshore-Deadline-Ms: 300\r\n",
        "{}",
    ),
    (
        "/fare-api/charges",
        "X-Wingshore-Deadline-Ms: soon\r\n",
        "{}",
    ),
    (
        "/fare-api/charges",
        "X-Wingshore-No-Repeat: maybe\r\n",
        "{}",
    ),
    ("/fare-api/charges", "Idempotency-Key: \r\n", "{}"),
    ("/v1/completions", "X-Wingshore-Priority: high\r\n", "{}"),
    ("/v1/completions", "", "not JSON"),
    (
        "/v1/completions",
        "",
        r#"{"model":"fare-explainer","prompt":[1],"n":2}"#,
    ),
    ("/v1/completions", "", r#"{"model":"other","prompt":[1]}"#),
    ("/v1/completions", "", r#"{"pool":"other","prompt":[1]}"#),
    (
        "/v1/completions",
        "",
        r#"{"model":"fare-explainer","prompt":[400],"seed":7}"#,
    ),
    (
        "/v1/completions",
        "X-Wingshore-Priority: 3\r\n",
        r#"{"model":"fare-explainer","prompt":"hé","max_tokens":4,"seed":7,"adapter":"a"}"#,
    ),
    (
        "/v1/completions",
        "",
        r#"{"pool":"disputes","prompt":[1,2],"max_tokens":4,"seed":7,"stream":true}"#,
    ),
    (
        "/v1/pools/disputes/samples",
        "",
        r#"{"prompts":[{"number":7,"tokens":[1,2],"max_tokens":2,"seed":9}]}"#,
    ),
    ("/v1/pools/disputes/samples", "", r#"{"prompts":1}"#),
    ("/v1/pools/other/samples", "", r#"{"prompts":[]}"#),
    (
        "/v1/pools/disputes/steps/3/pull",
        "",
        r#"{"trainer":"trainer-1","weight_version":2,"count":1,"wait_ms":100}"#,
    ),
    (
        "/v1/pools/disputes/steps/4/pull",
        "",
        r#"{"trainer":"trainer-1","weight_version":2,"count":1,"wait_ms":100}"#,
    ),
    (
        "/v1/pools/disputes/steps/5/pull",
        "",
        r#"{"trainer":"trainer-2","weight_version":2,"count":1,"wait_ms":100}"#,
    ),
    ("/v1/pools/disputes/steps/x/pull", "", "{}"),
    (
        "/v1/pools/disputes/steps/3/ack",
        "",
        r#"{"trainer":"trainer-1"}"#,
    ),
    ("/v1/pools/disputes/versions", "", r#"{"version":2}"#),
];

/// Requests that are sent as raw bytes.
const RAW_REQUESTS: &[&str] = &[
    "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n",
    "GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n",
    "GET /v1/completions HTTP/1.1\r\nHost: node\r\n\r\n",
    "GET /fare-api/cards HTTP/1.1\r\nHost: node\r\n\r\n",
    "POST /fare-api/c HTTP/1.1\r\nHost: node\r\nContent-Length: 70000\r\n\r\n",
    "POST /fare-api/c HTTP/1.1\r\nHost: node\r\nContent-Length: -1\r\n\r\n",
    "POST /fare-api/c HTTP/1.1\r\nHost: node\r\nContent-Length: 5000\r\n\r\ncut",
    "POST /fare-api/c HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
];

fn live_server(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    match arrived.target.as_str() {
        "/silent" => {}
        "/stalled" => std::thread::sleep(std::time::Duration::from_secs(1)),
        "/missing" => write_response(stream, 404, "X-Charge: 17\r\n", b"none"),
        _ => write_response(stream, 200, "X-Charge: 17\r\n", b"charged"),
    }
}

fn engine(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    if arrived.target != "/v1/completions" {
        return write_response(stream, 200, "", b"{}");
    }
    let asked: Value = serde_json::from_slice(&arrived.body).expect("JSON");
    if asked["prompt"][0] == 400 {
        return write_response(stream, 400, "", b"{\"error\":\"no such token\"}");
    }
    write_stream_head(stream);
    write_event(stream, r#"{"tokens":[10,11],"weight_version":1}"#);
    write_event(stream, r#"{"tokens":[12,13],"weight_version":2}"#);
    write_event(
        stream,
        r#"{"finish_reason":"length","usage":{"prompt_tokens":2,"completion_tokens":4,"cached_tokens":0}}"#,
    );
    write_end(stream);
}

fn ledger(request: LedgerRequest) -> LedgerReply {
    match request {
        LedgerRequest::Submit { .. } => LedgerReply::Submitted { added: 1, known: 0 },
        LedgerRequest::Pull { pull, .. } if pull.step == StepId(3) => {
            LedgerReply::Batch(Box::new(batch()))
        }
        LedgerRequest::Pull { pull, .. } if pull.step == StepId(4) => {
            LedgerReply::Refused(LedgerRefusal::NotReady {
                ready: 0,
                retry_after_ms: 100,
            })
        }
        LedgerRequest::Pull { .. } => LedgerReply::Refused(LedgerRefusal::WrongTrainer {
            expected: TrainerId::new("trainer-1"),
        }),
        _ => LedgerReply::Done,
    }
}

fn batch() -> Batch {
    Batch {
        step: StepId(3),
        weight_version: WeightVersion(2),
        total: 1,
        samples: vec![Sample {
            number: SampleNumber(7),
            prompt: vec![1, 2],
            generation: Generation {
                tokens: vec![10, 11],
                segments: vec![Segment {
                    version: WeightVersion(1),
                    tokens: 0..2,
                }],
            },
            score: 0.5,
        }],
    }
}

fn site(live: &BackEnd, engine: &BackEnd) -> ScriptedGroups {
    let model = MODEL.to_owned();
    let groups = ScriptedGroups::start(vec![
        put_service(LIVE, ServiceKind::Live),
        put_server(LIVE, "api-0", live.address()),
        put_service(EMPTY_SERVICE, ServiceKind::Live),
        put_service(ENGINES, ServiceKind::Engines { model }),
        put_server(ENGINES, "lm-0", engine.address()),
        put_pool(engine.address()),
    ]);
    groups.script_ledger(ledger);
    groups
}

/// Sends one request on a connection of its own and returns everything that is received.
fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = connect(address);
    stream.write_all(request).expect("the node takes it");
    stream.shutdown(Shutdown::Write).expect("an open socket");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    String::from_utf8(answer).expect("text")
}

/// Replaces the values that differ between runs and the lengths that depend on them; removes lines
/// with a date.
fn normalized(text: &str) -> String {
    let mut normalized = String::new();
    let has_identity = text.contains("\"id\":");
    for line in text.lines().filter(|line| !line.starts_with("Date: ")) {
        let mut line = line.to_owned();
        if has_identity {
            line = mask_value(&line, "Content-Length: ");
        }
        if has_identity && usize::from_str_radix(&line, 16).is_ok() {
            line = "#".to_owned();
        }
        for key in VARIABLE_KEYS {
            line = mask_value(&line, key);
        }
        writeln!(normalized, "{line}").expect("a string");
    }
    normalized
}

/// Replaces the value after `key` in `line`, up to a comma, a brace or the end of the line.
fn mask_value(line: &str, key: &str) -> String {
    let Some(index) = line.find(key) else {
        return line.to_owned();
    };
    let (before, value) = line.split_at(index + key.len());
    let end = value.find([',', '}']).unwrap_or(value.len());
    format!("{before}#{}", &value[end..])
}

fn requests_at(name: &str, back_end: &BackEnd, text: &mut String) {
    for arrived in back_end.arrived() {
        let mut request = format!("=== {name}: {} {}\n", arrived.method, arrived.target);
        let mut headers = arrived.headers.clone();
        headers.sort();
        for (header, value) in headers {
            // The length depends on values that differ between runs.
            if header != "content-length" {
                writeln!(request, "{header}: {value}").expect("a string");
            }
        }
        request.push_str(&String::from_utf8_lossy(&arrived.body));
        text.push_str(&normalized(&request));
    }
}

/// Returns the names, types and help texts of the metrics, and the sample names with their label
/// names.
fn metric_names(metrics: &str) -> String {
    let mut samples = BTreeSet::new();
    let mut text = String::new();
    for line in metrics.lines() {
        if line.starts_with('#') {
            writeln!(text, "{line}").expect("a string");
            continue;
        }
        let name = line.split(['{', ' ']).next().unwrap_or_default();
        let mut labels: Vec<&str> = line
            .split("=\"")
            .filter_map(|part| part.rsplit(['{', ',']).next())
            .collect();
        labels.pop();
        samples.insert(format!("{name} {}", labels.join(" ")));
    }
    for sample in samples {
        writeln!(text, "{}", sample.trim_end()).expect("a string");
    }
    text
}

fn expect_golden(file: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let kept = std::fs::read_to_string(path).unwrap_or_default();
    if kept != found {
        let seen = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&seen, found).expect("a file of the build's folder");
        println!("what was seen: {}", seen.display());
    }
    expect_that!(kept, eq(found), "{file}");
}

#[gtest]
fn answers_and_requests_keep_their_bytes() {
    let (live, engine) = (BackEnd::start(live_server), BackEnd::start(engine));
    let groups = site(&live, &engine);
    let node = TestNode::start(&groups, "node-a", "");
    let mut answers = String::new();
    let posts = POST_REQUESTS.iter().map(|(target, headers, body)| {
        String::from_utf8(post_bytes(target, headers, body)).expect("text")
    });
    let raw = RAW_REQUESTS.iter().map(|request| (*request).to_owned());
    for request in posts.chain(raw) {
        wait_until("claims are settled", || {
            let claims = groups.claimed();
            claims
                .iter()
                .all(|claim| matches!(claim, Claimed::Ended(_)))
        });
        let line = request.lines().next().unwrap_or_default();
        let answer = exchange(node.address(), request.as_bytes());
        writeln!(answers, "=== {line}\n{}", normalized(&answer)).expect("a string");
    }
    let metrics = exchange(
        node.address(),
        b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n",
    );
    let (_, metrics) = metrics.split_once("\r\n\r\n").expect("a body");
    node.finish();
    let mut requests = String::new();
    requests_at("live server", &live, &mut requests);
    requests_at("engine", &engine, &mut requests);
    expect_golden("answers.txt", &answers);
    expect_golden("requests.txt", &requests);
    expect_golden("metrics.txt", &metric_names(metrics));
}
