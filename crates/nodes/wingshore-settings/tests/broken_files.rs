//! Each broken file is refused with its key, line, what was found and what is allowed; several
//! errors are named at once.

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

/// One way to break a file: what to replace, and what the error must say.
struct Case {
    whole: &'static str,
    from: &'static str,
    to: &'static str,
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
    Case { whole: REPLICA, from: "data =", to: "date =", line: 6, key: "date", found: "an unknown key", allowed: "data" },
    Case { whole: REPLICA, from: "\n[[founding]]", to: "configuration_lease = 5\n[[founding]]", line: 7, key: "configuration_lease", found: "5", allowed: "a duration with unit from \"500ms\" to \"30s\"" },
    Case { whole: REPLICA, from: "\n[[founding]]", to: "snapshot_every = \"16MB\"\n[[founding]]", line: 7, key: "snapshot_every", found: "\"16MB\"", allowed: "KiB, MiB, GiB" },
    Case { whole: REPLICA, from: "\n[[founding]]", to: "ledger_groups = 65\n[[founding]]", line: 7, key: "ledger_groups", found: "65", allowed: "from 1 to 64" },
    Case { whole: REPLICA, from: "\n[[founding]]", to: "[timing]\nlease = \"2s\"\n[[founding]]", line: 8, key: "timing.lease", found: "2s", allowed: "at most 900ms" },
    Case { whole: REPLICA, from: "\"127.0.0.1:7101\"\ndata", to: "\"localhost\"\ndata", line: 5, key: "listen", found: "\"localhost\"", allowed: "an IP address and port" },
    Case { whole: REPLICA, from: "id = 1\naddress = \"127.0.0.1:7101\"", to: "id = 1\naddress = \"127.0.0.1:7101\"\n[[founding]]\nid = 1\naddress = \"127.0.0.1:7102\"", line: 12, key: "founding[2].id", found: "1 twice", allowed: "each identity once" },
    Case { whole: NODE, from: "\"127.0.0.1:7101\"", to: "", line: 6, key: "replicas", found: "no address", allowed: "at least one" },
    Case { whole: NODE, from: "zone = \"regina-hall\"", to: "zone = \"Regina Hall\"", line: 4, key: "zone", found: "\"Regina Hall\"", allowed: "a-z" },
    Case { whole: NODE, from: "replicas", to: "without_lease = \"hope\"\nreplicas", line: 6, key: "without_lease", found: "\"hope\"", allowed: "\"refuse\", \"serve\"" },
    Case { whole: SITE, from: "zone = \"regina-hall\"", to: "zone = \"moose-jaw\"", line: 17, key: "server[1].zone", found: "\"moose-jaw\"", allowed: "\"regina-hall\"" },
    Case { whole: SITE, from: "service = \"fare-lm\"\naddress", to: "service = \"fare-ml\"\naddress", line: 15, key: "server[1].service", found: "\"fare-ml\"", allowed: "\"fare-lm\", \"fare-api\"" },
    Case { whole: SITE, from: "id = \"fare-api\"", to: "id = \"fare-lm\"", line: 10, key: "service[2].id", found: "\"fare-lm\" twice", allowed: "each id once" },
    Case { whole: SITE, from: "service = \"fare-lm\"\ntrainer", to: "service = \"fare-api\"\ntrainer", line: 21, key: "pool[1].service", found: "whose kind is live", allowed: "kind is engines" },
    Case { whole: NODE, from: "role = \"node\"", to: "role = \"nod\"", line: 1, key: "role", found: "\"nod\"", allowed: "\"replica\", \"relay\", \"node\", \"site\"" },
    Case { whole: NODE, from: "name = ", to: "name ", line: 3, key: "(syntax)", found: "", allowed: "TOML" },
];

#[gtest]
fn every_broken_file_names_its_fault() {
    for case in CASES {
        expect_that!(case.whole, contains_substring(case.from));
        let text = case.whole.replacen(case.from, case.to, 1);
        let Err(errors) = any_from_text("file.toml", &text) else {
            expect_that!(text, eq("accepted"));
            continue;
        };
        let named = errors.0.iter().any(|error| case.matches(error));
        expect_that!(named, eq(true), "{} gave {errors}", case.to);
    }
}

#[gtest]
fn the_whole_files_are_accepted() {
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
fn all_errors_are_named_at_once() {
    let text = REPLICA
        .replace("zone = \"regina-hall\"", "zone = 7")
        .replace("data = ", "date = ")
        .replace("id = 1", "id = 0");
    let errors = any_from_text("file.toml", &text);
    let lines: Vec<usize> = errors
        .err()
        .map(|errors| errors.0.iter().map(|error| error.line).collect())
        .unwrap_or_default();
    // Nothing for `data`, a number for the zone, an unknown key, an identity below 1.
    expect_that!(lines, eq(&vec![1, 4, 6, 9]));
}

#[gtest]
fn flags_go_before_the_file() -> Result<()> {
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
