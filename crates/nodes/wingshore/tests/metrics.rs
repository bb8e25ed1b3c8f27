//! Checks that the operators' page lists exactly the metrics that each role serves, and that the
//! metrics of the control group follow commits and revisions in force.

mod support;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use support::{Process, Site, free_address, wait_for};

const PAGE: &str = include_str!("../../../../docs/operations/metrics-and-logs.md");

const SITE: &str = "role = \"site\"\nzones = [\"hall\"]\n\
                    [[service]]\nid = \"shifts\"\nkind = \"live\"\n";

/// Returns the answer to `GET path`, or nothing while the server does not answer.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET {path} HTTP/1.0\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn metrics(address: SocketAddr) -> Option<String> {
    get(address, "/metrics").filter(|answer| answer.contains("# EOF"))
}

/// Returns the names and kinds of the metrics in the `# TYPE` lines.
fn served_metrics(text: &str) -> BTreeSet<(String, String)> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    lines
        .filter_map(|line| line.split_once(' '))
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect()
}

/// Returns the names and kinds of the metrics in the table under `heading`.
fn documented_metrics(heading: &str) -> BTreeSet<(String, String)> {
    let section = PAGE
        .split(&format!("\n### {heading}\n"))
        .nth(1)
        .unwrap_or_default();
    let section = section.split("\n##").next().unwrap_or_default();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once("` | "))
        .map(|(name, rest)| {
            let kind = rest.split([',', ' ']).next().unwrap_or_default();
            (name.to_owned(), kind.to_owned())
        })
        .collect()
}

fn series_value(text: &str, series: &str) -> Option<f64> {
    let mut lines = text.lines();
    lines.find_map(|line| line.strip_prefix(series)?.trim().parse().ok())
}

#[gtest]
fn the_page_lists_what_each_role_serves() {
    let site = Site::start();
    let (node, relay, relay_admin) = (free_address(), free_address(), free_address());
    let replica = site.listen[0];
    let process = |role: &str, listen: SocketAddr, more: &str| {
        let text = format!(
            "role = \"{role}\"\nsite = \"test\"\nname = \"{role}-1\"\nzone = \"hall\"\n\
             listen = \"{listen}\"\n{more}\n"
        );
        let file = site.write(&format!("{role}.toml"), &text);
        let stderr_file = site.path(&format!("{role}.errors"));
        Process::start(&[role, "--settings", &file], &stderr_file)
    };
    let _node = process("node", node, &format!("replicas = [\"{replica}\"]"));
    let upstream = format!("admin = \"{relay_admin}\"\nupstream = [\"{replica}\"]");
    let _relay = process("relay", relay, &upstream);
    site.propose_and_confirm(&["apply", &site.write("site.toml", SITE)]);
    // Some series exist only after a request was executed.
    wait_for("a request that was executed", || {
        get(node, "/shifts/today").filter(|answer| answer.contains("no_server"))
    });
    for (heading, address) in [
        ("Replica", site.admin[0]),
        ("Node", node),
        ("Relay", relay_admin),
    ] {
        let text = wait_for("metrics", || metrics(address));
        expect_that!(documented_metrics(heading).len(), gt(5));
        expect_that!(
            served_metrics(&text),
            eq(&documented_metrics(heading)),
            "{heading}"
        );
    }
}

#[gtest]
fn the_leader_counts_commits_and_revisions_in_force() {
    let site = Site::start();
    let text =
        "role = \"site\"\nzones = [\"hall\"]\n[[service]]\nid = \"shifts\"\nkind = \"live\"\n";
    let file = site.write("site.toml", text);
    // The first change establishes a leader; only that leader measures when the next change is in
    // force.
    site.propose_and_confirm(&["apply", &file]);
    let more = site.write("more.toml", &SITE.replace("shifts", "lists"));
    site.propose_and_confirm(&["apply", &more]);
    let leader = site.ctl_json(&["status"])["leader"].as_u64().unwrap_or(1) as usize;
    let (committed, commits) = wait_for("the second revision in force", || {
        let text = metrics(site.admin[leader - 1])?;
        let in_force = series_value(&text, "wingshore_replica_configuration_in_force_revision ")?;
        let seconds = "wingshore_replica_configuration_in_force_seconds_count ";
        let measured = series_value(&text, seconds)? >= 1.0;
        let committed = series_value(&text, "wingshore_replica_configuration_committed_revision ")?;
        let commits = series_value(
            &text,
            "wingshore_replica_commit_seconds_count{group=\"control\"} ",
        )?;
        (in_force == 2.0 && measured).then_some((committed, commits))
    });
    expect_that!(committed, eq(2.0));
    expect_that!(commits, ge(2.0));
    let text = metrics(site.admin[leader - 1]).unwrap_or_default();
    expect_that!(
        series_value(&text, "wingshore_replica_leading{group=\"control\"} "),
        some(eq(1.0))
    );
    expect_that!(
        series_value(&text, "wingshore_replica_nodes_behind "),
        some(eq(0.0))
    );
}
