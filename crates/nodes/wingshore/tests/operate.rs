//! Operates a site of three replicas: plans, confirmations, concurrent operators, drains and moves
//! of pools.

mod support;

use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread;
use support::back_end::BackEnd;
use support::{Site, free_address, wait_for};

fn site_text(engine: SocketAddr, live: SocketAddr, bound: u64) -> String {
    format!(
        r#"role = "site"
zones = ["hall"]
[[service]]
id = "drafts-lm"
kind = "engines"
model = "drafts"
[[service]]
id = "shifts"
kind = "live"
[[server]]
id = "engine-1"
service = "drafts-lm"
address = "{engine}"
zone = "hall"
[[server]]
id = "live-1"
service = "shifts"
address = "{live}"
zone = "hall"
[[pool]]
id = "drafts"
service = "drafts-lm"
trainer = "trainer-1"
scorer = "127.0.0.1:9"
weight_store = "127.0.0.1:9"
swap = "planned"
staleness_bound = {bound}
"#
    )
}

/// A running site whose configuration is in force, with its back ends.
struct ConfiguredSite {
    site: Site,
    site_file: String,
    back_ends: Vec<BackEnd>,
}

fn start_configured_site() -> ConfiguredSite {
    let site = Site::start();
    let (engine, live) = (free_address(), free_address());
    let back_ends = vec![BackEnd::start(engine), BackEnd::start(live)];
    let site_file = site.write("site.toml", &site_text(engine, live, 2));
    let done = site.propose_and_confirm(&["apply", &site_file]);
    assert_eq!(done["state"], "done", "{done}");
    ConfiguredSite {
        site,
        site_file,
        back_ends,
    }
}

impl ConfiguredSite {
    /// Writes the site file with another staleness bound and returns the path.
    fn write_site_file(&self, bound: u64) -> String {
        let text = std::fs::read_to_string(&self.site_file).expect("the file is there");
        let text = text.replace("staleness_bound = 2", &format!("staleness_bound = {bound}"));
        self.site.write(&format!("site-{bound}.toml"), &text)
    }
}

fn state_of(plan: &Value) -> &str {
    let state = &plan["state"];
    let object = state.as_object().and_then(|object| object.keys().next());
    state.as_str().or(object.map(String::as_str)).unwrap_or("")
}

#[gtest]
fn a_plan_is_shown_confirmed_and_in_force() {
    let configured = start_configured_site();
    let site = &configured.site;
    let file = configured.write_site_file(3);

    let proposed = site.ctl(&["plan", "apply", &file]);
    for part in [
        "proposed",
        "pool drafts",
        "staleness_bound 2 -> 3",
        "cost",
        "nothing happens until",
        "confirm 2",
    ] {
        expect_that!(proposed.stdout, contains_substring(part));
    }
    expect_that!(site.ctl(&["show", "2"]).stdout, eq(&proposed.stdout));
    let before = site.ctl_json(&["configuration"]);
    expect_that!(before["pools"]["drafts"]["staleness_bound"], eq(&json!(2)));

    let done = site.ctl(&["confirm", "2", "--wait"]);
    expect_that!(done.stdout, contains_substring("done"));
    let after = site.ctl_json(&["configuration"]);
    expect_that!(after["pools"]["drafts"]["staleness_bound"], eq(&json!(3)));
    expect_that!(
        after["revision"].as_u64(),
        some(gt(before["revision"].as_u64().unwrap_or(0)))
    );

    let again = site.ctl(&["plan", "apply", &file]);
    expect_that!(again.stdout, contains_substring("nothing to change"));
}

