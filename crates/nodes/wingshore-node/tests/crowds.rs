//! Callers of a node that do not behave.
//!
//! Failure: many large bodies at once, most of which stopped just short of their end and stayed, were
//! held whole by a node for as long as their callers stayed. The node runs in the process of the
//! test, so that the tests look at the growth of its memory while a crowd is there; one test runs at
//! a time.

mod common;

use common::back_end::BackEnd;
use common::caller::{connect, get, post, post_bytes};
use common::groups::ScriptedGroups;
use common::{LIVE, TestNode, WAIT_TIMEOUT, live_site, settings, wait_until};
use googletest::prelude::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_node::start;

/// Largest legal body in bytes, by the settings.
const LEGAL_BODY: usize = 2 << 20;
/// Callers of a crowd: their bodies need more than twice the bound.
const CALLERS: usize = 80;
/// Largest growth of the process's memory, in bytes: what a node may use for all of its control.
const MAX_GROWTH: u64 = 64_000_000;
/// Largest number of threads that a crowd of [`STALLED`] callers may add.
const MAX_MORE_THREADS: u64 = 300;
/// Callers whose small bodies stop short.
const STALLED: usize = 1000;
/// A caller stops sending when nothing is taken for this time.
const WRITE_LIMIT: Duration = Duration::from_secs(2);

/// Held by the one test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    let turn = ONE_AT_A_TIME.lock();
    turn.unwrap_or_else(PoisonError::into_inner)
}

/// Starts a node whose largest body is [`LEGAL_BODY`].
fn start_node(groups: &ScriptedGroups) -> TestNode {
    let stop = StopSignal::new();
    let mut settings = settings(groups.address(), "node-a", "");
    settings.http.max_request_body = LEGAL_BODY as u64;
    settings.http.body_memory = 4 * LEGAL_BODY as u64;
    let diagnostics = Diagnostics::new("node", settings.log_lines, None);
    let running = start(settings, diagnostics, stop.clone()).expect("the node must start");
    let node = TestNode { running, stop };
    wait_until("the node is ready", || {
        get(node.address(), "/readyz").status == 200
    });
    node
}

/// Returns a number of the status of this process.
fn status_number(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

fn resident_bytes() -> u64 {
    status_number("VmRSS:") * 1024
}

/// Lets callers send the beginning of a request at the same moment, and returns their connections.
fn crowd(address: SocketAddr, callers: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut connections: Vec<TcpStream> = (0..callers).map(|_| connect(address)).collect();
    thread::scope(|scope| {
        for stream in &mut connections {
            scope.spawn(move || {
                stream
                    .set_write_timeout(Some(WRITE_LIMIT))
                    .expect("a time limit");
                // Being refused, closed or not read ends a caller's sending.
                let _ = stream.write_all(bytes);
            });
        }
    });
    connections
}

/// Lets a crowd send `bytes`, and checks the growth of memory and that others are answered.
fn expect_withstood(bytes: &[u8]) {
    let _turn = turn();
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = start_node(&groups);
    let target = format!("/{LIVE}/charges");
    let before = resident_bytes();
    let crowd = crowd(node.address(), CALLERS, bytes);
    thread::sleep(Duration::from_millis(300));
    let growth = resident_bytes().saturating_sub(before);
    println!("a growth of {growth} bytes");
    expect_that!(growth, le(MAX_GROWTH), "growth of memory");
    expect_that!(post(node.address(), &target, "", "x").status, eq(200));
    let medium = "x".repeat(20_000);
    expect_that!(post(node.address(), &target, "", &medium).status, eq(200));
    drop(crowd);
    let legal = "x".repeat(LEGAL_BODY);
    let limit = std::time::Instant::now() + WAIT_TIMEOUT;
    while post(node.address(), &target, "", &legal).status != 200 {
        assert!(std::time::Instant::now() < limit, "a legal body is served");
    }
    node.finish();
}

#[gtest]
fn bodies_that_stop_short_do_not_fill_a_node() {
    let target = format!("/{LIVE}/charges");
    let request = post_bytes(&target, "", &"x".repeat(LEGAL_BODY));
    expect_withstood(&request[..request.len() - 10]);
}

#[gtest]
fn chunked_bodies_that_stop_short_do_not_fill_a_node() {
    let mut request = format!(
        "POST /{LIVE}/charges HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for _ in 0..LEGAL_BODY / 0x8000 {
        request.extend_from_slice(b"8000\r\n");
        request.extend(vec![b'x'; 0x8000]);
        request.extend_from_slice(b"\r\n");
    }
    expect_withstood(&request);
}

#[gtest]
fn bodies_far_over_the_limit_do_not_fill_a_node() {
    let head =
        format!("POST /{LIVE}/charges HTTP/1.1\r\nHost: node\r\nContent-Length: 900000000\r\n\r\n");
    let mut request = head.into_bytes();
    request.extend(vec![b'x'; 4 * LEGAL_BODY]);
    expect_withstood(&request);
}

/// Stalled callers hold threads: two each, for as long as they stay.
#[gtest]
fn small_bodies_that_stop_short_do_not_hold_threads() {
    let _turn = turn();
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = start_node(&groups);
    let target = format!("/{LIVE}/charges");
    let request = post_bytes(&target, "", &"x".repeat(2000));
    let before = status_number("Threads:");
    let crowd = crowd(node.address(), STALLED, &request[..request.len() - 10]);
    thread::sleep(Duration::from_millis(300));
    let more = status_number("Threads:").saturating_sub(before);
    expect_that!(post(node.address(), &target, "", "x").status, eq(200));
    drop(crowd);
    node.finish();
    expect_that!(more, le(MAX_MORE_THREADS), "threads");
}
