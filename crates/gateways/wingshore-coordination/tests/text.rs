//! Compressed texts round-trip unchanged.

use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_coordination::ResultText;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn a_stored_text_round_trips(text in "(.|\n){0,400}") {
        let stored = ResultText::pack(&text);
        prop_assert_eq!(stored.length(), text.len());
        prop_assert_eq!(stored.unpack(), Ok(text));
    }
}

#[gtest]
fn a_long_text_takes_less_space_than_its_bytes() {
    let line = "the quick brown fox jumps over the lazy dog\n";
    let text = line.repeat(200);
    let stored = ResultText::pack(&text);
    let encoded = postcard::to_allocvec(&stored).expect("plain values encode");
    expect_that!(encoded.len(), lt(text.len() / 2));
}

#[gtest]
fn a_damaged_text_is_an_error() {
    let stored = ResultText::pack("some text that is long enough to be compressed");
    let mut encoded = postcard::to_allocvec(&stored).expect("plain values encode");
    encoded.truncate(encoded.len() - 4);
    // The length prefix states how many bytes follow.
    encoded[1] -= 4;
    let damaged: ResultText = postcard::from_bytes(&encoded).expect("the encoding is well-formed");
    expect_that!(damaged.unpack(), err(anything()));
}