#[gtest]
fn status_and_listings_have_the_expected_fields() {
    let configured = start_configured_site();
    let site = &configured.site;
    let status = wait_for("the engine's report", || {
        let status = site.ctl_json(&["status"]);
        status["engines"][0]["version"].is_u64().then_some(status)
    });
    for key in [
        "leader",
        "epoch",
        "in_force",
        "nodes",
        "engines",
        "open_plans",
    ] {
        expect_true!(status.get(key).is_some(), "{key} in {status}");
    }
    expect_that!(
        status["in_force"]["committed"],
        eq(&status["in_force"]["everywhere"])
    );
    expect_that!(status["engines"][0]["server"], eq(&json!("engine-1")));
    let text = site.ctl(&["status"]).stdout;
    for part in [
        "leader: replica",
        "in force everywhere",
        "engine-1",
        "pool drafts",
        "members",
    ] {
        expect_that!(text, contains_substring(part));
    }
    let plans = site.ctl_json(&["plans"]);
    expect_that!(plans.as_array().map(Vec::len), some(eq(1)));
    for key in [
        "id",
        "intent_id",
        "intent",
        "base_revision",
        "steps",
        "cost",
        "state",
    ] {
        expect_true!(plans[0].get(key).is_some(), "{key} in {plans}");
    }
    let members = site.ctl_json(&["members", "show"]);
    let groups: Vec<&Value> = members
        .as_array()
        .into_iter()
        .flatten()
        .map(|g| &g["group"])
        .collect();
    expect_that!(groups.len(), eq(3));
    expect_that!(
        members[0]["membership"]["voters"].as_array().map(Vec::len),
        some(eq(3))
    );
}

#[gtest]
fn a_resent_intent_gets_the_first_answer() {
    let configured = start_configured_site();
    let site = &configured.site;
    let drain = ["plan", "--intent", "c0ffee", "drain", "live-1"];
    let first = site.ctl(&drain);
    expect_that!(site.ctl(&drain).stdout, eq(&first.stdout));
    let confirm = ["--json", "confirm", "2", "--intent", "beef"];
    let confirmed = site.ctl(&confirm);
    site.ctl(&["confirm", "2", "--intent", "beef", "--wait"]);
    // The repeated confirmation gets the first answer; the plan was carried out once.
    expect_that!(site.ctl(&confirm).stdout, eq(&confirmed.stdout));
    expect_that!(
        site.ctl_json(&["plans"]).as_array().map(Vec::len),
        some(eq(2))
    );

    let other = site.try_ctl(&["plan", "--intent", "c0ffee", "drain", "engine-1"]);
    expect_that!(other.code, some(eq(3)));
    expect_that!(
        other.stderr,
        contains_substring("was used for another request")
    );
}

#[gtest]
fn a_stale_plan_is_refused_and_says_what_changed() {
    let configured = start_configured_site();
    let site = &configured.site;
    let late = site.propose(&["apply", &configured.write_site_file(4)]);
    site.propose_and_confirm(&["apply", &configured.write_site_file(5)]);
    let refused = site.try_ctl(&["confirm", &late]);
    expect_that!(refused.code, some(eq(3)));
    for part in ["pool `drafts`", "nothing was changed", "plan again"] {
        expect_that!(refused.stderr, contains_substring(part));
    }
    let plan = site.ctl_json(&["show", &late]);
    expect_that!(state_of(&plan), eq("stale"));
    let configuration = site.ctl_json(&["configuration"]);
    expect_that!(
        configuration["pools"]["drafts"]["staleness_bound"],
        eq(&json!(5))
    );

    let base = site.try_ctl(&["plan", "--base", "1", "drain", "live-1"]);
    expect_that!(base.code, some(eq(3)));
    expect_that!(base.stderr, contains_substring("conflict"));
}

#[gtest]
fn only_one_of_several_concurrent_confirmations_succeeds() {
    let configured = start_configured_site();
    let site = &configured.site;
    let plans: Vec<String> = (10..14)
        .map(|bound| site.propose(&["apply", &configured.write_site_file(bound)]))
        .collect();
    let codes: Vec<Option<i32>> = thread::scope(|scope| {
        let confirms: Vec<_> = plans
            .iter()
            .map(|plan| scope.spawn(move || site.try_ctl(&["confirm", plan, "--wait"]).code))
            .collect();
        confirms
            .into_iter()
            .map(|thread| thread.join().unwrap_or(None))
            .collect()
    });
    expect_that!(codes.iter().filter(|code| **code == Some(0)).count(), eq(1));
    expect_that!(codes.iter().filter(|code| **code == Some(3)).count(), eq(3));
    let winner = codes.iter().position(|code| *code == Some(0)).unwrap_or(0) as u64;
    let configuration = site.ctl_json(&["configuration"]);
    expect_that!(
        configuration["pools"]["drafts"]["staleness_bound"],
        eq(&json!(10 + winner))
    );
}

