//! Tests that the keys of all settings files, and the form of their values, stay compatible with
//! existing files.
//!
//! Two tests detect a key that is no longer read: a file that contains it is rejected, and a change
//! of its value does not change the settings.

use googletest::prelude::*;
use std::collections::BTreeSet;
use wingshore_settings::{AnySettings, SettingsErrors, any_from_text, catalogue};

/// A key of a settings file.
struct Key {
    /// The key, qualified with its table; `[]` marks a list of tables.
    path: &'static str,
    /// A value that differs from the default.
    value: &'static str,
    /// Another valid value; `None` if the rest of the file allows only `value`.
    other: Option<&'static str>,
    /// Default as the list of settings shows it; `None` if the key is required.
    default: Option<&'static str>,
    /// A value that has the wrong form or is out of range.
    invalid: &'static str,
}

const fn key(
    path: &'static str,
    value: &'static str,
    other: Option<&'static str>,
    default: Option<&'static str>,
    invalid: &'static str,
) -> Key {
    Key {
        path,
        value,
        other,
        default,
        invalid,
    }
}

#[rustfmt::skip]
const REPLICA: &[Key] = &[
    key("role", "\"replica\"", None, None, "\"replicas\""),
    key("site", "\"site-a\"", Some("\"site-b\""), None, "\"Site\""),
    key("name", "\"name-a\"", Some("\"name-b\""), None, "\"1name\""),
    key("zone", "\"zone-a\"", Some("\"zone-b\""), None, "7"),
    key("listen", "\"127.0.0.1:7101\"", Some("\"[::1]:7101\""), None, "\"localhost:7101\""),
    key("admin", "\"127.0.0.1:7102\"", Some("\"127.0.0.1:7103\""), Some("none"), "7102"),
    key("data", "\"data/a\"", Some("\"data/b\""), None, "\"\""),
    key("ledger_groups", "64", Some("2"), Some("1"), "65"),
    key("claims_groups", "64", Some("2"), Some("1"), "0"),
    key("snapshot_every", "\"64KiB\"", Some("\"4GiB\""), Some("16MiB"), "\"16MB\""),
    key("configuration_lease", "\"500ms\"", Some("\"30s\""), Some("5s"), "\"31s\""),
    key("log_lines", "64", Some("1000000"), Some("4096"), "63"),
    key("timing.heartbeat", "\"5ms\"", Some("\"12ms\""), Some("100ms"), "\"4ms\""),
    key("timing.election_timeout", "\"800ms\"", Some("\"1m\""), Some("1s"), "1000"),
    key("timing.lease", "\"10ms\"", Some("\"300ms\""), Some("700ms"), "\"2s\""),
    key("timing.clock_drift", "0", Some("200"), Some("50"), "201"),
    key("orders.state_poll", "\"50ms\"", Some("\"1m\""), Some("500ms"), "\"61s\""),
    key("orders.timeout", "\"50ms\"", Some("\"1m\""), Some("2s"), "\"2\""),
    key("orders.workers", "1", Some("256"), Some("8"), "257"),
    key("founding[].id", "4294967295", Some("1"), None, "0"),
    key("founding[].address", "\"127.0.0.1:7101\"", Some("\"127.0.0.1:7109\""), None, "7101"),
];

#[rustfmt::skip]
const RELAY: &[Key] = &[
    key("role", "\"relay\"", None, None, "7"),
    key("site", "\"site-a\"", Some("\"site-b\""), None, "\"\""),
    key("name", "\"name-a\"", Some("\"name-b\""), None, "true"),
    key("zone", "\"zone-a\"", Some("\"zone-b\""), None, "\"zone_a\""),
    key("listen", "\"127.0.0.1:7101\"", Some("\"[::1]:7101\""), None, "\"127.0.0.1\""),
    key("admin", "\"127.0.0.1:7102\"", Some("\"127.0.0.1:7103\""), Some("none"), "\"\""),
    key("upstream", "[\"127.0.0.1:7101\"]", Some("[\"127.0.0.1:7101\", \"[::1]:1\"]"), None, "[]"),
    key("data", "\"data/a\"", Some("\"data/b\""), Some("none"), "7"),
    key("log_lines", "64", Some("1000000"), Some("4096"), "1000001"),
];

