//! Encoding of large values.

use googletest::prelude::*;
use wingshore_types::codec::encode_exactly;

#[gtest]
fn encoding_matches_the_codec_and_has_no_spare_capacity() {
    let value: Vec<(u64, String)> = (0..1000).map(|n| (n, "x".repeat(n as usize))).collect();
    let encoded = encode_exactly(&value).expect("plain values encode");
    let plain = postcard::to_allocvec(&value).expect("plain values encode");
    expect_that!(encoded, eq(&plain));
    expect_that!(encoded.capacity(), eq(encoded.len()));
}
