//! Second attempts at slow requests, over bytes: the gateway runs inside the test, which plays the
//! servers and decides which of them answers.
//!
//! The target latency is 400 ms and the timeout 1.5 s, so a second attempt is due after 200 ms.

use crate::bytes::site::{Server, Site, read_message};
use crate::bytes::view::{PAIR_1, PAIR_2, view};
use googletest::prelude::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_coordination::{
    FingerprintKey, GatewayMessage, IncomingFrame, RequestContent, RouteKind, Suspect, ViewContent,
    ViewUpdate,
};
use wingshore_gateway::GatewayPolicy;

/// Longer than the time after which a second attempt is due, and shorter than the timeout.
const SECOND_WOULD_RUN: Duration = Duration::from_millis(400);
/// Longer than the time after which an attempt gives way to another server, twice the target
/// latency, and shorter than the timeout.
const AFTER_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1100);
const BROKEN: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\nbroken";

/// Returns a view in which `/safe/` and `/once/` lead to both servers, `/safe/` at the host
/// `keyed.test` for a tenant.
pub(crate) fn view_of_pair(first: &Server, second: &Server) -> ViewUpdate {
    let one = first.address();
    let mut update = view(one, vec![first.address(), second.address()]);
    let ViewContent::Whole(whole) = &mut update.content else {
        panic!("the view is whole");
    };
    let configuration = Arc::make_mut(whole.configuration.as_mut().unwrap());
    let is_stream = |route: &&wingshore_coordination::Route| route.kind == RouteKind::Streaming;
    let stream = configuration.routes.iter().find(is_stream).unwrap().clone();
    let mut add = |name: &str, kind, host: &str, public| {
        let mut route = stream.clone();
        route.name = format!("{name}-{host}");
        route.path_prefix = format!("/{name}/");
        (route.kind, route.public, route.resumable) = (kind, public, false);
        route.host = host.to_owned();
        configuration.routes.push(route);
    };
    add("safe", RouteKind::Safe, "open.test", true);
    add("safe", RouteKind::Safe, "keyed.test", false);
    add("once", RouteKind::Unsafe, "open.test", true);
    update
}

/// Returns the view of [`view_of_pair`], in which the request for `/safe/x` is a suspect.
pub(crate) fn view_with_suspect(first: &Server, second: &Server) -> ViewUpdate {
    let mut update = view_of_pair(first, second);
    let ViewContent::Whole(whole) = &mut update.content else {
        panic!("the view is whole");
    };
    let content = RequestContent {
        method: "GET",
        host: "open.test",
        target: "/safe/x",
        caller: b"",
        body: b"",
    };
    whole.suspects.push(Suspect {
        fingerprint: content.fingerprint(FingerprintKey::new([1; 16])),
        ended: Vec::new(),
        rejected: false,
    });
    update
}

/// Returns the view of [`view_of_pair`], in which the second server drains.
fn view_with_draining_second(first: &Server, second: &Server) -> ViewUpdate {
    let mut update = view_of_pair(first, second);
    let ViewContent::Whole(whole) = &mut update.content else {
        panic!("the view is whole");
    };
    let address = second.address();
    let draining = whole.servers.iter_mut();
    draining
        .filter(|server| server.address == address)
        .for_each(|server| server.draining = true);
    update
}

/// A gateway and its two servers; requests go to the first one first.
struct Race {
    site: Site,
    first: Server,
    second: Server,
}

impl Race {
    fn start() -> Self {
        Self::start_with(GatewayPolicy::default())
    }

    fn start_with(policy: GatewayPolicy) -> Self {
        let (first, second) = (Server::start(), Server::start());
        let site = Site::with_view_and_policy(view_of_pair(&first, &second), policy);
        Self {
            site,
            first,
            second,
        }
    }

    fn ask(&self, path: &str, id: &str) -> TcpStream {
        let mut client = self.site.client();
        send_request(&mut client, path, id);
        client
    }
}

fn send_request(client: &mut TcpStream, path: &str, id: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: open.test\r\nId: {id}\r\n\r\n");
    client.write_all(request.as_bytes()).unwrap();
}

fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Whether the gateway has closed a connection; waits for it.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 16]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Returns the instances that a request was meant for.
fn instance_of(request: &str) -> &str {
    let line = request
        .lines()
        .find_map(|line| line.strip_prefix("Expected-Instance: "));
    line.unwrap_or_default()
}