#[rustfmt::skip]
const NODE: &[Key] = &[
    key("role", "\"node\"", None, None, "true"),
    key("site", "\"site-a\"", Some("\"site-b\""), None, "7"),
    key("name", "\"name-a\"", Some("\"name-b\""), None, "\"A\""),
    key("zone", "\"zone-a\"", Some("\"zone-b\""), None, "\"-\""),
    key("listen", "\"127.0.0.1:8101\"", Some("\"[::1]:8101\""), None, "8101"),
    key("replicas", "[\"127.0.0.1:7101\"]", Some("[\"127.0.0.1:7101\", \"[::1]:1\"]"), None, "\"127.0.0.1:7101\""),
    key("relays", "[\"127.0.0.1:7201\"]", Some("[\"127.0.0.1:7202\"]"), Some("[]"), "[7]"),
    key("machine_list", "\"127.0.0.1:7301\"", Some("\"127.0.0.1:7302\""), Some("none"), "\"host:1\""),
    key("machine_list_poll", "\"100ms\"", Some("\"1m\""), Some("1s"), "\"99ms\""),
    key("claims_groups", "64", Some("2"), Some("1"), "1.5"),
    key("without_lease", "\"serve\"", Some("\"refuse\""), Some("refuse"), "\"hope\""),
    key("stop_grace", "\"0s\"", Some("\"1h\""), Some("30s"), "\"61m\""),
    key("data", "\"data/a\"", Some("\"data/b\""), Some("none"), "[]"),
    key("log_lines", "64", Some("1000000"), Some("4096"), "\"64\""),
    key("http.workers", "1", Some("4096"), Some("64"), "4097"),
    key("http.max_request_body", "\"1KiB\"", Some("\"1GiB\""), Some("16MiB"), "16"),
    key("http.body_memory", "\"2GiB\"", Some("\"4GiB\""), Some("64MiB"), "64"),
    key("http.max_answer_body", "\"1KiB\"", Some("\"1GiB\""), Some("64MiB"), "\"2GiB\""),
    key("http.slow_caller_limit", "\"100ms\"", Some("\"1h\""), Some("10s"), "10"),
    key("routing.choices", "1", Some("8"), Some("2"), "9"),
    key("routing.subset", "1", Some("1000"), Some("40"), "0"),
    key("routing.probe_interval", "\"50ms\"", Some("\"1m\""), Some("500ms"), "\"49ms\""),
    key("routing.probes_per_second", "1", Some("10000"), Some("40"), "10001"),
    key("routing.probe_timeout", "\"20ms\"", Some("\"1m\""), Some("1s"), "\"19ms\""),
    key("routing.retry_budget", "0", Some("1000"), Some("200"), "1001"),
    key("routing.max_ejected", "0", Some("1000"), Some("500"), "-1"),
    key("rollout.pools", "[\"pool-a\"]", Some("[\"pool-a\", \"pool-b\"]"), Some("[]"), "[\"pool-a\", \"pool-a\"]"),
    key("rollout.max_streams", "1", Some("4096"), Some("64"), "4097"),
    key("rollout.max_scorings", "1", Some("1024"), Some("16"), "1025"),
    key("rollout.over_issue", "false", Some("true"), Some("true"), "\"true\""),
];

#[rustfmt::skip]
const SITE: &[Key] = &[
    key("role", "\"site\"", None, None, "[]"),
    key("zones", "[\"zone-a\"]", None, Some("[]"), "[\"Zone\"]"),
    key("service[].id", "\"service-a\"", None, None, "7"),
    key("service[].kind", "\"engines\"", None, None, "\"engine\""),
    key("service[].model", "\"model-a\"", Some("\"model-b\""), None, "\"\""),
    key("service[].slots_per_server", "1", Some("4096"), Some("16"), "4097"),
    key("service[].live_share", "0", Some("1000"), Some("500"), "1001"),
    key("service[].default_deadline", "\"10ms\"", Some("\"1h\""), Some("30s"), "\"9ms\""),
    key("server[].id", "\"server-a\"", Some("\"server-b\""), None, "\"\""),
    key("server[].service", "\"service-a\"", None, None, "\"service-b\""),
    key("server[].address", "\"127.0.0.1:9101\"", Some("\"[::1]:9101\""), None, "\"server-a\""),
    key("server[].zone", "\"zone-a\"", None, None, "\"zone-b\""),
    key("pool[].id", "\"pool-a\"", Some("\"pool-b\""), None, "true"),
    key("pool[].service", "\"service-a\"", None, None, "\"service-b\""),
    key("pool[].trainer", "\"trainer-a\"", Some("\"trainer-b\""), None, "\"T\""),
    key("pool[].scorer", "\"127.0.0.1:9201\"", Some("\"127.0.0.1:9202\""), None, "9201"),
    key("pool[].weight_store", "\"127.0.0.1:9301\"", Some("\"127.0.0.1:9302\""), None, "\"9301\""),
    key("pool[].swap", "\"planned\"", Some("\"automatic\""), Some("automatic"), "\"never\""),
    key("pool[].staleness_bound", "0", Some("1000"), Some("2"), "1001"),
    key("pool[].idle_weight", "0", Some("1000"), Some("500"), "1001"),
    key("pool[].ledger", "2", Some("64"), Some("1"), "0"),
    key("pool[].max_open_samples", "1", Some("1000000"), Some("65536"), "1000001"),
    key("pool[].sample_lease", "\"500ms\"", Some("\"1h\""), Some("10s"), "\"499ms\""),
];

