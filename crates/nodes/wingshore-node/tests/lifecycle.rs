//! Configuration, configuration lease and planned stop of a node.

mod common;

use common::back_end::{BackEnd, write_response};
use common::caller::{get, post, post_bytes, read_answer};
use common::groups::ScriptedGroups;
use common::{LIVE, TestNode, WAIT_TIMEOUT, live_site, put_server, wait_until};
use googletest::prelude::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use wingshore_types::ServerId;
use wingshore_types::configuration::{Admission, ConfigurationChange};

fn charges() -> String {
    format!("/{LIVE}/charges")
}

#[gtest]
fn a_node_without_a_configuration_refuses() {
    let groups = ScriptedGroups::start(Vec::new());
    groups.stop_answering();
    let node = TestNode::start_unready(&groups, "node-a", "");
    for answer in [
        get(node.address(), "/readyz"),
        post(node.address(), &charges(), "", "x"),
    ] {
        expect_that!(answer.status, eq(503));
        let expected = ("no_configuration".to_owned(), "not_run".to_owned());
        expect_that!(answer.error(), eq(&expected));
        expect_that!(answer.header("retry-after"), some(eq("1")));
    }
    expect_that!(get(node.address(), "/healthz").status, eq(200));
    node.finish();
}

#[gtest]
fn what_a_node_does_without_a_lease_is_a_setting() {
    let cases = [("refuse", 503, 0), ("serve", 200, 1)];
    for (setting, status, arrivals) in cases {
        let server = BackEnd::answering("charged");
        let groups = live_site(&[&server]);
        groups.set_lease(Duration::from_millis(300));
        let node = TestNode::start(&groups, "node-a", &format!("without_lease = \"{setting}\""));
        groups.stop_answering();
        wait_until("the lease has run out", || {
            let metrics = get(node.address(), "/metrics").text();
            metrics.contains("wingshore_configuration_lease_milliseconds 0\n")
        });
        let answer = post(node.address(), &charges(), "", "x");
        expect_that!(answer.status, eq(status), "for {setting}");
        expect_that!(server.count(), eq(arrivals), "for {setting}");
        if status == 503 {
            let expected = ("no_lease".to_owned(), "not_run".to_owned());
            expect_that!(answer.error(), eq(&expected));
        }
        node.finish();
    }
}

/// Guards against a node that stays without a lease after its process was frozen: the answer that
/// was pending during the freeze carries a lease that has already expired.
#[gtest]
fn a_node_whose_lease_ran_out_asks_for_one_without_waiting() {
    let lease = Duration::from_millis(300);
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    groups.set_lease(lease);
    let node = TestNode::start(&groups, "node-a", "");
    let first_waiting = || groups.watch_waits().iter().position(|wait| *wait > 0);
    wait_until("a watch waits", || first_waiting().is_some());
    groups.delay_watches(lease * 2);
    wait_until("a later one does not wait", || {
        let waits = groups.watch_waits();
        waits[first_waiting().unwrap_or_default()..].contains(&0)
    });
    node.finish();
}

#[gtest]
fn a_drained_server_gets_nothing_once_the_change_is_acknowledged() {
    let servers = [BackEnd::answering("zero"), BackEnd::answering("one")];
    let groups = live_site(&[&servers[0]]);
    let node = TestNode::start(&groups, "node-a", "");
    expect_that!(post(node.address(), &charges(), "", "x").text(), eq("zero"));
    groups.commit(put_server(LIVE, "api-1", servers[1].address()));
    groups.commit(ConfigurationChange::SetAdmission {
        server: ServerId::new("api-0"),
        admission: Admission::Draining,
    });
    wait_until("the change is acknowledged", || groups.acknowledged() == 4);
    let before = servers[0].count();
    for _ in 0..20 {
        expect_that!(post(node.address(), &charges(), "", "x").text(), eq("one"));
    }
    expect_that!(servers[0].count(), eq(before));
    // A request is counted after its answer was written, so the last count may be delayed.
    for line in [
        "wingshore_configuration_revision 4\n",
        "wingshore_requests_total{kind=\"forward\",code=\"ok\"} 21\n",
        "wingshore_requests_in_flight{kind=\"forward\"} 0\n",
        "wingshore_servers_ejected 0\n",
    ] {
        wait_until(line, || {
            get(node.address(), "/metrics").text().contains(line)
        });
    }
    node.finish();
}

