//! Help, version, wrong arguments, and `wingshore check` on broken files.

mod support;

use googletest::prelude::*;
use support::{path_text, wingshore};

const REPLICA: &str = include_str!("../../../../examples/first-site/replica-1.toml");
const SITE: &str = include_str!("../../../../examples/first-site/site.toml");

/// Broken settings: valid file, text to replace, replacement, and for each expected error line the
/// parts that it must contain.
#[rustfmt::skip]
const BROKEN_SETTINGS: &[(&str, &str, &str, &[&[&str]])] = &[
    (REPLICA, "zone =", "zoen =", &[&[":1:", "`zone`", "found nothing", "1 to 64 of a-z"], &[":5:", "`zoen`", "an unknown key", "allowed: role, site, name, zone"]]),
    (REPLICA, "\"data/first-site/replica-1\"", "7", &[&[":10:", "`data`", "found 7", "text"]]),
    (REPLICA, "[[founding]]", "configuration_lease = \"5\"\n[[founding]]", &[&[":13:", "`configuration_lease`", "found \"5\"", "a duration with unit from \"500ms\" to \"30s\""]]),
    (REPLICA, "[[founding]]", "configuration_lease = \"2m\"\n[[founding]]", &[&[":13:", "`configuration_lease`", "found \"2m\"", "to \"30s\""]]),
    (REPLICA, "[[founding]]", "snapshot_every = 16\n[[founding]]", &[&[":13:", "`snapshot_every`", "found 16", "KiB, MiB, GiB"]]),
    (REPLICA, "[[founding]]", "[timing]\nheartbeat = \"1s\"\n[[founding]]", &[&["`timing.election_timeout`", "found 1s", "at least four heartbeats"]]),
    (REPLICA, "id = 1", "id = 0", &[&[":14:", "`founding[1].id`", "found 0", "from 1 to"]]),
    (REPLICA, "id = 3", "id = 2", &[&[":22:", "`founding[3].id`", "2 twice", "each identity once"]]),
    (REPLICA, "role = \"replica\"", "role = \"replika\"", &[&[":2:", "`role`", "found \"replika\"", "\"replica\", \"relay\", \"node\", \"site\""]]),
    (REPLICA, "listen = \"127.0.0.1:6101\"", "listen = \"127.0.0.1\"", &[&[":7:", "`listen`", "found \"127.0.0.1\"", "an IP address and port"]]),
    (REPLICA, "site =", "site", &[&[":3:", "(syntax)", "TOML"]]),
    (SITE, "zone = \"hall-1\"", "zone = \"hall\"", &[&[":24:", "`server[1].zone`", "found \"hall\"", "\"hall-1\", \"hall-2\", \"hall-3\""]]),
    (SITE, "service = \"drafts-lm\"", "service = \"drafts\"", &[&[":22:", "`server[1].service`", "found \"drafts\"", "\"drafts-lm\""]]),
    (SITE, "id = \"engine-2\"", "id = \"engine-1\"", &[&[":27:", "`server[2].id`", "\"engine-1\" twice", "each id once"]]),
    (SITE, "kind = \"engines\"", "kind = \"engine\"", &[&[":7:", "`service[1].kind`", "found \"engine\"", "\"engines\", \"live\""]]),
];

#[gtest]
fn check_reports_every_error_of_a_broken_file() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = path_text(&folder.path().join("broken.toml"));
    for (valid_text, from, to, expected_errors) in BROKEN_SETTINGS {
        expect_that!(*valid_text, contains_substring(*from));
        std::fs::write(&path, valid_text.replacen(from, to, 1))?;
        let answer = wingshore(&["check", "--settings", &path]);
        expect_that!(answer.code, some(eq(2)), "{to}");
        let lines: Vec<&str> = answer.stderr.lines().collect();
        for parts in *expected_errors {
            let is_reported = lines.iter().any(|line| {
                line.starts_with(&path) && parts.iter().all(|part| line.contains(part))
            });
            expect_true!(is_reported, "{to} gave {lines:?}");
        }
        // Each error is reported once, without errors that only follow from it.
        expect_that!(lines, len(eq(expected_errors.len())), "{to}");
    }
    Ok(())
}