#[gtest]
fn a_slow_server_is_overtaken_and_its_late_answer_is_never_delivered() {
    let race = Race::start();
    let asked_at = Instant::now();
    let mut client = race.ask("/safe/x", "r-1");
    let (mut slow, request) = race.first.accept();
    expect_that!(instance_of(&request), eq(PAIR_1));
    let (mut upstream, request) = race.second.accept();
    expect_that!(asked_at.elapsed(), ge(Duration::from_millis(195)));
    expect_that!(request, starts_with("GET /safe/x HTTP/1.1\r\n"));
    expect_that!(request, contains_substring("\r\nId: r-1\r\n"));
    expect_that!(instance_of(&request), eq(PAIR_2));
    upstream
        .write_all(answer("r-1", "second").as_bytes())
        .unwrap();
    expect_that!(read_message(&mut client), eq(&answer("r-1", "second")));
    expect_that!(is_closed(&mut slow), eq(true));
    let _ = slow.write_all(answer("r-1", "late").as_bytes());
    // The overtaken server counts as slow: the next request goes to the other one at once.
    send_request(&mut client, "/safe/y", "r-2");
    let next = read_message(&mut upstream);
    expect_that!(next, starts_with("GET /safe/y HTTP/1.1\r\n"));
    upstream
        .write_all(answer("r-2", "next").as_bytes())
        .unwrap();
    expect_that!(read_message(&mut client), eq(&answer("r-2", "next")));
    let keys = "after_ms by request route server service";
    expect_that!(race.site.log_keys(), contains(eq(keys)));
}

