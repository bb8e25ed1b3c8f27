//! Runs replicas as processes: planned stop, loss of a data folder, log dumps and invalid starts.

mod support;

use googletest::prelude::*;
use serde_json::Value;
use support::{Site, path_text, wait_for, wingshore};

#[gtest]
fn sigterm_is_a_planned_stop() {
    let mut site = Site::start();
    let leader = site.ctl_json(&["status"])["leader"].as_u64().unwrap_or(1) as usize;
    let (code, stderr) = site.take_replica(leader).stop();
    expect_that!(code, some(eq(0)), "{stderr}");
    // The remaining replicas elect a new leader, and the stopped replica rejoins.
    expect_that!(
        site.ctl_json(&["status"])["leader"].as_u64(),
        some(not(eq(leader as u64)))
    );
    site.start_replica(leader);
    wait_for("all to be in step", || all_synced(&site).then_some(()));
    for number in 1..=3 {
        let (code, stderr) = site.take_replica(number).stop();
        expect_that!(code, some(eq(0)), "{stderr}");
    }
}

#[gtest]
fn a_lost_data_folder_is_replaced_by_a_new_member() {
    let mut site = Site::start();
    let leader = site.ctl_json(&["status"])["leader"].as_u64().unwrap_or(1) as usize;
    let lost = leader % 3 + 1;
    site.take_replica(lost).kill();
    std::fs::remove_dir_all(site.data_folder(lost)).expect("the folder is there");
    site.start_replica(lost);
    let address = site.listen[lost - 1].to_string();
    let new = wait_for("the new identity", || {
        new_identity(&site.replica_stderr(lost), &address)
    });

    let lost_id = lost.to_string();
    let leader_id = leader.to_string();
    for (old, new, refusal) in [
        ("9", new.as_str(), "there is no member 9"),
        (
            &leader_id,
            &leader_id,
            "as the member to remove and as the new",
        ),
    ] {
        let refused = site.try_ctl(&["members", "replace", old, new, &address]);
        expect_that!(refused.code, some(eq(3)));
        expect_that!(refused.stderr, contains_substring(refusal));
    }

    let replaced = site.ctl_json(&["members", "replace", &lost_id, &new, &address]);
    for group in replaced.as_array().into_iter().flatten() {
        let voters = voters(group);
        expect_that!(voters, contains(eq(&new)));
        expect_that!(voters, not(contains(eq(&lost_id))));
        expect_that!(voters.len(), eq(3));
    }
    // Once the replacement has completed, the loss of any one further machine is harmless.
    site.take_replica(leader).kill();
    site.ctl(&["status"]);
}

#[gtest]
fn dump_log_writes_the_log_of_every_replica() {
    let site = Site::start();
    let dumped = site.ctl_json(&["dump-log"]);
    expect_that!(dumped.as_array().map(Vec::len), some(eq(3)));
    for dump in dumped.as_array().into_iter().flatten() {
        let path = dump["written_to"].as_str().unwrap_or("");
        let text = std::fs::read_to_string(path).unwrap_or_default();
        expect_that!(
            text,
            contains_substring("written because of: asked for"),
            "{dump}"
        );
        expect_that!(text, contains_substring("started"), "{dump}");
    }
}

#[gtest]
fn invalid_starts_fail_and_name_the_cause() {
    let mut site = Site::start();
    let file = path_text(&site.path("replica-1.toml"));
    let again = wingshore(&["format", "--settings", &file, "--id", "1"]);
    expect_that!(again.code, some(eq(1)));
    expect_that!(
        again.stderr,
        contains_substring(path_text(&site.data_folder(1)))
    );
    let unknown_member = wingshore(&["format", "--settings", &file, "--id", "9"]);
    expect_that!(unknown_member.code, some(eq(2)));
    expect_that!(
        unknown_member.stderr,
        contains_substring(
            "--id: found 9; allowed: the `id` of one of the [[founding]] members: 1, 2, 3"
        )
    );
    let twice = wingshore(&["replica", "--settings", &file]);
    expect_that!(twice.code, some(eq(1)));
    expect_that!(
        twice.stderr,
        contains_substring(path_text(&site.data_folder(1)))
    );
    site.take_replica(1).kill();
    let listen = site.listen[1].to_string();
    let taken = wingshore(&["replica", "--settings", &file, "--listen", &listen]);
    expect_that!(taken.code, some(eq(1)));
    expect_that!(taken.stderr, contains_substring(listen));
    expect_that!(
        site.ctl(&["status"]).stdout,
        contains_substring("leader: replica")
    );
}

/// Returns whether every member has synced all entries of its group to disk.
fn all_synced(site: &Site) -> bool {
    let members = site.ctl_json(&["members", "show"]);
    let mut groups = members.as_array().into_iter().flatten();
    groups.all(|group| {
        let mut synced = group["synced"].as_array().into_iter().flatten();
        synced.all(|member| member[1] == group["last_index"])
    })
}

fn voters(group: &Value) -> Vec<String> {
    let voters = group["membership"]["voters"].as_array();
    voters
        .into_iter()
        .flatten()
        .map(|member| member["id"].to_string())
        .collect()
}

/// Returns the identity in the command that a replica with an empty data folder prints at its
/// start, or nothing when `text` does not contain that command for `address`.
fn new_identity(text: &str, address: &str) -> Option<String> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let command = words.iter().position(|word| *word == "replace")?;
    let [_, _, id, printed] = words.get(command..command + 4)? else {
        return None;
    };
    let id: u64 = id.parse().ok()?;
    let is_new = id > u64::from(u32::MAX) && printed.starts_with(address);
    is_new.then(|| id.to_string())
}
