//! Tests that each broken file is rejected with the key, the line, the value found and the allowed
//! values, and that several errors are reported together.

use googletest::prelude::*;
use wingshore_settings::{AnySettings, Overrides, SettingsError, any_from_text, replica_from_text};

const REPLICA: &str = r#"role = "replica"
site = "farewind"
name = "replica-1"
zone = "regina-hall"
listen = "127.0.0.1:7101"
data = "data/replica-1"

[[founding]]
id = 1
address = "127.0.0.1:7101"
"#;

const NODE: &str = r#"role = "node"
site = "farewind"
name = "node-1"
zone = "regina-hall"
listen = "127.0.0.1:8101"
replicas = ["127.0.0.1:7101"]
"#;

const SITE: &str = r#"role = "site"
zones = ["regina-hall"]

[[service]]
id = "fare-lm"
kind = "engines"
model = "dispute-7b"

[[service]]
id = "fare-api"
kind = "live"

[[server]]
id = "engine-1"
service = "fare-lm"
address = "127.0.0.1:9101"
zone = "regina-hall"

[[pool]]
id = "disputes"
service = "fare-lm"
trainer = "trainer-1"
scorer = "127.0.0.1:9201"
weight_store = "127.0.0.1:9301"
"#;

/// One way to break a valid file, and the expected error.
struct Case {
    valid_file: &'static str,
    original: &'static str,
    replacement: &'static str,
    line: usize,
    key: &'static str,
    found: &'static str,
    allowed: &'static str,
}

impl Case {
    fn matches(&self, error: &SettingsError) -> bool {
        error.file == "file.toml"
            && error.line == self.line
            && error.key == self.key
            && error.found.contains(self.found)
            && error.allowed.contains(self.allowed)
    }
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { valid_file: REPLICA, original: "data =", replacement: "date =", line: 6, key: "date", found: "an unknown key", allowed: "data" },
    Case { valid_file: REPLICA, original: "\n[[founding]]", replacement: "configuration_lease = 5\n[[founding]]", line: 7, key: "configuration_lease", found: "5", allowed: "a duration with unit from \"500ms\" to \"30s\"" },
    Case { valid_file: REPLICA, original: "\n[[founding]]", replacement: "snapshot_every = \"16MB\"\n[[founding]]", line: 7, key: "snapshot_every", found: "\"16MB\"", allowed: "KiB, MiB, GiB" },
    Case { valid_file: REPLICA, original: "\n[[founding]]", replacement: "ledger_groups = 65\n[[founding]]", line: 7, key: "ledger_groups", found: "65", allowed: "from 1 to 64" },
    Case { valid_file: REPLICA, original: "\n[[founding]]", replacement: "[timing]\nlease = \"2s\"\n[[founding]]", line: 8, key: "timing.lease", found: "2s", allowed: "at most 900ms" },
    Case { valid_file: REPLICA, original: "\"127.0.0.1:7101\"\ndata", replacement: "\"localhost\"\ndata", line: 5, key: "listen", found: "\"localhost\"", allowed: "an IP address and port" },
    Case { valid_file: REPLICA, original: "id = 1\naddress = \"127.0.0.1:7101\"", replacement: "id = 1\naddress = \"127.0.0.1:7101\"\n[[founding]]\nid = 1\naddress = \"127.0.0.1:7102\"", line: 12, key: "founding[2].id", found: "1 twice", allowed: "each identity once" },
    Case { valid_file: NODE, original: "\"127.0.0.1:7101\"", replacement: "", line: 6, key: "replicas", found: "no address", allowed: "at least one" },
    Case { valid_file: NODE, original: "zone = \"regina-hall\"", replacement: "zone = \"Regina Hall\"", line: 4, key: "zone", found: "\"Regina Hall\"", allowed: "a-z" },
    Case { valid_file: NODE, original: "replicas", replacement: "without_lease = \"hope\"\nreplicas", line: 6, key: "without_lease", found: "\"hope\"", allowed: "\"refuse\", \"serve\"" },
    Case { valid_file: NODE, original: "replicas = [\"127.0.0.1:7101\"]", replacement: "replicas = [\"127.0.0.1:7101\"]\n[http]\nbody_memory = \"16MiB\"", line: 8, key: "http.body_memory", found: "16MiB", allowed: "at least eight sevenths of `max_request_body`" },
    Case { valid_file: SITE, original: "zone = \"regina-hall\"", replacement: "zone = \"moose-jaw\"", line: 17, key: "server[1].zone", found: "\"moose-jaw\"", allowed: "\"regina-hall\"" },
    Case { valid_file: SITE, original: "service = \"fare-lm\"\naddress", replacement: "service = \"fare-ml\"\naddress", line: 15, key: "server[1].service", found: "\"fare-ml\"", allowed: "\"fare-lm\", \"fare-api\"" },
    Case { valid_file: SITE, original: "id = \"fare-api\"", replacement: "id = \"fare-lm\"", line: 10, key: "service[2].id", found: "\"fare-lm\" twice", allowed: "each id once" },
    Case { valid_file: SITE, original: "service = \"fare-lm\"\ntrainer", replacement: "service = \"fare-api\"\ntrainer", line: 21, key: "pool[1].service", found: "whose kind is live", allowed: "kind is engines" },
    Case { valid_file: NODE, original: "role = \"node\"", replacement: "role = \"nod\"", line: 1, key: "role", found: "\"nod\"", allowed: "\"replica\", \"relay\", \"node\", \"site\"" },
    Case { valid_file: NODE, original: "name = ", replacement: "name ", line: 3, key: "(syntax)", found: "", allowed: "TOML" },
];

