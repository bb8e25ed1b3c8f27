//! Encoded examples, compared byte by byte with golden files.
//!
//! A golden file has one line for each example: its name, and its bytes in hexadecimal digits. The
//! files were written by a release that is in use, and a line of them never changes. A new kind adds
//! a line, which the failing test prints.

use googletest::prelude::*;

/// Compares named bytes with the lines of a golden file.
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
