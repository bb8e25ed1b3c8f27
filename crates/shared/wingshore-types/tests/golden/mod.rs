//! Encoded examples, compared byte by byte with golden files.
//!
//! A golden file has one line for each example: its name and its bytes in hexadecimal digits or its
//! JSON. The files were written by a release that is in use, so their lines must never change. A
//! new variant adds a line, which the failing test prints.

#[allow(dead_code, reason = "each test file uses its own part")]
pub mod examples;

use googletest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Checks that the `postcard` encodings of `examples` match the golden lines, and that the lines
/// decode to the examples.
pub fn check<T>(golden: &str, examples: &[T], name: fn(&T) -> &'static str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encode = |example: &T| hex(&postcard::to_allocvec(example).unwrap());
    let decode = |digits: &str| postcard::from_bytes(&unhex(digits)).unwrap();
    check_with(golden, examples, name, encode, decode);
}

/// Checks that the JSON of `examples` matches the golden lines, and that the lines decode to the
/// examples.
#[allow(dead_code, reason = "each test file uses its own part")]
pub fn check_json<T>(golden: &str, examples: &[T], name: fn(&T) -> &'static str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let encode = |example: &T| serde_json::to_string(example).unwrap();
    let decode = |json: &str| serde_json::from_str(json).unwrap();
    check_with(golden, examples, name, encode, decode);
}

fn check_with<T: PartialEq + Debug>(
    golden: &str,
    examples: &[T],
    name: fn(&T) -> &'static str,
    encode: impl Fn(&T) -> String,
    decode: impl Fn(&str) -> T,
) {
    let lines = examples
        .iter()
        .map(|example| format!("{} {}", name(example), encode(example)));
    let stored: Vec<String> = golden.lines().map(str::to_owned).collect();
    expect_that!(stored, eq(&lines.collect::<Vec<_>>()));
    for (line, example) in golden.lines().zip(examples) {
        let (_, encoded) = line.split_once(' ').unwrap();
        expect_that!(decode(encoded), eq(example));
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}
