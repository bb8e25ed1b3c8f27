//! Byte-by-byte comparison of encoded commands and snapshots with golden files.
//!
//! A golden file has one line per example: its name and its bytes in hexadecimal digits. Existing
//! lines never change, since the next release must read the logs and snapshots of the previous one.
//! A new kind of example adds a line, which the failing test prints.

use googletest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::fmt::Write;
use wingshore_types::machine::ReplicatedState;

/// Compares each encoded example with its line, and decodes each line to the example again.
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
        let read: T = postcard::from_bytes(&decode_line(line)).unwrap();
        expect_that!(read == *example, eq(true), "decoded: {read:?}");
    }
}

/// Compares the snapshots with their lines, and restores a state from each line.
pub fn check_snapshots<S: ReplicatedState>(golden: &str, examples: &[(&str, S)]) {
    let named = examples
        .iter()
        .map(|(name, state)| (*name, state.snapshot()));
    check_bytes(golden, &named.collect::<Vec<_>>());
    for line in golden.lines() {
        let stored = decode_line(line);
        let restored = S::restore(&stored).unwrap();
        expect_that!(restored.snapshot(), eq(&stored));
    }
}

fn check_bytes(golden: &str, examples: &[(&str, Vec<u8>)]) {
    let mut expected = String::new();
    for (name, bytes) in examples {
        writeln!(expected, "{name} {}", hex(bytes)).unwrap();
    }
    let stored: Vec<&str> = golden.lines().collect();
    let found: Vec<&str> = expected.lines().collect();
    expect_that!(stored, eq(&found), "found:\n{expected}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_line(line: &str) -> Vec<u8> {
    let (_, digits) = line.split_once(' ').unwrap();
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}