const ROLES: [(&str, &[Key]); 4] = [
    ("replica", REPLICA),
    ("relay", RELAY),
    ("node", NODE),
    ("site", SITE),
];

/// Returns a file with all keys of a role, in which the key at `path` has `value`, or is omitted if
/// `value` is `None`.
fn file_with(keys: &[Key], path: &str, value: Option<&str>) -> String {
    let mut text = String::new();
    let mut open_table = "";
    for key in keys {
        let (table, name) = key.path.split_once('.').unwrap_or(("", key.path));
        if table != open_table {
            open_table = table;
            match table.strip_suffix("[]") {
                Some(list) => text.push_str(&format!("[[{list}]]\n")),
                None => text.push_str(&format!("[{table}]\n")),
            }
        }
        let value = if key.path == path {
            value
        } else {
            Some(key.value)
        };
        if let Some(value) = value {
            text.push_str(&format!("{name} = {value}\n"));
        }
    }
    text
}

fn parse_with(
    keys: &[Key],
    path: &str,
    value: Option<&str>,
) -> Result<AnySettings, SettingsErrors> {
    any_from_text("file.toml", &file_with(keys, path, value))
}

/// Returns whether one of the errors is about the key at `path`.
fn has_error_for(errors: &SettingsErrors, path: &str) -> bool {
    let path = path.replace("[]", "[1]");
    errors
        .0
        .iter()
        .any(|error| error.key == path || error.key.starts_with(&format!("{path}[")))
}

#[gtest]
fn files_with_every_key_are_read() {
    for (role, keys) in ROLES {
        expect_that!(parse_with(keys, "", None), ok(anything()), "{role}");
    }
}

#[gtest]
fn every_key_affects_the_settings() {
    for (role, keys) in ROLES {
        let unchanged = parse_with(keys, "", None).ok();
        for key in keys {
            let Some(other) = key.other else { continue };
            let changed = parse_with(keys, key.path, Some(other));
            expect_that!(changed, ok(anything()), "{role}: {} = {other}", key.path);
            let differs = changed.ok() != unchanged;
            expect_that!(differs, eq(true), "{role}: {} = {other}", key.path);
        }
    }
}

#[gtest]
fn every_key_rejects_an_invalid_value() {
    for (role, keys) in ROLES {
        for key in keys {
            let result = parse_with(keys, key.path, Some(key.invalid));
            let named = result.is_err_and(|errors| has_error_for(&errors, key.path));
            expect_that!(named, eq(true), "{role}: {} = {}", key.path, key.invalid);
        }
    }
}

#[gtest]
fn only_keys_with_a_default_may_be_left_out() {
    for (role, keys) in ROLES {
        // Without `zones`, the file is rejected because the server refers to an unknown zone.
        for key in keys.iter().filter(|key| key.path != "zones") {
            match parse_with(keys, key.path, None) {
                Ok(_) => expect_that!(key.default, some(anything()), "{role}: {}", key.path),
                Err(errors) => {
                    expect_that!(key.default, none(), "{role}: {}: {errors}", key.path);
                    expect_that!(
                        has_error_for(&errors, key.path),
                        eq(true),
                        "{role}: {errors}"
                    );
                }
            }
        }
    }
}

#[gtest]
fn keys_keep_their_names_and_defaults() {
    for ((role, keys), found) in ROLES.into_iter().zip(catalogue()) {
        expect_that!(found.role, eq(role));
        let expected: BTreeSet<(String, Option<String>)> = keys
            .iter()
            .map(|key| (key.path.to_owned(), key.default.map(str::to_owned)))
            .collect();
        let found: BTreeSet<(String, Option<String>)> = found
            .keys
            .into_iter()
            .map(|key| (key.key.replace("[1]", "[]"), key.default))
            .collect();
        expect_that!(found, eq(&expected), "{role}");
    }
}
