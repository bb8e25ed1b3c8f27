//! Encoded examples of all data that leaves a process, compared byte by byte with golden files.
//!
//! A golden file has one line per example: its name and its bytes in hexadecimal. The files were
//! written by a release that is in use. Their lines never change, since processes of two releases
//! communicate during an upgrade, and the logs and snapshots of one release are read by the next
//! one. A new kind of message adds a line, which the failing test prints.

#[allow(dead_code, reason = "each test file uses its own part")]
pub mod examples;

use googletest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::fmt::Write;

/// Compares the encoding of each example with its line, and decodes each line.
pub fn check<T>(golden: &str, examples: &[T], name: fn(&T) -> &'static str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encode = |example: &T| postcard::to_allocvec(example).unwrap();
    let named = examples
        .iter()
        .map(|example| (name(example), encode(example)));
    check_bytes(golden, &named.collect::<Vec<_>>());
    for (line, example) in golden.lines().zip(examples) {
        let (_, digits) = line.split_once(' ').unwrap();
        let read: T = postcard::from_bytes(&unhex(digits)).unwrap();
        expect_that!(read == *example, eq(true), "read back: {read:?}");
    }
}

/// Compares named byte strings with the lines of a golden file.
pub fn check_bytes(golden: &str, examples: &[(&str, Vec<u8>)]) {
    let mut expected = String::new();
    for (name, bytes) in examples {
        writeln!(expected, "{name} {}", hex(bytes)).unwrap();
    }
    let stored: Vec<&str> = golden.lines().collect();
    let found: Vec<&str> = expected.lines().collect();
    expect_that!(stored, eq(&found));
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits.
pub fn unhex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}
