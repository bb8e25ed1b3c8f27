//! Comparison of encoded examples with golden files.
//!
//! A golden file has one line per example: its name, and its bytes in hexadecimal. The files were
//! written by a release that is in use, so existing lines must never change. A new kind of value
//! adds a line, which the failing test prints.

use googletest::prelude::*;

/// Compares the encoded examples with the lines of a golden file.
pub fn check(golden: &str, examples: &[(&str, Vec<u8>)]) {
    let lines = examples
        .iter()
        .map(|(name, bytes)| format!("{name} {}", encode_hex(bytes)));
    let stored: Vec<String> = golden.lines().map(str::to_owned).collect();
    expect_that!(stored, eq(&lines.collect::<Vec<_>>()));
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
