//! Failures of back ends (of all, or of one that is leaving) and of the node that owns a key.

mod common;

use common::back_end::{
    BackEnd, ProbeReply, ReceivedRequest, write_end, write_event, write_response, write_stream_head,
};
use common::caller::{get, post};
use common::{LIVE, MODEL, TestNode, engine_site, live_site, wait_until};
use googletest::prelude::*;
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::ServerId;
use wingshore_types::configuration::{Admission, ConfigurationChange};

/// Number of requests sent during the outage.
const REQUESTS: usize = 500;
/// Retries that the router's budget allows in addition to its share of the requests: as a burst,
/// and per second.
const RETRY_BURST: f64 = 20.0;
const RETRIES_PER_SECOND: f64 = 5.0;
/// Deadline beyond the time that a test waits for one answer, so that a request held until its
/// deadline fails the test.
const LONG_DEADLINE: &str = "X-Wingshore-Deadline-Ms: 600000\r\n";

#[gtest]
fn retries_are_bounded_in_an_outage_and_requests_are_answered_at_once() {
    let is_down = Arc::new(AtomicBool::new(true));
    let servers = [0, 1, 2].map(|_| {
        let is_down = Arc::clone(&is_down);
        BackEnd::start(move |_, stream| {
            if !is_down.load(Ordering::SeqCst) {
                write_response(stream, 200, "", b"card");
            }
        })
    });
    let groups = live_site(&[&servers[0], &servers[1], &servers[2]]);
    let node = TestNode::start(&groups, "node-a", "routing = { retry_budget = 100 }");
    let target = format!("/{LIVE}/cards/1");
    let fetch = || get_with(&node, &target, LONG_DEADLINE);
    let begun = Instant::now();
    for _ in 0..REQUESTS {
        let answer = fetch();
        expect_that!(answer.error().1, any!(eq("not_run"), eq("may_have_run")));
        expect_that!(answer.header("retry-after"), some(anything()));
    }
    let attempts: usize = servers.iter().map(BackEnd::count).sum();
    let first = REQUESTS as f64;
    let allowed =
        first * 1.1 + RETRY_BURST + RETRIES_PER_SECOND * (begun.elapsed().as_secs_f64() + 1.0);
    expect_that!(attempts as f64, le(allowed));
    expect_that!(attempts, gt(REQUESTS / 2), "the floor keeps servers in use");
    is_down.store(false, Ordering::SeqCst);
    wait_until("requests are answered again", || fetch().status == 200);
    node.finish();
}

fn get_with(node: &TestNode, target: &str, headers: &str) -> common::caller::Answer {
    let request = format!("GET {target} HTTP/1.1\r\nHost: node\r\n{headers}\r\n");
    common::caller::exchange(node.address(), request.as_bytes())
}

/// Each attempt sends its server the caller's remaining time; retries do not restart the deadline.
#[gtest]
fn each_attempt_carries_the_remaining_time_to_the_server() {
    let slow_disconnect =
        |_: &ReceivedRequest, _: &mut TcpStream| thread::sleep(Duration::from_millis(50));
    let server = BackEnd::start(slow_disconnect);
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let target = format!("/{LIVE}/cards/1");
    let answer = get_with(&node, &target, "X-Wingshore-Deadline-Ms: 9000\r\n");
    expect_that!(answer.status, eq(502));
    let arrived = server.arrived();
    let left = arrived.iter().filter_map(|request| {
        let left = request.header("x-wingshore-deadline-ms")?;
        left.parse::<u64>().ok()
    });
    let left: Vec<u64> = left.collect();
    expect_that!(left.len(), eq(3));
    expect_that!(left[0], le(9000));
    expect_that!(left[1], le(left[0] - 50));
    expect_that!(left[2], le(left[1] - 50));
    node.finish();
}

fn engine(arrived: &ReceivedRequest, stream: &mut TcpStream) {
    if arrived.target != "/v1/completions" {
        return write_response(stream, 200, "", b"{}");
    }
    write_stream_head(stream);
    write_event(stream, r#"{"tokens":[7],"weight_version":1}"#);
    write_event(
        stream,
        r#"{"finish_reason":"length","usage":{"prompt_tokens":1,"completion_tokens":1}}"#,
    );
    write_end(stream);
}

/// Sources that report whether an engine is leaving.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    Configuration,
    MachineList,
    ServerState,
    HealthCheck,
}

