//! Keys of the structured log lines in the sources. Additional keys are allowed.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;

/// Macros that write a log line.
const MACROS: &[&str] = &["trace", "debug", "info", "warn", "error", "crit"];

/// Keys of each log line, in alphabetical order.
const LOG_KEYS: &[&str] = &[
    "address boot",
    "answer group",
    "answer pool",
    "engine request",
    "errand",
    "error",
    "error group",
    "error server",
    "failure server",
    "from to",
    "offered",
    "pool",
    "reason",
    "what",
];

/// Collects the text of each source file below a directory.
fn sources(folder: &Path, out: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, out);
        } else {
            out.push(std::fs::read_to_string(path).expect("a source file"));
        }
    }
}

/// Returns the keys in a log statement: the literals before an arrow.
fn keys(statement: &str) -> BTreeSet<&str> {
    statement
        .split("=>")
        .filter_map(|part| part.trim_end().strip_suffix('"'))
        .filter_map(|part| part.rsplit('"').next())
        .collect()
}

#[gtest]
fn each_log_line_still_has_its_keys() {
    let mut files = Vec::new();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    sources(&folder, &mut files);
    let mut found = Vec::new();
    for file in &files {
        for name in MACROS {
            for (begin, _) in file.match_indices(&format!(" {name}!(")) {
                let statement = &file[begin..];
                let end = statement.find(");").unwrap_or(statement.len());
                found.push(keys(&statement[..end]));
            }
        }
    }
    for line in LOG_KEYS {
        let expected: BTreeSet<&str> = line.split(' ').collect();
        let stands = found.iter().any(|keys| keys.is_superset(&expected));
        expect_that!(stands, is_true(), "{line}");
    }
}