#[gtest]
fn the_first_server_may_still_win() {
    let race = Race::start();
    let mut client = race.ask("/safe/x", "r-1");
    let (mut first, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    first.write_all(answer("r-1", "first").as_bytes()).unwrap();
    expect_that!(read_message(&mut client), eq(&answer("r-1", "first")));
    expect_that!(is_closed(&mut second), eq(true));
    // The second server had less time; it has not become slower in the balance than the first.
    let mut client = race.ask("/safe/x", "r-2");
    let (mut second, _) = race.second.accept();
    second
        .write_all(answer("r-2", "second").as_bytes())
        .unwrap();
    expect_that!(read_message(&mut client), eq(&answer("r-2", "second")));
}

#[gtest]
fn a_failure_of_one_attempt_leaves_the_other_running() {
    let refusal = "HTTP/1.1 503 -\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let failure = "HTTP/1.1 500 -\r\nId: r-1\r\nContent-Length: 3\r\n\r\nbad";
    let foreign = "HTTP/1.1 200 OK\r\nId: r-0\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";
    for bytes in ["", refusal, failure, foreign] {
        for is_first_failing in [true, false] {
            let race = Race::start();
            let mut client = race.ask("/safe/x", "r-1");
            let (first, _) = race.first.accept();
            let (second, _) = race.second.accept();
            let (mut failing, mut running) = if is_first_failing {
                (first, second)
            } else {
                (second, first)
            };
            failing.write_all(bytes.as_bytes()).unwrap();
            drop(failing);
            thread::sleep(Duration::from_millis(50));
            running
                .write_all(answer("r-1", "other").as_bytes())
                .unwrap();
            expect_that!(read_message(&mut client), eq(&answer("r-1", "other")));
        }
    }
}

#[gtest]
fn a_race_of_two_that_both_fail_may_have_run() {
    let race = Race::start();
    let mut client = race.ask("/safe/x", "r-1");
    let (first, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    drop(first);
    thread::sleep(Duration::from_millis(50));
    // The second server has not run it, but the first may have.
    let refusal = "HTTP/1.1 503 -\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    second.write_all(refusal.as_bytes()).unwrap();
    expect_that!(read_message(&mut client), eq(BROKEN));
}

#[gtest]
fn a_race_of_two_that_are_both_refused_has_not_run() {
    let race = Race::start();
    let mut client = race.ask("/safe/x", "r-1");
    let (mut first, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    let refusal = "HTTP/1.1 503 -\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    first.write_all(refusal.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(50));
    second.write_all(refusal.as_bytes()).unwrap();
    expect_that!(
        read_message(&mut client),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nnot_run 150")
    );
}

#[gtest]
fn a_race_of_two_silent_servers_ends_at_the_deadline() {
    let race = Race::start();
    let mut client = race.ask("/safe/x", "r-1");
    let (mut first, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    expect_that!(
        read_message(&mut client),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nout_of_time")
    );
    expect_that!(is_closed(&mut first), eq(true));
    expect_that!(is_closed(&mut second), eq(true));
}

/// Failure: an attempt at the only server that takes requests was abandoned after twice the target
/// latency although nobody else could get the request, and the caller got 502 with most of its time
/// left.
#[gtest]
fn an_attempt_at_the_only_server_is_kept_until_the_deadline() {
    let (first, second) = (Server::start(), Server::start());
    let site = Site::with_view(view_with_draining_second(&first, &second));
    let mut client = site.client();
    send_request(&mut client, "/safe/x", "r-1");
    let (mut upstream, _) = first.accept();
    thread::sleep(AFTER_ATTEMPT_TIMEOUT);
    upstream
        .write_all(answer("r-1", "late").as_bytes())
        .unwrap();
    expect_that!(read_message(&mut client), eq(&answer("r-1", "late")));
}

#[gtest]
fn a_client_that_leaves_ends_both_attempts() {
    let race = Race::start();
    let client = race.ask("/safe/x", "r-1");
    let (mut first, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    drop(client);
    expect_that!(is_closed(&mut first), eq(true));
    expect_that!(is_closed(&mut second), eq(true));
}

#[gtest]
fn requests_that_may_run_once_and_streams_get_no_second_attempt() {
    for path in ["/once/x", "/stream/x"] {
        let race = Race::start();
        let mut client = race.ask(path, "r-1");
        let (mut first, _) = race.first.accept();
        thread::sleep(SECOND_WOULD_RUN);
        expect_that!(race.second.has_connection(), eq(false), "{path}");
        first.write_all(answer("r-1", "").as_bytes()).unwrap();
        expect_that!(read_message(&mut client), starts_with("HTTP/1.1 200 OK"));
    }
}

#[gtest]
fn the_policy_switches_second_attempts_off() {
    let policy = GatewayPolicy {
        second_attempts: false,
        ..GatewayPolicy::default()
    };
    let race = Race::start_with(policy);
    let mut client = race.ask("/safe/x", "r-1");
    let (mut first, _) = race.first.accept();
    thread::sleep(SECOND_WOULD_RUN);
    expect_that!(race.second.has_connection(), eq(false));
    first.write_all(answer("r-1", "").as_bytes()).unwrap();
    expect_that!(read_message(&mut client), starts_with("HTTP/1.1 200 OK"));
}

/// A suspect goes to one server at a time.
#[gtest]
fn a_request_suspected_of_crashing_servers_gets_no_second_attempt() {
    let (first, second) = (Server::start(), Server::start());
    let site = Site::with_view(view_with_suspect(&first, &second));
    let mut client = site.client();
    send_request(&mut client, "/safe/x", "r-1");
    let (mut upstream, _) = first.accept();
    thread::sleep(SECOND_WOULD_RUN);
    expect_that!(second.has_connection(), eq(false));
    upstream.write_all(answer("r-1", "").as_bytes()).unwrap();
    expect_that!(read_message(&mut client), starts_with("HTTP/1.1 200 OK"));
}

/// Two servers that end while they run the same request are evidence against it, one as well as the
/// other.
#[gtest]
fn both_servers_of_a_race_count_as_evidence() {
    let Race {
        site,
        first,
        second,
    } = Race::start();
    let mut client = site.client();
    send_request(&mut client, "/safe/x", "r-1");
    let attempts = (first.accept(), second.accept());
    // A connection that is lost within 2 ms after sending is no evidence.
    thread::sleep(Duration::from_millis(50));
    drop((first, second));
    drop(attempts);
    let mut crashed = Vec::new();
    while crashed.len() < 2 {
        let message = site.expect(|message| {
            matches!(
                message,
                IncomingFrame::FromGateway(GatewayMessage::RequestsCrashed(_))
            )
        });
        if let IncomingFrame::FromGateway(GatewayMessage::RequestsCrashed(observed)) = message {
            crashed.extend(
                observed
                    .iter()
                    .map(|crash| crash.evidence.instance.to_string()),
            );
        }
    }
    crashed.sort_unstable();
    expect_that!(crashed, elements_are![eq(PAIR_1), eq(PAIR_2)]);
    expect_that!(read_message(&mut client), eq(BROKEN));
}

/// A tenant's request is one request, also where both servers have run it.
#[gtest]
fn a_request_with_two_attempts_is_counted_once() {
    let race = Race::start();
    let mut client = race.site.client();
    let request =
        "GET /safe/x HTTP/1.1\r\nHost: keyed.test\r\nId: r-1\r\nAuthorization: key-1\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let (_slow, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    second
        .write_all(answer("r-1", "second").as_bytes())
        .unwrap();
    expect_that!(read_message(&mut client), starts_with("HTTP/1.1 200 OK"));
    expect_that!(
        race.site.next_message(),
        eq("\\x01\\t\\x01\\x00\\x01\\x08tenant-1\\x01")
    );
    // A further request shows the total.
    let further = request.replace("r-1", "r-2");
    client.write_all(further.as_bytes()).unwrap();
    read_message(&mut second);
    second.write_all(answer("r-2", "again").as_bytes()).unwrap();
    expect_that!(read_message(&mut client), starts_with("HTTP/1.1 200 OK"));
    expect_that!(
        race.site.next_message(),
        eq("\\x01\\t\\x01\\x00\\x01\\x08tenant-1\\x02")
    );
}

#[gtest]
fn a_planned_stop_ends_neither_attempt() {
    let race = Race::start();
    let mut client = race.ask("/safe/x", "r-1");
    let (_slow, _) = race.first.accept();
    let (mut second, _) = race.second.accept();
    race.site.stop();
    race.site.await_status(|status| !status.ready);
    second
        .write_all(answer("r-1", "second").as_bytes())
        .unwrap();
    expect_that!(read_message(&mut client), ends_with("\r\n\r\nsecond"));
}
