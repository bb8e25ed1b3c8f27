//! Snapshots of another format version, damaged ones and ones with trailing bytes are rejected.

use googletest::prelude::*;
use wingshore_types::snapshot::{decode, encode};

const FORMAT: u8 = 3;

fn refusal(bytes: &[u8]) -> String {
    match decode::<(u32, String)>("test", FORMAT, bytes) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.message,
    }
}

#[googletest::test]
fn encoded_state_round_trips() {
    let state = (7_u32, "state".to_owned());
    let decoded = decode::<(u32, String)>("test", FORMAT, &encode(FORMAT, &state));
    expect_that!(decoded, ok(eq(&state)));
}

#[googletest::test]
fn invalid_snapshots_are_rejected_with_the_reason() {
    let whole = encode(FORMAT, &(7_u32, "state".to_owned()));
    let mut longer = whole.clone();
    longer.push(0);
    let mut other_format = whole.clone();
    other_format[0] = FORMAT + 1;
    expect_that!(refusal(&[]), eq("test snapshot: empty"));
    expect_that!(refusal(&longer), eq("test snapshot: 1 bytes too many"));
    expect_that!(
        refusal(&other_format),
        contains_substring("unknown format version 4")
    );
    for length in 1..whole.len() {
        expect_that!(refusal(&whole[..length]), contains_substring("damaged"));
    }
}
