//! Hollow sites: a small run with real processes, and the parsing of what it reads and prints.

use googletest::prelude::*;
use std::process::Command;
use wingshore_lab::hollow::http::{Asker, parse};
use wingshore_lab::hollow::processes::Role;
use wingshore_lab::hollow::report::Report;
use wingshore_lab::hollow::sizes::Sizes;
use wingshore_lab::hollow::usage::{
    FrameCounts, frame_counts, processor_seconds, status_number, sync_count,
};

/// Runs the program with these flags and `--json`; answers the last line it printed.
fn last_line(flags: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_wingshore-lab"))
        .arg("hollow")
        .args(flags.split(' '))
        .arg("--json")
        .output()
        .expect("the lab starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    text.lines().last().map(str::to_owned).unwrap_or(errors)
}

#[gtest]
fn a_small_site_is_measured_whole() {
    let flags = "--nodes 10 --servers 20 --relays 1 --real-nodes 1 --changes-per-hour 3600 \
                 --timed-changes 2 --seconds 2 --fetch-ms 50 --trainers 1 --samples-per-second 64 \
                 --tokens 8 --faults";
    let report = Report::from_json(&last_line(flags)).expect("a report");

    let names: Vec<&str> = report
        .windows
        .iter()
        .map(|window| window.name.as_str())
        .collect();
    expect_that!(names, eq(&vec!["rest", "changes", "samples", "weights"]));
    for window in &report.windows {
        let roles: Vec<(Role, usize)> = window
            .roles
            .iter()
            .map(|usage| (usage.role, usage.processes))
            .collect();
        expect_that!(
            roles,
            unordered_elements_are![
                eq(&(Role::Leader, 1)),
                eq(&(Role::Follower, 2)),
                eq(&(Role::Relay, 1)),
                eq(&(Role::Node, 1))
            ]
        );
        expect_that!(window.per_hollow_node.frames_sent, gt(0.0));
        expect_that!(window.leader_http.requests, gt(0.0));
        expect_that!(window.node_http.requests, gt(0.0));
        for usage in &window.roles {
            expect_that!(usage.resident_megabytes_most, gt(0.0));
            expect_that!(usage.frames.bytes_received, gt(0.0), "{:?}", usage.role);
        }
    }
    expect_that!(report.changes.in_force_seconds, len(eq(2)));
    expect_that!(report.changes.last_node_seconds, len(eq(2)));
    let samples = report.samples.expect("trainers ran");
    expect_that!(samples.acknowledged, gt(0.0));
    expect_that!(samples.failed, eq(0));
    let leader = &report.windows[2].roles[0];
    expect_that!(leader.role, eq(Role::Leader));
    expect_that!(leader.syncs, gt(0.0));
    let faults = report.faults.expect("faults happened");
    expect_that!(faults.frozen_nodes, eq(1));
    // A frozen node is waited for until its lease has run out.
    expect_that!(faults.frozen_in_force_seconds, gt(1.0));
    expect_that!(faults.woken_seconds, gt(0.0));
    expect_that!(faults.relay, none());
    expect_that!(
        faults.leader_in_force_seconds,
        ge(faults.leader_accepted_seconds)
    );
    expect_that!(report.weights.engines, eq(19));
    expect_that!(report.weights.all_seconds, some(gt(0.0)));
    expect_that!(report.weights.most_fetches_at_once, all![ge(1), le(4)]);

    let printed = serde_json::to_string(&report).expect("JSON");
    expect_that!(Report::from_json(&printed).expect("a report"), eq(&report));
}

#[gtest]
fn sizes_outside_their_range_are_refused() {
    for (nodes, servers, zones, pools, relays, argument) in [
        (0, 20, None, None, 0, "--nodes"),
        (10, 1, None, None, 0, "--servers"),
        (10, 20, Some(0), None, 0, "--zones"),
        (10, 20, None, Some(11), 0, "--pools"),
        (10, 20, None, None, 301, "--relays"),
    ] {
        let refused = Sizes::new(nodes, servers, zones, pools, relays).expect_err(argument);
        expect_that!(refused.to_string(), starts_with(argument));
    }
}

#[gtest]
fn requests_are_read_once_they_are_whole() {
    let order = "POST /orders HTTP/1.1\r\nUser-Agent: ureq/3\r\nContent-Length: 2\r\n\r\n{}rest";
    let request = parse(order.as_bytes()).expect("whole");
    expect_that!(request.target, eq("/orders"));
    expect_that!(request.body, eq(&b"{}".to_vec()));
    expect_that!(request.asker, eq(Asker::Replica));
    expect_that!(request.length, eq(order.len() - "rest".len()));
    for length in 0..request.length {
        expect_that!(parse(&order.as_bytes()[..length]), none());
    }
    let probe = parse(b"GET /load HTTP/1.1\r\nHost: x\r\n\r\n").expect("whole");
    expect_that!(probe.asker, eq(Asker::Node));
}

#[gtest]
fn usage_is_read_from_what_the_system_and_the_process_tell() {
    let statistics = "7 (a (b) c) S 1 7 7 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 9 0 1 2 3";
    expect_that!(processor_seconds(statistics), near(2.0, 1e-9));
    let status = "Name:\tx\nVmRSS:\t  2048 kB\nThreads:\t9\n";
    expect_that!(status_number(status, "VmRSS:"), eq(2048));
    expect_that!(status_number(status, "Absent:"), eq(0));
    let metrics = "# HELP wingshore_frames_sent Frames\nwingshore_frames_sent_total 3\n\
                   wingshore_frame_bytes_sent_total 40\nwingshore_frames_received_total 5\n\
                   wingshore_frame_bytes_received_total 60\n";
    let counts = FrameCounts {
        frames_sent: 3,
        bytes_sent: 40,
        frames_received: 5,
        bytes_received: 60,
    };
    expect_that!(frame_counts(metrics), eq(counts));
    let writes = "wingshore_replica_write_seconds_sum{group=\"control\"} 9.0\n\
                  wingshore_replica_write_seconds_count{group=\"control\"} 7\n\
                  wingshore_replica_write_seconds_count{group=\"ledger-1\"} 8\n";
    expect_that!(sync_count(writes), eq(15));
}