#[gtest]
fn every_broken_file_reports_the_expected_error() {
    for case in CASES {
        expect_that!(case.valid_file, contains_substring(case.original));
        let text = case.valid_file.replacen(case.original, case.replacement, 1);
        let Err(errors) = any_from_text("file.toml", &text) else {
            expect_that!(text, eq("accepted"));
            continue;
        };
        let named = errors.0.iter().any(|error| case.matches(error));
        expect_that!(named, eq(true), "{} gave {errors}", case.replacement);
    }
}

#[gtest]
fn unmodified_files_are_accepted() {
    expect_that!(
        any_from_text("replica.toml", REPLICA),
        ok(pat!(AnySettings::Replica(_)))
    );
    expect_that!(
        any_from_text("node.toml", NODE),
        ok(pat!(AnySettings::Node(_)))
    );
    expect_that!(
        any_from_text("site.toml", SITE),
        ok(pat!(AnySettings::Site(_)))
    );
}

#[gtest]
fn all_errors_are_reported_together() {
    let text = REPLICA
        .replace("zone = \"regina-hall\"", "zone = 7")
        .replace("data = ", "date = ")
        .replace("id = 1", "id = 0");
    let errors = any_from_text("file.toml", &text);
    let lines: Vec<usize> = errors
        .err()
        .map(|errors| errors.0.iter().map(|error| error.line).collect())
        .unwrap_or_default();
    // By line: `data` is missing, the zone is a number, `date` is unknown, the identity is below 1.
    expect_that!(lines, eq(&vec![1, 4, 6, 9]));
}

#[gtest]
fn flags_override_the_file() -> Result<()> {
    let overrides = Overrides {
        name: Some("replica-9".to_owned()),
        zone: Some("winnipeg-hall".to_owned()),
        listen: Some("127.0.0.1:7199".to_owned()),
        data: Some("elsewhere".to_owned()),
    };
    let settings = replica_from_text("file.toml", REPLICA, &overrides)?;
    expect_that!(settings.name, eq("replica-9"));
    expect_that!(settings.zone, eq("winnipeg-hall"));
    expect_that!(settings.listen.port(), eq(7199));
    expect_that!(settings.data.to_str(), some(eq("elsewhere")));
    Ok(())
}
