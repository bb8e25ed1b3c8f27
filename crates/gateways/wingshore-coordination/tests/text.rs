//! Kept texts come back as they were.

use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_coordination::ResultText;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn a_stored_text_round_trips(text in "(.|\n){0,400}") {
        let kept = ResultText::pack(&text);
        prop_assert_eq!(kept.length(), text.len());
        prop_assert_eq!(kept.unpack(), Ok(text));
    }
}

#[gtest]
fn a_long_text_takes_less_space_than_its_bytes() {
    let line = "the quick brown fox jumps over the lazy dog\n";
    let text = line.repeat(200);
    let kept = ResultText::pack(&text);
    let encoded = postcard::to_allocvec(&kept).expect("plain values encode");
    expect_that!(encoded.len(), lt(text.len() / 2));
}

#[gtest]
fn a_damaged_text_is_an_error() {
    let kept = ResultText::pack("some text that is long enough to be compressed");
    let mut encoded = postcard::to_allocvec(&kept).expect("plain values encode");
    encoded.truncate(encoded.len() - 4);
    // The length before the bytes says how many there are.
    encoded[1] -= 4;
    let damaged: ResultText = postcard::from_bytes(&encoded).expect("it has the right form");
    expect_that!(damaged.unpack(), err(anything()));
}