#[gtest]
fn a_planned_stop_cuts_nothing_in_flight_and_refuses_what_is_new() {
    let release = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&release);
    let server = BackEnd::start(move |_, stream| {
        while !released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        write_response(stream, 200, "", b"charged in the end");
    });
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "stop_grace = \"20s\"");
    let address = node.address();
    let in_flight = thread::spawn(move || post(address, &charges(), "", "x"));
    wait_until("the request is at the server", || server.count() == 1);
    let metrics = get(address, "/metrics").text();
    let gauge = "wingshore_requests_in_flight{kind=\"forward\"} 1\n";
    expect_that!(metrics, contains_substring(gauge));
    node.stop.stop();
    let stopping = thread::spawn(move || node.finish());
    let refused = post(address, &charges(), "", "x");
    expect_that!(refused.status, eq(503));
    let expected = ("stopping".to_owned(), "not_run".to_owned());
    expect_that!(refused.error(), eq(&expected));
    expect_that!(refused.header("retry-after"), some(eq("2")));
    expect_that!(stopping.is_finished(), eq(false));
    release.store(true, Ordering::SeqCst);
    let answer = in_flight.join().expect("the caller gets its answer");
    expect_that!(answer.text(), eq("charged in the end"));
    stopping.join().expect("the node stops");
    expect_that!(TcpStream::connect(address), err(anything()));
    expect_that!(server.count(), eq(1));
}

#[gtest]
fn a_planned_stop_that_cuts_a_request_leaves_its_log() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let server = BackEnd::start(|_, stream| {
        thread::sleep(Duration::from_millis(500));
        write_response(stream, 200, "", b"charged too late");
    });
    let groups = live_site(&[&server]);
    let settings = format!(
        "stop_grace = \"0s\"\ndata = \"{}\"",
        folder.path().display()
    );
    let node = TestNode::start(&groups, "node-a", &settings);
    let address = node.address();
    let caller = thread::spawn(move || {
        TcpStream::connect(address).and_then(|mut stream| {
            stream.write_all(&post_bytes(&charges(), "", "x"))?;
            Ok(stream)
        })
    });
    wait_until("the request is at the server", || server.count() == 1);
    node.finish();
    let stream = caller.join().expect("the caller ends");
    expect_that!(stream, ok(anything()));
    let mut logs = String::new();
    for entry in std::fs::read_dir(folder.path())? {
        logs.push_str(&std::fs::read_to_string(entry?.path())?);
    }
    expect_that!(
        logs,
        contains_substring("stopped with 1 requests in flight")
    );
    Ok(())
}

/// Sends requests until connections are refused, either on one connection for as long as it may be
/// kept or on a new one each. Returns how many requests got no answer.
fn call_until_refused(address: SocketAddr, keeps_connection: bool) -> usize {
    let mut cut = 0;
    while let Ok(mut stream) = TcpStream::connect(address) {
        let limited = stream.set_read_timeout(Some(WAIT_TIMEOUT));
        limited.expect("a timeout can be set");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        loop {
            let written = stream.write_all(&post_bytes(&charges(), "", "x"));
            if written.is_err() || !reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                cut += 1;
                break;
            }
            let answer = read_answer(&mut reader);
            let ends = answer.header("connection").is_some_and(|it| it == "close");
            if ends || !keeps_connection {
                break;
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
    cut
}

#[gtest]
fn during_a_planned_stop_each_request_is_answered_or_its_connection_refused() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let address = node.address();
    let callers = [true, true, false, false];
    let callers = callers.map(|keeps| thread::spawn(move || call_until_refused(address, keeps)));
    wait_until("callers are answered", || server.count() > 20);
    node.finish();
    let cut = callers.map(|caller| caller.join().expect("a caller ends"));
    expect_that!(cut, eq([0; 4]));
}

#[gtest]
fn a_planned_stop_without_work_ends_although_the_groups_do_not_answer() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    groups.stop_answering();
    node.finish();
    expect_that!(server.count(), eq(0));
}