/// A report of leaving from any one source stops new work, even if the other sources report that
/// the engine stays.
#[gtest]
fn an_engine_reported_as_leaving_by_any_source_gets_no_new_requests() {
    use Source::{Configuration, HealthCheck, MachineList, ServerState};
    for source in [Configuration, MachineList, ServerState, HealthCheck] {
        let engines = [BackEnd::start(engine), BackEnd::start(engine)];
        let groups = engine_site(&[&engines[0], &engines[1]]);
        let listed = Arc::new(Mutex::new(None));
        let list = machine_list(engines.each_ref().map(BackEnd::address), &listed);
        let more = format!(
            "machine_list = \"{}\"\nmachine_list_poll = \"100ms\"\n\
             routing = {{ probe_interval = \"50ms\" }}",
            list.address()
        );
        let node = TestNode::start(&groups, "node-a", &more);
        let prompts = AtomicU32::new(1);
        let ask = || {
            // Equal prompts would be routed to the engine that has them in its cache.
            let prompt = [prompts.fetch_add(1, Ordering::SeqCst)];
            let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 1 }).to_string();
            post(node.address(), "/v1/completions", "", &body).status
        };
        wait_until("an engine serves", || ask() == 200);
        let number = usize::from(engines[0].count() == 0);
        let leaving = &engines[number];
        match source {
            Configuration => groups.commit(ConfigurationChange::SetAdmission {
                server: ServerId::new(&format!("lm-{number}")),
                admission: Admission::Draining,
            }),
            MachineList => *listed.lock().expect("not poisoned") = Some(number),
            ServerState => leaving.set_probe_reply(ProbeReply::Draining),
            HealthCheck => leaving.set_probe_reply(ProbeReply::Disconnect),
        }
        wait_until("the engine gets nothing new", || {
            let before = leaving.count();
            (0..10).all(|_| ask() == 200) && leaving.count() == before
        });
        let before = leaving.count();
        for _ in 0..30 {
            expect_that!(ask(), eq(200), "{source:?}");
        }
        expect_that!(leaving.count(), eq(before), "{source:?}");
        node.finish();
    }
}

/// Serves a machine list in which the machine of one engine may be leaving.
fn machine_list(engines: [SocketAddr; 2], leaving: &Arc<Mutex<Option<usize>>>) -> BackEnd {
    let leaving = Arc::clone(leaving);
    BackEnd::start(move |_, stream| {
        let leaving = *leaving.lock().expect("not poisoned");
        let machine = |number: usize| {
            let state = if leaving == Some(number) {
                "leaving"
            } else {
                "live"
            };
            json!({
                "id": format!("lm-{number}"), "address": engines[number], "zone": "regina-hall",
                "services": ["fare-lm"], "state": state,
            })
        };
        let as_of = 1 + u64::from(leaving.is_some());
        let list = json!({ "as_of": as_of, "machines": [machine(0), machine(1)] });
        write_response(stream, 200, "", list.to_string().as_bytes());
    })
}

/// The node that owns a key stops responding with its request in flight: neither the restarted node
/// nor another node sends the request again.
#[gtest]
fn a_key_of_an_unresponsive_owner_ends_in_may_have_run_on_every_node() {
    let release = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&release);
    let server = BackEnd::start(move |_, stream| {
        while !held.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        write_response(stream, 200, "", b"charged once");
    });
    let groups = live_site(&[&server]);
    let owner = TestNode::start(&groups, "node-a", "");
    let target = format!("/{LIVE}/charges");
    let headers = format!("Idempotency-Key: ride-9\r\n{LONG_DEADLINE}");
    let silent = owner.address();
    let first = {
        let (target, headers) = (target.clone(), headers.clone());
        thread::spawn(move || post(silent, &target, &headers, "x"))
    };
    wait_until("the charge has left", || server.count() == 1);
    for name in ["node-a", "node-b"] {
        let other = TestNode::start(&groups, name, "");
        for _ in 0..5 {
            let answer = post(other.address(), &target, &headers, "x");
            expect_that!(answer.status, eq(409));
            let expected = ("key_taken".to_owned(), "may_have_run".to_owned());
            expect_that!(answer.error(), eq(&expected));
            expect_that!(answer.header("retry-after"), some(anything()));
        }
        other.finish();
    }
    expect_that!(server.count(), eq(1));
    release.store(true, Ordering::SeqCst);
    expect_that!(first.join().expect("the caller ends").status, eq(200));
    expect_that!(get(silent, "/healthz").status, eq(200));
    owner.finish();
}