#[gtest]
fn a_server_is_drained_and_restored() {
    let configured = start_configured_site();
    let site = &configured.site;
    let drained = site.propose_and_confirm(&["drain", "live-1"]);
    expect_that!(state_of(&drained), eq("done"));
    let text = site.ctl(&["configuration"]).stdout;
    expect_that!(text, contains_substring("live-1"));
    expect_that!(text, contains_substring("draining"));
    site.propose_and_confirm(&["restore", "live-1"]);
    expect_that!(
        site.ctl(&["configuration"]).stdout,
        not(contains_substring("draining"))
    );

    let unknown = site.try_ctl(&["drain", "live-9"]);
    expect_that!(unknown.code, some(eq(3)));
    for part in ["server `live-9` does not exist", "engine-1, live-1"] {
        expect_that!(unknown.stderr, contains_substring(part));
    }
}

#[gtest]
fn a_waiting_drain_can_be_cancelled() {
    let mut configured = start_configured_site();
    // Without its back end, the server is no longer reported as idle.
    configured.back_ends.remove(1);
    let site = &configured.site;
    let plan = site.propose(&["drain", "live-1"]);
    site.ctl(&["confirm", &plan]);
    let running = site.ctl(&["show", &plan]).stdout;
    expect_that!(running, contains_substring("running"));
    let cancelled = site.ctl_json(&["cancel", &plan]);
    expect_that!(state_of(&cancelled), eq("cancelled"));
    let late = site.try_ctl(&["confirm", &plan]);
    expect_that!(late.code, some(eq(3)));
    expect_that!(late.stderr, contains_substring("cancelled"));
    let proposed = site.propose(&["restore", "live-1"]);
    expect_that!(
        state_of(&site.ctl_json(&["cancel", &proposed])),
        eq("cancelled")
    );
    expect_that!(
        site.try_ctl(&["confirm", "99"]).stderr,
        contains_substring("no plan 99")
    );
}

#[gtest]
fn a_pool_is_moved_to_a_published_version_only() {
    let configured = start_configured_site();
    let site = &configured.site;
    let refused = site.try_ctl(&["plan", "move-pool", "drafts", "7"]);
    expect_that!(refused.code, some(eq(3)));
    expect_that!(
        refused.stderr,
        contains_substring("version 7 has not been published; the newest is 0")
    );
    let unknown = site.try_ctl(&["plan", "move-pool", "draft", "7"]);
    expect_that!(unknown.stderr, contains_substring("there are: drafts"));

    publish(site, "drafts", 7);
    let moved = site.propose_and_confirm(&["move-pool", "drafts", "7"]);
    expect_that!(state_of(&moved), eq("done"));
    let status = site.ctl_json(&["status"]);
    expect_that!(status["engines"][0]["version"], eq(&json!(7)));
}

/// Publishes a weight version, as a node does for its trainer.
fn publish(site: &Site, pool: &str, version: u64) {
    use wingshore_types::protocol::control::ControlRequest;
    use wingshore_types::protocol::wire::GroupRequest;
    use wingshore_types::{GroupId, IntentId, WeightVersion};
    let client = wingshore_client::GroupClient::new("test", site.listen.clone(), 1);
    let request = GroupRequest::Control(ControlRequest::Publish {
        intent_id: IntentId(u128::from(version)),
        pool: pool.into(),
        version: WeightVersion(version),
    });
    let limit = std::time::Duration::from_secs(30);
    let published = client.call(GroupId::Control, request, limit);
    assert!(published.is_ok(), "{published:?}");
}