#[gtest]
fn check_accepts_the_settings_of_every_site() -> Result<()> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../sites");
    let mut checked = 0;
    for site in ["farewind", "roster"].map(|site| root.join(site)) {
        let mut files = vec![site.join("site.toml")];
        for folder in ["replicas", "nodes"] {
            for entry in std::fs::read_dir(site.join(folder))? {
                files.push(entry?.path());
            }
        }
        for file in &files {
            let answer = wingshore(&["check", "--settings", &path_text(file)]);
            expect_that!(answer.code, some(eq(0)), "{answer:?}");
        }
        checked += files.len();
    }
    expect_that!(checked, ge(18));
    Ok(())
}

#[gtest]
fn help_names_commands_and_examples() {
    let top = wingshore(&["--help"]);
    expect_that!(top.code, some(eq(0)));
    for word in [
        "replica",
        "relay",
        "node",
        "format",
        "check",
        "ctl",
        "Examples:",
    ] {
        expect_that!(top.stdout, contains_substring(word));
    }
    let commands: &[(&[&str], &str)] = &[
        (&["replica"], "--settings"),
        (&["relay"], "--settings"),
        (&["node"], "--settings"),
        (&["format"], "--id"),
        (&["check"], "--settings"),
        (&["ctl"], "--replicas"),
        (&["ctl", "plan"], "move-pool"),
        (&["ctl", "plan", "apply"], "--prune"),
        (&["ctl", "confirm"], "--wait"),
        (&["ctl", "members", "replace"], "identity of the new member"),
    ];
    for (words, part) in commands {
        let mut all = words.to_vec();
        all.push("--help");
        let answer = wingshore(&all);
        expect_that!(answer.code, some(eq(0)), "{words:?}");
        expect_that!(answer.stdout, contains_substring(*part), "{words:?}");
    }
    let version = wingshore(&["--version"]);
    expect_that!(
        version.stdout,
        eq(&format!("wingshore {}\n", env!("CARGO_PKG_VERSION")))
    );
}

/// Invalid command lines: arguments, exit status, and parts that standard error must contain.
#[rustfmt::skip]
const INVALID_COMMAND_LINES: &[(&[&str], i32, &[&str])] = &[
    (&[], 2, &["no command", "--help"]),
    (&["check", "--settings", "/nowhere/x.toml"], 2, &["cannot read /nowhere/x.toml"]),
    (&["ctl", "--replicas", "localhost:1", "status"], 2, &["--replicas", "\"localhost:1\"", "IP addresses and ports"]),
    (&["ctl", "--replicas", "127.0.0.1:1", "plan", "--intent", "xyz", "drain", "a"], 2, &["--intent", "xyz", "hexadecimal"]),
    (&["ctl", "--replicas", "127.0.0.1:1", "--timeout", "1", "status"], 1, &["no answer from group control", "127.0.0.1:1", "connection refused", "--replicas"]),
    (&["ctl", "--replicas", "127.0.0.1:1", "--timeout", "1", "confirm", "4"], 1, &["no answer", "to ask again safely", "--intent"]),
];

#[gtest]
fn invalid_arguments_report_the_allowed_values() {
    for (arguments, code, parts) in INVALID_COMMAND_LINES {
        let answer = wingshore(arguments);
        expect_that!(answer.code, some(eq(*code)), "{arguments:?}");
        let text = answer.stderr.to_lowercase();
        for part in *parts {
            expect_that!(
                text,
                contains_substring(part.to_lowercase()),
                "{arguments:?}"
            );
        }
    }
}

#[gtest]
fn a_closed_pipe_on_standard_output_is_not_an_error() -> Result<()> {
    let (reader, writer) = std::io::pipe()?;
    drop(reader);
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_wingshore"))
        .arg("--version")
        .stdout(writer)
        .output()?;
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(String::from_utf8_lossy(&output.stderr), eq(""));
    Ok(())
}
